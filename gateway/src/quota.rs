//! Rate limits of organisations across all instances.
//!
//! Load pattern: one organisation sends several times its rate to all instances at once, while some
//! of them are partitioned from the others. Each instance counts its admissions, reports them to
//! the others, and subtracts theirs from its own view of the fleet's bucket. An unreachable
//! instance is assumed to use an equal share of the rate, so that both sides of a network partition
//! together stay within the limit.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Configuration;

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

/// Largest number of requests of an organisation that an instance admits before its first report
/// of them.
const MAX_FIRST_COUNT: u64 = 4;

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

/// This instance's view of the fleet-wide token bucket of one organisation.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// May be negative after concurrent admissions by several instances.
    tokens: f64,
    updated: Timestamp,
    /// Requests admitted by this instance since its start.
    admitted: u64,
}

impl Bucket {
    fn refill(&mut self, now: Timestamp, unreachable_fraction: f64) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let gained = self.rate * (1.0 - unreachable_fraction) * elapsed;
        self.tokens = (self.tokens + gained).min(self.burst * (1.0 - unreachable_fraction));
    }
}

/// Admissions last reported by another instance.
#[derive(Debug, Default)]
struct PeerCounts {
    boot: u64,
    admitted: HashMap<OrganisationKey, u64>,
}

/// Fraction of the rate and burst that others are assumed to use before the first one is known.
const UNKNOWN_FRACTION: f64 = 0.9;

/// The quota decisions of one instance.
#[derive(Debug)]
pub struct Quotas {
    buckets: HashMap<OrganisationKey, Bucket>,
    peers: HashMap<String, PeerCounts>,
    /// Fraction of the rate and burst that unreachable instances are assumed to use, at least 0 and
    /// below 1.
    unreachable_fraction: f64,
    /// Whether the set of instances is known.
    known: bool,
    tolerance: Tolerance,
}

impl Default for Quotas {
    fn default() -> Self {
        Self::new(Tolerance::default())
    }
}

impl Quotas {
    /// Returns the quotas of a starting instance.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            buckets: HashMap::new(),
            peers: HashMap::new(),
            unreachable_fraction: UNKNOWN_FRACTION,
            known: false,
            tolerance,
        }
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
    /// Applies the limits of a configuration.
    pub fn configure(&mut self, config: &Configuration, now: Timestamp) {
        let mut buckets = std::mem::take(&mut self.buckets);
        for (name, organisation) in config.organisations() {
            let Some(rate) = organisation.rate else {
                continue;
            };
            // A burst below one request would reject every request.
            let burst = organisation.burst.max(1.0);
            let key = OrganisationKey::of(name);
            let fill = self.tolerance.start_fill(rate, burst);
            let mut bucket = buckets.remove(&key).unwrap_or(Bucket {
                rate,
                burst,
                tokens: burst * fill * (1.0 - self.unreachable_fraction),
                updated: now,
                admitted: 0,
            });
            bucket.refill(now, self.unreachable_fraction);
            bucket.rate = rate;
            bucket.burst = burst;
            bucket.tokens = bucket.tokens.min(burst);
            self.buckets.insert(key, bucket);
        }
    }

    /// Sets how many of `instances` known instances are unreachable.
    pub fn set_unreachable(&mut self, unreachable: usize, instances: usize, now: Timestamp) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, self.unreachable_fraction);
        }
        // Instance counts are far below the precision of f64.
        self.unreachable_fraction = unreachable as f64 / instances.max(1) as f64;
        let first = !std::mem::replace(&mut self.known, true);
        for bucket in self.buckets.values_mut() {
            if first {
                let fill = self.tolerance.start_fill(bucket.rate, bucket.burst);
                let free = bucket.burst * fill * (1.0 - self.unreachable_fraction);
                bucket.tokens = bucket.tokens.max(free);
            }
            bucket.refill(now, self.unreachable_fraction);
        }
    }

    /// Admits a request of `organisation`, or returns when one is likely to be admitted.
    pub fn admit(&mut self, organisation: &str, now: Timestamp) -> Result<(), OverQuota> {
        let key = OrganisationKey::of(organisation);
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        bucket.refill(now, self.unreachable_fraction);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.admitted += 1;
            return Ok(());
        }
        let rate = bucket.rate * (1.0 - self.unreachable_fraction);
        let wait = (1.0 - bucket.tokens) / rate.max(0.1);
        Err(OverQuota {
            retry_after: Duration::from_secs_f64(wait.clamp(0.0, 60.0)),
            tokens: bucket.tokens,
        })
    }

    /// Refunds the token of a request that never reached a backend server.
    pub fn refund(&mut self, organisation: &str) {
        let key = OrganisationKey::of(organisation);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst);
            bucket.admitted = bucket.admitted.saturating_sub(1);
        }
    }

    /// Returns the number of requests that this instance has admitted, by organisation.
    pub fn admitted(&self) -> Vec<(OrganisationKey, u64)> {
        let counts = self.buckets.iter().filter(|(_, b)| b.admitted > 0);
        counts.map(|(key, b)| (*key, b.admitted)).collect()
    }

    /// Applies the admissions that the instance `peer`, started at `boot`, reports.
    pub fn apply_report(&mut self, peer: &str, boot: u64, admitted: &[(OrganisationKey, u64)]) {
        if !self.peers.contains_key(peer) {
            self.peers.insert(peer.to_owned(), PeerCounts::default());
        }
        let Some(known) = self.peers.get_mut(peer) else {
            return;
        };
        if known.boot != boot {
            known.boot = boot;
            known.admitted.clear();
        }
        for &(key, count) in admitted {
            let before = known.admitted.insert(key, count);
            // A large first count is from before the start of this instance.
            let before = before.unwrap_or(if count > MAX_FIRST_COUNT { count } else { 0 });
            if let Some(bucket) = self.buckets.get_mut(&key) {
                // Counts are whole numbers far below the precision of f64.
                bucket.tokens -= count as f64 - before as f64;
                bucket.tokens = bucket.tokens.clamp(-bucket.burst, bucket.burst);
            }
        }
    }

    /// Returns this instance's levels of all buckets, for an instance that has just started.
    pub fn levels(&self) -> Vec<(OrganisationKey, f64)> {
        let buckets = self.buckets.iter();
        buckets.map(|(key, bucket)| (*key, bucket.tokens)).collect()
    }

    /// Adopts the levels of a peer that started earlier.
    pub fn adopt(&mut self, levels: &[(OrganisationKey, f64)], now: Timestamp) {
        for (key, tokens) in levels {
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.tokens = tokens.clamp(-bucket.burst, bucket.burst);
                bucket.updated = now;
            }
        }
    }

    /// Removes a peer that was removed from the members.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }
}
