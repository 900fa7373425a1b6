//! What is expected to have happened since the counts of requests were made.

use std::time::Duration;

use super::candidate::Candidate;
use crate::load::Placed;

/// Expected changes of the counts at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Staleness {
    /// Requests of other instances that are placed before this one and not counted, drawn at random.
    pub rank: u32,
    /// Share of the counted requests that have not ended.
    pub remaining: f64,
}

impl Staleness {
    /// Counts that are up to date.
    pub const FRESH: Self = Self {
        rank: 0,
        remaining: 1.0,
    };

    /// Draws the place of a request among the `unseen` ones that others are expected to have placed
    /// since the counts were made. `holding` is the mean time for which a request has a slot, `draw`
    /// is uniformly distributed. With at most one of them, the counts are taken as up to date.
    pub fn draw(unseen: f64, age: Duration, holding: Duration, draw: u32) -> Self {
        let fraction = f64::from(draw) / (f64::from(u32::MAX) + 1.0);
        // A mean is at least some milliseconds, so the quotient is defined.
        let holding = holding.as_secs_f64().max(0.001);
        Self {
            // The conversion saturates, and takes an undefined number as 0.
            rank: (fraction * unseen) as u32,
            remaining: (-age.as_secs_f64() / holding).exp(),
        }
    }

    /// Returns the candidate with the online requests that are expected to be left. Fractions are
    /// rounded up or down by its draw.
    pub(super) fn apply(self, candidate: &Candidate) -> Candidate {
        let rounding = f64::from(candidate.draw) / (f64::from(u32::MAX) + 1.0);
        let online = f64::from(candidate.placed.online) * self.remaining + rounding;
        Candidate {
            placed: Placed {
                // The conversion saturates.
                online: candidate.placed.online.min(online as u32),
                ..candidate.placed
            },
            ..*candidate
        }
    }
}
