//! Time since the start of a stand-in.

use std::time::{
    Duration,
    Instant, //
};

/// Measures time since the start of the process; pure models take the value as an argument.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time on this clock into an instant for a timer.
    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
