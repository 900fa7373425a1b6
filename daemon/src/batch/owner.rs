//! Takes over and gives up the job groups of an instance.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use futures_lite::{
    FutureExt,
    future, //
};
use limpetweir_coordination::MayAct;
use limpetweir_state::{
    Epoch,
    GroupId,
    GroupKind,
    JobChange, //
};
use limpetweir_transport::sleep;

use super::dispatch::dispatch;
use super::group::{
    Handle,
    JobNews,
    JobsObserver,
    Owned, //
};
use super::manager::keep_managers;
use super::orders::keep_orders;
use super::recording::record;
use crate::control::{
    Stream,
    StreamOptions, //
};
use crate::event;
use crate::events::{
    JOB_GROUP_CLOSED,
    JOB_GROUP_OPEN_FAILED, //
    JOB_GROUP_OPENED,
};
use crate::node::Node;

/// Longest pause between two looks at the ownership of a group.
const POLL: Duration = Duration::from_millis(100);

/// Entries of a group that may wait for the log: a submission of 64 MiB has about as many parts.
const QUEUE: usize = 256;

/// Starts the loops of the batch path; they end when the returned tasks are dropped.
pub(crate) fn start(node: &Arc<Node>) -> Vec<Task<()>> {
    let groups = 0..node.settings.groups;
    let mut tasks: Vec<Task<()>> = groups
        .map(|index| {
            let kind = GroupKind::Jobs;
            let group = GroupId { kind, index };
            node.spawner.spawn(keep_group(node.clone(), group))
        })
        .collect();
    tasks.push(node.spawner.spawn(keep_managers(node.clone())));
    tasks.push(node.spawner.spawn(keep_orders(node.clone())));
    tasks
}

async fn keep_group(node: Arc<Node>, group: GroupId) {
    loop {
        if claimed(&node, group) {
            own(&node, group).await;
        }
        pause(&node).await;
    }
}

/// Waits until ownership may have changed.
async fn pause(node: &Node) {
    let changes = node.control.changes();
    let changed = async {
        changes.await;
    };
    changed.or(sleep(POLL)).await;
}

fn claimed(node: &Node, group: GroupId) -> bool {
    let state = node.control.may_act(node.clock.now(), group);
    matches!(state, MayAct::Yes(_) | MayAct::WaitUntil(_))
}

/// Follows the stream of a claimed group, acts for it and closes it when it is lost.
async fn own(node: &Arc<Node>, group: GroupId) {
    let options = StreamOptions {
        name: group.to_string(),
        incarnation: node.incarnation.clone(),
        queue: QUEUE,
        long_poll: node.settings.timing.long_poll,
        retention: node.settings.timing.log_retention,
    };
    let news = Arc::new(JobNews::default());
    let observer = JobsObserver { news: news.clone() };
    let stream = Stream::new(node.log.clone(), node.clock, options, observer);
    let stream = Arc::new(stream);
    // The former owner's records are read while its lease runs out.
    let tasks = stream.start(&node.spawner);
    if let Some(epoch) = acquired(node, group).await {
        let handle = Handle {
            group,
            epoch,
            stream: stream.clone(),
            news,
        };
        let acting = act(node, &handle);
        lost(node, group, epoch).or(acting).await;
        node.batch.groups.at(usize::from(group.index)).owned = None;
        event!(JOB_GROUP_CLOSED, "group={group} epoch={}", epoch.0);
    }
    stream.abandon();
    drop(tasks);
}

/// Returns the epoch once this instance may act, or `None` if it lost the group before.
async fn acquired(node: &Node, group: GroupId) -> Option<Epoch> {
    loop {
        match node.control.may_act(node.clock.now(), group) {
            MayAct::Yes(epoch) => return Some(epoch),
            MayAct::NotHolder => return None,
            MayAct::WaitUntil(_) | MayAct::LeaseExpired => pause(node).await,
        }
    }
}

/// Returns once the claims show that the group is not held under `epoch` any more.
///
/// An expired lease or a release that is not read back is no loss: outcomes are still recorded.
async fn lost(node: &Node, group: GroupId, epoch: Epoch) {
    loop {
        let owner = node.control.owner(node.clock.now(), group);
        if !owner.is_some_and(|owner| owner.own && owner.epoch == epoch) {
            return;
        }
        pause(node).await;
    }
}

/// Opens the epoch and acts for the group until it is dropped.
async fn act(node: &Arc<Node>, handle: &Handle) {
    let (group, epoch) = (handle.group, handle.epoch);
    while let Err(err) = handle.write(JobChange::Open).await {
        event!(JOB_GROUP_OPEN_FAILED, "group={group} cause={err}");
        sleep(POLL).await;
    }
    if handle.stream.with_fold(|jobs| jobs.epoch()) != Some(epoch) {
        // A later owner has opened the group; this instance is about to read its claim.
        return future::pending().await;
    }
    // The former records are all folded, because the stream was read up to the own one.
    let owned = Owned::new(handle.clone());
    node.batch.groups.at(usize::from(group.index)).owned = Some(owned);
    event!(JOB_GROUP_OPENED, "group={group} epoch={}", epoch.0);
    future::zip(dispatch(node, handle), record(node, handle)).await;
}
