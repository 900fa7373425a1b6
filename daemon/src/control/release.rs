//! Release of groups, one at a time, and the hand-over at a graceful stop.

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

/// Longest hand-over; groups that are still held are taken over after their leases expire.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two attempts while no group can be released.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause before a failed release is queued again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Flushes the batch work of the group, then releases the group; returns after the release was read
/// back or the claim ended in another way.
pub(super) async fn release(node: Arc<Node>, group: GroupId, epoch: Epoch) {
    node.control.shared.notify_changed();
    batch::flush(&node, group).await;
    while holds(&node, group, epoch) {
        let record = ClaimRecord::Release { group, epoch };
        if node.control.claims.write(record).await.is_err() {
            sleep(RETRY_DELAY).await;
        }
    }
}

fn holds(node: &Node, group: GroupId, epoch: Epoch) -> bool {
    let held = node.control.shared.lock().ownership.holds();
    held.get(&group) == Some(&epoch)
}

/// Releases all groups to other instances, before running requests are awaited.
pub(crate) async fn hand_over(node: &Arc<Node>) {
    let timing = node.settings.timing;
    // Requests of callers are subject to the same limit, which began one discovery TTL earlier.
    let remaining = timing.drain_limit.saturating_sub(timing.discovery_ttl);
    let deadline = Instant::now() + remaining.min(HAND_OVER_TIMEOUT);
    if timeout_at(deadline, release_all(node)).await.is_none() {
        let held = node.control.shared.lock().ownership.holds().len();
        event!(HAND_OVER_CUT, "groups={held}");
    }
}

async fn release_all(node: &Arc<Node>) {
    loop {
        match next_release(node) {
            HandOverStep::Release(group, epoch) => release(node.clone(), group, epoch).await,
            HandOverStep::Wait => sleep(HAND_OVER_POLL_INTERVAL).await,
            HandOverStep::Done => return,
        }
    }
}

/// Next step of a hand-over.
enum HandOverStep {
    Release(GroupId, Epoch),
    /// A release or a take-over is in progress, or the log cannot be read.
    Wait,
    /// No group is held.
    Done,
}

fn next_release(node: &Node) -> HandOverStep {
    let now = node.clock.now();
    let mut inner = node.control.shared.lock();
    let Inner {
        ownership, members, ..
    } = &mut *inner;
    match ownership.next_release(now, members, true) {
        Some((group, epoch)) => HandOverStep::Release(group, epoch),
        None if ownership.holds().is_empty() => HandOverStep::Done,
        None => HandOverStep::Wait,
    }
}
