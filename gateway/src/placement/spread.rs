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

/// Width of the interval of loads, relative to the slots, in which loads count as equal: an eighth of
/// a request on a server with 8 slots.
const RESOLUTION: f64 = 1.0 / 64.0;

/// Returns the candidate whose slot the request gets, or `None` without room. A rank beyond all room
/// starts again at the first slot, because other requests have ended meanwhile.
pub(super) fn slot_at(
    candidates: &[Candidate],
    limits: Limits,
    staleness: Staleness,
) -> Option<&Candidate> {
    let mut totals = [0_u64; CLASSES];
    for (class, count) in candidates
        .iter()
        .flat_map(|c| staleness.apply(c).counts(limits))
    {
        totals[usize::from(class)] += u64::from(count);
    }
    let (class, rank) = class_at(&totals, staleness.rank)?;
    let mut rooms = Vec::with_capacity(candidates.len());
    let of_class = |c| Some((staleness.apply(c).room_in(class, limits)?, c));
    rooms.extend(candidates.iter().filter_map(of_class));
    let (below, level) = level_at(&rooms, rank);
    let before: u64 = rooms.iter().map(|(room, _)| room.slots_up_to(below)).sum();
    rooms.retain(|(room, _)| room.slots_up_to(level) > room.slots_up_to(below));
    let place = usize::try_from(rank.saturating_sub(before)).unwrap_or(usize::MAX);
    let place = place.min(rooms.len().checked_sub(1)?);
    let (_, (_, chosen), _) = rooms.select_nth_unstable_by(place, |(_, x), (_, y)| tie_order(x, y));
    Some(chosen)
}

/// Returns the class in which the slot with this rank is, and its rank there. Suspected servers are
/// used only if there are no others.
fn class_at(totals: &[u64; CLASSES], rank: u32) -> Option<(u8, u64)> {
    let (suspected, others) = totals.split_last()?;
    let all: u64 = others.iter().sum();
    let Some(mut rank) = u64::from(rank).checked_rem(all) else {
        let rank = u64::from(rank).checked_rem(*suspected)?;
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

/// Returns an interval of loads: more than `rank` slots are up to its upper end, and not more than that
/// are up to its lower end.
fn level_at(rooms: &[(Room, &Candidate)], rank: u64) -> (f64, f64) {
    let count = |level: f64| -> u64 { rooms.iter().map(|(r, _)| r.slots_up_to(level)).sum() };
    let weights = rooms.iter().map(|(room, _)| room.weight);
    let mut below = weights.fold(f64::INFINITY, f64::min) - RESOLUTION;
    let tops = rooms.iter().map(|(room, _)| room.top());
    let mut level = tops.fold(below, f64::max) + RESOLUTION;
    while level - below > RESOLUTION {
        let middle = (below + level) / 2.0;
        // Large loads differ by more than the resolution of their type.
        if middle <= below || middle >= level {
            break;
        }
        if count(middle) > rank {
            level = middle;
        } else {
            below = middle;
        }
    }
    (below, level)
}

impl Room {
    /// Returns how many slots have at most this load.
    fn slots_up_to(&self, level: f64) -> u64 {
        if level < self.weight {
            return 0;
        }
        // The conversion saturates.
        let further = ((level - self.weight) / self.step) as u64;
        further.saturating_add(1).min(u64::from(self.count))
    }

    /// Returns the load with the last request that fits.
    fn top(&self) -> f64 {
        self.weight + self.step * f64::from(self.count.saturating_sub(1))
    }
}
