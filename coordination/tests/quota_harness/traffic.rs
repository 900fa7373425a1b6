//! Distribution of requests over instances and time.

use rand::Rng;
use rand::rngs::SmallRng;

use super::SECOND;

/// Distribution of the requests over the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Traffic {
    /// Equally to all instances.
    Even,
    /// Half of the requests to one instance.
    Skewed,
    /// Half of the requests to one instance, which changes every 5 s.
    Moving,
    /// Equally to all instances; for 10 s with five times the load.
    FiveTimes,
}

/// Second from which five times the load is offered.
const PEAK_FROM: u64 = 25;

/// Second until which five times the load is offered.
const PEAK_UNTIL: u64 = 35;

impl Traffic {
    /// Instance that gets half of the skewed requests.
    pub(crate) const BUSIEST: usize = 3;

    /// Returns the maximum load as a multiple of the normal load.
    pub(super) fn peak(self) -> f64 {
        if self == Self::FiveTimes { 5.0 } else { 1.0 }
    }

    /// Returns the load at `now` as a fraction of the maximum load.
    pub(super) fn intensity(self, now: u64) -> f64 {
        if (PEAK_FROM * SECOND..PEAK_UNTIL * SECOND).contains(&now) {
            return 1.0;
        }
        1.0 / self.peak()
    }

    /// Returns the instance at which the next request arrives.
    pub(super) fn instance(self, now: u64, instances: usize, rng: &mut SmallRng) -> usize {
        let busiest = match self {
            Self::Even | Self::FiveTimes => None,
            Self::Skewed => Some(Self::BUSIEST),
            Self::Moving => Some((now / (5 * SECOND)) as usize),
        };
        let busiest = busiest.filter(|_| rng.random_bool(0.5));
        busiest.map_or_else(|| rng.random_range(0..instances), |n| n % instances)
    }
}
