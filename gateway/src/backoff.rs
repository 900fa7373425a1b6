//! Pauses behind failures, which grow and are spread.

use std::time::Duration;

/// Part of a pause that is not spread at random.
const FIXED_PART: f64 = 0.5;

/// Pauses behind calls that fail one after the other. Each is twice as long as the one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    /// Longest pause behind the first failure.
    pub(crate) first: Duration,
    /// Longest pause.
    pub(crate) max: Duration,
}

impl Backoff {
    /// Returns the pause behind the last of `failures` failed calls in a row; `spread` is a random number from 0
    /// to 1, so that instances which have failed together do not call together again.
    pub(crate) fn pause(self, failures: u32, spread: f64) -> Duration {
        let longest = self.doubled(failures.saturating_sub(1));
        longest.mul_f64(FIXED_PART + (1.0 - FIXED_PART) * spread.clamp(0.0, 1.0))
    }

    /// Returns the first time after this many doublings.
    pub(crate) fn doubled(self, doublings: u32) -> Duration {
        let doublings = doublings.min(u32::BITS - 1);
        self.first.saturating_mul(1 << doublings).min(self.max)
    }
}
