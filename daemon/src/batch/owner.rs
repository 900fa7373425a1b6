//! Acquires and releases the job groups of an instance.

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
use limpetweir_transport::{
    restart_on_panic,
    sleep, //
};

use super::dispatch::dispatch;
use super::group::{
    GroupHandle,
    JobUpdates,
    JobsObserver,
    OwnedGroup, //
};
use super::manager::maintain_managers;
use super::orders::issue_orders;
use super::recording::record;
use crate::control::{
    Stream,
    StreamOptions, //
};
use crate::event;
use crate::events::{
    JOB_GROUP_CLOSED,
    JOB_GROUP_OPEN_FAILED,
    JOB_GROUP_OPENED, //
};
use crate::node::Node;

/// Interval between checks of the ownership of a group, and between retries to open it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Queue length for entries of a group; a submission of 64 MiB has about as many parts.
const WRITE_QUEUE_ENTRIES: usize = 256;

/// Starts the background tasks of the batch path; they end when the returned tasks are dropped.
pub(crate) fn start(node: &Arc<Node>) -> Vec<Task<()>> {
    let groups = 0..node.settings.groups;
    let mut tasks: Vec<Task<()>> = groups
        .map(|index| {
            let kind = GroupKind::Jobs;
            let group = GroupId { kind, index };
            node.spawner.spawn(run_group(node.clone(), group))
        })
        .collect();
    let shared = node.clone();
    let maintain = move || maintain_managers(shared.clone());
    let maintain = restart_on_panic("maintain-managers", maintain);
    tasks.push(node.spawner.spawn(maintain));
    tasks.push(node.spawner.spawn(issue_orders(node.clone())));
    tasks
}

async fn run_group(node: Arc<Node>, group: GroupId) {
    loop {
        if is_claimed(&node, group) {
            hold_group(&node, group).await;
        }
        wait_for_change(&node).await;
    }
}

/// Waits until ownership may have changed.
async fn wait_for_change(node: &Node) {
    let changes = node.control.changes();
    let changed = async {
        changes.await;
    };
    changed.or(sleep(POLL_INTERVAL)).await;
}

fn is_claimed(node: &Node, group: GroupId) -> bool {
    let state = node.control.may_act(node.clock.now(), group);
    matches!(state, MayAct::Yes(_) | MayAct::WaitUntil(_))
}

/// Follows the stream of a claimed group, acts for the group and closes it when the claim is lost.
async fn hold_group(node: &Arc<Node>, group: GroupId) {
    let options = StreamOptions {
        name: group.to_string(),
        incarnation: node.incarnation.clone(),
        queue: WRITE_QUEUE_ENTRIES,
        long_poll: node.settings.timing.long_poll,
        retention: node.settings.timing.log_retention,
    };
    let updates = Arc::new(JobUpdates::default());
    let observer = JobsObserver {
        updates: updates.clone(),
    };
    let stream = Stream::new(node.log.clone(), node.clock, options, observer);
    let stream = Arc::new(stream);
    // The records of the previous owner are read while its lease is still running.
    let tasks = stream.start(&node.spawner);
    if let Some(epoch) = wait_until_acquired(node, group).await {
        let handle = GroupHandle {
            group,
            epoch,
            stream: stream.clone(),
            updates,
        };
        let acting = act_as_owner(node, &handle);
        wait_until_lost(node, group, epoch).or(acting).await;
        node.batch.groups.at(usize::from(group.index)).owned = None;
        event!(JOB_GROUP_CLOSED, "group={group} epoch={}", epoch.0);
    }
    stream.abandon();
    drop(tasks);
}

/// Waits until this instance may act and returns the epoch, or `None` if the group is not held.
async fn wait_until_acquired(node: &Node, group: GroupId) -> Option<Epoch> {
    loop {
        match node.control.may_act(node.clock.now(), group) {
            MayAct::Yes(epoch) => return Some(epoch),
            MayAct::NotHolder => return None,
            MayAct::WaitUntil(_) | MayAct::LeaseExpired => wait_for_change(node).await,
        }
    }
}

/// Waits until the claims show that this instance no longer holds the group under `epoch`.
///
/// An expired lease or a release that has not been read back does not count, because outcomes are
/// still recorded then.
async fn wait_until_lost(node: &Node, group: GroupId, epoch: Epoch) {
    loop {
        let owner = node.control.owner(node.clock.now(), group);
        if !owner.is_some_and(|owner| owner.own && owner.epoch == epoch) {
            return;
        }
        wait_for_change(node).await;
    }
}

/// Opens the epoch and acts for the group until the future is dropped.
async fn act_as_owner(node: &Arc<Node>, handle: &GroupHandle) {
    let (group, epoch) = (handle.group, handle.epoch);
    while let Err(err) = handle.write(JobChange::Open).await {
        event!(JOB_GROUP_OPEN_FAILED, "group={group} cause={err}");
        sleep(POLL_INTERVAL).await;
    }
    if handle.stream.with_fold(|jobs| jobs.epoch()) != Some(epoch) {
        // A later owner has opened the group; this future is dropped once its claim is read.
        return future::pending().await;
    }
    // All earlier records are folded, because the stream was read up to the own `Open` record.
    let owned = OwnedGroup::new(handle.clone());
    node.batch.groups.at(usize::from(group.index)).owned = Some(owned);
    event!(JOB_GROUP_OPENED, "group={group} epoch={}", epoch.0);
    future::zip(dispatch(node, handle), record(node, handle)).await;
}
