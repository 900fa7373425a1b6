//! Backend servers that get no new work for a while after a failure.

use std::collections::BTreeMap;

use limpetweir_state::{
    BackendId,
    Timestamp, //
};

use crate::timing::BACKEND_COOLDOWN;

/// Recent failures of backend servers, as this instance saw them.
///
/// A success does not end the silence: it may be the answer to a request that was sent before the
/// failure.
#[derive(Clone, Debug, Default)]
pub struct BackendHealth {
    /// End of the silence of each backend server that failed.
    silent_until: BTreeMap<BackendId, Timestamp>,
}

impl BackendHealth {
    /// Records a failed connection, a broken answer or a missing echo of the attempt id.
    ///
    /// A rejection by a server that works is no failure.
    pub fn on_failure(&mut self, backend: &BackendId, now: Timestamp) {
        self.silent_until.retain(|_, until| *until > now);
        let until = now + BACKEND_COOLDOWN;
        let entry = self.silent_until.entry(backend.clone());
        let entry = entry.or_default();
        *entry = until.max(*entry);
    }

    /// Returns whether the backend server failed so recently that it gets no new work.
    pub fn in_cooldown(&self, backend: &BackendId, now: Timestamp) -> bool {
        let until = self.silent_until.get(backend);
        until.is_some_and(|until| *until > now)
    }
}
