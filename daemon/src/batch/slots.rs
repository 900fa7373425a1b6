//! Capacity of backend servers for batch items, as this instance sees it.

use limpetweir_coordination::SlotLimits;
use limpetweir_state::{
    Backend,
    Timestamp, //
};

use crate::node::Node;
use crate::online;

/// Batch work leaves one in so many slots free for online requests to come.
const RESERVE_SHARE: u32 = 8;

/// Items that may wait at a batch manager, so that a freed slot is filled without a round trip.
pub(super) const QUEUE_ITEMS: u32 = 2;

/// Returns the limits of a backend server; one with a single slot keeps no reserve.
pub(super) fn limits(backend: &Backend) -> SlotLimits {
    let slots = backend.slots;
    let reserve = slots.div_ceil(RESERVE_SHARE).min(slots.saturating_sub(1));
    SlotLimits {
        slots,
        reserve,
        queue: QUEUE_ITEMS,
    }
}

/// Returns the online requests of this instance in flight for a backend server.
pub(super) fn own_online(node: &Node, backend: &Backend) -> u32 {
    online::in_flight_on(node, backend)
}

/// Returns the online requests of all instances in flight for a backend server.
pub(super) fn all_online(node: &Node, now: Timestamp, backend: &Backend) -> u32 {
    let peers = node.control.online_at_peers(now, &backend.id);
    own_online(node, backend).saturating_add(peers)
}

/// Returns whether an online request may meet batch items on a backend server of which `free` slots
/// hold no online request, so that its manager must be told before the next heartbeat.
pub(crate) fn exceeds_reserve(backend: &Backend, free: i64) -> bool {
    let limits = limits(backend);
    free <= i64::from(limits.slots.saturating_sub(limits.reserve))
}
