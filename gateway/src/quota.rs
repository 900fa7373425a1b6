//! Rate limits of organisations across all instances.
//!
//! Load answered: one organisation sends several times its rate to all instances at once, while
//! some of them are cut off from the others. Each instance counts what it admitted, tells the
//! others, and takes their admissions off its own view of the fleet's bucket. An instance that has
//! fallen silent is charged its even share of the rate, so that both sides of a cut together stay
//! within the limit.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Configuration;

/// How far a limit may be exceeded in a window, which answers for what instances do not know of each
/// other's admissions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Part of the limit.
    pub overshoot: f64,
    /// Requests.
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

/// Restarts of the whole fleet in one window that the tolerance is divided among.
const RESTARTS: f64 = 2.0;

impl Tolerance {
    /// Returns the part of the burst that is free when the whole fleet has started, because
    /// admissions from before are not known.
    fn start_fill(&self, rate: f64, burst: f64) -> f64 {
        let limit = rate * self.window.as_secs_f64() + burst;
        let spare = limit * self.overshoot + self.slack;
        (spare / (RESTARTS * burst)).min(1.0)
    }
}

/// Most requests of an organisation that an instance admits before its first report of them.
const FIRST_COUNT: u64 = 4;

/// Short form of an organisation's name, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(pub u32);

impl OrganisationKey {
    /// Returns the key of the organisation called `name`.
    pub fn of(name: &str) -> Self {
        // The low half is as good a hash as the whole.
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// View of the fleet's bucket of one organisation.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// May be negative when instances admitted at the same moment.
    tokens: f64,
    updated: Timestamp,
    /// Requests that this instance admitted since its start.
    admitted: u64,
}

impl Bucket {
    fn refill(&mut self, now: Timestamp, silent_part: f64) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let gained = self.rate * (1.0 - silent_part) * elapsed;
        self.tokens = (self.tokens + gained).min(self.burst * (1.0 - silent_part));
    }
}

/// What another instance last said it had admitted.
#[derive(Debug, Default)]
struct PeerCounts {
    boot: u64,
    admitted: HashMap<OrganisationKey, u64>,
}

/// Part of the rate and burst that others may be using before the first of them is known.
const UNKNOWN_PART: f64 = 0.9;

/// The quota decisions of one instance.
#[derive(Debug)]
pub struct Quotas {
    buckets: HashMap<OrganisationKey, Bucket>,
    peers: HashMap<String, PeerCounts>,
    /// Part of the rate and burst that silent instances may be using, from 0 to below 1.
    silent_part: f64,
    /// Whether it is known which instances exist.
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
            silent_part: UNKNOWN_PART,
            known: false,
            tolerance,
        }
    }
}

/// A refusal because an organisation is over its rate.
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
            // A burst below one request would refuse every request.
            let burst = organisation.burst.max(1.0);
            let key = OrganisationKey::of(name);
            let fill = self.tolerance.start_fill(rate, burst);
            let mut bucket = buckets.remove(&key).unwrap_or(Bucket {
                rate,
                burst,
                tokens: burst * fill * (1.0 - self.silent_part),
                updated: now,
                admitted: 0,
            });
            bucket.refill(now, self.silent_part);
            bucket.rate = rate;
            bucket.burst = burst;
            bucket.tokens = bucket.tokens.min(burst);
            self.buckets.insert(key, bucket);
        }
    }

    /// Sets how many of `instances` known instances are silent.
    pub fn set_unreachable(&mut self, silent: usize, instances: usize, now: Timestamp) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, self.silent_part);
        }
        // Instance counts are far below the precision of f64.
        self.silent_part = silent as f64 / instances.max(1) as f64;
        let first = !std::mem::replace(&mut self.known, true);
        for bucket in self.buckets.values_mut() {
            if first {
                let fill = self.tolerance.start_fill(bucket.rate, bucket.burst);
                let free = bucket.burst * fill * (1.0 - self.silent_part);
                bucket.tokens = bucket.tokens.max(free);
            }
            bucket.refill(now, self.silent_part);
        }
    }

    /// Admits a request of `organisation`, or says when one may be admitted.
    pub fn admit(&mut self, organisation: &str, now: Timestamp) -> Result<(), OverQuota> {
        let key = OrganisationKey::of(organisation);
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        bucket.refill(now, self.silent_part);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.admitted += 1;
            return Ok(());
        }
        let rate = bucket.rate * (1.0 - self.silent_part);
        let wait = (1.0 - bucket.tokens) / rate.max(0.1);
        Err(OverQuota {
            retry_after: Duration::from_secs_f64(wait.clamp(0.0, 60.0)),
            tokens: bucket.tokens,
        })
    }

    /// Returns a token that was taken for a request which never reached a backend server.
    pub fn refund(&mut self, organisation: &str) {
        let key = OrganisationKey::of(organisation);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst);
            bucket.admitted = bucket.admitted.saturating_sub(1);
        }
    }

    /// Returns what this instance has admitted.
    pub fn admitted(&self) -> Vec<(OrganisationKey, u64)> {
        let counts = self.buckets.iter().filter(|(_, b)| b.admitted > 0);
        counts.map(|(key, b)| (*key, b.admitted)).collect()
    }

    /// Takes over what the instance `peer`, started at `boot`, says it has admitted.
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
            // A large first count lies in the past: this instance has just started.
            let before = before.unwrap_or(if count > FIRST_COUNT { count } else { 0 });
            if let Some(bucket) = self.buckets.get_mut(&key) {
                // Admissions are counted in whole requests far below the precision of f64.
                bucket.tokens -= count as f64 - before as f64;
                bucket.tokens = bucket.tokens.clamp(-bucket.burst, bucket.burst);
            }
        }
    }

    /// Returns this instance's view of all buckets, for an instance that has just started.
    pub fn levels(&self) -> Vec<(OrganisationKey, f64)> {
        let buckets = self.buckets.iter();
        buckets.map(|(key, bucket)| (*key, bucket.tokens)).collect()
    }

    /// Takes over the view of a peer that has served for longer.
    pub fn adopt(&mut self, levels: &[(OrganisationKey, f64)], now: Timestamp) {
        for (key, tokens) in levels {
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.tokens = tokens.clamp(-bucket.burst, bucket.burst);
                bucket.updated = now;
            }
        }
    }

    /// Forgets a peer that has left for good.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }
}
