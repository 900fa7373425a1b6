//! Places of runs on backend servers, and runs that were lost there.

use std::sync::Arc;

use limpetweir_state::Timestamp;

use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::prompt::PartKey;
use crate::quarantine::Knowledge;

/// Where and when a run was placed.
#[derive(Clone, Debug)]
pub(crate) struct RunPlace {
    pub(crate) key: BackendKey,
    pub(crate) entry: Arc<BackendEntry>,
    pub(crate) at: Timestamp,
    /// What was known about the request then.
    pub(crate) known: Knowledge,
}

/// A run that ended with its connection and before its response was whole.
#[derive(Debug)]
pub(crate) struct LostRun {
    pub(crate) request: String,
    pub(crate) place: RunPlace,
    /// Fields of a line about what identifies the request beyond the shared parts of its prompt.
    pub(crate) identity: String,
    /// The first one identifies the request.
    pub(crate) suspects: Vec<PartKey>,
    /// Whether it had no output that shows that the parts of its prompt are sound.
    pub(crate) is_early: bool,
    /// When it was lost.
    pub(crate) at: Timestamp,
}
