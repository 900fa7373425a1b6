//! Which items of batch jobs start, and which give their slots up to online requests.
//!
//! Load answered: online requests leave half of the slots idle for about three seconds and then
//! need nearly all of them for about two, while items are due within 18 s and run for five. Each
//! instance starts its items in every idle slot, the earliest due first, and stops the latest due
//! when online requests need the slots; a stopped item continues later from its last event.

use std::cmp::Reverse;

use crate::backend::BackendKey;
use crate::load::{
    Load,
    Placed, //
};
use crate::report::{
    BatchRun,
    ItemKey, //
};

/// An item that waits at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The item.
    pub item: ItemKey,
    /// When it is due, in Unix milliseconds.
    pub due: u64,
    /// Backend server where it failed last, which is avoided.
    pub avoid: Option<BackendKey>,
}

/// A backend server that may run items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// The server.
    pub key: BackendKey,
    /// Requests it runs at once.
    pub slots: u32,
    /// What is placed on it.
    pub placed: Placed,
    /// Whether it recently gave no answer.
    pub suspect: bool,
    /// Order in which this instance prefers servers, so that instances do not all choose the same.
    pub preference: u64,
}

impl Room {
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.placed.total())
    }
}

/// Chooses which waiting items start where.
///
/// `contenders` instances have waiting items; each takes its part of the free slots, so that
/// instances that decide at the same moment do not fill them twice.
pub fn starts(
    waiting: &mut [Waiting],
    rooms: &mut [Room],
    contenders: u32,
) -> Vec<(ItemKey, BackendKey)> {
    waiting.sort_by_key(|w| (w.due, w.item));
    let usable = |r: &Room| !r.suspect && r.free() > 0;
    let free: u32 = rooms.iter().filter(|r| usable(r)).map(Room::free).sum();
    let most = free.div_ceil(contenders.max(1));
    let mut chosen = Vec::new();
    for w in waiting.iter().take(most as usize) {
        let open = rooms.iter_mut().filter(|r| usable(r));
        let best = open.max_by_key(|r| (Some(r.key) != w.avoid, r.free(), r.preference));
        let Some(room) = best else {
            break;
        };
        room.placed.batch += 1;
        chosen.push((w.item, room.key));
    }
    chosen
}

/// Returns the items of this instance that must give their slots up.
///
/// All instances order the items of a backend server in the same way, so together they stop just
/// as many as there are requests beyond its slots.
pub fn yields(load: &Load, slots: impl Fn(BackendKey) -> Option<u32>) -> Vec<ItemKey> {
    let mut chosen = Vec::new();
    for own in load.own_batch() {
        let Some(slots) = slots(own.backend) else {
            continue;
        };
        let excess = load.placed(own.backend).total().saturating_sub(slots) as usize;
        if excess == 0 {
            continue;
        }
        let rank = |run: &BatchRun| Reverse((run.due, run.item));
        let before = load
            .batch_on(own.backend)
            .filter(|run| rank(run) < rank(own));
        if before.count() < excess {
            chosen.push(own.item);
        }
    }
    chosen
}
