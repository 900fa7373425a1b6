//! Monotonic time since the start of a stand-in.

use std::time::{
    Duration,
    Instant, //
};

/// Measures the time since it was started; models without I/O receive it as an argument.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time of this clock into an `Instant` for a timer.
    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
