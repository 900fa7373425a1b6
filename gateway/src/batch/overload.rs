//! Requests beyond the slots of backend servers, and how long each of them has lasted.
//!
//! Load pattern: within the delay of reports several instances send online requests to the same
//! server, or an item starts while a request is on its way. One request more than slots waits at the
//! server until the next of its short requests ends. An item that is stopped for it would lose its
//! slot for seconds.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;

/// Most requests in excess that are tracked for a server. Counts come from reports of peers, so
/// they may be of any size.
const MAX_TRACKED_EXCESS: u32 = 128;

/// Excess of requests over slots of the servers on which this instance runs items.
#[derive(Debug, Default)]
pub(super) struct Overloads {
    /// For each server with an excess, since when it has been at least 1, at least 2, and so on;
    /// ascending, and as long as the present excess.
    since: HashMap<BackendKey, Vec<Timestamp>>,
}

impl Overloads {
    /// Replaces the present excess of all servers by `excess`.
    pub(super) fn update(&mut self, excess: &HashMap<BackendKey, u32>, now: Timestamp) {
        let needed = |key: &BackendKey| excess.get(key).is_some_and(|n| *n > 0);
        self.since.retain(|key, _| needed(key));
        for (key, excess) in excess.iter().filter(|(_, excess)| **excess > 0) {
            let levels = (*excess).min(MAX_TRACKED_EXCESS) as usize;
            self.since.entry(*key).or_default().resize(levels, now);
        }
    }

    /// Returns how many requests in excess of its slots `backend` has had for all of `delay`.
    pub(super) fn lasting(&self, backend: BackendKey, delay: Duration, now: Timestamp) -> u32 {
        let since = self.since.get(&backend).map_or(&[][..], Vec::as_slice);
        let lasting = since.iter().filter(|since| now.since(**since) >= delay);
        u32::try_from(lasting.count()).unwrap_or(u32::MAX)
    }
}
