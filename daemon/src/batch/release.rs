//! Writes out what is held for a group before it is released.

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

/// Longest wait for a group; what is left then runs again elsewhere and is billed once.
const LIMIT: Duration = Duration::from_secs(2);

/// Pause between two looks at what is left.
const POLL: Duration = Duration::from_millis(20);

/// Stops new batch work for a group and waits until what runs has ended and is recorded.
pub(crate) async fn flush(node: &Node, group: GroupId) {
    let flushed = async {
        while !is_flushed(node, group) {
            sleep(POLL).await;
        }
    };
    timeout_at(Instant::now() + LIMIT, flushed).await;
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
