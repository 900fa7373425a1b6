//! Estimate of the remaining run time of an item, from earlier items of its service.

use std::time::Duration;

/// Weight of a new value in the moving mean, which covers about the last ten items.
const WEIGHT: f64 = 0.1;

/// Mean number of events of the items of a service, and the mean time between events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ItemTime {
    /// Events of a complete item; 0 before the first one.
    events: f64,
    /// Seconds between two events.
    gap: f64,
}

impl ItemTime {
    /// Records an item of `events` events, the last `run` of which took `elapsed`.
    pub fn record(&mut self, elapsed: Duration, run: usize, events: usize) {
        if run == 0 {
            return;
        }
        let gap = elapsed.as_secs_f64() / run as f64;
        if self.events == 0.0 {
            self.events = events as f64;
            self.gap = gap;
        } else {
            self.events += WEIGHT * (events as f64 - self.events);
            self.gap += WEIGHT * (gap - self.gap);
        }
    }

    /// Returns the estimated remaining time of an item that has `events` events; zero without a
    /// measurement, and for an item that is longer than the mean.
    pub fn remaining(&self, events: usize) -> Duration {
        let events = (self.events - events as f64).max(0.0);
        Duration::from_secs_f64(events * self.gap)
    }
}
