//! Items under which backend servers have crashed. They are owed, so no case holds them; they run one after
//! the other, after growing pauses, and on a server with nothing else if there is one.

use std::collections::HashMap;
use std::sync::Arc;

use limpetweir_state::Timestamp;

use super::leases;
use super::lines::{
    ITEM_HELD,
    log_event, //
};
use super::node::Node;
use super::runs;
use super::state::{
    ItemLease,
    State, //
};
use crate::backend::BackendKey;
use crate::batch::{
    BatchCandidate,
    WaitingItem, //
};
use crate::open_items::Phase;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::quarantine::ItemTurn;
use crate::report::ItemKey;
use crate::request_parts::RequestParts;
use crate::server_limits::Permit;

/// Removes the items from `waiting` whose turn has not come.
pub(crate) fn pace<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    state: &mut State,
    waiting: &mut Vec<WaitingItem>,
    now: Timestamp,
) {
    drop_leases(state, waiting);
    if state.quarantine.is_empty() {
        return;
    }
    waiting.retain(|w| {
        let Some(parts) = parts_of(node, state, w.item) else {
            return true;
        };
        let key = match state.quarantine.item_turn(parts.keys(), now) {
            ItemTurn::Free => return true,
            ItemTurn::Later => {
                log_wait(state, w.item, &parts);
                return false;
            }
            ItemTurn::WithLease(key) => key,
        };
        if let Some(lease) = state.item_leases.get(&w.item) {
            return lease.is_confirmed;
        }
        if state.leases.claim(key, now) {
            let lease = ItemLease {
                key,
                is_confirmed: false,
            };
            state.item_leases.insert(w.item, lease);
            leases::confirm_for_item(node, w.item, key);
        }
        false
    });
}

/// Ends the leases of items that neither wait nor run at this instance.
fn drop_leases(state: &mut State, waiting: &[WaitingItem]) {
    let items = &state.items;
    let leases = &mut state.leases;
    state.item_leases.retain(|item, lease| {
        let open = items.get(*item);
        let runs = open.is_some_and(|open| matches!(open.phase, Phase::Running(_)));
        let is_needed = runs || waiting.iter().any(|w| w.item == *item);
        if !is_needed {
            leases.release(lease.key);
        }
        is_needed
    });
}

/// Returns the keys of an item, which are computed once.
fn parts_of<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    state: &mut State,
    key: ItemKey,
) -> Option<Arc<RequestParts>> {
    let open = state.items.get_mut(key)?;
    if open.parts.is_none() {
        let jobs = state.partitions.get(open.partition)?.loaded()?;
        let job = jobs.get(&open.job)?;
        let item = job.items.get(open.index)?;
        let parts = runs::item_parts(&node.platform, item, &job.organisation, &job.host);
        open.parts = Some(Arc::new(parts));
    }
    open.parts.clone()
}

/// Logs once that an item waits.
fn log_wait(state: &mut State, key: ItemKey, parts: &RequestParts) {
    if let Some(open) = state.items.get_mut(key)
        && !std::mem::replace(&mut open.held_back, true)
    {
        let identity = parts.identity();
        log_event!(
            ITEM_HELD,
            "job={} index={} identity={identity}",
            open.job,
            open.index
        );
    }
}

/// Takes the items out of `waiting` that run under a lease, and returns them with the servers that they
/// start on: those with the fewest runs.
pub(crate) fn choose_alone(
    leases: &HashMap<ItemKey, ItemLease>,
    waiting: &mut Vec<WaitingItem>,
    candidates: &[BatchCandidate],
) -> Vec<(ItemKey, BackendKey)> {
    let (alone, others) = waiting.iter().partition(|w| leases.contains_key(&w.item));
    *waiting = others;
    let alone: Vec<WaitingItem> = alone;
    let usable = candidates.iter().filter(|c| {
        !c.suspect && !c.slow && c.permit != Permit::Denied && c.placed.total() < c.slots
    });
    let mut usable: Vec<&BatchCandidate> = usable.collect();
    usable.sort_by_key(|c| (c.placed.total(), c.other_cell));
    let pairs = alone.into_iter().zip(usable);
    pairs
        .map(|(w, candidate)| (w.item, candidate.key))
        .collect()
}
