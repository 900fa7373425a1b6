//! Rate and capacity of shares, and the part of a limit that may be granted.

use limpetweir_state::Limit;

use super::message::Held;

/// Burst in requests from which nearly the whole limit is granted.
///
/// It gives each of 11 instances a share of about ten requests. Shares of a smaller burst are soon
/// exhausted, so the owner must be able to admit requests while it recovers.
const LARGE_BURST: f64 = 128.0;

/// Maximum fraction of a limit with a large burst for all shares together.
const MAX_GRANTED: Portion = Portion {
    rate: 0.98,
    cap: 0.9,
};

/// Maximum fraction of a limit for all shares together, if its burst is not large or there are few
/// grantees; the owner keeps the rest for admission requests.
const MAX_GRANTED_TO_FEW: Portion = Portion {
    rate: 0.8,
    cap: 0.5,
};

/// Relative change of a share below which it is not changed.
///
/// A reduced share loses tokens, and demand fluctuates randomly.
const STEADY_TOLERANCE: f64 = 0.25;

/// Minimum capacity of a share; a smaller one could never admit a request.
const MIN_SHARE_CAP: f64 = 1.0;

/// Rate and capacity of a share or of a sum of shares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Portion {
    /// Requests per second.
    pub(super) rate: f64,
    /// Requests.
    pub(super) cap: f64,
}

impl Portion {
    /// Returns the part of `limit` that may be granted in total.
    pub(super) fn grantable(limit: Limit) -> Self {
        if limit.burst() < LARGE_BURST {
            return Self::grantable_to_few(limit);
        }
        Self::part_of(limit, MAX_GRANTED)
    }

    /// Returns the part of `limit` that may be granted to a few grantees in total.
    pub(super) fn grantable_to_few(limit: Limit) -> Self {
        Self::part_of(limit, MAX_GRANTED_TO_FEW)
    }

    fn part_of(limit: Limit, part: Self) -> Self {
        Self {
            rate: limit.rate() * part.rate,
            cap: limit.burst() * part.cap,
        }
    }

    pub(super) fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            cap: self.cap.max(other.cap),
        }
    }

    pub(super) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            cap: self.cap.min(other.cap),
        }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            cap: self.cap + other.cap,
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            rate: (self.rate - other.rate).max(0.0),
            cap: (self.cap - other.cap).max(0.0),
        }
    }

    pub(super) fn times(self, factor: f64) -> Self {
        Self {
            rate: self.rate * factor,
            cap: self.cap * factor,
        }
    }

    /// Returns whether the difference to `wanted` is too small to change a share.
    pub(super) fn is_near(self, wanted: Self) -> bool {
        let near = |held: f64, wanted: f64| (held - wanted).abs() <= STEADY_TOLERANCE * wanted;
        near(self.rate, wanted.rate) && near(self.cap, wanted.cap)
    }

    /// Returns the portion, or an empty one if its capacity is below the minimum.
    pub(super) fn usable(self) -> Self {
        if self.cap < MIN_SHARE_CAP {
            return Self::default();
        }
        self
    }
}

impl From<&Held> for Portion {
    fn from(held: &Held) -> Self {
        Self {
            rate: held.rate.max(0.0),
            cap: held.cap.max(0.0),
        }
    }
}
