//! Leases of suspected requests: the right of one instance to run a request under which a server has
//! crashed, while copies of it wait at all instances.
//!
//! There is no coordinator. An instance claims a lease and tells all others. Each of them acknowledges the claim
//! unless it has a lease that goes before it. The claim is used once all reachable instances have acknowledged it:
//! of two instances at most one has the acknowledgement of the other, however late their messages are. An instance
//! that does not answer is waited for only up to [`CLAIM_TIMEOUT`]; two leases at once are possible then, and cost
//! one more server at worst.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prompt::PartKey;

/// Time after which a lease of another instance ends that is not heard of any more. Its holder repeats
/// it every 250 ms.
const LEASE_LIFETIME: Duration = Duration::from_secs(1);

/// Time after which a claim is used although instances have not acknowledged it. Messages take up to 50 ms each way
/// beside load, and are combined for 2 ms; claims of instances that are older builds or cannot be reached by
/// messages, but still count as reachable, wait for as long.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of leases that are remembered.
const MAX_LEASES: usize = 256;

/// Maximum number of instances whose last message is remembered.
const MAX_HOLDERS: usize = 1_024;

/// State of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The holder waits for the acknowledgements of the others.
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
    /// Number of the message, which increases from message to message of an instance.
    pub number: u64,
    /// Keys of its leases, with their states.
    pub leases: Vec<(PartKey, LeaseState)>,
}

/// Acknowledgement of claims: its sender has no lease that goes before them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseAck {
    /// Name of the sender.
    pub from: String,
    /// Number of the message with the claims.
    pub number: u64,
    /// Keys of the claims.
    pub keys: Vec<PartKey>,
}

/// What is to be answered to the sender of news.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LeaseReply {
    /// The claims that are acknowledged, if there are any.
    pub ack: Option<LeaseAck>,
    /// The own leases, if one of them goes before a claim.
    pub own: Option<LeaseNews>,
}

/// Standing of an own claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Another lease went before the claim.
    Lost,
    /// Acknowledgements are missing.
    Open,
    /// The claim may be used.
    Settled,
}

/// Acknowledgements of an own claim.
#[derive(Debug)]
struct Claim {
    at: Timestamp,
    /// Number of the first message with the claim; an acknowledgement of an earlier message is of an earlier claim.
    told_in: Option<u64>,
    acknowledged_by: BTreeSet<String>,
}

#[derive(Debug)]
struct Lease {
    /// The claim with the lowest rank goes before the others.
    rank: u64,
    state: LeaseState,
    /// `None` for the lease of another instance.
    claim: Option<Claim>,
    /// When this instance last heard of it; not used for an own lease.
    heard_at: Timestamp,
}

impl Lease {
    fn is_own(&self) -> bool {
        self.claim.is_some()
    }

    fn is_live(&self, now: Timestamp) -> bool {
        self.is_own() || now.since(self.heard_at) < LEASE_LIFETIME
    }
}

/// The leases that this instance knows, at most one for each key.
#[derive(Debug)]
pub struct Leases {
    me: String,
    leases: BTreeMap<PartKey, Lease>,
    /// Own leases that have ended since the others were last told.
    ended: Vec<PartKey>,
    /// Number of the last message.
    number: u64,
    /// Number of the last message of each instance that was heard within the lifetime of a lease.
    heard: BTreeMap<String, (u64, Timestamp)>,
}

impl Leases {
    /// Creates the leases of the instance `me`.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            leases: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            heard: BTreeMap::new(),
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
            claim: Some(Claim {
                at: now,
                told_in: None,
                acknowledged_by: BTreeSet::new(),
            }),
            heard_at: now,
        };
        self.leases.insert(key, lease);
        true
    }

    /// Returns the standing of an own claim, which needs the acknowledgements of `peers`.
    pub fn claim_state<'a>(
        &self,
        key: PartKey,
        mut peers: impl Iterator<Item = &'a String>,
        now: Timestamp,
    ) -> ClaimState {
        let Some(claim) = self.leases.get(&key).and_then(|own| own.claim.as_ref()) else {
            return ClaimState::Lost;
        };
        let is_settled = now.since(claim.at) >= CLAIM_TIMEOUT
            || peers.all(|peer| claim.acknowledged_by.contains(peer));
        match is_settled {
            true => ClaimState::Settled,
            false => ClaimState::Open,
        }
    }

    /// Begins to use an own claim; returns whether no claim went before it.
    pub fn confirm(&mut self, key: PartKey) -> bool {
        let own = self.leases.get_mut(&key).filter(|lease| lease.is_own());
        let is_own = own.is_some();
        if let Some(lease) = own {
            lease.state = LeaseState::InUse;
        }
        is_own
    }

    /// Ends an own lease, if it has not been given up.
    pub fn release(&mut self, key: PartKey) {
        if self.leases.get(&key).is_some_and(Lease::is_own) {
            self.leases.remove(&key);
            self.ended.push(key);
        }
    }

    /// Applies what another instance tells, and returns what it is to be answered.
    pub fn hear(&mut self, news: &LeaseNews, now: Timestamp) -> LeaseReply {
        if news.holder == self.me || !self.is_newest(news, now) {
            return LeaseReply::default();
        }
        self.leases.retain(|key, lease| {
            // News have all leases of their sender.
            let is_ended = lease.rank == rank(*key, &news.holder)
                && !news.leases.iter().any(|(told, _)| told == key);
            lease.is_live(now) && (lease.is_own() || !is_ended)
        });
        let mut acknowledged = Vec::new();
        let mut goes_before = false;
        for (key, state) in &news.leases {
            self.hear_of(*key, *state, rank(*key, &news.holder), now);
            let has_own = self.leases.get(key).is_some_and(Lease::is_own);
            match state {
                LeaseState::Claimed if has_own => goes_before = true,
                LeaseState::Claimed => acknowledged.push(*key),
                LeaseState::InUse | LeaseState::Ended => {}
            }
        }
        let ack = LeaseAck {
            from: self.me.clone(),
            number: news.number,
            keys: acknowledged,
        };
        LeaseReply {
            ack: (!ack.keys.is_empty()).then_some(ack),
            own: goes_before.then(|| self.numbered(Vec::new())),
        }
    }

    /// Returns whether no later message of the same instance was heard before this one.
    fn is_newest(&mut self, news: &LeaseNews, now: Timestamp) -> bool {
        self.heard
            .retain(|_, (_, at)| now.since(*at) < LEASE_LIFETIME);
        let last = self.heard.get(&news.holder);
        if last.is_some_and(|(number, _)| *number > news.number) {
            return false;
        }
        if last.is_some() || self.heard.len() < MAX_HOLDERS {
            self.heard.insert(news.holder.clone(), (news.number, now));
        }
        true
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
                claim: None,
                heard_at: now,
            };
            self.leases.insert(key, lease);
        }
    }

    /// Applies an acknowledgement; returns whether it is one of a present claim.
    pub fn acknowledged(&mut self, ack: &LeaseAck) -> bool {
        let mut is_present = false;
        for key in &ack.keys {
            let claim = self.leases.get_mut(key).and_then(|l| l.claim.as_mut());
            let claim = claim.filter(|claim| claim.told_in.is_some_and(|n| n <= ack.number));
            if let Some(claim) = claim {
                is_present |= claim.acknowledged_by.insert(ack.from.clone());
            }
        }
        is_present
    }

    /// Returns what the others are to be told, if there is anything.
    pub fn news(&mut self) -> Option<LeaseNews> {
        let ended = std::mem::take(&mut self.ended);
        let has_own = self.leases.values().any(Lease::is_own);
        (has_own || !ended.is_empty()).then(|| self.numbered(ended))
    }

    /// Returns a message with all own leases and those that have ended.
    fn numbered(&mut self, ended: Vec<PartKey>) -> LeaseNews {
        self.number += 1;
        let mut leases = Vec::new();
        for (key, lease) in &mut self.leases {
            if let Some(claim) = &mut lease.claim {
                claim.told_in.get_or_insert(self.number);
                leases.push((*key, lease.state));
            }
        }
        // A key that has been claimed again has not ended.
        let ended = ended.into_iter().filter(|key| {
            let lease = self.leases.get(key);
            !lease.is_some_and(Lease::is_own)
        });
        leases.extend(ended.map(|key| (key, LeaseState::Ended)));
        LeaseNews {
            holder: self.me.clone(),
            number: self.number,
            leases,
        }
    }
}

/// Returns the rank of a claim, which differs from key to key so that no instance always goes first.
fn rank(key: PartKey, holder: &str) -> u64 {
    xxh3_64_with_seed(holder.as_bytes(), key.0)
}
