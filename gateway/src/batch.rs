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
use crate::cells::OTHER_CELL_MARGIN;
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
pub struct WaitingItem {
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
pub struct BatchCandidate {
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
    /// Whether other cells place requests there first; what is placed on it may be a second old.
    pub other_cell: bool,
    /// How long the number of requests on it has been the same.
    pub unchanged_for: Duration,
}

impl BatchCandidate {
    /// Returns the slots that nothing is placed on.
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.placed.total())
    }

    /// Returns how many slots this instance may fill now if `kept` of them stay free.
    ///
    /// Each free slot belongs to one of the instances that have waiting items, so that instances
    /// that decide at the same moment do not fill it twice. A slot that its instance leaves free
    /// goes to the next one after a while. `ahead` instances come before all `contenders`.
    fn open_to(&self, kept: u32, me: &str, ahead: usize, contenders: &[&str]) -> u32 {
        let turn = self.unchanged_for.as_micros() / TURN.as_micros();
        let turn = usize::try_from(turn).unwrap_or(usize::MAX);
        let free = self.placed.total()..self.slots.saturating_sub(kept);
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

/// Returns how many slots of `servers` items leave free beside `online` requests, so that the next
/// requests start at once and stop no item. While items are late they take every slot.
///
/// Requests that arrive independently vary by the square root of their number. One slot a server is
/// the most, because at the peak online requests take nearly all slots anyway.
pub fn reserve(online: u32, servers: u32, late: bool) -> u32 {
    if late {
        return 0;
    }
    let spread = f64::from(online).sqrt().ceil() as u32;
    spread.max(1).min(servers)
}

/// Returns how many of `reserve` slots stay free on each server: those where most are free. All
/// instances choose the same ones.
fn kept_free(rooms: &[&BatchCandidate], reserve: u32) -> Vec<u32> {
    let mut kept = vec![0; rooms.len()];
    for _ in 0..reserve {
        let left = |n: &usize| (rooms[*n].free() - kept[*n], rooms[*n].key);
        if let Some(n) = (0..rooms.len()).max_by_key(left) {
            kept[n] = (kept[n] + 1).min(rooms[n].free());
        }
    }
    kept
}

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
    /// Whether one of all these items is late.
    pub any_late: bool,
}

/// Chooses which waiting items start where. `reserve` gives the slots that stay free in the own cell
/// from its online requests and servers. Servers of other cells are used while the own cell is full.
pub fn choose_starts(
    waiting: &mut [WaitingItem],
    rooms: &[BatchCandidate],
    me: &str,
    contenders: Contenders<'_>,
    reserve: impl Fn(u32, u32, bool) -> u32,
) -> Vec<(ItemKey, BackendKey)> {
    waiting.sort_by_key(|w| (w.late, w.due, w.item));
    let any_late = contenders.any_late || waiting.iter().any(|w| w.late);
    let (in_time, late) = waiting.split_at(waiting.partition_point(|w| !w.late));
    let usable = rooms.iter().filter(|room| !room.suspect && !room.slow);
    let (other_cell, near): (Vec<&BatchCandidate>, Vec<&BatchCandidate>) =
        usable.partition(|room| room.other_cell);
    let online = near.iter().map(|room| room.placed.online).sum();
    let servers = u32::try_from(near.len()).unwrap_or(u32::MAX);
    let kept = kept_free(&near, reserve(online, servers, any_late));
    let full = near
        .iter()
        .zip(&kept)
        .all(|(room, kept)| room.free() <= *kept);
    let mut usable: Vec<(&BatchCandidate, u32)> = near.into_iter().zip(kept).collect();
    if full {
        usable.extend(other_cell.into_iter().map(|room| (room, OTHER_CELL_MARGIN)));
    }
    let open = usable.into_iter().map(|(room, kept)| Open {
        room,
        kept,
        left: room.open_to(kept, me, 0, contenders.in_time),
    });
    let mut open: Vec<Open<'_>> = open.collect();
    let mut chosen = Vec::new();
    fill(in_time, &mut open, &mut chosen);
    let ahead = contenders.in_time.len();
    for o in &mut open {
        let left = o.room.open_to(o.kept, me, ahead, contenders.late);
        o.left = o.left.min(left);
    }
    fill(late, &mut open, &mut chosen);
    chosen
}

/// A backend server and the slots of it that this instance may still fill.
struct Open<'a> {
    room: &'a BatchCandidate,
    /// Slots that stay free.
    kept: u32,
    left: u32,
}

/// Starts `waiting` in the slots that are left of each server.
fn fill(waiting: &[WaitingItem], open: &mut [Open<'_>], chosen: &mut Vec<(ItemKey, BackendKey)>) {
    for w in waiting {
        let usable = open.iter_mut().filter(|o| o.left > 0);
        let best = usable.max_by_key(|o| (Some(o.room.key) != w.avoid, o.left, o.room.key));
        let Some(best) = best else {
            break;
        };
        best.left -= 1;
        chosen.push((w.item, best.room.key));
    }
}

/// Returns the items of this instance that must stop: their slots are needed, their server has
/// become slow, or an instance that is earlier by name runs them as well.
///
/// All instances order the items of a backend server in the same way, so together they stop just
/// as many as there are requests beyond its slots: late ones first, then the latest due.
pub fn choose_preemptions(
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
