//! Rate and capacity of shares, and how much of a limit may be lent.

use limpetweir_state::Limit;

use super::message::Held;

/// Burst in requests from which nearly the whole limit is lent.
///
/// It leaves each of 11 instances a share of about ten requests. Shares of a smaller burst run out
/// soon, so the home must go on admitting while it recovers.
const LARGE_BURST: f64 = 128.0;

/// Part of a limit with a large burst that all shares may take in total.
const MOST_LENT: Portion = Portion {
    rate: 0.98,
    cap: 0.9,
};

/// Part of a limit that all shares may take in total if its burst is not large or borrowers are few;
/// the rest stays with the home for asks.
const LENT_TO_FEW: Portion = Portion {
    rate: 0.8,
    cap: 0.5,
};

/// Change of a share, as a part of it, below which it stays as it is.
///
/// A share that shrinks drops its tokens, and demand varies by chance.
const STEADY: f64 = 0.25;

/// A share with a smaller capacity could never admit a request.
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
    /// Returns the part of `limit` that all shares together may take.
    pub(super) fn lendable(limit: Limit) -> Self {
        if limit.burst() < LARGE_BURST {
            return Self::lendable_to_few(limit);
        }
        Self::part_of(limit, MOST_LENT)
    }

    /// Returns the part of `limit` that the shares of a few borrowers may take.
    pub(super) fn lendable_to_few(limit: Limit) -> Self {
        Self::part_of(limit, LENT_TO_FEW)
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

    /// Returns whether the two differ by less than a change of a share.
    pub(super) fn is_near(self, wanted: Self) -> bool {
        let near = |held: f64, wanted: f64| (held - wanted).abs() <= STEADY * wanted;
        near(self.rate, wanted.rate) && near(self.cap, wanted.cap)
    }

    /// Returns the portion, or none of it if it is too small to be of use.
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
