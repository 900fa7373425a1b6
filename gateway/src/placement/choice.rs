//! Choice of the backend server of an online request.

use std::cmp::Ordering;

use super::candidate::{
    Candidate,
    Limits,
    Placement,
    Room, //
};
use super::spread::slot_at;
use super::staleness::Staleness;

/// Load by which a server of the shard may exceed the least loaded one, relative to its slots.
const SHARD_MARGIN: f64 = 0.25;

/// Chooses the backend server of an online request from counts that are up to date.
pub fn place(candidates: &[Candidate], limits: Limits) -> Placement {
    place_stale(candidates, limits, Staleness::FRESH)
}

/// Chooses the backend server of an online request from counts that are out of date. A server of the
/// request's shard is preferred, if it is among the least loaded ones.
pub fn place_stale(candidates: &[Candidate], limits: Limits, staleness: Staleness) -> Placement {
    if candidates.is_empty() {
        return Placement::NoBackend;
    }
    let with_room = |c: &&Candidate| c.first_room(limits);
    let ranked = candidates.iter().filter_map(|c| Some((with_room(&c)?, c)));
    let Some((best, first)) = ranked.min_by(order) else {
        return Placement::Full;
    };
    let most = best.weight + SHARD_MARGIN;
    let in_shard = candidates.iter().filter(|c| c.in_shard);
    let in_shard = in_shard.filter_map(|c| Some((with_room(&c)?, c)));
    let in_shard = in_shard.filter(|(room, _)| room.class == best.class && room.weight <= most);
    let chosen = match in_shard.min_by(order) {
        Some((_, shard)) => shard,
        None if staleness.rank == 0 => first,
        None => slot_at(candidates, limits, staleness, best.class).unwrap_or(first),
    };
    Placement::Send(chosen.key)
}

/// Compares two candidates with their rooms; the lesser one is preferred.
fn order((a, x): &(Room, &Candidate), (b, y): &(Room, &Candidate)) -> Ordering {
    let order = a.class.cmp(&b.class).then(a.weight.total_cmp(&b.weight));
    order.then_with(|| tie_order(x, y))
}

/// Compares two candidates with the same load.
pub(super) fn tie_order(x: &Candidate, y: &Candidate) -> Ordering {
    let order = y.connected.cmp(&x.connected);
    let order = order.then(y.local.cmp(&x.local));
    order.then(x.draw.cmp(&y.draw))
}
