//! How long an item still has to run, from the items before it.

use std::time::Duration;

/// Weight of a new value in the mean; the mean follows about the last ten items.
const WEIGHT: f64 = 0.1;

/// Mean length of the items of a service, and how fast their events come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ItemTime {
    /// Events of a whole item; 0 before the first one.
    events: f64,
    /// Seconds between two events.
    gap: f64,
}

impl ItemTime {
    /// Notes an item of `events` events; the last `run` of them took `elapsed`.
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

    /// Returns the time that an item with `events` events has left; zero if nothing is known, or if
    /// the item is longer than most.
    pub fn left(&self, events: usize) -> Duration {
        let events = (self.events - events as f64).max(0.0);
        Duration::from_secs_f64(events * self.gap)
    }
}
