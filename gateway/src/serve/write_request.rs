//! A change of the jobs that waits to be written.

use async_channel::Sender;

use crate::jobs::{
    QueuedChange,
    Settled,
    WriteError, //
};
use crate::memory::Share;

/// The one who waits for the outcome of a change.
pub(crate) struct Reply {
    pub(crate) outcome: Sender<Result<(), WriteError>>,
    /// Memory of the change. It is in the queue until the outcome is known, also if its caller has left.
    pub(crate) _share: Share,
}

/// A change and the channel for its outcome.
pub(crate) type WriteRequest = QueuedChange<Reply>;

/// Sends the outcomes of changes to those who wait for them.
pub(crate) fn reply(settled: Vec<Settled<Reply>>) {
    for Settled { ticket, outcome } in settled {
        // Sending fails if the caller has disconnected.
        let _ = ticket.outcome.try_send(outcome);
    }
}
