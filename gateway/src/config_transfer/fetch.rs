//! Rate limit for fetching a newer configuration from a peer.
//!
//! The store delivers a new configuration to all instances within milliseconds of each other, but
//! the reports of the first ones arrive before that. In a fleet of sixty instances each of them
//! receives hundreds of reports per second with the new version, so that a fetch for every report
//! would overload the peer that reports first as well as the instances that decode its responses.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backoff::Backoff;

/// Time that the store gets to deliver a version that a peer has, before it is fetched. A version
/// must be in force two seconds after its publication; this leaves time for three fetches that fail at
/// once, or two that have no answer.
const STORE_DELAY: Duration = Duration::from_millis(250);

/// Pauses between fetches that fail.
const PAUSE: Backoff = Backoff {
    first: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// Time limit of a fetch. It grows with each one that fails, as the link of a peer may be slow.
pub(super) const FETCH_TIME: Backoff = Backoff {
    first: Duration::from_millis(500),
    max: Duration::from_millis(2_000),
};

/// Fetches of the configuration from peers; at most one of them is in progress.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// When a peer first reported a version newer than the own one; `None` while there is no such peer.
    behind_since: Option<Timestamp>,
    in_progress: bool,
    /// Fetches that have failed since the last newer version came into force.
    failures: u32,
    /// Time before which no fetch begins.
    not_before: Option<Timestamp>,
}

impl ConfigFetch {
    /// Returns the time limit of a fetch of the configuration from a peer that reports `peer_version`, if it
    /// is to begin now. [`end`](Self::end) must be called when it ends.
    pub fn begin(&mut self, peer_version: u64, own: u64, now: Timestamp) -> Option<Duration> {
        if peer_version <= own {
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        // Without a configuration no request can be served, so the fetch starts immediately.
        let waited = own == 0 || now.since(since) >= STORE_DELAY;
        let paused = self.not_before.is_some_and(|at| now < at);
        if !waited || paused || self.in_progress {
            return None;
        }
        self.in_progress = true;
        Some(FETCH_TIME.doubled(self.failures))
    }

    /// Records the end of a fetch, which has failed unless the version of the peer is in force by now; `spread` is
    /// a random number from 0 to 1, so that instances which have failed together do not ask together again.
    pub fn end(&mut self, now: Timestamp, spread: f64) {
        self.in_progress = false;
        if self.behind_since.is_none() {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.not_before = Some(now + PAUSE.pause(self.failures, spread));
    }

    /// Records that a newer configuration is in force.
    pub fn applied(&mut self) {
        self.behind_since = None;
        self.failures = 0;
    }
}
