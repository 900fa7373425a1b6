//! Times and margins that homes and borrowers share.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::timing::{
    OWNER_LEASE,
    SHARE_LEASE,
    SHARE_RENEWAL_INTERVAL, //
};

/// Ratio of the fastest to the slowest clock for which leases stay disjoint.
const LEASE_SKEW: f64 = 1.1;

/// Ratio by which a clock may run fast before buckets exceed the rate.
///
/// Time synchronisation corrects clocks by at most 500 parts per million. A ratio as large as that
/// of the leases would reject a tenth of the requests of an organisation that sends at its rate.
const REFILL_SKEW: f64 = 1.001;

/// Times and margins of quota; the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Time for which a former home may still act by its own clock.
    pub owner_lease: Duration,
    /// Lifetime of a share by the borrower's clock, from the send time of its call.
    pub share_lease: Duration,
    /// Time between two renewals of a share.
    pub renewal_interval: Duration,
    /// At least 1; a lease of another instance is awaited this many times its length.
    pub lease_skew: f64,
    /// At least 1; buckets refill at the rate divided by this.
    pub refill_skew: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            owner_lease: OWNER_LEASE,
            share_lease: SHARE_LEASE,
            renewal_interval: SHARE_RENEWAL_INTERVAL,
            lease_skew: LEASE_SKEW,
            refill_skew: REFILL_SKEW,
        }
    }
}

impl QuotaSettings {
    /// Returns the earliest time at which a lease that another instance counts from `now` or before
    /// has ended by any clock.
    pub(crate) fn after_lease(&self, lease: Duration, now: Timestamp) -> Timestamp {
        now + lease.mul_f64(self.lease_skew)
    }
}
