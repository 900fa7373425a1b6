//! A change of the jobs that waits to be written.

use async_channel::Sender;
use limpetweir_state::Timestamp;

use crate::jobs::Change;

/// Error of a change that is not confirmed to be in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The job does not exist.
    NoJob,
    /// The job would exceed the limit of waiting tokens. Log lines contain the name of the variant.
    NoRoom {
        /// Number of tokens that are waiting already.
        waiting: u64,
    },
    /// The change has not taken effect and never will.
    NotDone(String),
    /// The change may have taken effect or may still do so.
    Unknown(String),
}

/// A queued change and the channel for its outcome.
#[derive(Debug)]
pub(crate) struct WriteRequest {
    pub(crate) change: Change,
    /// Time after which the caller no longer waits; with `None` the change is retried until it is
    /// written.
    pub(crate) deadline: Option<Timestamp>,
    pub(crate) reply: Sender<Result<(), WriteError>>,
    /// Whether the change was in an append with an unknown outcome.
    pub(crate) uncertain: bool,
}

impl WriteRequest {
    /// Completes the request after a peer has written the change.
    pub(crate) fn written(self) {
        // The task that waits for the outcome ends only with the process.
        let _ = self.reply.try_send(Ok(()));
    }
}
