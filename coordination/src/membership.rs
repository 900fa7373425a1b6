//! Members of the fleet, according to the platform's list and to heartbeats.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use limpetweir_state::{
    BackendId,
    Epoch,
    GroupId,
    Incarnation,
    InstanceId,
    Timestamp,
    Version, //
};

use crate::timing::{
    HEARTBEAT_TIMEOUT,
    OWNER_LEASE, //
};

/// State of an instance as a heartbeat reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The sender.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each heartbeat of the incarnation.
    pub sequence: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender holds a configuration and accepts requests.
    pub serving: bool,
    /// Configuration version in force at the sender.
    pub config_version: Version,
    /// Time since the sender's last confirmed read of the log; `None` if there was none.
    pub log_age: Option<Duration>,
    /// Instances whose heartbeats the sender received within the heartbeat timeout.
    pub reachable: BTreeSet<InstanceId>,
    /// Groups that the sender owns.
    pub owns: BTreeMap<GroupId, Epoch>,
    /// Number of the sender's online requests in flight for each backend server.
    pub online: BTreeMap<BackendId, u32>,
}

impl Report {
    /// Returns whether the sender confirmed a read of the log within the owner lease.
    fn reads_log(&self) -> bool {
        self.log_age.is_some_and(|age| age < OWNER_LEASE)
    }
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// Effect of a heartbeat on the view of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is newer than the last one of the same incarnation.
    Accepted,
    /// The heartbeat is the first one of a new incarnation.
    NewIncarnation,
    /// The heartbeat is late, repeated or of a replaced incarnation, and has no effect.
    Stale,
}

/// State of one incarnation as seen by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A heartbeat arrived within the heartbeat timeout, or this instance started within it.
    Present,
    /// It is listed, but no heartbeat arrived within the heartbeat timeout.
    Unreachable,
    /// It is neither listed nor reachable.
    Absent,
    /// A later incarnation of the same instance is known.
    Replaced,
}

#[derive(Clone, Debug)]
struct Peer {
    report: Report,
    received_at: Timestamp,
    /// Time since which every heartbeat showed that the peer is eligible to own groups; `None` if
    /// the last one did not.
    eligible_since: Option<Timestamp>,
}

impl Peer {
    fn is_reachable(&self, now: Timestamp) -> bool {
        now.since(self.received_at) < HEARTBEAT_TIMEOUT
    }
}

/// The members of the fleet as seen by one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Incarnation,
    started_at: Timestamp,
    /// The platform's list; `None` until it was read once.
    listed: Option<BTreeMap<InstanceId, ListState>>,
    /// Last heartbeats of other instances; never contains the own one.
    peers: BTreeMap<InstanceId, Peer>,
}

impl Membership {
    /// Creates the view of `own`, which receives heartbeats from `now` on.
    pub fn new(own: Incarnation, now: Timestamp) -> Self {
        Self {
            own,
            started_at: now,
            listed: None,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the own incarnation.
    pub fn own(&self) -> &Incarnation {
        &self.own
    }

    /// Replaces the list of instances by one read from the platform.
    pub fn set_list(&mut self, now: Timestamp, list: BTreeMap<InstanceId, ListState>) {
        self.peers
            .retain(|id, peer| list.contains_key(id) || peer.is_reachable(now));
        self.listed = Some(list);
    }

    /// Records a heartbeat that arrived at `now`.
    pub fn on_heartbeat(&mut self, now: Timestamp, report: Report) -> HeartbeatOutcome {
        let id = report.incarnation.instance.clone();
        if id == self.own.instance {
            return HeartbeatOutcome::Stale;
        }
        let known = self.peers.get(&id);
        let last = known.map(|peer| (peer.report.incarnation.started, peer.report.sequence));
        let started = report.incarnation.started;
        if last.is_some_and(|last| last >= (started, report.sequence)) {
            return HeartbeatOutcome::Stale;
        }
        let same = last.is_some_and(|(last_started, _)| last_started == started);
        let eligible_before = known
            .filter(|peer| same && peer.is_reachable(now))
            .and_then(|peer| peer.eligible_since);
        let eligible_since = self
            .is_eligible(&report)
            .then_some(eligible_before.unwrap_or(now));
        let peer = Peer {
            report,
            received_at: now,
            eligible_since,
        };
        self.peers.insert(id, peer);
        if same {
            HeartbeatOutcome::Accepted
        } else {
            HeartbeatOutcome::NewIncarnation
        }
    }

    /// Returns whether the sender of `report` can claim groups.
    ///
    /// Groups whose preferred owner cannot claim them would have no owner, so a candidate must read
    /// the log and be in mutual contact with a majority.
    fn is_eligible(&self, report: &Report) -> bool {
        let other_listed =
            |id: &&InstanceId| self.is_listed(id) && **id != report.incarnation.instance;
        let contacts = report.reachable.iter().filter(other_listed).count();
        report.serving
            && !report.leaving
            && report.reads_log()
            && report.reachable.contains(&self.own.instance)
            && self.is_majority(contacts + 1)
    }

    fn is_listed(&self, id: &InstanceId) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| listed.contains_key(id))
    }

    /// Returns whether `count` instances are more than half of the listed ones.
    ///
    /// The own instance counts as listed, because the list may lag behind its start. Without a list
    /// or with an empty one there is no majority.
    fn is_majority(&self, count: usize) -> bool {
        let Some(listed) = self.listed.as_ref().filter(|listed| !listed.is_empty()) else {
            return false;
        };
        let unlisted_self = usize::from(!listed.contains_key(&self.own.instance));
        2 * count > listed.len() + unlisted_self
    }

    /// Iterates over the last reports of the reachable peers.
    pub fn reachable_reports(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        self.peers
            .values()
            .filter(move |peer| peer.is_reachable(now))
            .map(|peer| &peer.report)
    }

    /// Iterates over the mutual contacts: listed, reachable peers that report this instance as
    /// reachable.
    pub fn contacts(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        self.reachable_reports(now)
            .filter(|report| report.reachable.contains(&self.own.instance))
            .filter(|report| self.is_listed(&report.incarnation.instance))
    }

    /// Returns the reachable peers, for the own heartbeat.
    pub fn reachable_peers(&self, now: Timestamp) -> BTreeSet<InstanceId> {
        self.reachable_reports(now)
            .map(|report| report.incarnation.instance.clone())
            .collect()
    }

    /// Returns whether this instance and its mutual contacts are more than half of the listed
    /// instances.
    pub fn reaches_majority(&self, now: Timestamp) -> bool {
        self.is_majority(self.contacts(now).count() + 1)
    }

    /// Returns whether the contacts that hold a configuration, together with `own_votes` (0 or 1)
    /// of this instance, are more than half of the listed instances.
    ///
    /// An instance without a configuration has no vote, because it may have lost its state in a
    /// restart.
    pub(crate) fn majority_holds_config(&self, now: Timestamp, own_votes: usize) -> bool {
        self.majority_holds(now, Version(1), own_votes)
    }

    /// Returns whether the contacts that hold `version` or a newer one, together with `own_votes`
    /// (0 or 1) of this instance, are more than half of the listed instances.
    pub(crate) fn majority_holds(
        &self,
        now: Timestamp,
        version: Version,
        own_votes: usize,
    ) -> bool {
        let holds = |report: &&Report| report.config_version >= version;
        let votes = self.contacts(now).filter(holds).count();
        self.is_majority(votes + own_votes)
    }

    /// Returns the state of `incarnation`.
    pub fn presence(&self, now: Timestamp, incarnation: &Incarnation) -> Presence {
        let id = &incarnation.instance;
        if *id == self.own.instance {
            return if incarnation.started < self.own.started {
                Presence::Replaced
            } else {
                Presence::Present
            };
        }
        let peer = self.peers.get(id);
        let newest = peer.map(|peer| peer.report.incarnation.started);
        if newest.is_some_and(|started| started > incarnation.started) {
            return Presence::Replaced;
        }
        if peer.is_some_and(|peer| peer.is_reachable(now)) {
            return Presence::Present;
        }
        if !self.is_listed(id) {
            return Presence::Absent;
        }
        // Just after its start, this instance may not have received a heartbeat of the peer yet.
        if now.since(self.started_at) < HEARTBEAT_TIMEOUT {
            return Presence::Present;
        }
        Presence::Unreachable
    }

    /// Returns whether a reachable peer other than `id` reports `id` as reachable.
    pub fn is_reachable_from_peer(&self, now: Timestamp, id: &InstanceId) -> bool {
        self.reachable_reports(now)
            .filter(|report| report.incarnation.instance != *id)
            .any(|report| report.reachable.contains(id))
    }

    /// Returns the reachable peers that are listed as live and eligible to own groups, with the time
    /// since which they are eligible.
    pub fn eligible_peers(&self, now: Timestamp) -> BTreeMap<&InstanceId, Timestamp> {
        self.peers
            .iter()
            .filter(|(id, peer)| peer.is_reachable(now) && self.is_live(id))
            .filter_map(|(id, peer)| Some((id, peer.eligible_since?)))
            .collect()
    }

    /// Iterates over the reachable peers that accept requests, are not leaving and are listed as
    /// live.
    pub fn serving_peers(&self, now: Timestamp) -> impl Iterator<Item = &InstanceId> {
        self.reachable_reports(now)
            .filter(|report| report.serving && !report.leaving)
            .map(|report| &report.incarnation.instance)
            .filter(|id| self.is_live(id))
    }

    fn is_live(&self, id: &InstanceId) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| listed.get(id) == Some(&ListState::Live))
    }

    /// Returns the latest time at which a reachable peer read the log, according to its heartbeats.
    pub(crate) fn latest_read(&self, now: Timestamp) -> Option<Timestamp> {
        self.peers
            .values()
            .filter(|peer| peer.is_reachable(now))
            .filter_map(|peer| Some(peer.received_at - peer.report.log_age?))
            .max()
    }

    /// Returns whether a reachable peer reports a read of the log within the owner lease.
    pub fn peer_reads_log(&self, now: Timestamp) -> bool {
        self.reachable_reports(now).any(Report::reads_log)
    }

    /// Returns the reachable peer with the highest configuration version.
    pub fn newest_config(&self, now: Timestamp) -> Option<(&InstanceId, Version)> {
        self.reachable_reports(now)
            .map(|report| (&report.incarnation.instance, report.config_version))
            .max_by_key(|&(_, version)| version)
    }

    /// Returns whether `incarnation` is reachable, reports this instance as reachable, and reports a
    /// last read of the log that is at least two owner leases old.
    ///
    /// After two leases, it has received heartbeats of instances that still read the log, so it does
    /// not infer a log outage.
    pub(crate) fn has_lost_log(&self, now: Timestamp, incarnation: &Incarnation) -> bool {
        self.reachable_reports(now)
            .find(|report| report.incarnation == *incarnation)
            .filter(|report| report.reachable.contains(&self.own.instance))
            .and_then(|report| report.log_age)
            .is_some_and(|age| age >= 2 * OWNER_LEASE)
    }

    /// Returns the highest epoch under which a reachable peer reports to own `group`.
    pub fn reported_epoch(&self, now: Timestamp, group: GroupId) -> Option<Epoch> {
        self.reachable_reports(now)
            .filter_map(|report| report.owns.get(&group).copied())
            .max()
    }

    /// Returns the number of online requests in flight for `backend`, as reported by reachable
    /// peers.
    pub fn online_at_peers(&self, now: Timestamp, backend: &BackendId) -> u32 {
        self.reachable_reports(now)
            .filter_map(|report| report.online.get(backend))
            .fold(0, |sum, &count| sum.saturating_add(count))
    }
}
