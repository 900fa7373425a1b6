//! The token bucket that bounds admitted requests.

use std::time::Duration;

use crate::Timestamp;

/// A bucket that gains `rate` tokens per second up to `cap`; each admitted request takes one.
///
/// In every interval of length `l` seconds at most `cap + rate * l` tokens leave the bucket, as long
/// as neither changes.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens per second; finite and not negative.
    rate: f64,
    /// Most tokens that the bucket holds; finite and not negative.
    cap: f64,
    /// Tokens at `updated`, between 0 and `cap`.
    tokens: f64,
    /// Time of the last refill; never moves back.
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

    /// Adds what was gained since the last refill and returns the tokens held.
    pub fn refill(&mut self, now: Timestamp) -> f64 {
        let gained = self.rate * now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.cap);
        self.updated = self.updated.max(now);
        self.tokens
    }

    /// Takes `count` whole tokens if the bucket holds them.
    pub fn take(&mut self, count: u32, now: Timestamp) -> bool {
        let wanted = f64::from(count);
        let held = self.refill(now) >= wanted;
        if held {
            self.tokens -= wanted;
        }
        held
    }

    /// Takes as many whole tokens as the bucket holds, at most `count`.
    pub fn take_up_to(&mut self, count: u32, now: Timestamp) -> u32 {
        let whole = self.refill(now).floor().min(f64::from(count));
        self.tokens -= whole;
        // `whole` lies between 0 and `count`.
        whole as u32
    }

    /// Removes `tokens`, which need not be whole, or as many as the bucket holds.
    pub fn withdraw(&mut self, tokens: f64, now: Timestamp) -> f64 {
        let taken = tokens.clamp(0.0, self.refill(now));
        self.tokens -= taken;
        taken
    }

    /// Adds `tokens`, up to the capacity.
    pub fn deposit(&mut self, tokens: f64, now: Timestamp) {
        let held = self.refill(now);
        self.tokens = (held + tokens.max(0.0)).min(self.cap);
    }

    /// Refills at the old rate, then applies a new rate and capacity; excess tokens are dropped.
    pub fn set(&mut self, rate: f64, cap: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.cap = cap.max(0.0);
        self.tokens = self.tokens.min(self.cap);
    }

    /// Returns a bucket with another rate and capacity that was empty at the last refill of this one.
    pub fn emptied(&self, rate: f64, cap: f64) -> Self {
        Self::empty(rate, cap, self.updated)
    }

    /// Returns the time until the bucket holds `count` tokens, or `None` if it never will.
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
