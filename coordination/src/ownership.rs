//! When to claim, release and act for a group.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use limpetweir_state::{
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
    OWNER_LEASE, //
};

/// The last valid claim of a group, as folded from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimFact {
    /// The holder.
    pub holder: Incarnation,
    /// Epoch of the claim.
    pub epoch: Epoch,
    /// Whether the holder has released the group.
    pub released: bool,
}

/// Why the holder of a group may not act for it now.
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

/// A group held by this incarnation.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// When the claim was read back.
    claimed_at: Timestamp,
    /// The former holder may act before this time.
    act_from: Timestamp,
    releasing: bool,
}

/// Ownership of groups as one instance sees it.
///
/// The epoch decides which records are valid; the lease decides only when this instance may act
/// and when another one may claim.
#[derive(Clone, Debug)]
pub struct Ownership {
    facts: BTreeMap<GroupId, ClaimFact>,
    /// Contains exactly the groups whose fact names the own incarnation and is not released.
    held: BTreeMap<GroupId, Held>,
    /// Groups for which an own claim was appended and not yet read back.
    pending: BTreeSet<GroupId>,
    /// Send time of the last read that reached the end of the stream.
    confirmed_at: Option<Timestamp>,
    /// Start of the unbroken contact with a majority that lasts until the last tick.
    contact_since: Option<Timestamp>,
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
            watch: StallWatch::new(now),
        }
    }

    /// Takes over the claims of a snapshot that was read at `now`.
    pub fn load(
        &mut self,
        now: Timestamp,
        own: &Incarnation,
        facts: impl IntoIterator<Item = (GroupId, ClaimFact)>,
    ) {
        for (group, fact) in facts {
            if fact.released {
                self.on_claim(now, own, group, fact.holder, fact.epoch);
                self.on_release(group, fact.epoch);
            } else {
                self.on_claim_after(now, own, group, fact.holder, fact.epoch, true);
            }
        }
    }

    /// Records a claim that was read from the log at `now`; older epochs have no effect.
    pub fn on_claim(
        &mut self,
        now: Timestamp,
        own: &Incarnation,
        group: GroupId,
        holder: Incarnation,
        epoch: Epoch,
    ) {
        let former_may_act = match self.facts.get(&group) {
            Some(fact) => !fact.released && fact.holder != holder,
            None => false,
        };
        self.on_claim_after(now, own, group, holder, epoch, former_may_act);
    }

    fn on_claim_after(
        &mut self,
        now: Timestamp,
        own: &Incarnation,
        group: GroupId,
        holder: Incarnation,
        epoch: Epoch,
        former_may_act: bool,
    ) {
        let known = self.facts.get(&group);
        if known.is_some_and(|fact| fact.epoch >= epoch) {
            return;
        }
        if holder == *own {
            self.pending.remove(&group);
            self.hold(now, group, former_may_act);
        } else {
            self.held.remove(&group);
        }
        let fact = ClaimFact {
            holder,
            epoch,
            released: false,
        };
        self.facts.insert(group, fact);
    }

    /// A repeated own claim keeps the wait of the first one.
    fn hold(&mut self, now: Timestamp, group: GroupId, former_may_act: bool) {
        let act_from = if former_may_act {
            now + OWNER_LEASE
        } else {
            now
        };
        let held = Held {
            claimed_at: now,
            act_from,
            releasing: false,
        };
        self.held.entry(group).or_insert(held);
    }

    /// Records a release that was read from the log; another epoch than the last has no effect.
    pub fn on_release(&mut self, group: GroupId, epoch: Epoch) {
        let Some(fact) = self.facts.get_mut(&group) else {
            return;
        };
        if fact.epoch == epoch {
            fact.released = true;
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
        self.contact_since = if continuous && members.hears_majority(now) {
            self.contact_since.or(Some(now))
        } else {
            None
        };
    }

    /// Returns the last claim of `group`.
    pub fn fact(&self, group: GroupId) -> Option<&ClaimFact> {
        self.facts.get(&group)
    }

    /// Returns the groups that this instance holds with their epochs, for its heartbeats.
    pub fn holds(&self) -> BTreeMap<GroupId, Epoch> {
        self.held
            .keys()
            .filter_map(|group| Some((*group, self.facts.get(group)?.epoch)))
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
        if members.reported_epoch(now, group) > Some(fact.epoch) {
            return MayAct::NotHolder;
        }
        if now < held.act_from {
            return MayAct::WaitUntil(held.act_from);
        }
        if self.lease_valid(now) || self.bridges_outage(now, members) {
            MayAct::Yes(fact.epoch)
        } else {
            MayAct::LeaseExpired
        }
    }

    fn lease_valid(&self, now: Timestamp) -> bool {
        let confirmed = self.confirmed_at;
        confirmed.is_some_and(|sent_at| now.since(sent_at) < OWNER_LEASE)
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
            && members.hears_majority(now)
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
            && members.hears_majority(now);
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
        let Some(fact) = self.facts.get(&group).filter(|fact| !fact.released) else {
            return true;
        };
        match members.presence(now, &fact.holder) {
            Presence::Present => false,
            Presence::Replaced => true,
            Presence::Silent | Presence::Absent => {
                !members.is_heard_by_peer(now, &fact.holder.instance)
            }
        }
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
        let able_since = members.able_peers(now);
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
        let epoch = self.facts.get(group)?.epoch;
        Some((*group, epoch))
    }
}

/// Returns the instances that can own groups, including the own one if it is `serving`.
fn candidates(now: Timestamp, members: &Membership, serving: bool) -> Vec<&InstanceId> {
    let own = serving.then_some(&members.own().instance);
    members.able_peers(now).into_keys().chain(own).collect()
}
