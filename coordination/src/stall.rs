//! Detection of pauses of the own process.

use limpetweir_state::Timestamp;

use crate::timing::HEARTBEAT_TIMEOUT;

/// Notices that the process did not run for so long that peers may consider it silent.
///
/// Heartbeats that waited in socket buffers during a pause look recent when they are read, so
/// nothing that peers report may be trusted after a pause until the log has been read again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallWatch {
    last_tick: Timestamp,
    resumed_at: Timestamp,
}

impl StallWatch {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            last_tick: now,
            resumed_at: now,
        }
    }

    /// Records that the process runs at `now`.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        if self.is_stalled(now) {
            self.resumed_at = now;
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Returns whether the process was paused and no tick has noticed it yet.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        now.since(self.last_tick) >= HEARTBEAT_TIMEOUT
    }

    /// Returns when the process started or last resumed after a pause.
    pub(crate) fn resumed_at(&self) -> Timestamp {
        self.resumed_at
    }
}
