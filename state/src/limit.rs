//! Rate limit of an organisation.

use snafu::{
    Snafu, //
    ensure,
};

/// Largest accepted rate in requests per second, and largest accepted burst in requests.
pub const MAX_LIMIT: f64 = 1_000_000.0;

/// Smallest accepted rate in requests per second, about one request in three hours.
pub const MIN_RATE: f64 = 0.0001;

/// Smallest accepted burst; a bucket with less than one token could never admit a request.
pub const MIN_BURST: f64 = 1.0;

/// A rate or burst outside the accepted range.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum LimitError {
    /// The rate is out of range.
    #[snafu(display(
        "rate {rate} is not accepted: use {MIN_RATE} to {MAX_LIMIT} requests per second"
    ))]
    Rate {
        /// The rejected rate.
        rate: f64,
    },
    /// The burst is out of range.
    #[snafu(display("burst {burst} is not accepted: use {MIN_BURST} to {MAX_LIMIT} requests"))]
    Burst {
        /// The rejected burst.
        burst: f64,
    },
}

/// Rate limit of an organisation over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Sustained rate in requests per second, between [`MIN_RATE`] and [`MAX_LIMIT`].
    rate: f64,
    /// Burst in requests, between [`MIN_BURST`] and [`MAX_LIMIT`].
    burst: f64,
}

impl Limit {
    /// Checks a rate in requests per second and a burst in requests.
    pub fn new(rate: f64, burst: f64) -> Result<Self, LimitError> {
        Self::check_rate(rate)?;
        Self::check_burst(burst)?;
        Ok(Self { rate, burst })
    }

    /// Checks a rate in requests per second.
    pub fn check_rate(rate: f64) -> Result<(), LimitError> {
        ensure!((MIN_RATE..=MAX_LIMIT).contains(&rate), RateSnafu { rate });
        Ok(())
    }

    /// Checks a burst in requests.
    pub fn check_burst(burst: f64) -> Result<(), LimitError> {
        ensure!(
            (MIN_BURST..=MAX_LIMIT).contains(&burst),
            BurstSnafu { burst }
        );
        Ok(())
    }

    /// Returns the rate in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the burst in requests.
    pub fn burst(&self) -> f64 {
        self.burst
    }
}
