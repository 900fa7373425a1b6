//! Decision loop: sends heartbeats and decides on the phase, claims, releases and fetches.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_executor::Task;
use limpetweir_coordination::timing::{
    HEARTBEAT_INTERVAL,
    OWNER_LEASE, //
};
use limpetweir_coordination::{
    Report,
    ServingMode,
    StartStep,
    rendezvous_score, //
};
use limpetweir_protocol::peer::{
    CallBody,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::{
    BackendId,
    ClaimRecord,
    Epoch,
    GroupId,
    GroupKind,
    InstanceId,
    Offset,
    Snapshot,
    Timestamp,
    Version, //
};
use limpetweir_transport::timeout_at;

use super::release;
use super::state::Inner;
use super::stream::PendingWrite;
use crate::event;
use crate::events::{
    CLAIMING,
    CONFIG_FETCHED, //
};
use crate::node::{
    Node,
    Phase, //
};
use crate::online;

/// Timeout of fetching a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Consecutive heartbeats for which an instance must have been eligible to own groups before it
/// makes claims.
///
/// Instances that start together become eligible before they receive the heartbeats which state that
/// the others are eligible. Claims made immediately would compete with those of the others, and the
/// instance that finally holds a group would have to wait for one lease.
const CLAIM_AFTER_HEARTBEATS: u32 = 4;

const KINDS: [GroupKind; 3] = [GroupKind::Jobs, GroupKind::Quota, GroupKind::Engine];

/// State of the loop between two steps.
#[derive(Debug, Default)]
struct Progress {
    sequence: u64,
    claims: Vec<(GroupId, PendingWrite)>,
    release: Option<Task<()>>,
    fetch: Option<Task<()>>,
    phase: Option<Phase>,
    /// Number of consecutive heartbeats for which this instance may own groups and reaches a majority.
    eligible_heartbeats: u32,
}

/// Actions that follow from the state at one time.
#[derive(Debug)]
struct Decisions {
    serving: bool,
    claims: Vec<GroupId>,
    release: Option<(GroupId, Epoch)>,
    fetch: Option<(InstanceId, Version)>,
    report: Option<Report>,
    writes_config_snapshots: bool,
    writes_claims_snapshots: bool,
}

pub(super) async fn run(node: Arc<Node>) {
    let mut progress = Progress::default();
    let mut next_heartbeat = Instant::now();
    loop {
        let wake = node.control.shared.wake.listen();
        let now = Instant::now();
        let heartbeat_due = now >= next_heartbeat;
        if heartbeat_due {
            next_heartbeat = (next_heartbeat + HEARTBEAT_INTERVAL).max(now);
        }
        progress.step(&node, heartbeat_due);
        timeout_at(next_heartbeat, wake).await;
    }
}

impl Progress {
    fn step(&mut self, node: &Arc<Node>, heartbeat_due: bool) {
        node.control.abandon_stale_entries();
        self.poll_claims(node);
        let now = node.clock.now();
        let decisions = self.decide(node, now, heartbeat_due);
        self.set_phase(node, now, decisions.serving);
        if let Some(report) = decisions.report {
            let heartbeat = PeerMessage::Heartbeat(report.into());
            node.control.links.broadcast(&heartbeat);
        }
        decisions
            .claims
            .into_iter()
            .for_each(|g| self.claim(node, g));
        if let Some((group, epoch)) = decisions.release {
            let releasing = release::release(node.clone(), group, epoch);
            self.release = Some(node.spawner.spawn(releasing));
        }
        if let Some((peer, version)) = decisions.fetch {
            let fetching = fetch(node.clone(), peer, version);
            self.fetch = Some(node.spawner.spawn(fetching));
        }
        if decisions.writes_config_snapshots {
            node.control.config.write_due_snapshot(now);
        }
        if decisions.writes_claims_snapshots {
            node.control.claims.write_due_snapshot(now);
        }
    }

    fn decide(&mut self, node: &Node, now: Timestamp, heartbeat_due: bool) -> Decisions {
        let online = if heartbeat_due {
            online::in_flight(node)
        } else {
            Vec::new()
        };
        let leaving = node.is_leaving();
        let has_config = node.control.current().is_some();
        let groups = all_groups(node.control.groups);
        let mut inner = node.control.shared.lock();
        let inner = &mut *inner;
        inner.freshness.tick(now, &inner.members);
        inner.ownership.tick(now, &inner.members);
        inner.serving = has_config && inner.mode(now) != ServingMode::Nothing;
        let serving = inner.serving;
        let members = &inner.members;
        let may_own = serving && !leaving;
        self.count_eligible(heartbeat_due, may_own && members.reaches_majority(now));
        let may_claim = may_own && self.eligible_heartbeats >= CLAIM_AFTER_HEARTBEATS;
        let claims = inner
            .ownership
            .claims_to_make(now, groups, members, may_claim);
        // A stopping instance releases its groups in `hand_over`, after its callers have moved to
        // other instances.
        let may_release = !leaving && is_idle(self.release.as_ref());
        let release = may_release
            .then(|| inner.ownership.next_release(now, members, false))
            .flatten();
        let fetch = is_idle(self.fetch.as_ref())
            .then(|| config_to_fetch(inner, now))
            .flatten();
        let report = heartbeat_due.then(|| self.report(inner, now, leaving, online));
        Decisions {
            serving,
            claims,
            release,
            fetch,
            report,
            writes_config_snapshots: may_own && is_snapshot_writer(inner, now, "config"),
            writes_claims_snapshots: may_own && is_snapshot_writer(inner, now, "claims"),
        }
    }

    fn count_eligible(&mut self, heartbeat_due: bool, is_eligible: bool) {
        if !is_eligible {
            self.eligible_heartbeats = 0;
        } else if heartbeat_due {
            self.eligible_heartbeats = self.eligible_heartbeats.saturating_add(1);
        }
    }

    fn report(
        &mut self,
        inner: &Inner,
        now: Timestamp,
        leaving: bool,
        online: Vec<(BackendId, u32)>,
    ) -> Report {
        self.sequence += 1;
        Report {
            incarnation: inner.members.own().clone(),
            sequence: self.sequence,
            leaving,
            serving: inner.serving,
            config_version: inner.freshness.version(),
            log_age: inner.claims_read.map(|at| now.since(at)),
            reachable: inner.members.reachable_peers(now),
            owns: inner.ownership.holds(),
            online: online.into_iter().collect(),
        }
    }

    /// Sets the phase when the decision changes; a leaving instance keeps its phase.
    fn set_phase(&mut self, node: &Node, now: Timestamp, serving: bool) {
        let phase = match (serving, self.phase) {
            (true, _) => Phase::Serving,
            (false, None | Some(Phase::Starting)) => Phase::Starting,
            (false, Some(_)) => Phase::Stale,
        };
        node.control.shared.set_validity(now, serving);
        if self.phase.replace(phase) != Some(phase) && phase != Phase::Starting {
            node.set_phase(phase);
        }
    }

    fn claim(&mut self, node: &Node, group: GroupId) {
        event!(CLAIMING, "group={group}");
        let record = ClaimRecord::Claim {
            group,
            holder: node.incarnation.clone(),
            lease: OWNER_LEASE,
        };
        match node.control.claims.push(record) {
            Ok(write) => self.claims.push((group, write)),
            Err(_) => node
                .control
                .shared
                .lock()
                .ownership
                .on_claim_abandoned(group),
        }
    }

    /// Removes finished claims; a group whose claim was abandoned may be claimed again.
    fn poll_claims(&mut self, node: &Node) {
        self.claims.retain(|(group, write)| match write.poll() {
            None => true,
            Some(Ok(())) => false,
            Some(Err(_)) => {
                let mut inner = node.control.shared.lock();
                inner.ownership.on_claim_abandoned(*group);
                false
            }
        });
    }
}

fn is_idle(task: Option<&Task<()>>) -> bool {
    task.is_none_or(Task::is_finished)
}

/// Returns every group of every kind.
pub(super) fn all_groups(count: u16) -> impl Iterator<Item = GroupId> {
    KINDS
        .into_iter()
        .flat_map(move |kind| (0..count).map(move |index| GroupId { kind, index }))
}

/// Returns the peer to fetch a newer configuration from, and its version.
fn config_to_fetch(inner: &Inner, now: Timestamp) -> Option<(InstanceId, Version)> {
    match inner.freshness.start(now, &inner.members) {
        StartStep::Fetch { peer, version } => Some((peer, version)),
        StartStep::Serve => inner.freshness.fetch(now, &inner.members),
        StartStep::Wait => None,
    }
}

/// Returns whether this instance writes the snapshots of `stream`: the first of the serving
/// instances in rendezvous order does.
fn is_snapshot_writer(inner: &Inner, now: Timestamp, stream: &str) -> bool {
    let score = |id: &InstanceId| rendezvous_score(stream.as_bytes(), id.as_str());
    let own = &inner.members.own().instance;
    let rank = (score(own), own);
    let mut peers = inner.members.serving_peers(now);
    peers.all(|id| (score(id), id) < rank)
}

async fn fetch(node: Arc<Node>, peer: InstanceId, version: Version) {
    let newer_than = node.control.shared.lock().freshness.version();
    let body = CallBody::ConfigFetch { newer_than };
    let reply = node.control.call(&peer, body, FETCH_TIMEOUT).await;
    let Ok(ReplyBody::Config(Some(config))) = reply else {
        return;
    };
    let snapshot = Snapshot {
        as_of: Offset(config.as_of),
        bytes: config.snapshot,
    };
    match node.control.config.adopt(&snapshot) {
        Ok(true) => event!(CONFIG_FETCHED, "peer={peer} version={}", version.0),
        Ok(false) => {}
        Err(err) => event!(CONFIG_FETCHED, "peer={peer} error={err}"),
    }
    node.control.shared.wake();
}
