//! Capacity of backend servers for batch items, from the online load known to this instance.

use limpetweir_coordination::SlotLimits;
use limpetweir_state::{
    Backend,
    Timestamp, //
};

use crate::node::Node;
use crate::online;

/// Divisor of the slots that batch work leaves free for future online requests, rounded up.
const RESERVE_DIVISOR: u32 = 8;

/// Items that may be queued at a batch manager, so that a freed slot is filled without a round
/// trip.
pub(super) const QUEUE_ITEMS: u32 = 2;

/// Returns the slot limits of a backend server; one with a single slot has no reserve.
pub(super) fn limits(backend: &Backend) -> SlotLimits {
    let slots = backend.slots;
    let reserve = slots.div_ceil(RESERVE_DIVISOR).min(slots.saturating_sub(1));
    SlotLimits {
        slots,
        reserve,
        queue: QUEUE_ITEMS,
    }
}

/// Returns the number of online requests that this instance has in flight on a backend server.
pub(super) fn own_online(node: &Node, backend: &Backend) -> u32 {
    online::in_flight_on(node, backend)
}

/// Returns the number of online requests that all instances have in flight on a backend server.
pub(super) fn all_online(node: &Node, now: Timestamp, backend: &Backend) -> u32 {
    let peers = node.control.online_at_peers(now, &backend.id);
    own_online(node, backend).saturating_add(peers)
}

/// Returns whether batch items may occupy the slots that a further online request needs.
///
/// `free` is the number of slots of `backend` without an online request. If this is true, the batch
/// manager needs a preemption message before the next heartbeat.
pub(crate) fn exceeds_reserve(backend: &Backend, free: i64) -> bool {
    let limits = limits(backend);
    free <= i64::from(limits.slots.saturating_sub(limits.reserve))
}
