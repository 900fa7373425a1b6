//! Backend servers that may run a request, and the room that each of them has.
//!
//! Backend servers queue requests in order of arrival, so only as many requests wait there as start
//! within the objective; the others are rejected immediately with a retry time.

use crate::backend::{
    BackendKey,
    RunKey, //
};
use crate::cells::OTHER_CELL_MARGIN;
use crate::load::Placed;
use crate::server_limits::Permit;

/// A backend server that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub key: BackendKey,
    /// Its present run.
    pub run: RunKey,
    /// Requests it runs concurrently.
    pub slots: u32,
    /// Requests placed on it.
    pub placed: Placed,
    /// Whether it was recently unresponsive.
    pub suspect: bool,
    /// Whether it already rejected this attempt.
    pub tried: bool,
    /// Time between its events, relative to the median of the servers; 1 if unknown.
    pub slowness: f64,
    /// Whether there is an idle connection to it; opening one takes time and is billed.
    pub connected: bool,
    /// Whether it is in the zone of this instance.
    pub local: bool,
    /// Whether it belongs to another cell; `placed` may then be one second old.
    pub other_cell: bool,
    /// Whether its limit on requests per second allows the request.
    pub permit: Permit,
    /// Whether it is in the shard of the request.
    pub in_shard: bool,
    /// Tie breaker, drawn for each request.
    pub draw: u32,
}

/// Placement limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Online requests that may wait at a backend server in addition to its slots.
    pub queue: u32,
}

/// Result of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// The request is sent to this server, where it runs or waits briefly.
    Send(BackendKey),
    /// All servers are full of online requests.
    Full,
    /// The service has no known server.
    NoBackend,
}

/// Returns whether only the limit of the candidate keeps a request away.
pub fn is_limited(c: &Candidate) -> bool {
    c.permit == Permit::Denied && !c.tried && c.placed.online < c.slots
}

/// Returns whether a request that is sent to the candidate starts as soon as items are preempted.
pub fn starts_immediately(c: &Candidate) -> bool {
    let may_start = !c.tried && !c.suspect && c.permit != Permit::Denied;
    may_start && c.placed.online < c.slots
}

/// Number of preference classes.
pub(super) const CLASSES: usize = 9;

/// Room of a candidate in one preference class. A lower class is always preferred: a free slot (0), a
/// slot with an item (1), a free slot of a server with a limit (2), then of another cell (3), the
/// queue of an own server (4), slots with items (5) and the queue (6) of another cell, a slot with an
/// item of a server with a limit (7), and suspected servers (8).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Room {
    /// Preference class, less than [`CLASSES`].
    pub(super) class: u8,
    /// Requests that fit.
    pub(super) count: u32,
    /// Load with the first of them, relative to the slots.
    pub(super) weight: f64,
    /// Load that each further one adds.
    pub(super) step: f64,
}

/// Weight of a batch item relative to an online request, because it can be preempted.
const ITEM_WEIGHT: f64 = 0.5;

impl Candidate {
    /// Returns the room in `class`, unless there is none.
    pub(super) fn room_in(&self, class: u8, limits: Limits) -> Option<Room> {
        let counts = self.counts(limits);
        let index = counts.iter().position(|(c, n)| *c == class && *n > 0)?;
        let (mut online, mut batch) = (self.placed.online, self.placed.batch);
        for (before, count) in &counts[..index] {
            online = online.saturating_add(*count);
            if preempts(*before) {
                batch = batch.saturating_sub(*count);
            }
        }
        Some(self.room(counts[index], Placed { online, batch }))
    }

    /// Returns the first room that is not empty, or `None` if the candidate is not eligible.
    pub(super) fn first_room(&self, limits: Limits) -> Option<Room> {
        let counts = self.counts(limits);
        let first = counts.into_iter().find(|(_, count)| *count > 0)?;
        Some(self.room(first, self.placed))
    }

    /// Returns a room with the requests that are there before it is used.
    fn room(&self, (class, count): (u8, u32), placed: Placed) -> Room {
        let slot = self.slowness / f64::from(self.slots.max(1));
        let load = f64::from(placed.online) + ITEM_WEIGHT * f64::from(placed.batch) + 1.0;
        let step = if preempts(class) {
            1.0 - ITEM_WEIGHT
        } else {
            1.0
        };
        Room {
            class,
            count,
            weight: load * slot,
            step: step * slot,
        }
    }

    /// Returns the requests that fit, by class in the order in which they are used.
    pub(super) fn counts(&self, limits: Limits) -> [(u8, u32); 3] {
        let Placed { online, .. } = self.placed;
        let placed = self.placed.total();
        let with_queue = self.slots.saturating_add(limits.queue);
        let without_wait = self.slots.saturating_sub(online);
        let queue = with_queue.saturating_sub(online) - without_wait;
        if self.tried || self.permit == Permit::Denied {
            return NO_ROOM;
        }
        // The rate of a cold server is shared among the instances of its cell.
        if self.permit == Permit::Paced && self.other_cell {
            return NO_ROOM;
        }
        if self.permit == Permit::Allowed {
            return self.limited_counts();
        }
        if self.suspect {
            return [(8, without_wait + queue), EMPTY, EMPTY];
        }
        if self.other_cell {
            let free = self
                .slots
                .saturating_sub(placed.saturating_add(OTHER_CELL_MARGIN));
            return [(3, free), (5, without_wait - free), (6, queue)];
        }
        let free = self.slots.saturating_sub(placed);
        [(0, free), (1, without_wait - free), (4, queue)]
    }

    /// Returns the room of a server with a limit. It follows those without one that have a slot, and
    /// no request waits there. The limit of a server is shared among the instances of its cell; it
    /// allows this request, and nothing is known about the next one.
    fn limited_counts(&self) -> [(u8, u32); 3] {
        let class = match self.placed {
            _ if self.other_cell => return NO_ROOM,
            placed if placed.online >= self.slots => return NO_ROOM,
            _ if self.suspect => 8,
            placed if placed.total() < self.slots => 2,
            // An item that is preempted there needs another request later.
            _ => 7,
        };
        [(class, 1), EMPTY, EMPTY]
    }
}

/// Returns whether a request in this class preempts an item.
fn preempts(class: u8) -> bool {
    matches!(class, 1 | 5)
}

/// An empty room, of the last class.
const EMPTY: (u8, u32) = (8, 0);

/// Rooms of a candidate that is not eligible.
const NO_ROOM: [(u8, u32); 3] = [EMPTY; 3];
