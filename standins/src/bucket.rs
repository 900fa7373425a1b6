//! Token bucket that limits calls per second.

use std::time::Duration;

/// Limits the rate of calls and their burst.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    /// Available tokens at `updated`; never above `burst`.
    level: f64,
    updated: Duration,
}

impl TokenBucket {
    /// Returns a full bucket of `burst` tokens refilled at `rate` tokens per second.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            updated: Duration::ZERO,
        }
    }

    /// Changes the limits; a level above the new burst is reduced to it.
    pub(crate) fn set(&mut self, now: Duration, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token, or returns the time until one is available.
    pub(crate) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.rate;
        Err(Duration::try_from_secs_f64(wait)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT))
    }

    /// Returns the rate and the burst.
    pub(crate) fn limits(&self) -> (f64, f64) {
        (self.rate, self.burst)
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated);
        self.level = (self.level + passed.as_secs_f64() * self.rate).min(self.burst);
        self.updated = self.updated.max(now);
    }
}

/// Maximum time to retry after; with a rate of zero it would otherwise be infinite.
const MAX_WAIT: Duration = Duration::from_secs(60);
