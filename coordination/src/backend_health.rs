//! Cooldown of backend servers after a failure.

use std::collections::BTreeMap;

use limpetweir_state::{
    BackendId,
    Timestamp, //
};

use crate::timing::BACKEND_COOLDOWN;

/// Backend servers that receive no new work because of a recent failure seen by this instance.
///
/// A success does not end the cooldown: it may be the answer to a request that was sent before the
/// failure.
#[derive(Clone, Debug, Default)]
pub struct BackendHealth {
    /// End of the cooldown of each backend server that failed.
    cooldown_until: BTreeMap<BackendId, Timestamp>,
}

impl BackendHealth {
    /// Records a failed connection, an invalid answer or a missing echo of the attempt id.
    ///
    /// A rejection by a working server does not count as a failure.
    pub fn on_failure(&mut self, backend: &BackendId, now: Timestamp) {
        self.cooldown_until.retain(|_, until| *until > now);
        let until = now + BACKEND_COOLDOWN;
        let entry = self.cooldown_until.entry(backend.clone());
        let entry = entry.or_default();
        *entry = until.max(*entry);
    }

    /// Returns whether the backend server failed within the last [`BACKEND_COOLDOWN`].
    pub fn in_cooldown(&self, backend: &BackendId, now: Timestamp) -> bool {
        let until = self.cooldown_until.get(backend);
        until.is_some_and(|until| *until > now)
    }
}
