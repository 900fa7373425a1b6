//! Drains the batch work of a group before the group is released.

use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::{
    GroupId,
    GroupKind, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::manager;
use crate::node::Node;

/// Maximum time to drain a group; items that are left run again elsewhere and are billed once.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between checks of the remaining items.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stops new batch work for a group and waits until its running items have ended and are recorded.
pub(crate) async fn flush(node: &Node, group: GroupId) {
    let flushed = async {
        while !is_flushed(node, group) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout_at(Instant::now() + FLUSH_TIMEOUT, flushed).await;
}

fn is_flushed(node: &Node, group: GroupId) -> bool {
    match group.kind {
        GroupKind::Jobs => {
            let mut shard = node.batch.groups.at(usize::from(group.index));
            shard.owned.as_mut().is_none_or(|owned| {
                owned.closing = true;
                owned.running.is_empty() && owned.unrecorded == 0
            })
        }
        GroupKind::Engine => manager::is_idle(node, group),
        GroupKind::Quota => true,
    }
}
