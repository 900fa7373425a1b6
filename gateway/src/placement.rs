//! Placement of online requests on backend servers, and admission when all are full.
//!
//! Load pattern: the number of online requests changes fivefold every few seconds while batch items
//! fill every free slot. A request goes to the server with the fewest requests. Slots with batch
//! items count as free, because the instances that run the items preempt them when the request is
//! reported. Backend servers queue requests in order of arrival, so only as many requests wait
//! there as start within the objective; the others are rejected immediately with a retry time.

use std::cmp::Ordering;
use std::time::Duration;

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

/// Returns the preference class of a candidate, or `None` if it is not eligible. A lower class is
/// always preferred.
fn class(c: &Candidate, limits: Limits) -> Option<u8> {
    if c.tried || c.permit == Permit::Denied {
        return None;
    }
    let placed = c.placed;
    // The rate of a cold server is shared among the instances of its cell.
    if c.permit == Permit::Paced && c.other_cell {
        return None;
    }
    if c.permit == Permit::Allowed {
        return limited_class(c);
    }
    let with_queue = c.slots.saturating_add(limits.queue);
    let class = match placed {
        placed if c.suspect && placed.online < with_queue => 8,
        _ if c.suspect => return None,
        _ if !c.other_cell && placed.total() < c.slots => 0,
        _ if !c.other_cell && placed.online < c.slots => 1,
        _ if placed.total().saturating_add(OTHER_CELL_MARGIN) < c.slots => 3,
        _ if !c.other_cell && placed.online < with_queue => 4,
        _ if placed.online < c.slots => 5,
        _ if placed.online < with_queue => 6,
        _ => return None,
    };
    Some(class)
}

/// Returns the preference class of a server with a limit. It follows those without one that have a
/// slot, and no request waits there. The limit of a server is shared among the instances of its cell.
fn limited_class(c: &Candidate) -> Option<u8> {
    match c.placed {
        _ if c.other_cell => None,
        placed if placed.online >= c.slots => None,
        _ if c.suspect => Some(8),
        placed if placed.total() < c.slots => Some(2),
        // An item that is preempted there needs another request later.
        _ => Some(7),
    }
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

/// Chooses the backend server of an online request.
pub fn place(candidates: &[Candidate], limits: Limits) -> Placement {
    if candidates.is_empty() {
        return Placement::NoBackend;
    }
    let ranked = candidates
        .iter()
        .filter_map(|c| class(c, limits).map(|class| (class, c)));
    let best = ranked.clone().min_by(order);
    let Some((class, best)) = best else {
        return Placement::Full;
    };
    let most = weight(best) + SHARD_MARGIN;
    let in_shard = ranked.filter(|(of, c)| c.in_shard && *of == class && weight(c) <= most);
    let chosen = in_shard.min_by(order).map_or(best, |(_, c)| c);
    Placement::Send(chosen.key)
}

/// Load by which a server of the shard may exceed the least loaded one, relative to its slots.
const SHARD_MARGIN: f64 = 0.25;

/// Compares two candidates with their classes; the lesser one is preferred.
fn order((a, x): &(u8, &Candidate), (b, y): &(u8, &Candidate)) -> Ordering {
    let order = a.cmp(b).then(weight(x).total_cmp(&weight(y)));
    let order = order.then(y.connected.cmp(&x.connected));
    let order = order.then(y.local.cmp(&x.local));
    order.then(x.draw.cmp(&y.draw))
}

/// Returns the expected load of a candidate with one more request, relative to its slots.
fn weight(c: &Candidate) -> f64 {
    // Batch items can be preempted, so they weigh less than online requests.
    let placed = f64::from(c.placed.online) + 0.5 * f64::from(c.placed.batch) + 1.0;
    placed * c.slowness / f64::from(c.slots.max(1))
}

/// Returns the time after which a rejected caller should retry.
///
/// `running` requests occupy a slot for `occupied_for` each; `excess` of them have no slot yet.
pub fn retry_after(running: u32, excess: u32, occupied_for: Duration) -> Duration {
    let freed_after = occupied_for.as_secs_f64() / f64::from(running.max(1));
    let wait = freed_after * (f64::from(excess) + 1.0);
    Duration::from_secs_f64(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Shortest retry time in seconds; a caller that retries sooner finds the same load.
const MIN_RETRY_AFTER: f64 = 0.2;
/// Longest retry time in seconds; load peaks last about two seconds.
const MAX_RETRY_AFTER: f64 = 1.5;
