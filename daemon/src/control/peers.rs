//! Handles messages of other instances and closes idle client connections.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use limpetweir_protocol::peer::{
    CallBody,
    ConfigSnapshot,
    Heartbeat,
    Hello,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::Version;
use limpetweir_transport::peer::PeerHandler;
use limpetweir_transport::sleep;

use super::links;
use crate::node::Node;
use crate::{
    batch,
    online, //
};

/// Pause between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Dispatches messages of other instances to the online and the batch path.
#[derive(Debug)]
pub(crate) struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl PeerHandler for PeerService {
    async fn call(&self, from: &Hello, body: CallBody) -> ReplyBody {
        dispatch(&self.node, from, body).await
    }

    fn message(&self, from: &Hello, message: PeerMessage) {
        handle_message(&self.node, from, message);
    }
}

async fn dispatch(node: &Arc<Node>, from: &Hello, body: CallBody) -> ReplyBody {
    match body {
        CallBody::Quota(call) => online::handle_quota_call(node, from, call),
        CallBody::ConfigFetch { newer_than } => {
            ReplyBody::Config(config_snapshot(node, newer_than))
        }
        CallBody::Job(call) => ReplyBody::Job(batch::handle_job_call(node, call).await),
        CallBody::RunItem(item) => ReplyBody::RunItem(batch::run_item(node, item).await),
        CallBody::CancelItem { attempt } => {
            batch::cancel_item(node, &attempt).await;
            ReplyBody::CancelItem
        }
    }
}

/// Handles a call of this instance to itself.
///
/// It runs in a task of its own, because a handler may itself call other instances.
pub(super) fn dispatch_own(node: Arc<Node>, body: CallBody) -> Task<ReplyBody> {
    let spawner = node.spawner.clone();
    spawner.spawn(async move {
        let own = links::hello(&node);
        dispatch(&node, &own, body).await
    })
}

/// Handles a one-way message of `from`, which may be this instance.
pub(super) fn handle_message(node: &Node, from: &Hello, message: PeerMessage) {
    match message {
        PeerMessage::Heartbeat(heartbeat) => handle_heartbeat(node, from, heartbeat),
        PeerMessage::Yield { backend } => batch::on_preempt(node, &backend),
        PeerMessage::Hello(_) | PeerMessage::Call { .. } | PeerMessage::Reply { .. } => {}
    }
}

fn handle_heartbeat(node: &Node, from: &Hello, heartbeat: Heartbeat) {
    if heartbeat.incarnation != from.incarnation {
        return;
    }
    let shared = &node.control.shared;
    let now = node.clock.now();
    let version = heartbeat.config_version;
    let mut inner = shared.lock();
    inner.members.on_heartbeat(now, heartbeat.into());
    let is_newer = version > inner.freshness.version();
    drop(inner);
    if is_newer {
        shared.wake();
    }
}

/// Returns the configuration if it is newer than `newer_than`.
fn config_snapshot(node: &Node, newer_than: Version) -> Option<ConfigSnapshot> {
    let stream = &node.control.config;
    if stream.with_fold(|fold| fold.version())? <= newer_than {
        return None;
    }
    let snapshot = stream.snapshot()?;
    // The version never decreases, so the one read now is at least that of the snapshot.
    let version = stream.with_fold(|fold| fold.version())?;
    Some(ConfigSnapshot {
        version,
        as_of: snapshot.as_of.0,
        snapshot: snapshot.bytes,
    })
}

pub(super) async fn sweep_connections(node: Arc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.client.sweep();
    }
}
