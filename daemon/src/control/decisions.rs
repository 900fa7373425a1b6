//! The loop that sends heartbeats and decides on the phase, claims, releases and fetches.

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
use super::stream::Written;
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

/// Longest wait for a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Heartbeats for which an instance must have been able to claim before its first claims.
///
/// Instances that start together can claim before they know that the others can, too.
/// Claims made at once meet those of the others, and the last holder of each group waits one lease.
const CLAIM_AFTER_BEATS: u32 = 4;

const KINDS: [GroupKind; 3] = [GroupKind::Jobs, GroupKind::Quota, GroupKind::Engine];

/// What the loop has in progress.
#[derive(Debug, Default)]
struct Progress {
    sequence: u64,
    claims: Vec<(GroupId, Written)>,
    release: Option<Task<()>>,
    fetch: Option<Task<()>>,
    phase: Option<Phase>,
    /// Heartbeats since this instance serves and hears a majority without a break.
    able_beats: u32,
}

/// What is to be done after a look at the state.
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
    let mut beat_at = Instant::now();
    loop {
        let woken = node.control.shared.wake.listen();
        let now = Instant::now();
        let beats = now >= beat_at;
        if beats {
            beat_at = (beat_at + HEARTBEAT_INTERVAL).max(now);
        }
        progress.step(&node, beats);
        timeout_at(beat_at, woken).await;
    }
}

impl Progress {
    fn step(&mut self, node: &Arc<Node>, beats: bool) {
        node.control.abandon_stale_entries();
        self.settle_claims(node);
        let now = node.clock.now();
        let decisions = self.decide(node, now, beats);
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

    fn decide(&mut self, node: &Node, now: Timestamp, beats: bool) -> Decisions {
        let online = if beats {
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
        self.count_able(beats, may_own && members.reaches_majority(now));
        let may_claim = may_own && self.able_beats >= CLAIM_AFTER_BEATS;
        let claims = inner
            .ownership
            .claims_to_make(now, groups, members, may_claim);
        // A stopping instance releases its groups once its callers have moved away.
        let may_release = !leaving && is_idle(self.release.as_ref());
        let release = may_release
            .then(|| inner.ownership.next_release(now, members, false))
            .flatten();
        let fetch = is_idle(self.fetch.as_ref())
            .then(|| newer(inner, now))
            .flatten();
        let report = beats.then(|| self.report(inner, now, leaving, online));
        Decisions {
            serving,
            claims,
            release,
            fetch,
            report,
            writes_config_snapshots: may_own && is_first(inner, now, "config"),
            writes_claims_snapshots: may_own && is_first(inner, now, "claims"),
        }
    }

    fn count_able(&mut self, beats: bool, is_able: bool) {
        if !is_able {
            self.able_beats = 0;
        } else if beats {
            self.able_beats = self.able_beats.saturating_add(1);
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

    /// Changes the phase when the decision changes, so that a leaving instance stays so.
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
            Ok(written) => self.claims.push((group, written)),
            Err(_) => node
                .control
                .shared
                .lock()
                .ownership
                .on_claim_abandoned(group),
        }
    }

    /// Lets groups whose claims were given up be claimed again.
    fn settle_claims(&mut self, node: &Node) {
        self.claims.retain(|(group, written)| match written.poll() {
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

/// Returns the peer to fetch a newer configuration from.
fn newer(inner: &Inner, now: Timestamp) -> Option<(InstanceId, Version)> {
    match inner.freshness.start(now, &inner.members) {
        StartStep::Fetch { peer, version } => Some((peer, version)),
        StartStep::Serve => inner.freshness.fetch(now, &inner.members),
        StartStep::Wait => None,
    }
}

/// Returns whether this instance is the first serving one in rendezvous order for `stream`.
fn is_first(inner: &Inner, now: Timestamp, stream: &str) -> bool {
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
