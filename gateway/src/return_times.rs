//! Times at which refused callers return while backend servers are limited.
//!
//! Load pattern: limits leave the fleet only a part of the load. Callers that all return at the next
//! token would find it taken, so each of them gets a token of its own, as far as it can wait.

use std::time::Duration;

use limpetweir_state::Timestamp;

/// Shortest time after which a caller returns.
const MIN_TIME: Duration = Duration::from_millis(200);

/// Number of different times at least; with fewer, many callers return at the same moment.
const MIN_PLACES: u32 = 8;

/// Lowest rate for which an interval is computed, per second.
const MIN_RATE: f64 = 0.1;

/// Assigns times to refused callers, one after the other.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    /// When the next caller may return.
    next: Timestamp,
}

impl ReturnTimes {
    /// Returns the time after which a caller should return that waits at most `longest`, while the
    /// callers of this instance can be served at `rate` per second. Beyond `longest` the times begin
    /// again, so that the callers are spread evenly.
    pub fn assign(&mut self, now: Timestamp, rate: f64, longest: Duration) -> Duration {
        let first = now + MIN_TIME;
        let mut at = self.next.max(first);
        if at.since(now) > longest {
            at = first;
        }
        let largest = longest.saturating_sub(MIN_TIME) / MIN_PLACES;
        let interval = Duration::from_secs_f64(1.0 / rate.max(MIN_RATE));
        self.next = at + interval.min(largest);
        at.since(now)
    }
}
