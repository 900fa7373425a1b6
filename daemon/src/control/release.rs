//! Releases of groups, one at a time, and the hand-over on a graceful stop.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::{
    ClaimRecord,
    Epoch,
    GroupId, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::state::Inner;
use crate::batch;
use crate::event;
use crate::events::HAND_OVER_CUT;
use crate::node::Node;

/// Longest hand-over; groups that are left are taken over after the lease.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);

/// Pause while no group can be released.
const HAND_OVER_POLL: Duration = Duration::from_millis(20);

/// Pause before a release is queued again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Writes out what is held for the group, then releases it; returns once the release is read back
/// or the claim has ended in another way.
pub(super) async fn release(node: Arc<Node>, group: GroupId, epoch: Epoch) {
    node.control.shared.notify_changed();
    batch::flush(&node, group).await;
    while holds(&node, group, epoch) {
        let record = ClaimRecord::Release { group, epoch };
        if node.control.claims.write(record).await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
    }
}

fn holds(node: &Node, group: GroupId, epoch: Epoch) -> bool {
    let held = node.control.shared.lock().ownership.holds();
    held.get(&group) == Some(&epoch)
}

/// Hands everything over that other instances take on, before running requests are awaited.
pub(crate) async fn hand_over(node: &Arc<Node>) {
    let timing = node.settings.timing;
    // The callers' requests end within the same limit, which began one time to live earlier.
    let left = timing.drain_limit.saturating_sub(timing.discovery_ttl);
    let deadline = Instant::now() + left.min(HAND_OVER_LIMIT);
    if timeout_at(deadline, release_all(node)).await.is_none() {
        let left = node.control.shared.lock().ownership.holds().len();
        event!(HAND_OVER_CUT, "groups={left}");
    }
}

async fn release_all(node: &Arc<Node>) {
    loop {
        match next_release(node) {
            Next::Release(group, epoch) => release(node.clone(), group, epoch).await,
            Next::Wait => sleep(HAND_OVER_POLL).await,
            Next::Done => return,
        }
    }
}

/// Next step of a hand-over.
enum Next {
    Release(GroupId, Epoch),
    /// A release or a take-over is in progress, or the log cannot be read.
    Wait,
    /// No group is held.
    Done,
}

fn next_release(node: &Node) -> Next {
    let now = node.clock.now();
    let mut inner = node.control.shared.lock();
    let Inner {
        ownership, members, ..
    } = &mut *inner;
    match ownership.next_release(now, members, true) {
        Some((group, epoch)) => Next::Release(group, epoch),
        None if ownership.holds().is_empty() => Next::Done,
        None => Next::Wait,
    }
}
