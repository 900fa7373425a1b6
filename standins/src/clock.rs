//! Time since the start of a stand-in.

use std::time::{Duration, Instant};

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
}
