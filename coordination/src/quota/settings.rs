//! Times and margins for quota owners and grantees.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::timing::{
    OWNER_LEASE,
    SHARE_LEASE,
    SHARE_RENEWAL_INTERVAL, //
};

/// Maximum ratio of the fastest to the slowest clock at which leases do not overlap.
const LEASE_SKEW: f64 = 1.1;

/// Ratio by which a clock may run fast without buckets exceeding the rate.
///
/// Time synchronisation corrects clocks by at most 500 parts per million. The ratio of the leases
/// would reject a tenth of the requests of an organisation that sends at its rate.
const REFILL_SKEW: f64 = 1.001;

/// Times and margins of the quota protocol; must be the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Time for which a former owner may still act by its own clock.
    pub owner_lease: Duration,
    /// Lifetime of a share by the grantee's clock, from the send time of its request.
    pub share_lease: Duration,
    /// Time between two renewals of a share.
    pub renewal_interval: Duration,
    /// Factor, at least 1, by which the wait for the end of another instance's lease is extended.
    pub lease_skew: f64,
    /// Factor, at least 1, by which the refill rate of buckets is reduced.
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
    /// Returns the time at which a lease that another instance counts from `now` or earlier has
    /// ended by any clock.
    pub(crate) fn after_lease(&self, lease: Duration, now: Timestamp) -> Timestamp {
        now + lease.mul_f64(self.lease_skew)
    }
}
