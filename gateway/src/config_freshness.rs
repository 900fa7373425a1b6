//! Knowledge of whether the configuration in force is the newest one.

use std::time::Duration;

use limpetweir_state::Timestamp;

/// Time for which a confirmation by the store holds. A read that waits for a newer version ends
/// after one second, and a version must be in force two seconds after its publication.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_500);

/// What an instance knows of versions newer than its own.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Time at which a read of the store last confirmed that no newer configuration exists.
    confirmed: Option<Timestamp>,
    /// Highest version that the store has returned or a peer has reported.
    newest: u64,
    /// Whether the newest version in the store cannot be read; it may be any later one.
    unreadable: bool,
}

impl ConfigFreshness {
    /// Records that a read of the store returned nothing newer than `version`.
    pub fn confirmed(&mut self, version: u64, now: Timestamp) {
        self.confirmed = Some(now);
        self.newest = self.newest.max(version);
    }

    /// Records that the newest version in the store cannot be read.
    pub fn unreadable(&mut self) {
        self.unreadable = true;
    }

    /// Records that a version in the store was read that follows all unreadable ones.
    pub fn readable(&mut self) {
        self.unreadable = false;
    }

    /// Records that a peer has `version` in force.
    pub fn reported(&mut self, version: u64) {
        self.newest = self.newest.max(version);
    }

    /// Returns whether `version` is the newest one: no newer one is known, and the store has
    /// confirmed recently that there is none.
    pub fn is_current(&self, version: u64, now: Timestamp) -> bool {
        let confirmed = self.confirmed_at(version);
        confirmed.is_some_and(|at| now.since(at) < CONFIRMATION_TIME)
    }

    /// Returns the time at which the store last confirmed that nothing newer than `version` exists;
    /// `None` if a newer version is known, or one that cannot be read.
    pub fn confirmed_at(&self, version: u64) -> Option<Timestamp> {
        let newest = version >= self.newest && !self.unreadable;
        self.confirmed.filter(|_| newest)
    }

    /// Returns the time since the last confirmation by the store; `None` if there was none.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(now.since(self.confirmed?))
    }
}
