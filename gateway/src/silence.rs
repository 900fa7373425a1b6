//! When backend servers last wrote output for the runs of this instance.
//!
//! A sound server may be silent for a second and go on, sometimes all servers at the same time. A
//! silent server is used last, and takes over no stream of another one: with all servers silent, each
//! stream would otherwise move, and each move reads the prompt again.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;

/// Time without output after which a server with running streams counts as silent. It is half of the
/// time after which another server is asked for the rest of a stream, so that servers that fell silent
/// at about the same time are not asked.
pub const SILENCE: Duration = Duration::from_millis(600);

/// Time for which a server counts as silent after a silent run was dropped, unless it writes output; as
/// long as a server that failed is suspected.
const DROPPED_TIME: Duration = Duration::from_millis(1_000);

/// Output of one backend server for the runs of this instance.
#[derive(Clone, Copy, Debug)]
struct Output {
    /// Runs that have written output and have not ended; above zero.
    runs: u32,
    /// When one of them last wrote output.
    last: Timestamp,
}

/// Backend servers that write output for runs of this instance.
#[derive(Debug, Default)]
pub struct Outputs {
    servers: HashMap<BackendKey, Output>,
    /// Servers of which a silent run was dropped, with the time until which they count as silent.
    dropped: HashMap<BackendKey, Timestamp>,
}

impl Outputs {
    /// Records the first output of a run on `backend`. Before it, the run may wait for a slot there.
    pub fn began(&mut self, backend: BackendKey, now: Timestamp) {
        let output = Output { runs: 0, last: now };
        let output = self.servers.entry(backend).or_insert(output);
        output.runs += 1;
        output.last = now;
        self.dropped.remove(&backend);
    }

    /// Records further output of a run on `backend`.
    pub fn wrote(&mut self, backend: BackendKey, now: Timestamp) {
        if let Some(output) = self.servers.get_mut(&backend) {
            output.last = now;
        }
        self.dropped.remove(&backend);
    }

    /// Records that a silent run on `backend` was dropped because another server has its rest.
    pub fn dropped(&mut self, backend: BackendKey, now: Timestamp) {
        self.dropped.retain(|_, until| *until > now);
        self.dropped.insert(backend, now + DROPPED_TIME);
    }

    /// Returns the servers of which a silent run was dropped, with the remaining time of each.
    pub fn recently_dropped(&self, now: Timestamp) -> impl Iterator<Item = (BackendKey, Duration)> {
        let open = self.dropped.iter().filter(move |(_, until)| **until > now);
        open.map(move |(key, until)| (*key, until.since(now)))
    }

    /// Records the end of a run on `backend` that had written output.
    pub fn ended(&mut self, backend: BackendKey) {
        if let Some(output) = self.servers.get_mut(&backend) {
            output.runs -= 1;
            if output.runs == 0 {
                self.servers.remove(&backend);
            }
        }
    }

    /// Returns whether `backend` has runs of this instance and all of them have stopped writing, or a
    /// silent run there was dropped a short time ago.
    pub fn is_silent(&self, backend: BackendKey, now: Timestamp) -> bool {
        let output = self.servers.get(&backend);
        let dropped = self.dropped.get(&backend);
        output.is_some_and(|output| now.since(output.last) >= SILENCE)
            || dropped.is_some_and(|until| *until > now)
    }
}
