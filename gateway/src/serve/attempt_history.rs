//! What is known of the attempts of one request.

use crate::backend::BackendKey;
use crate::config::Route;

/// Runs of one request that may end with the connection before they write output; the request may
/// be what ends them.
const MAX_SILENT_LOSSES: u32 = 2;

/// What an attempt sends to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum AttemptKind {
    /// A request that no server has been sent yet.
    First,
    /// A request that another server has failed to serve.
    Again,
    /// A request for the rest of a stream.
    Rest,
    /// An item of a batch job.
    Item,
}

/// History of the attempts of one request.
pub(crate) struct AttemptHistory {
    /// Backend servers to which the request has been sent already.
    pub(crate) tried: Vec<BackendKey>,
    /// Number of attempts that may have run the request.
    pub(crate) runs: u32,
    /// Number of attempts that a backend server rejected or that took long to fail.
    pub(crate) rejections: u32,
    /// Number of runs that ended with the connection before they wrote output.
    pub(crate) silent_losses: u32,
    /// Whether the request is a probe of parts that are held back.
    pub(crate) is_probe: bool,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

impl AttemptHistory {
    /// Returns the kind of the next attempt.
    pub(crate) fn kind(&self) -> AttemptKind {
        if self.last_event.is_some() {
            AttemptKind::Rest
        } else if self.tried.is_empty() {
            AttemptKind::First
        } else {
            AttemptKind::Again
        }
    }

    /// Returns whether the request may run once more on `route`.
    pub(crate) fn may_run_again(&self, route: &Route) -> bool {
        let may_crash = self.silent_losses >= MAX_SILENT_LOSSES || self.is_probe;
        route.idempotent() && self.runs < route.attempts && !may_crash
    }
}
