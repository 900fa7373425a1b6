//! Token bucket that limits the rate of admitted requests.

use std::time::Duration;

use crate::Timestamp;

/// A bucket that refills at `rate` tokens per second up to `cap` tokens.
///
/// Each admitted request consumes one token.
///
/// As long as `rate` and `cap` do not change, at most `cap + rate * l` tokens are removed in any
/// interval of `l` seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill rate in tokens per second; finite and not negative.
    rate: f64,
    /// Capacity in tokens; finite and not negative.
    cap: f64,
    /// Tokens at `updated`, between 0 and `cap`.
    tokens: f64,
    /// Time of the last refill; never decreases.
    updated: Timestamp,
}

impl TokenBucket {
    /// Returns an empty bucket; a negative rate or cap counts as zero.
    pub fn empty(rate: f64, cap: f64, now: Timestamp) -> Self {
        Self {
            rate: rate.max(0.0),
            cap: cap.max(0.0),
            tokens: 0.0,
            updated: now,
        }
    }

    /// Returns a full bucket; a negative rate or cap counts as zero.
    pub fn full(rate: f64, cap: f64, now: Timestamp) -> Self {
        let mut bucket = Self::empty(rate, cap, now);
        bucket.tokens = bucket.cap;
        bucket
    }

    /// Returns the rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the capacity in tokens.
    pub fn cap(&self) -> f64 {
        self.cap
    }

    /// Adds the tokens gained since the last refill and returns the resulting level.
    pub fn refill(&mut self, now: Timestamp) -> f64 {
        let gained = self.rate * now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.cap);
        self.updated = self.updated.max(now);
        self.tokens
    }

    /// Removes `count` tokens if the bucket holds that many; returns whether it did.
    pub fn take(&mut self, count: u32, now: Timestamp) -> bool {
        let requested = f64::from(count);
        let held = self.refill(now) >= requested;
        if held {
            self.tokens -= requested;
        }
        held
    }

    /// Removes as many whole tokens as the bucket holds, at most `count`; returns their number.
    pub fn take_up_to(&mut self, count: u32, now: Timestamp) -> u32 {
        let whole = self.refill(now).floor().min(f64::from(count));
        self.tokens -= whole;
        // The cast is exact: `whole` is an integer between 0 and `count`.
        whole as u32
    }

    /// Removes `tokens`, which may be fractional, or all if the bucket holds fewer; returns the
    /// number removed.
    pub fn withdraw(&mut self, tokens: f64, now: Timestamp) -> f64 {
        let removed = tokens.clamp(0.0, self.refill(now));
        self.tokens -= removed;
        removed
    }

    /// Adds `tokens`, up to the capacity; a negative number adds none.
    pub fn deposit(&mut self, tokens: f64, now: Timestamp) {
        let held = self.refill(now);
        self.tokens = (held + tokens.max(0.0)).min(self.cap);
    }

    /// Refills at the old rate, then sets a new rate and capacity; tokens above `cap` are dropped.
    pub fn set(&mut self, rate: f64, cap: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.cap = cap.max(0.0);
        self.tokens = self.tokens.min(self.cap);
    }

    /// Returns a bucket with another rate and capacity that was empty at this one's last refill.
    pub fn emptied(&self, rate: f64, cap: f64) -> Self {
        Self::empty(rate, cap, self.updated)
    }

    /// Returns the time until the bucket holds `count` tokens, or `None` if it never does.
    pub fn time_until(&self, count: u32, now: Timestamp) -> Option<Duration> {
        let mut at_now = self.clone();
        let missing = f64::from(count) - at_now.refill(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if f64::from(count) > self.cap || self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }
}
