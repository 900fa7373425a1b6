//! When a newer configuration is fetched from a peer.
//!
//! The store tells all instances of a new configuration within milliseconds of each other, but the
//! reports of the first ones arrive before that. In a fleet of sixty instances each of them hears
//! of the new version hundreds of times a second, so a fetch for every report overloads the peer
//! that reports first as well as the instances that decode its answers.

use std::time::Duration;

use limpetweir_state::Timestamp;

/// Time in which the store is expected to deliver a version that a peer has. A version must be in
/// force two seconds after its publication; this leaves time for three fetches.
const STORE_DELAY: Duration = Duration::from_millis(250);

/// Pause after a fetch before the next one, so that a failed one is repeated at another peer.
const PAUSE: Duration = Duration::from_millis(100);

/// Fetches of the configuration from peers; at most one of them is in progress.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// When a version newer than the own one was first heard of.
    behind_since: Option<Timestamp>,
    in_progress: bool,
    /// When the last fetch ended.
    ended: Option<Timestamp>,
}

impl ConfigFetch {
    /// Returns whether to fetch the configuration of a peer that reports the version `theirs`. The
    /// end of the fetch must be noted with [`end`](Self::end).
    pub fn begin(&mut self, theirs: u64, own: u64, now: Timestamp) -> bool {
        if theirs <= own {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        // Without any configuration nothing can be served, so the store is not waited for.
        let waited = own == 0 || now.since(since) >= STORE_DELAY;
        let paused = self.ended.is_none_or(|at| now.since(at) >= PAUSE);
        let begins = waited && paused && !self.in_progress;
        self.in_progress |= begins;
        begins
    }

    /// Notes the end of a fetch.
    pub fn end(&mut self, now: Timestamp) {
        self.in_progress = false;
        self.ended = Some(now);
    }

    /// Notes that a newer configuration is in force.
    pub fn applied(&mut self) {
        self.behind_since = None;
    }
}
