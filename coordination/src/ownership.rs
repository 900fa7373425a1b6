//! Ownership of groups: when to claim a group, act for it and release it.

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
    /// This instance may act under this epoch.
    Yes(Epoch),
    /// This instance does not hold the group, or is releasing it.
    NotHolder,
    /// The former holder may act until this time.
    WaitUntil(Timestamp),
    /// The last confirmed read of the claims is too old.
    LeaseExpired,
}

/// The last claim of a group.
#[derive(Clone, Debug)]
struct LastClaim {
    claim: Claim,
    /// Time until which former holders may act.
    former_until: Timestamp,
}

/// A group held by this incarnation.
#[derive(Clone, Copy, Debug)]
struct HeldGroup {
    /// Time at which the claim was read back.
    claimed_at: Timestamp,
    /// Time from which no former holder acts any more.
    act_from: Timestamp,
    /// Whether the release was requested.
    releasing: bool,
}

/// Ownership of groups as seen by one instance.
///
/// The epoch determines which records are valid. The lease only determines when this instance may
/// act and when another one may claim.
#[derive(Clone, Debug)]
pub struct Ownership {
    last_claims: BTreeMap<GroupId, LastClaim>,
    /// Contains exactly the groups whose last claim names the own incarnation and is not released.
    held: BTreeMap<GroupId, HeldGroup>,
    /// Groups for which an own claim was requested and not yet read back.
    pending: BTreeSet<GroupId>,
    /// Send time of the last read that reached the end of the stream.
    confirmed_at: Option<Timestamp>,
    /// Start of the uninterrupted contact with a majority up to the last tick.
    contact_since: Option<Timestamp>,
    /// Start of the uninterrupted validity of the lease up to the last tick.
    lease_valid_since: Option<Timestamp>,
    stall_watch: StallWatch,
}

impl Ownership {
    /// Creates the state of an instance that starts at `now` and has not read the claims yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_claims: BTreeMap::new(),
            held: BTreeMap::new(),
            pending: BTreeSet::new(),
            confirmed_at: None,
            contact_since: None,
            lease_valid_since: None,
            stall_watch: StallWatch::new(now),
        }
    }

    /// Applies the claims of a snapshot that was read at `now`.
    ///
    /// The claims before the snapshot are unknown, so each claim is assumed to replace another
    /// holder.
    pub fn load(&mut self, now: Timestamp, own: &Incarnation, claims: &Claims) {
        // A pending own claim may be covered by the snapshot and would then never be read back.
        self.pending.clear();
        for (group, claim) in claims.iter() {
            let former_until = if claim.released {
                now
            } else {
                now + claim.lease
            };
            self.record_claim(now, own, group, claim, former_until);
            if claim.released {
                self.record_release(group, claim.epoch);
            }
        }
    }

    /// Applies the event of one record that was read from the log at `now`.
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
                    self.record_claim(now, own, group, claim, former_until);
                }
            }
            ClaimEvent::Released { group, epoch } => self.record_release(group, epoch),
            ClaimEvent::StaleRelease { .. } => {}
        }
    }

    /// Returns the time until which holders other than `holder` may act if it claims `group`.
    ///
    /// The holder before the last one may have a longer lease than the last one.
    fn former_until(&self, now: Timestamp, group: GroupId, holder: &Incarnation) -> Timestamp {
        let Some(last) = self
            .last_claims
            .get(&group)
            .filter(|last| !last.claim.released)
        else {
            return now;
        };
        if last.claim.holder == *holder {
            return last.former_until;
        }
        last.former_until.max(now + last.claim.lease)
    }

    /// Records a claim; a claim whose epoch is not above the last one has no effect.
    fn record_claim(
        &mut self,
        now: Timestamp,
        own: &Incarnation,
        group: GroupId,
        claim: &Claim,
        former_until: Timestamp,
    ) {
        let known = self.last_claims.get(&group);
        if known.is_some_and(|last| last.claim.epoch >= claim.epoch) {
            return;
        }
        if claim.holder == *own {
            self.pending.remove(&group);
            let held = HeldGroup {
                claimed_at: now,
                act_from: former_until,
                releasing: false,
            };
            // A repeated own claim keeps the waiting time of the first one.
            self.held.entry(group).or_insert(held);
        } else {
            self.held.remove(&group);
        }
        let last = LastClaim {
            claim: claim.clone(),
            former_until,
        };
        self.last_claims.insert(group, last);
    }

    /// Records a release; it has no effect unless `epoch` is that of the last claim.
    fn record_release(&mut self, group: GroupId, epoch: Epoch) {
        let Some(last) = self.last_claims.get_mut(&group) else {
            return;
        };
        if last.claim.epoch == epoch {
            last.claim.released = true;
            self.held.remove(&group);
        }
    }

    /// Records a read of the claims that was sent at `sent_at` and reached the end of the stream.
    ///
    /// All records of that read must have been applied before.
    pub fn on_confirmed_read(&mut self, sent_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Records that an own claim will not be appended, so that it may be retried.
    pub fn on_claim_abandoned(&mut self, group: GroupId) {
        self.pending.remove(&group);
    }

    /// Records that the process is running at `now`; must be called with every heartbeat.
    pub fn tick(&mut self, now: Timestamp, members: &Membership) {
        let continuous = !self.stall_watch.is_stalled(now);
        self.stall_watch.tick(now);
        let lease_valid = self.lease_valid(now);
        // A peer whose last read of the log is clearly later than the own one may claim a group of
        // this instance. Contact up to now is therefore discarded, so that it does not extend the
        // lease after that peer becomes unreachable. In a log outage, the last reads of all
        // instances are close together, so contact is kept.
        let behind_peers =
            members.latest_read(now) > self.confirmed_at.map(|at| at + HEARTBEAT_TIMEOUT);
        self.contact_since = if continuous && !behind_peers && members.reaches_majority(now) {
            self.contact_since.or(Some(now))
        } else {
            None
        };
        self.lease_valid_since = if continuous && lease_valid {
            self.lease_valid_since.or(Some(now))
        } else {
            None
        };
    }

    /// Returns the groups that this instance holds and their epochs, for its heartbeats.
    pub fn holds(&self) -> BTreeMap<GroupId, Epoch> {
        self.held
            .keys()
            .filter_map(|group| Some((*group, self.last_claims.get(group)?.claim.epoch)))
            .collect()
    }

    /// Returns the time at which the claim of a held group was read back.
    pub fn claimed_at(&self, group: GroupId) -> Option<Timestamp> {
        self.held.get(&group).map(|held| held.claimed_at)
    }

    /// Returns whether this instance may act for `group` at `now`.
    pub fn may_act(&self, now: Timestamp, group: GroupId, members: &Membership) -> MayAct {
        let held = self.held.get(&group).filter(|held| !held.releasing);
        let (Some(held), Some(last)) = (held, self.last_claims.get(&group)) else {
            return MayAct::NotHolder;
        };
        // A peer with a higher epoch has read a claim that this instance has not.
        if members.reported_epoch(now, group) > Some(last.claim.epoch) {
            return MayAct::NotHolder;
        }
        if now < held.act_from {
            return MayAct::WaitUntil(held.act_from);
        }
        if self.lease_valid(now) || self.outage_extends_lease(now, members) {
            MayAct::Yes(last.claim.epoch)
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
    /// A claim made while this instance was paused or without a majority could go unnoticed beyond
    /// the lease, so contact with a majority must be uninterrupted since the last confirmed read.
    fn outage_extends_lease(&self, now: Timestamp, members: &Membership) -> bool {
        let in_contact = self
            .contact_since
            .is_some_and(|since| Some(since) <= self.confirmed_at);
        in_contact
            && !self.stall_watch.is_stalled(now)
            && members.reaches_majority(now)
            && !members.peer_reads_log(now)
    }

    /// Returns those of `groups` to claim at `now`, and records them as pending until read back.
    ///
    /// `serving` is whether this instance holds a configuration and is not leaving.
    pub fn claims_to_make(
        &mut self,
        now: Timestamp,
        groups: impl IntoIterator<Item = GroupId>,
        members: &Membership,
        serving: bool,
    ) -> Vec<GroupId> {
        let can_claim = serving
            && !self.stall_watch.is_stalled(now)
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
        let Some(last) = self
            .last_claims
            .get(&group)
            .filter(|last| !last.claim.released)
        else {
            return true;
        };
        let holder = &last.claim.holder;
        match members.presence(now, holder) {
            Presence::Present => self.has_reported_reads(now) && members.has_lost_log(now, holder),
            Presence::Replaced => true,
            Presence::Unreachable | Presence::Absent => {
                !members.is_reachable_from_peer(now, &holder.instance)
            }
        }
    }

    /// Returns whether every heartbeat sent within the last owner lease reported a recent read of the
    /// log.
    ///
    /// A holder in mutual contact has then received such a report, so it infers no log outage and
    /// does not act.
    fn has_reported_reads(&self, now: Timestamp) -> bool {
        self.lease_valid_since
            .is_some_and(|since| now.since(since) >= OWNER_LEASE)
    }

    /// Returns the next group to release at `now`, and stops acting for it.
    ///
    /// One group is released at a time. A group is not released while its former holder may act,
    /// because an instance that claims a released group acts immediately.
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
        let eligible_since = members.eligible_peers(now);
        let hand_over = |group: GroupId| {
            let preferred = preferred_owner(group, candidates.iter().copied());
            let since = preferred.and_then(|id| eligible_since.get(id));
            since.is_some_and(|&since| now.since(since) >= HANDOVER_DELAY)
        };
        let (group, held) = self
            .held
            .iter_mut()
            .filter(|(_, held)| held.act_from <= now)
            .find(|(group, _)| leaving || hand_over(**group))?;
        held.releasing = true;
        let epoch = self.last_claims.get(group)?.claim.epoch;
        Some((*group, epoch))
    }
}

/// Returns the eligible owners of groups, including the own instance if it is `serving`.
fn candidates(now: Timestamp, members: &Membership, serving: bool) -> Vec<&InstanceId> {
    let own = serving.then_some(&members.own().instance);
    members.eligible_peers(now).into_keys().chain(own).collect()
}
