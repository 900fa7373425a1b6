//! Rate limits of organisations across all instances.
//!
//! Load pattern: one organisation sends several times its rate to all instances at once, while some
//! of them are partitioned from the others.

use std::collections::HashSet;
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Configuration;
use crate::fleet_rate::FleetRates;

/// How far a limit may be exceeded in a window. It covers admissions that instances have not yet
/// reported to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Allowed excess as a fraction of the limit.
    pub overshoot: f64,
    /// Additional allowed excess in requests.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

/// Number of restarts of the whole fleet in one window among which the tolerance is divided.
const RESTARTS: f64 = 2.0;

impl Tolerance {
    /// Returns the fraction of the burst that is available after a start of the whole fleet, when
    /// earlier admissions are unknown.
    fn start_fill(&self, rate: f64, burst: f64) -> f64 {
        let limit = rate * self.window.as_secs_f64() + burst;
        let spare = limit * self.overshoot + self.slack;
        (spare / (RESTARTS * burst)).min(1.0)
    }
}

/// Hash of an organisation's name, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(pub u32);

impl OrganisationKey {
    /// Returns the key of the organisation called `name`.
    pub fn of(name: &str) -> Self {
        // The hash stays uniform when it is truncated.
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Fraction of the rate and burst that others are assumed to use before the first one is known.
const UNKNOWN_FRACTION: f64 = 0.9;

/// The quota decisions of one instance.
#[derive(Debug)]
pub struct Quotas {
    rates: FleetRates<OrganisationKey>,
    /// Whether the set of instances is known.
    known: bool,
    tolerance: Tolerance,
}

impl Default for Quotas {
    fn default() -> Self {
        Self::new(Tolerance::default())
    }
}

/// Rejection of a request because its organisation is over its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Time until a request is likely to be admitted.
    pub retry_after: Duration,
    /// Tokens in this instance's view.
    pub tokens: f64,
}

impl Quotas {
    /// Returns the quotas of a starting instance.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            rates: FleetRates::new(UNKNOWN_FRACTION),
            known: false,
            tolerance,
        }
    }

    /// Applies the limits of a configuration.
    pub fn configure(&mut self, config: &Configuration, now: Timestamp) {
        let mut limited = HashSet::new();
        for (name, organisation) in config.organisations() {
            let Some(rate) = organisation.rate else {
                continue;
            };
            // A burst below one request would reject every request.
            let burst = organisation.burst.max(1.0);
            let key = OrganisationKey::of(name);
            let fill = self.tolerance.start_fill(rate, burst);
            let tokens = burst * fill * self.rates.free_fraction();
            self.rates.set(key, rate, burst, tokens, now);
            limited.insert(key);
        }
        self.rates.retain(|key| limited.contains(key));
    }

    /// Sets how many of `instances` known instances are unreachable.
    pub fn set_unreachable(&mut self, unreachable: usize, instances: usize, now: Timestamp) {
        // Instance counts are far below the precision of f64.
        let fraction = unreachable as f64 / instances.max(1) as f64;
        self.rates.set_unreachable_fraction(fraction, now);
        if !std::mem::replace(&mut self.known, true) {
            let (tolerance, free) = (self.tolerance, self.rates.free_fraction());
            self.rates
                .raise(|rate, burst| burst * tolerance.start_fill(rate, burst) * free);
        }
    }

    /// Admits a request of `organisation`, or returns when one is likely to be admitted.
    pub fn admit(&mut self, organisation: &str, now: Timestamp) -> Result<(), OverQuota> {
        let taken = self.rates.take(OrganisationKey::of(organisation), now);
        taken.map_err(|shortage| OverQuota {
            retry_after: shortage.wait,
            tokens: shortage.tokens,
        })
    }

    /// Refunds the token of a request that no backend server has run.
    pub fn refund(&mut self, organisation: &str) {
        self.rates.give_back(OrganisationKey::of(organisation));
    }

    /// Returns the number of requests that this instance has admitted, by organisation.
    pub fn admitted(&self) -> Vec<(OrganisationKey, u64)> {
        self.rates.counts()
    }

    /// Applies the admissions that the instance `peer`, started at `boot`, reports; returns those since
    /// its last report.
    pub fn apply_report(
        &mut self,
        peer: &str,
        boot: u64,
        admitted: &[(OrganisationKey, u64)],
        now: Timestamp,
    ) -> Vec<(OrganisationKey, u64)> {
        self.rates
            .apply_counts(peer, boot, admitted.iter().copied(), now)
    }

    /// Returns this instance's levels of all buckets, for an instance that has just started.
    pub fn levels(&self) -> Vec<(OrganisationKey, f64)> {
        self.rates.levels()
    }

    /// Adopts the levels of a peer that started earlier.
    pub fn adopt(&mut self, levels: &[(OrganisationKey, f64)], now: Timestamp) {
        self.rates.adopt(levels, now);
    }

    /// Removes a peer that was removed from the members.
    pub fn remove_peer(&mut self, peer: &str) {
        self.rates.remove_peer(peer);
    }
}
