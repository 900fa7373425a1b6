//! Which items of batch jobs start, and which give their slots up to online requests.
//!
//! Load answered: online requests leave half of the slots idle for about three seconds and then
//! need nearly all of them for about two, while items are due within 18 s and run for five. Each
//! instance starts its items in every idle slot, the earliest due first, and stops the latest due
//! when online requests need the slots; a stopped item continues later from its last event.
//!
//! After a loss of instances or servers more items are due than there are slots for. Items that
//! can no longer be on time then come last, because each of them would make another one late.

use std::cmp::Reverse;
use std::time::Duration;

use limpetweir_coordination::rendezvous_score;

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
    /// Whether it cannot be on time any more.
    pub late: bool,
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
    /// Whether it works several times slower than the others.
    pub slow: bool,
    /// How long the number of requests on it has been the same.
    pub unchanged_for: Duration,
}

impl Room {
    /// Returns how many slots this instance may fill now.
    ///
    /// Each free slot belongs to one of the instances that have waiting items, so that instances
    /// that decide at the same moment do not fill it twice. A slot that its instance leaves free
    /// goes to the next one after a while. `ahead` instances come before all `contenders`.
    fn open_to(&self, me: &str, ahead: usize, contenders: &[&str]) -> u32 {
        let turn = self.unchanged_for.as_micros() / TURN.as_micros();
        let turn = usize::try_from(turn).unwrap_or(usize::MAX);
        let free = self.placed.total()..self.slots.saturating_sub(RESERVE);
        let open = free.filter(|slot| ahead + self.rank(*slot, me, contenders) <= turn);
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Returns the place of this instance in the order of the instances for a slot.
    fn rank(&self, slot: u32, me: &str, contenders: &[&str]) -> usize {
        let key = (u64::from(self.key.0) << 32 | u64::from(slot)).to_be_bytes();
        let own = (rendezvous_score(&key, me), me);
        let before = |name: &&&str| (rendezvous_score(&key, name), **name) > own;
        contenders.iter().filter(before).count()
    }
}

/// Slots of each server that items leave free, so that the next online request starts at once and
/// stops no item.
const RESERVE: u32 = 1;

/// Time after which a free slot goes to the next instance; reports arrive within a few
/// milliseconds.
const TURN: Duration = Duration::from_millis(15);

/// The other instances that have waiting items.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contenders<'a> {
    /// Those with items that can still be on time.
    pub in_time: &'a [&'a str],
    /// Those whose items are all late.
    pub late: &'a [&'a str],
}

/// Chooses which waiting items start where.
pub fn starts(
    waiting: &mut [Waiting],
    rooms: &[Room],
    me: &str,
    contenders: Contenders<'_>,
) -> Vec<(ItemKey, BackendKey)> {
    waiting.sort_by_key(|w| (w.late, w.due, w.item));
    let (in_time, late) = waiting.split_at(waiting.partition_point(|w| !w.late));
    let usable = rooms.iter().filter(|room| !room.suspect && !room.slow);
    let mut open: Vec<_> = usable
        .map(|room| (room.open_to(me, 0, contenders.in_time), room))
        .filter(|(open, _)| *open > 0)
        .collect();
    let mut chosen = Vec::new();
    fill(in_time, &mut open, &mut chosen);
    let ahead = contenders.in_time.len();
    for (left, room) in &mut open {
        *left = (*left).min(room.open_to(me, ahead, contenders.late));
    }
    fill(late, &mut open, &mut chosen);
    chosen
}

/// Starts `waiting` in the slots that are left of each server.
fn fill(waiting: &[Waiting], open: &mut [(u32, &Room)], chosen: &mut Vec<(ItemKey, BackendKey)>) {
    for w in waiting {
        let usable = open.iter_mut().filter(|(left, _)| *left > 0);
        let best = usable.max_by_key(|(left, room)| (Some(room.key) != w.avoid, *left, room.key));
        let Some((left, room)) = best else {
            break;
        };
        *left -= 1;
        chosen.push((w.item, room.key));
    }
}

/// Returns the items of this instance that must stop: their slots are needed, their server has
/// become slow, or an instance that is earlier by name runs them as well.
///
/// All instances order the items of a backend server in the same way, so together they stop just
/// as many as there are requests beyond its slots: late ones first, then the latest due.
pub fn yields(
    load: &Load,
    me: &str,
    unix_ms: u64,
    slots: impl Fn(BackendKey) -> Option<u32>,
    slow: impl Fn(BackendKey) -> bool,
) -> Vec<ItemKey> {
    let mut chosen = Vec::new();
    for own in load.own_batch() {
        if slow(own.backend) || load.peers_running(own.item).any(|peer| peer < me) {
            chosen.push(own.item);
            continue;
        }
        let Some(slots) = slots(own.backend) else {
            continue;
        };
        let excess = load.placed(own.backend).total().saturating_sub(slots) as usize;
        if excess == 0 {
            continue;
        }
        let rank = |run: &BatchRun| Reverse((run.due <= unix_ms, run.due, run.item));
        let before = load
            .batch_on(own.backend)
            .filter(|run| rank(run) < rank(own));
        if before.count() < excess {
            chosen.push(own.item);
        }
    }
    chosen
}
