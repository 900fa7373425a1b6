//! Token buckets that hold over all instances together.
//!
//! Each instance counts what it takes, reports the counts to the others, and subtracts theirs from
//! its own view of the fleet's bucket. Unreachable instances are assumed to use an equal share of
//! the rate, so that both sides of a network partition together stay within it.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use limpetweir_state::Timestamp;

/// Largest count of an instance before its first report of it.
const MAX_FIRST_COUNT: u64 = 4;

/// Tokens that a bucket holds at least. A share of a small burst is below one token, which nobody
/// could ever take.
const MIN_CAPACITY: f64 = 1.5;

/// Lowest rate for which a waiting time is computed, in tokens per second.
const MIN_WAIT_RATE: f64 = 0.1;

/// Longest waiting time in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// This instance's view of one bucket of the fleet.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    /// May be negative after instances have taken tokens at the same time.
    tokens: f64,
    updated: Timestamp,
    /// Tokens taken by this instance since its start.
    taken: u64,
}

impl Bucket {
    fn refill(&mut self, now: Timestamp, free: f64) {
        self.tokens = self.level(now, free);
        self.updated = self.updated.max(now);
    }

    /// Returns the tokens at `now` if this instance may use the fraction `free` of the rate.
    fn level(&self, now: Timestamp, free: f64) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let gained = self.rate * free * elapsed;
        (self.tokens + gained).min((self.burst * free).max(MIN_CAPACITY))
    }
}

/// Counts last reported by another instance.
#[derive(Debug)]
struct PeerCounts<K> {
    boot: u64,
    taken: HashMap<K, u64>,
}

/// What this instance may take from a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Level {
    pub(crate) tokens: f64,
    /// Most tokens that there can be.
    pub(crate) burst: f64,
    /// New tokens per second.
    pub(crate) rate: f64,
}

/// A bucket without a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shortage {
    /// Time until there is one.
    pub(crate) wait: Duration,
    /// Tokens in this instance's view.
    pub(crate) tokens: f64,
}

/// The buckets of one kind, as seen by one instance.
#[derive(Debug)]
pub(crate) struct FleetRates<K> {
    buckets: HashMap<K, Bucket>,
    peers: HashMap<String, PeerCounts<K>>,
    /// Fraction of the rates that unreachable instances are assumed to use, at least 0 and below 1.
    unreachable_fraction: f64,
}

impl<K: Copy + Eq + Hash> FleetRates<K> {
    pub(crate) fn new(unreachable_fraction: f64) -> Self {
        Self {
            buckets: HashMap::new(),
            peers: HashMap::new(),
            unreachable_fraction,
        }
    }

    /// Returns the fraction of the rates and bursts that this instance may use.
    pub(crate) fn free_fraction(&self) -> f64 {
        1.0 - self.unreachable_fraction
    }

    /// Sets the rate and burst of a bucket; a new one starts with `tokens`.
    pub(crate) fn set(&mut self, key: K, rate: f64, burst: f64, tokens: f64, now: Timestamp) {
        let free = self.free_fraction();
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            rate,
            burst,
            tokens,
            updated: now,
            taken: 0,
        });
        bucket.refill(now, free);
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.tokens = bucket.tokens.min(burst);
    }

    /// Sets the tokens of a bucket.
    pub(crate) fn fill(&mut self, key: K, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.tokens = tokens.min(bucket.burst);
        }
    }

    /// Removes the buckets that `keep` does not name.
    pub(crate) fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.buckets.retain(|key, _| keep(key));
    }

    /// Raises the tokens of each bucket to those that `tokens` returns for its rate and burst.
    pub(crate) fn raise(&mut self, tokens: impl Fn(f64, f64) -> f64) {
        for bucket in self.buckets.values_mut() {
            bucket.tokens = bucket.tokens.max(tokens(bucket.rate, bucket.burst));
        }
    }

    /// Sets the fraction of the rates that unreachable instances are assumed to use.
    pub(crate) fn set_unreachable_fraction(&mut self, fraction: f64, now: Timestamp) {
        let before = self.free_fraction();
        self.unreachable_fraction = fraction;
        let after = self.free_fraction();
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, before);
            bucket.refill(now, after);
        }
    }

    /// Returns the level of a bucket.
    pub(crate) fn level(&self, key: K, now: Timestamp) -> Option<Level> {
        let bucket = self.buckets.get(&key)?;
        let free = self.free_fraction();
        Some(Level {
            tokens: bucket.level(now, free),
            burst: bucket.burst * free,
            rate: bucket.rate * free,
        })
    }

    /// Takes a token if there is one; a key without a bucket has no limit.
    pub(crate) fn take(&mut self, key: K, now: Timestamp) -> Result<(), Shortage> {
        let free = self.free_fraction();
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        bucket.refill(now, free);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.taken += 1;
            return Ok(());
        }
        let wait = (1.0 - bucket.tokens) / (bucket.rate * free).max(MIN_WAIT_RATE);
        Err(Shortage {
            wait: Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT_S)),
            tokens: bucket.tokens,
        })
    }

    /// Gives back a token that was taken for nothing.
    pub(crate) fn give_back(&mut self, key: K) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst);
            bucket.taken = bucket.taken.saturating_sub(1);
        }
    }

    /// Returns the tokens that this instance has taken from a bucket.
    pub(crate) fn taken(&self, key: K) -> u64 {
        self.buckets.get(&key).map_or(0, |bucket| bucket.taken)
    }

    /// Returns the tokens that this instance has taken from each bucket, if any.
    pub(crate) fn counts(&self) -> Vec<(K, u64)> {
        let counts = self.buckets.iter().filter(|(_, b)| b.taken > 0);
        counts.map(|(key, b)| (*key, b.taken)).collect()
    }

    /// Applies the counts that the instance `peer`, started at `boot`, reports; returns what it has
    /// taken since its last report.
    pub(crate) fn apply_counts(
        &mut self,
        peer: &str,
        boot: u64,
        counts: impl Iterator<Item = (K, u64)>,
        now: Timestamp,
    ) -> Vec<(K, u64)> {
        let free = self.free_fraction();
        let mut taken = Vec::new();
        let mut counts = counts.peekable();
        // Without a count there is nothing to compare later ones with, and a restart shows with the next
        // count.
        if counts.peek().is_none() {
            return taken;
        }
        let known = match self.peers.get_mut(peer) {
            Some(known) => known,
            None => self.peers.entry(peer.to_owned()).or_insert(PeerCounts {
                boot,
                taken: HashMap::new(),
            }),
        };
        if known.boot != boot {
            known.boot = boot;
            known.taken.clear();
        }
        for (key, count) in counts {
            let before = known.taken.insert(key, count);
            // A large first count is from before the start of this instance.
            let before = before.unwrap_or(if count > MAX_FIRST_COUNT { count } else { 0 });
            if let Some(bucket) = self.buckets.get_mut(&key) {
                // A full bucket gains nothing, so the level must be that of now before a count is
                // subtracted.
                bucket.refill(now, free);
                // Counts are whole numbers far below the precision of f64.
                bucket.tokens -= count as f64 - before as f64;
                bucket.tokens = bucket.tokens.clamp(-bucket.burst, bucket.burst);
                if count > before {
                    taken.push((key, count - before));
                }
            }
        }
        taken
    }

    /// Returns this instance's levels of all buckets.
    pub(crate) fn levels(&self) -> Vec<(K, f64)> {
        let buckets = self.buckets.iter();
        buckets.map(|(key, bucket)| (*key, bucket.tokens)).collect()
    }

    /// Adopts the levels of another instance, as far as they are numbers.
    pub(crate) fn adopt(&mut self, levels: &[(K, f64)], now: Timestamp) {
        let numbers = levels.iter().filter(|(_, tokens)| tokens.is_finite());
        for (key, tokens) in numbers {
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.tokens = tokens.clamp(-bucket.burst, bucket.burst);
                bucket.updated = now;
            }
        }
    }

    /// Removes a peer that was removed from the members.
    pub(crate) fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }
}
