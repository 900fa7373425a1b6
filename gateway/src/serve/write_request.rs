//! A change of the jobs that waits to be written.

use async_channel::Sender;

use crate::jobs::{
    QueuedChange,
    Settled,
    WriteError, //
};

/// Channel for the outcome of a change.
pub(crate) type Reply = Sender<Result<(), WriteError>>;

/// A change and the channel for its outcome.
pub(crate) type WriteRequest = QueuedChange<Reply>;

/// Sends the outcomes of changes to those who wait for them.
pub(crate) fn reply(settled: Vec<Settled<Reply>>) {
    for Settled { ticket, outcome } in settled {
        // Sending fails if the caller has disconnected.
        let _ = ticket.try_send(outcome);
    }
}
