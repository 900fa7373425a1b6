//! Leases of suspected requests: the right of one instance to run a request under which a server has
//! crashed, while copies of it wait at all instances.
//!
//! There is no coordinator. An instance claims a lease, tells all others, and uses it unless it hears
//! within a few milliseconds of a claim that goes before its own. Two leases at once are possible while
//! messages are late, and cost one more server at worst.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prompt::PartKey;

/// Time after which a lease of another instance ends that is not heard of any more. Its holder repeats
/// it every 250 ms.
const LEASE_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of leases that are remembered.
const MAX_LEASES: usize = 256;

/// State of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The holder waits for claims that go before its own.
    Claimed,
    /// The holder runs the request.
    InUse,
    /// The run has ended.
    Ended,
}

/// What the holder of leases tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseNews {
    /// Name of the instance.
    pub holder: String,
    /// Keys of its leases, with their states.
    pub leases: Vec<(PartKey, LeaseState)>,
}

#[derive(Debug)]
struct Lease {
    /// The claim with the lowest rank goes before the others.
    rank: u64,
    state: LeaseState,
    is_own: bool,
    /// When this instance last heard of it; not used for an own lease.
    heard_at: Timestamp,
}

impl Lease {
    fn is_live(&self, now: Timestamp) -> bool {
        self.is_own || now.since(self.heard_at) < LEASE_LIFETIME
    }
}

/// The leases that this instance knows, at most one for each key.
#[derive(Debug)]
pub struct Leases {
    me: String,
    leases: BTreeMap<PartKey, Lease>,
    /// Own leases that have ended since the others were last told.
    ended: Vec<PartKey>,
}

impl Leases {
    /// Creates the leases of the instance `me`.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            leases: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    /// Claims the lease of `key`; returns whether no other run has it.
    pub fn claim(&mut self, key: PartKey, now: Timestamp) -> bool {
        self.leases.retain(|_, lease| lease.is_live(now));
        if self.leases.contains_key(&key) || self.leases.len() >= MAX_LEASES {
            return false;
        }
        let lease = Lease {
            rank: rank(key, &self.me),
            state: LeaseState::Claimed,
            is_own: true,
            heard_at: now,
        };
        self.leases.insert(key, lease);
        true
    }

    /// Begins to use an own claim; returns whether no claim went before it.
    pub fn confirm(&mut self, key: PartKey) -> bool {
        let own = self.leases.get_mut(&key).filter(|lease| lease.is_own);
        let is_own = own.is_some();
        if let Some(lease) = own {
            lease.state = LeaseState::InUse;
        }
        is_own
    }

    /// Ends an own lease, if it has not been given up.
    pub fn release(&mut self, key: PartKey) {
        if self.leases.get(&key).is_some_and(|lease| lease.is_own) {
            self.leases.remove(&key);
            self.ended.push(key);
        }
    }

    /// Applies what another instance tells.
    pub fn hear(&mut self, news: &LeaseNews, now: Timestamp) {
        if news.holder == self.me {
            return;
        }
        self.leases.retain(|_, lease| lease.is_live(now));
        for (key, state) in &news.leases {
            self.hear_of(*key, *state, rank(*key, &news.holder), now);
        }
    }

    fn hear_of(&mut self, key: PartKey, state: LeaseState, rank: u64, now: Timestamp) {
        let known = self.leases.get(&key);
        if state == LeaseState::Ended {
            if known.is_some_and(|known| known.rank == rank) {
                self.leases.remove(&key);
            }
            return;
        }
        let goes_before = known.is_none_or(|known| {
            known.rank == rank
                || known.state == LeaseState::Claimed
                    && (state == LeaseState::InUse || rank < known.rank)
        });
        if goes_before && (known.is_some() || self.leases.len() < MAX_LEASES) {
            let lease = Lease {
                rank,
                state,
                is_own: false,
                heard_at: now,
            };
            self.leases.insert(key, lease);
        }
    }

    /// Returns what the others are to be told, if there is anything.
    pub fn news(&mut self) -> Option<LeaseNews> {
        let ended = std::mem::take(&mut self.ended);
        let ended = ended.into_iter().map(|key| (key, LeaseState::Ended));
        let own = self.leases.iter().filter(|(_, lease)| lease.is_own);
        let own = own.map(|(key, lease)| (*key, lease.state));
        let leases: Vec<(PartKey, LeaseState)> = ended.chain(own).collect();
        (!leases.is_empty()).then(|| LeaseNews {
            holder: self.me.clone(),
            leases,
        })
    }
}

/// Returns the rank of a claim, which differs from key to key so that no instance always goes first.
fn rank(key: PartKey, holder: &str) -> u64 {
    xxh3_64_with_seed(holder.as_bytes(), key.0)
}
