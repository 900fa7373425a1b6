//! Failed calls to the store, by what they are about.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use super::target::CallTarget;

/// Time after which a target that fails is reported for the first time. The time to the next report doubles.
const FIRST_REPORT: Duration = Duration::from_secs(2);

/// Longest time between two reports of a target that fails.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A target of which all calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Number of failed calls.
    pub attempts: u32,
    /// Time since the first of them ended.
    pub lasted: Duration,
}

/// Calls that have failed since the last one that was answered.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    since: Timestamp,
    report_at: Timestamp,
    report_interval: Duration,
}

/// Outcomes of the calls of this instance to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreLoad {
    failures: HashMap<CallTarget, Failures>,
}

impl StoreLoad {
    /// Records that the store has answered a call.
    pub fn answered(&mut self, target: CallTarget) {
        self.failures.remove(&target);
    }

    /// Records that a call was rejected or had no answer.
    pub fn failed(&mut self, target: CallTarget, now: Timestamp) {
        let failures = self.failures.entry(target).or_insert(Failures {
            count: 0,
            since: now,
            report_at: now + FIRST_REPORT,
            report_interval: FIRST_REPORT,
        });
        failures.count = failures.count.saturating_add(1);
    }

    /// Returns the outage of a target if it is time to report it, once more or for the first time.
    pub fn take_report(&mut self, target: CallTarget, now: Timestamp) -> Option<Outage> {
        let failures = self.failures.get_mut(&target)?;
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
