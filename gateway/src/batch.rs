//! Start and preemption of the items of batch jobs.
//!
//! Load pattern: online requests leave half of the slots idle for about three seconds and then
//! need nearly all of them for about two, while items are due within 18 s and run for five. Each
//! instance starts its items in every idle slot, earliest deadline first, and stops those with the
//! latest deadline when online requests need the slots; a stopped item resumes later after its last
//! event.
//!
//! After a failure of instances or servers more items are due than there are slots. Items that can
//! no longer meet their deadline then start last, because each of them would make another one late.

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
use crate::server_limits::Permit;

/// An item that waits for a slot at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// The item.
    pub item: ItemKey,
    /// Deadline in Unix milliseconds.
    pub due: u64,
    /// Whether it can no longer meet its deadline.
    pub late: bool,
    /// Backend server of the last failed run, used only if no other one has a free slot.
    pub avoid: Option<BackendKey>,
}

/// A backend server that may run items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchCandidate {
    /// The server.
    pub key: BackendKey,
    /// Requests it runs concurrently.
    pub slots: u32,
    /// Requests placed on it.
    pub placed: Placed,
    /// Whether it was recently unresponsive.
    pub suspect: bool,
    /// Whether it is several times slower than the others.
    pub slow: bool,
    /// Whether it belongs to another cell; `placed` may then be one second old.
    pub other_cell: bool,
    /// Whether its limit on requests per second allows an item.
    pub permit: Permit,
    /// Time since the number of requests on it last changed.
    pub unchanged_for: Duration,
}

impl BatchCandidate {
    /// Returns the number of free slots.
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.placed.total())
    }

    /// Returns how many slots this instance may fill now if `kept` of them stay free.
    ///
    /// Each free slot is assigned to one of the instances with waiting items, so that concurrent
    /// decisions do not fill it twice. A slot that stays free passes to the next instance every
    /// [`TURN`]. `ahead` instances rank before all `contenders`.
    fn open_to(&self, kept: u32, me: &str, ahead: usize, contenders: &[&str]) -> u32 {
        let turn = self.unchanged_for.as_micros() / TURN.as_micros();
        let turn = usize::try_from(turn).unwrap_or(usize::MAX);
        let free = self.placed.total()..self.slots.saturating_sub(kept);
        let examined = free.take(MAX_EXAMINED_SLOTS);
        let open = examined.filter(|slot| ahead + self.rank(*slot, me, contenders) <= turn);
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    fn is_limited(&self) -> bool {
        !matches!(self.permit, Permit::Unlimited | Permit::Paced)
    }

    /// Returns the number of items that may start there at once. They leave a quarter of the slots of a
    /// limited server to online requests, which preempt them there only if nothing else is left.
    fn most_starts(&self) -> u32 {
        match self.is_limited() {
            // The next decision asks for the rate again.
            false if self.permit == Permit::Paced => 1,
            false => u32::MAX,
            true if self.placed.batch < self.slots.saturating_sub(self.slots.div_ceil(4)) => 1,
            true => 0,
        }
    }

    /// Returns the rank of this instance for a slot.
    fn rank(&self, slot: u32, me: &str, contenders: &[&str]) -> usize {
        let key = (u64::from(self.key.0) << 32 | u64::from(slot)).to_be_bytes();
        let own = (rendezvous_score(&key, me), me);
        let before = |name: &&&str| (rendezvous_score(&key, name), **name) > own;
        contenders.iter().filter(before).count()
    }
}

/// Returns how many slots of `servers` items leave free beside `online` requests, so that the next
/// requests start immediately without preempting an item. 0 while items are late.
///
/// The number of independently arriving requests varies by its square root. The reserve is at most
/// one slot per server, because at the peak online requests use nearly all slots anyway.
pub fn reserve(online: u32, servers: u32, late: bool) -> u32 {
    if late {
        return 0;
    }
    let spread = f64::from(online).sqrt().ceil() as u32;
    spread.max(1).min(servers)
}

/// Distributes `reserve` slots to be kept free over the servers, those with the most free slots
/// first. All instances compute the same distribution.
fn kept_free(candidates: &[&BatchCandidate], reserve: u32) -> Vec<u32> {
    let mut kept = vec![0; candidates.len()];
    for _ in 0..reserve {
        let remaining = |n: &usize| (candidates[*n].free() - kept[*n], candidates[*n].key);
        if let Some(n) = (0..candidates.len()).max_by_key(remaining) {
            kept[n] = (kept[n] + 1).min(candidates[n].free());
        }
    }
    kept
}

/// Maximum number of free slots of a server that one decision examines; each costs a hash for every
/// contender while the state of the instance is locked. The entry of a server states any number of
/// slots. Servers of the platform have 8, and the next decision examines those that are left.
const MAX_EXAMINED_SLOTS: usize = 128;

/// Time after which a free slot passes to the next instance; reports arrive within a few
/// milliseconds.
const TURN: Duration = Duration::from_millis(15);

/// The other instances that have waiting items.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contenders<'a> {
    /// Those with items that can still meet their deadlines.
    pub in_time: &'a [&'a str],
    /// Those whose items are all late.
    pub late: &'a [&'a str],
    /// Whether any of their items is late.
    pub any_late: bool,
}

/// Assigns waiting items to free slots. `reserve` computes the number of slots that stay free in
/// the own cell from its online requests, its servers and whether items are late. Servers of other
/// cells are used only while the own cell is full.
pub fn choose_starts(
    waiting: &mut [WaitingItem],
    candidates: &[BatchCandidate],
    me: &str,
    contenders: Contenders<'_>,
    reserve: impl Fn(u32, u32, bool) -> u32,
) -> Vec<(ItemKey, BackendKey)> {
    waiting.sort_by_key(|w| (w.late, w.due, w.item));
    let any_late = contenders.any_late || waiting.iter().any(|w| w.late);
    let (in_time, late) = waiting.split_at(waiting.partition_point(|w| !w.late));
    let usable = candidates
        .iter()
        .filter(|candidate| !candidate.suspect && !candidate.slow)
        .filter(|candidate| candidate.permit != Permit::Denied)
        .filter(|candidate| candidate.permit == Permit::Unlimited || !candidate.other_cell);
    let (other_cell, own_cell): (Vec<&BatchCandidate>, Vec<&BatchCandidate>) =
        usable.partition(|candidate| candidate.other_cell);
    let online = own_cell
        .iter()
        .map(|candidate| candidate.placed.online)
        .fold(0, u32::saturating_add);
    let servers = u32::try_from(own_cell.len()).unwrap_or(u32::MAX);
    let kept = kept_free(&own_cell, reserve(online, servers, any_late));
    let full = own_cell
        .iter()
        .zip(&kept)
        .all(|(candidate, kept)| candidate.free() <= *kept);
    let mut usable: Vec<(&BatchCandidate, u32)> = own_cell.into_iter().zip(kept).collect();
    if full {
        usable.extend(
            other_cell
                .into_iter()
                .map(|candidate| (candidate, OTHER_CELL_MARGIN)),
        );
    }
    let open = usable.into_iter().map(|(candidate, kept)| OpenSlots {
        candidate,
        kept,
        remaining: candidate
            .open_to(kept, me, 0, contenders.in_time)
            .min(candidate.most_starts()),
    });
    let mut open: Vec<OpenSlots<'_>> = open.collect();
    let mut chosen = Vec::new();
    fill(in_time, &mut open, &mut chosen);
    let ahead = contenders.in_time.len();
    for o in &mut open {
        let remaining = o.candidate.open_to(o.kept, me, ahead, contenders.late);
        o.remaining = o.remaining.min(remaining);
    }
    fill(late, &mut open, &mut chosen);
    chosen
}

/// A backend server with the number of its slots that this instance may still fill.
struct OpenSlots<'a> {
    candidate: &'a BatchCandidate,
    /// Slots that stay free.
    kept: u32,
    remaining: u32,
}

/// Assigns `waiting` to the remaining open slots.
fn fill(
    waiting: &[WaitingItem],
    open: &mut [OpenSlots<'_>],
    chosen: &mut Vec<(ItemKey, BackendKey)>,
) {
    for w in waiting {
        let usable = open.iter_mut().filter(|o| o.remaining > 0);
        let best = usable.max_by_key(|o| {
            (
                Some(o.candidate.key) != w.avoid,
                // A run takes a slot for long and is only one request, and online requests go to
                // the other servers first.
                o.candidate.is_limited(),
                o.remaining,
                o.candidate.key,
            )
        });
        let Some(best) = best else {
            break;
        };
        best.remaining -= 1;
        chosen.push((w.item, best.candidate.key));
    }
}

/// Returns the items of this instance that must stop: their slots are needed, their server has
/// become slow, or an instance whose name sorts first runs them as well.
///
/// All instances sort the items of a backend server in the same way, so that together they stop
/// exactly as many as there are requests in excess of its slots: late ones first, then those with
/// the latest deadline.
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
