//! Spread of requests that are placed from counts of some age.
//!
//! Load pattern: while the counts are on their way, other instances place requests on the servers
//! that were the least loaded ones, and all of them choose the same. The requests of this time have an
//! unknown order; each of them draws its place in it at random and takes the slot which is then due
//! (Dahlin, "Interpreting Stale Load Information", 1999). Counts that are up to date lead to the least
//! loaded server, old ones to a random choice by free slots.

use super::candidate::{
    CLASSES,
    Candidate,
    Limits,
    Room, //
};
use super::choice::tie_order;
use super::staleness::Staleness;

/// Number of intervals into which the loads above the least one are divided. Larger loads count to the
/// last one.
const INTERVALS: usize = 128;

/// Intervals per request and slot. Loads in the same one count as equal: an eighth of a request on a
/// server with 8 slots.
const RESOLUTION: f64 = 64.0;

/// Returns the candidate whose slot the request gets, or `None` without room. `class` is the class of
/// the first slot. A rank beyond all room starts again at the first slot, because other requests have
/// ended meanwhile.
pub(super) fn slot_at(
    candidates: &[Candidate],
    limits: Limits,
    staleness: Staleness,
    class: u8,
) -> Option<&Candidate> {
    let (rooms, total) = rooms_in(candidates, limits, staleness, class);
    let rank = u64::from(staleness.rank);
    if rank < total {
        return due(rooms, rank);
    }
    let mut totals = [0_u64; CLASSES];
    for (class, count) in candidates
        .iter()
        .flat_map(|c| staleness.apply(c).counts(limits))
    {
        totals[usize::from(class)] += u64::from(count);
    }
    let (class, rank) = class_at(&totals, rank)?;
    due(rooms_in(candidates, limits, staleness, class).0, rank)
}

/// Returns the rooms of a class with their candidates, and the number of requests that fit there.
fn rooms_in(
    candidates: &[Candidate],
    limits: Limits,
    staleness: Staleness,
    class: u8,
) -> (Vec<(Room, &Candidate)>, u64) {
    let mut rooms = Vec::with_capacity(candidates.len());
    let mut total = 0;
    for c in candidates {
        if let Some(room) = staleness.apply(c).room_in(class, limits) {
            total += u64::from(room.count);
            rooms.push((room, c));
        }
    }
    (rooms, total)
}

/// Returns the class in which the slot with this rank is, and its rank there. Suspected servers are
/// used only if there are no others.
fn class_at(totals: &[u64; CLASSES], rank: u64) -> Option<(u8, u64)> {
    let (suspected, others) = totals.split_last()?;
    let all: u64 = others.iter().sum();
    let Some(mut rank) = rank.checked_rem(all) else {
        let rank = rank.checked_rem(*suspected)?;
        return Some((CLASSES as u8 - 1, rank));
    };
    for (class, total) in (0..).zip(others) {
        if rank < *total {
            return Some((class, rank));
        }
        rank -= total;
    }
    None
}

/// Returns the candidate with the slot at `rank`, in the order of loads and then of preference.
fn due(mut rooms: Vec<(Room, &Candidate)>, rank: u64) -> Option<&Candidate> {
    let weights = rooms.iter().map(|(room, _)| room.weight);
    let least = weights.fold(f64::INFINITY, f64::min);
    let mut slots = [0_u64; INTERVALS];
    for (room, _) in &rooms {
        // Further slots of one server are not due yet.
        let count = u64::from(room.count).min(rank + 1);
        for interval in room.intervals(least, count) {
            slots[interval] += 1;
        }
    }
    let mut before = 0;
    let due = slots.iter().position(|slots| {
        let is_due = before + slots > rank;
        if !is_due {
            before += slots;
        }
        is_due
    })?;
    rooms.retain(|(room, _)| {
        let mut intervals = room.intervals(least, room.count.into());
        intervals.find(|interval| *interval >= due) == Some(due)
    });
    let place = usize::try_from(rank - before).unwrap_or(usize::MAX);
    let place = place.min(rooms.len().checked_sub(1)?);
    let (_, (_, chosen), _) = rooms.select_nth_unstable_by(place, |(_, x), (_, y)| tie_order(x, y));
    Some(chosen)
}

impl Room {
    /// Returns the intervals of the first `count` slots. Those in the last interval are one.
    fn intervals(self, least: f64, count: u64) -> impl Iterator<Item = usize> {
        let step = self.step * RESOLUTION;
        let mut load = (self.weight - least) * RESOLUTION;
        let mut left = count;
        std::iter::from_fn(move || {
            left = left.checked_sub(1)?;
            // The conversion saturates, and takes an undefined number as 0.
            let interval = (load as usize).min(INTERVALS - 1);
            if interval == INTERVALS - 1 {
                left = 0;
            }
            load += step;
            Some(interval)
        })
    }
}
