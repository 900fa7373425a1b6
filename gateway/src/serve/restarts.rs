//! Runs that were lost on servers which accept connections, until it is known whether these have crashed and
//! were started again.

use std::collections::VecDeque;
use std::time::Duration;

use limpetweir_state::Timestamp;

use super::lost_run::LostRun;
use crate::backend::BackendEntry;

/// Time after the loss of a run within which the entry of a server that was started again is read.
const RESTART_TIME: Duration = Duration::from_secs(10);

/// Maximum number of remembered runs.
const MAX_RUNS: usize = 64;

/// The lost runs, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Restarts(VecDeque<LostRun>);

impl Restarts {
    /// Records runs that were lost on a server that accepts connections.
    pub(crate) fn lost(&mut self, runs: Vec<LostRun>) {
        self.0.extend(runs);
        while self.0.len() > MAX_RUNS {
            self.0.pop_front();
        }
    }

    /// Returns the runs that were lost because the server of `entry` has been started since, under its
    /// identifier or at its address.
    pub(crate) fn started(&mut self, entry: &BackendEntry, now: Timestamp) -> Vec<LostRun> {
        self.0.retain(|run| now.since(run.at) < RESTART_TIME);
        let is_next = |run: &LostRun| {
            let before = &run.place.entry;
            let same = before.id == entry.id || before.addr == entry.addr;
            same && entry.born > before.born
        };
        let (ended, others) = std::mem::take(&mut self.0).into_iter().partition(is_next);
        self.0 = others;
        let ended: VecDeque<LostRun> = ended;
        ended.into()
    }
}
