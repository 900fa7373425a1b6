//! Assignment of waiting items to free slots.
//!
//! Load pattern: each instance starts its items in the idle slots that the next online requests do not
//! need, earliest deadline first. After a failure of instances or servers more items are due than
//! there are slots. Items that can no longer meet their deadline then start last, because each of
//! them would make another one late.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;
use crate::batch::candidate::{
    BatchCandidate,
    WaitingItem, //
};
use crate::batch::openings::Openings;
use crate::batch::reserve::kept_free;
use crate::cells::OTHER_CELL_MARGIN;
use crate::report::ItemKey;
use crate::server_limits::Permit;

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
    let free_for = |candidate: &BatchCandidate, _| candidate.unchanged_for;
    assign(waiting, candidates, me, contenders, reserve, free_for)
}

/// Does the same with turns that are counted from the moment at which items might use a slot.
pub(super) fn choose_starts_in_turn(
    waiting: &mut [WaitingItem],
    candidates: &[BatchCandidate],
    me: &str,
    contenders: Contenders<'_>,
    reserve: impl Fn(u32, u32, bool) -> u32,
    openings: &mut Openings,
    now: Timestamp,
) -> Vec<(ItemKey, BackendKey)> {
    openings.forget_unused(now);
    let free_for = |candidate: &BatchCandidate, kept| {
        let free = candidate.free().saturating_sub(kept);
        let free_for = openings.observe(candidate.key, free, now);
        free_for.min(candidate.unchanged_for)
    };
    assign(waiting, candidates, me, contenders, reserve, free_for)
}

fn assign(
    waiting: &mut [WaitingItem],
    candidates: &[BatchCandidate],
    me: &str,
    contenders: Contenders<'_>,
    reserve: impl Fn(u32, u32, bool) -> u32,
    mut free_for: impl FnMut(&BatchCandidate, u32) -> Duration,
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
    let open = usable.into_iter().map(|(candidate, kept)| {
        let free_for = free_for(candidate, kept);
        let remaining = candidate.open_to(kept, free_for, me, 0, contenders.in_time);
        OpenSlots {
            candidate,
            kept,
            free_for,
            remaining: remaining.min(candidate.most_starts()),
        }
    });
    let mut open: Vec<OpenSlots<'_>> = open.collect();
    let mut chosen = Vec::new();
    fill(in_time, &mut open, &mut chosen);
    let ahead = contenders.in_time.len();
    for o in &mut open {
        let remaining = o
            .candidate
            .open_to(o.kept, o.free_for, me, ahead, contenders.late);
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
    /// Time for which the others have been free.
    free_for: Duration,
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
