//! Free slots that items may use, and for how long each server has had them.
//!
//! Load pattern: slots become free for items on many servers in the same moment, when online requests
//! drop, when servers return, or when a job arrives while servers idle. Each free slot is assigned
//! to one instance and passes to the next one in turn. The turns have to be counted from the moment
//! at which the slot was first free to be used, or all instances fill it at once.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;

/// Time after which the last observation of a server no longer counts: no item waited meanwhile, or
/// the server could not be used. While items wait there is one every 50 ms.
const MAX_GAP: Duration = Duration::from_millis(150);

/// Free slots of the servers, as this instance has observed them.
#[derive(Debug, Default)]
pub(super) struct Openings {
    servers: HashMap<BackendKey, Opening>,
}

#[derive(Clone, Copy, Debug)]
struct Opening {
    /// Slots that items might use.
    free: u32,
    /// When their number last grew.
    since: Timestamp,
    /// Time of the last observation.
    seen: Timestamp,
}

impl Openings {
    /// Records the number of slots of `backend` that items may use, and returns the time since it
    /// last grew.
    pub(super) fn observe(&mut self, backend: BackendKey, free: u32, now: Timestamp) -> Duration {
        let opening = self.servers.entry(backend).or_insert(Opening {
            free,
            since: now,
            seen: now,
        });
        if free > opening.free || now.since(opening.seen) > MAX_GAP {
            opening.since = now;
        }
        opening.free = free;
        opening.seen = now;
        now.since(opening.since)
    }

    /// Forgets servers that were not observed recently.
    pub(super) fn forget_unused(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, opening| now.since(opening.seen) <= MAX_GAP);
    }
}
