//! Which backend server an online request goes to, and when none is left for it.
//!
//! Load answered: online requests swing fivefold every few seconds while batch items fill every
//! free slot. A request goes where fewest requests run. A full fleet with batch items on it counts
//! as free, because the instances that run the items give the slots up when they hear of the
//! request. Backend servers queue in the order of arrival, so only as many requests wait there as
//! start within the objective; the others are refused at once with the time to come back.

use std::time::Duration;

use crate::backend::BackendKey;
use crate::cells::OTHER_CELL_MARGIN;
use crate::load::Placed;

/// A backend server that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub key: BackendKey,
    /// Requests it runs at once.
    pub slots: u32,
    /// What is placed on it.
    pub placed: Placed,
    /// Whether it recently gave no answer.
    pub suspect: bool,
    /// Whether the attempt was already turned away there.
    pub tried: bool,
    /// Mean time a request holds a slot there, relative to the other servers; 1 is the mean.
    pub slowness: f64,
    /// Whether a connection to it is idle; a new one costs time and has a price.
    pub connected: bool,
    /// Whether it is in the zone of this instance.
    pub local: bool,
    /// Whether other cells place requests there first; what is placed on it may be a second old.
    pub other_cell: bool,
    /// Tie breaker, drawn for each request.
    pub draw: u32,
}

/// Limits of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Online requests that may wait at a backend server beyond its slots.
    pub queue: u32,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// It runs, or waits briefly, on this server.
    Send(BackendKey),
    /// Every server is full of online requests.
    Full,
    /// No server is known for the service.
    NoBackend,
}

/// Class of a candidate; a lower one is always preferred.
fn class(c: &Candidate, limits: Limits) -> Option<u8> {
    if c.tried {
        return None;
    }
    let class = match c.placed {
        _ if c.suspect => 6,
        placed if !c.other_cell && placed.total() < c.slots => 0,
        placed if !c.other_cell && placed.online < c.slots => 1,
        placed if placed.total() + OTHER_CELL_MARGIN < c.slots => 2,
        placed if !c.other_cell && placed.online < c.slots + limits.queue => 3,
        placed if placed.online < c.slots => 4,
        placed if placed.online < c.slots + limits.queue => 5,
        _ => return None,
    };
    Some(class)
}

/// Returns whether a request that is sent to the candidate starts as soon as items there give way.
pub fn starts_immediately(c: &Candidate) -> bool {
    !c.tried && !c.suspect && c.placed.online < c.slots
}

/// Returns the place of an online request.
pub fn place(candidates: &[Candidate], limits: Limits) -> Placement {
    if candidates.is_empty() {
        return Placement::NoBackend;
    }
    let ranked = candidates
        .iter()
        .filter_map(|c| class(c, limits).map(|class| (class, c)));
    let best = ranked.min_by(|(a, x), (b, y)| {
        let order = a.cmp(b).then(weight(x).total_cmp(&weight(y)));
        let order = order.then(y.connected.cmp(&x.connected));
        let order = order.then(y.local.cmp(&x.local));
        order.then(x.draw.cmp(&y.draw))
    });
    best.map_or(Placement::Full, |(_, c)| Placement::Send(c.key))
}

/// Expected load of a candidate with one more request, relative to its slots.
fn weight(c: &Candidate) -> f64 {
    // Batch items yield, so they weigh less than online requests.
    let placed = f64::from(c.placed.online) + 0.5 * f64::from(c.placed.batch) + 1.0;
    placed * c.slowness / f64::from(c.slots.max(1))
}

/// Returns when a caller that found the fleet full should come back.
///
/// `running` requests hold the slots for `holding` each; `excess` of them have no slot yet.
pub fn retry_after(running: u32, excess: u32, holding: Duration) -> Duration {
    let freed_after = holding.as_secs_f64() / f64::from(running.max(1));
    let wait = freed_after * f64::from(excess + 1);
    Duration::from_secs_f64(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Shortest time to come back in seconds; a caller that returns sooner finds the same load.
const MIN_RETRY_AFTER: f64 = 0.2;
/// Longest time to come back in seconds; peaks of load last about two seconds.
const MAX_RETRY_AFTER: f64 = 1.5;
