//! Rate limit for fetching a newer configuration from a peer.
//!
//! The store delivers a new configuration to all instances within milliseconds of each other, but
//! the reports of the first ones arrive before that. In a fleet of sixty instances each of them
//! receives hundreds of reports per second with the new version, so that a fetch for every report
//! would overload the peer that reports first as well as the instances that decode its responses.

use std::time::Duration;

use limpetweir_state::Timestamp;

/// Time that the store gets to deliver a version that a peer has, before it is fetched. A version
/// must be in force two seconds after its publication; this leaves time for three fetches.
const STORE_DELAY: Duration = Duration::from_millis(250);

/// Delay between two fetches, so that a failed one is retried with another peer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Fetches of the configuration from peers; at most one of them is in progress.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// When a peer first reported a version newer than the own one.
    behind_since: Option<Timestamp>,
    in_progress: bool,
    /// When the last fetch ended.
    ended: Option<Timestamp>,
}

impl ConfigFetch {
    /// Returns whether to fetch the configuration of a peer that reports `peer_version`. If so,
    /// [`end`](Self::end) must be called when the fetch ends.
    pub fn begin(&mut self, peer_version: u64, own: u64, now: Timestamp) -> bool {
        if peer_version <= own {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        // Without a configuration no request can be served, so the fetch starts immediately.
        let waited = own == 0 || now.since(since) >= STORE_DELAY;
        let delayed = self.ended.is_none_or(|at| now.since(at) >= RETRY_DELAY);
        let begins = waited && delayed && !self.in_progress;
        self.in_progress |= begins;
        begins
    }

    /// Records the end of a fetch.
    pub fn end(&mut self, now: Timestamp) {
        self.in_progress = false;
        self.ended = Some(now);
    }

    /// Records that a newer configuration is in force.
    pub fn applied(&mut self) {
        self.behind_since = None;
    }
}
