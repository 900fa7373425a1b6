//! Outcomes of the calls to the store, by what they are about.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use super::pauses;
use super::target::CallTarget;

/// Time after which a target that fails is reported for the first time. The time to the next report doubles.
const FIRST_REPORT: Duration = Duration::from_secs(2);

/// Longest time between two reports of a target that fails.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time of a page from which the store counts as busy. Other calls wait behind the pages of all instances, and
/// are given up after a second.
const BUSY_AFTER: Duration = Duration::from_millis(600);

/// A target of which all calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Number of failed calls.
    pub attempts: u32,
    /// Time since the first of them ended.
    pub lasted: Duration,
}

/// What must precede the request for a page of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeforePage {
    /// Nothing: the partition has answered the last call.
    Nothing,
    /// Nothing, but it is not known whether the partition answers.
    Unknown,
    /// An answer to a small call: calls fail, or the store is busy.
    Probe,
}

/// Calls that have failed since the last one that was answered.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    since: Timestamp,
    report_at: Timestamp,
    report_interval: Duration,
}

/// The last calls about a target.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    failures: Option<Failures>,
    /// Whether the last page took so long that others may be kept from the store.
    is_busy: bool,
    /// Whether any call has been answered.
    is_answered: bool,
}

/// Outcomes of the calls of this instance to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreLoad {
    calls: HashMap<CallTarget, Calls>,
}

impl StoreLoad {
    /// Records that the store has answered a call.
    pub fn answered(&mut self, target: CallTarget) {
        let calls = self.calls.entry(target).or_default();
        calls.failures = None;
        calls.is_answered = true;
    }

    /// Records that the store has answered the request for a page after `elapsed`.
    pub fn page_answered(&mut self, target: CallTarget, elapsed: Duration) {
        self.answered(target);
        let calls = self.calls.entry(target).or_default();
        calls.is_busy = elapsed >= BUSY_AFTER;
    }

    /// Records that a call was rejected or had no answer.
    pub fn failed(&mut self, target: CallTarget, now: Timestamp) {
        let calls = self.calls.entry(target).or_default();
        let failures = calls.failures.get_or_insert(Failures {
            count: 0,
            since: now,
            report_at: now + FIRST_REPORT,
            report_interval: FIRST_REPORT,
        });
        failures.count = failures.count.saturating_add(1);
    }

    /// Returns the pause before the next call about a target of which the last one has failed; `spread` is
    /// a random number from 0 to 1.
    pub fn pause(&self, target: CallTarget, spread: f64) -> Duration {
        let failures = self.calls.get(&target).and_then(|calls| calls.failures);
        pauses::pause(target, failures.map_or(1, |f| f.count), spread)
    }

    /// Returns what must precede the request for a page.
    pub fn before_page(&self, target: CallTarget) -> BeforePage {
        match self.calls.get(&target) {
            Some(calls) if calls.failures.is_some() || calls.is_busy => BeforePage::Probe,
            Some(calls) if calls.is_answered => BeforePage::Nothing,
            _ => BeforePage::Unknown,
        }
    }

    /// Returns the outage of a target if it is time to report it, once more or for the first time.
    pub fn take_report(&mut self, target: CallTarget, now: Timestamp) -> Option<Outage> {
        let failures = self.calls.get_mut(&target)?.failures.as_mut()?;
        if now < failures.report_at {
            return None;
        }
        failures.report_interval = (failures.report_interval * 2).min(MAX_REPORT_INTERVAL);
        failures.report_at = now + failures.report_interval;
        Some(Outage {
            attempts: failures.count,
            lasted: now.since(failures.since),
        })
    }
}
