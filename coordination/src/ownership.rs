//! When to claim, release and act for a group.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use limpetweir_state::{
    Claim,
    ClaimEvent,
    Claims,
    Epoch,
    GroupId,
    Incarnation,
    InstanceId,
    Timestamp, //
};

use crate::membership::{
    Membership,
    Presence, //
};
use crate::rendezvous::preferred_owner;
use crate::stall::StallWatch;
use crate::timing::{
    HANDOVER_DELAY,
    HEARTBEAT_TIMEOUT,
    HOLDER_LEASE,
    OWNER_LEASE, //
};

/// Whether this instance may act for a group now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MayAct {
    /// This instance acts under this epoch.
    Yes(Epoch),
    /// This instance does not hold the group, or is releasing it.
    NotHolder,
    /// The former holder may still act until this time.
    WaitUntil(Timestamp),
    /// The claims were not read recently enough.
    LeaseExpired,
}

/// The last claim of a group.
#[derive(Clone, Debug)]
struct Fact {
    claim: Claim,
    /// Holders before this claim may act until then.
    former_until: Timestamp,
}

/// A group held by this incarnation.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// When the claim was read back.
    claimed_at: Timestamp,
    /// A former holder may act before this time.
    act_from: Timestamp,
    releasing: bool,
}

/// Ownership of groups as one instance sees it.
///
/// The epoch decides which records are valid; the lease decides only when this instance may act
/// and when another one may claim.
#[derive(Clone, Debug)]
pub struct Ownership {
    facts: BTreeMap<GroupId, Fact>,
    /// Contains exactly the groups whose last claim names the own incarnation and is not released.
    held: BTreeMap<GroupId, Held>,
    /// Groups for which an own claim was appended and not yet read back.
    pending: BTreeSet<GroupId>,
    /// Send time of the last read that reached the end of the stream.
    confirmed_at: Option<Timestamp>,
    /// Start of the unbroken contact with a majority that lasts until the last tick.
    contact_since: Option<Timestamp>,
    /// Start of the unbroken validity of the lease that lasts until the last tick.
    reads_since: Option<Timestamp>,
    watch: StallWatch,
}

impl Ownership {
    /// Creates the view of an instance that starts at `now` and has not read the claims.
    pub fn new(now: Timestamp) -> Self {
        Self {
            facts: BTreeMap::new(),
            held: BTreeMap::new(),
            pending: BTreeSet::new(),
            confirmed_at: None,
            contact_since: None,
            reads_since: None,
            watch: StallWatch::new(now),
        }
    }

    /// Takes over the claims of a snapshot that was read at `now`.
    ///
    /// The claims before those of a snapshot are unknown, so each is taken for a take-over.
    pub fn load(&mut self, now: Timestamp, own: &Incarnation, claims: &Claims) {
        // An own claim may be among those that the snapshot hides, and would be awaited for ever.
        self.pending.clear();
        for (group, claim) in claims.iter() {
            let former_until = if claim.released {
                now
            } else {
                now + claim.lease
            };
            self.record(now, own, group, claim, former_until);
            if claim.released {
                self.release(group, claim.epoch);
            }
        }
    }

    /// Records the event of one record that was read from the log at `now`.
    ///
    /// `claims` is the fold just after that record.
    pub fn on_event(
        &mut self,
        now: Timestamp,
        own: &Incarnation,
        claims: &Claims,
        event: &ClaimEvent,
    ) {
        match *event {
            ClaimEvent::Claimed { group, .. } => {
                if let Some(claim) = claims.get(group) {
                    let former_until = self.former_until(now, group, &claim.holder);
                    self.record(now, own, group, claim, former_until);
                }
            }
            ClaimEvent::Released { group, epoch } => self.release(group, epoch),
            ClaimEvent::StaleRelease { .. } => {}
        }
    }

    /// Returns until when holders other than `holder` may act if it claims `group`.
    ///
    /// A holder that was itself replaced may have had the longer lease.
    fn former_until(&self, now: Timestamp, group: GroupId, holder: &Incarnation) -> Timestamp {
        let Some(fact) = self.facts.get(&group).filter(|fact| !fact.claim.released) else {
            return now;
        };
        if fact.claim.holder == *holder {
            return fact.former_until;
        }
        fact.former_until.max(now + fact.claim.lease)
    }

    /// Claims with an epoch that is not above the last one have no effect.
    fn record(
        &mut self,
        now: Timestamp,
        own: &Incarnation,
        group: GroupId,
        claim: &Claim,
        former_until: Timestamp,
    ) {
        let known = self.facts.get(&group);
        if known.is_some_and(|fact| fact.claim.epoch >= claim.epoch) {
            return;
        }
        if claim.holder == *own {
            self.pending.remove(&group);
            let held = Held {
                claimed_at: now,
                act_from: former_until,
                releasing: false,
            };
            // A repeated own claim keeps the wait of the first one.
            self.held.entry(group).or_insert(held);
        } else {
            self.held.remove(&group);
        }
        let fact = Fact {
            claim: claim.clone(),
            former_until,
        };
        self.facts.insert(group, fact);
    }

    fn release(&mut self, group: GroupId, epoch: Epoch) {
        let Some(fact) = self.facts.get_mut(&group) else {
            return;
        };
        if fact.claim.epoch == epoch {
            fact.claim.released = true;
            self.held.remove(&group);
        }
    }

    /// Records a read of the claims that was sent at `sent_at` and reached the end of the stream.
    ///
    /// All records of the read must have been passed in before.
    pub fn on_confirmed_read(&mut self, sent_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Records that an own claim will not be appended, so it may be tried again.
    pub fn on_claim_abandoned(&mut self, group: GroupId) {
        self.pending.remove(&group);
    }

    /// Notes that the process runs at `now`; must be called with every heartbeat.
    pub fn tick(&mut self, now: Timestamp, members: &Membership) {
        let continuous = !self.watch.is_stalled(now);
        self.watch.tick(now);
        let reads = self.lease_valid(now);
        // A peer that still reads the log may claim a group of this instance, so contact before
        // that proves nothing once the peer is no longer heard. In a log outage the last reads of
        // all instances are close together.
        let cut_off = members.latest_read(now) > self.confirmed_at.map(|at| at + HEARTBEAT_TIMEOUT);
        self.contact_since = if continuous && !cut_off && members.reaches_majority(now) {
            self.contact_since.or(Some(now))
        } else {
            None
        };
        self.reads_since = if continuous && reads {
            self.reads_since.or(Some(now))
        } else {
            None
        };
    }

    /// Returns the groups that this instance holds with their epochs, for its heartbeats.
    pub fn holds(&self) -> BTreeMap<GroupId, Epoch> {
        self.held
            .keys()
            .filter_map(|group| Some((*group, self.facts.get(group)?.claim.epoch)))
            .collect()
    }

    /// Returns when the claim of a held group was read back.
    pub fn claimed_at(&self, group: GroupId) -> Option<Timestamp> {
        self.held.get(&group).map(|held| held.claimed_at)
    }

    /// Returns whether this instance may act for `group` at `now`.
    pub fn may_act(&self, now: Timestamp, group: GroupId, members: &Membership) -> MayAct {
        let held = self.held.get(&group).filter(|held| !held.releasing);
        let (Some(held), Some(fact)) = (held, self.facts.get(&group)) else {
            return MayAct::NotHolder;
        };
        // A peer with a higher epoch has read a claim that this instance has not.
        if members.reported_epoch(now, group) > Some(fact.claim.epoch) {
            return MayAct::NotHolder;
        }
        if now < held.act_from {
            return MayAct::WaitUntil(held.act_from);
        }
        if self.lease_valid(now) || self.bridges_outage(now, members) {
            MayAct::Yes(fact.claim.epoch)
        } else {
            MayAct::LeaseExpired
        }
    }

    fn lease_valid(&self, now: Timestamp) -> bool {
        let confirmed = self.confirmed_at;
        confirmed.is_some_and(|sent_at| now.since(sent_at) < HOLDER_LEASE)
    }

    /// Returns whether a log outage extends the lease.
    ///
    /// A claim made while this instance was paused or without a majority would be unknown to it
    /// after the lease, so contact with a majority must be unbroken since the last confirmed read.
    fn bridges_outage(&self, now: Timestamp, members: &Membership) -> bool {
        let in_contact = self
            .contact_since
            .is_some_and(|since| Some(since) <= self.confirmed_at);
        in_contact
            && !self.watch.is_stalled(now)
            && members.reaches_majority(now)
            && !members.peer_reads_log(now)
    }

    /// Returns the groups among `groups` to claim at `now`, and remembers them until read back.
    ///
    /// `serving` says whether this instance holds a configuration and is not leaving.
    pub fn claims_to_make(
        &mut self,
        now: Timestamp,
        groups: impl IntoIterator<Item = GroupId>,
        members: &Membership,
        serving: bool,
    ) -> Vec<GroupId> {
        let can_claim = serving
            && !self.watch.is_stalled(now)
            && self.lease_valid(now)
            && members.reaches_majority(now);
        if !can_claim {
            return Vec::new();
        }
        let candidates = candidates(now, members, serving);
        let own = &members.own().instance;
        let due: Vec<GroupId> = groups
            .into_iter()
            .filter(|group| !self.pending.contains(group) && !self.held.contains_key(group))
            .filter(|&group| preferred_owner(group, candidates.iter().copied()) == Some(own))
            .filter(|&group| self.is_claimable(now, group, members))
            .collect();
        self.pending.extend(&due);
        due
    }

    fn is_claimable(&self, now: Timestamp, group: GroupId, members: &Membership) -> bool {
        let Some(fact) = self.facts.get(&group).filter(|fact| !fact.claim.released) else {
            return true;
        };
        let holder = &fact.claim.holder;
        match members.presence(now, holder) {
            Presence::Present => self.has_reported_reads(now) && members.has_lost_log(now, holder),
            Presence::Replaced => true,
            Presence::Unreachable | Presence::Absent => {
                !members.is_reachable_from_peer(now, &holder.instance)
            }
        }
    }

    /// Returns whether every heartbeat that a peer counts as heard at `now` told of reads of the log.
    ///
    /// A holder in mutual contact then knows that there is no log outage and does not act.
    fn has_reported_reads(&self, now: Timestamp) -> bool {
        self.reads_since
            .is_some_and(|since| now.since(since) >= OWNER_LEASE)
    }

    /// Returns the next group to release at `now`, and stops acting for it.
    ///
    /// One group is released at a time. A group whose take-over wait has not ended is kept, because
    /// whoever claims a released group acts at once, while the former holder may still act.
    pub fn next_release(
        &mut self,
        now: Timestamp,
        members: &Membership,
        leaving: bool,
    ) -> Option<(GroupId, Epoch)> {
        if self.held.values().any(|held| held.releasing) || !self.lease_valid(now) {
            return None;
        }
        let candidates = candidates(now, members, !leaving);
        let able_since = members.eligible_peers(now);
        let hand_over = |group: GroupId| {
            let preferred = preferred_owner(group, candidates.iter().copied());
            let since = preferred.and_then(|id| able_since.get(id));
            since.is_some_and(|&since| now.since(since) >= HANDOVER_DELAY)
        };
        let (group, held) = self
            .held
            .iter_mut()
            .filter(|(_, held)| held.act_from <= now)
            .find(|(group, _)| leaving || hand_over(**group))?;
        held.releasing = true;
        let epoch = self.facts.get(group)?.claim.epoch;
        Some((*group, epoch))
    }
}

/// Returns the instances that can own groups, including the own one if it is `serving`.
fn candidates(now: Timestamp, members: &Membership, serving: bool) -> Vec<&InstanceId> {
    let own = serving.then_some(&members.own().instance);
    members.eligible_peers(now).into_keys().chain(own).collect()
}
