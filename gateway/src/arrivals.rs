//! Estimate of the requests that other instances have placed and that are not in the counts yet.
//!
//! Load pattern: reports are gathered for some milliseconds, and an instance without requests gets
//! them only every 250 ms. With hundreds of requests per second, a few to a hundred requests are not
//! in the counts of the instance that decides.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

/// Time in which the weight of an arrival decreases by the factor e. The rate of arrivals changes
/// fivefold within two to three seconds.
const MEMORY: Duration = Duration::from_millis(500);

/// Largest age of counts; after it the choice is random anyway.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Time from a change to its processing by another instance, except the time in which changes are
/// gathered. Machines with a tenth of a core are up to 30 ms late, and an instance that has just got
/// work is not known yet to those that report to it.
const TRANSFER: Duration = Duration::from_millis(10);

/// Requests that the instances of the own cell place, and the age of their reports.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Arrivals at others, with exponentially decreasing weight, as of `updated`.
    recent: f64,
    updated: Timestamp,
    /// When the last report of each instance arrived.
    reported: HashMap<String, Timestamp>,
    /// Sum of the values of `reported` in microseconds.
    reported_sum: u64,
    /// Since when the reports of this instance say that it has work; the others send it every
    /// change from then on.
    working_since: Option<Timestamp>,
    /// Time in which instances gather changes.
    gathering: Duration,
}

impl Arrivals {
    /// Records a report of another instance, with the requests that it has placed since the last one.
    pub fn reported(&mut self, peer: &str, placed: u32, now: Timestamp) {
        self.recent = self.recent_at(now) + f64::from(placed);
        self.updated = now;
        let at = now.0;
        match self.reported.get_mut(peer) {
            Some(last) => {
                self.reported_sum = self.reported_sum - last.0 + at;
                *last = now;
            }
            None => {
                self.reported.insert(peer.to_owned(), now);
                self.reported_sum += at;
            }
        }
    }

    /// Forgets an instance that is unreachable or was removed.
    pub fn remove_peer(&mut self, peer: &str) {
        if let Some(last) = self.reported.remove(peer) {
            self.reported_sum -= last.0;
        }
    }

    /// Sets the time in which instances gather changes before they report them.
    pub fn set_gathering(&mut self, time: Duration) {
        self.gathering = time;
    }

    /// Records a report of this instance.
    pub fn sent(&mut self, has_work: bool, now: Timestamp) {
        match has_work {
            true => self.working_since = self.working_since.or(Some(now)),
            false => self.working_since = None,
        }
    }

    /// Returns the mean age of the counts. Those of an instance that sends every change are as old as
    /// its changes are on their way.
    pub fn age(&self, now: Timestamp) -> Duration {
        let delay = self.gathering + TRANSFER;
        let Some(mean) = self.reported_sum.checked_div(self.reported.len() as u64) else {
            return delay;
        };
        let unreported_until = self
            .working_since
            .map_or(now, |since| now.min(since + delay));
        let mean = Timestamp(mean);
        (delay + unreported_until.since(mean)).min(MAX_AGE)
    }

    /// Returns the expected number of requests that others have placed and that are not in the counts.
    pub fn unseen(&self, now: Timestamp) -> f64 {
        self.recent_at(now) / MEMORY.as_secs_f64() * self.age(now).as_secs_f64()
    }

    fn recent_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.recent * (-elapsed / MEMORY.as_secs_f64()).exp()
    }
}
