//! How many online requests may wait at a backend server.
//!
//! Load pattern: for some seconds half as many requests again arrive as the slots of all servers can run.
//! Each server then has a full queue, and what waits there decides how many responses are in time. The
//! number that get a slot does not depend on it.

use std::time::Duration;

/// Part of the objective in which a request that waits is expected to get a slot. Single waits are up to
/// three times their mean, and instances that place at the same moment exceed the queue.
const WAIT_PART: f64 = 1.0 / 3.0;

/// Most requests that wait at a server.
const MAX_QUEUED: u32 = 2;

/// Returns how many requests may wait at a server with `slots`, each occupied for the time `occupied_for`,
/// so that their first event meets `objective`. One may always wait, or a slot that gets free stays
/// idle until the instances learn of it.
pub fn queue_limit(slots: u32, occupied_for: Duration, objective: Duration) -> u32 {
    let freed_after = occupied_for.as_secs_f64() / f64::from(slots.max(1));
    let queued = objective.as_secs_f64() * WAIT_PART / freed_after.max(f64::MIN_POSITIVE);
    // The conversion saturates.
    (queued as u32).clamp(1, MAX_QUEUED)
}
