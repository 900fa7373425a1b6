//! Kinds and outcomes of calls to the store, for the metrics.

use std::time::Duration;

use crate::platform::{
    StoreError,
    Topic, //
};

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum StoreCall {
    /// A read that follows a partition.
    Read,
    /// A read up to the end of a partition, because a caller or an append waits for it.
    CatchUp,
    /// A page of the newest record of each key.
    List,
    /// A small call that shows whether a partition answers.
    Probe,
    /// An append.
    Append,
}

/// How a call to the store has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum StoreCallEnd {
    /// The store has executed the call, or refused it for its content.
    Ok,
    /// The call was not executed: the store has rejected it, or was not reached.
    Rejected,
    /// The call was given up, or has ended without an answer that tells whether it was executed.
    Unanswered,
}

impl<T> From<&Result<T, StoreError>> for StoreCallEnd {
    fn from(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_)
            | Err(
                StoreError::OffsetMismatch
                | StoreError::Refused { .. }
                | StoreError::Trimmed { .. },
            ) => Self::Ok,
            Err(StoreError::NotDone { .. }) => Self::Rejected,
            Err(StoreError::Unknown { .. } | StoreError::Failed { .. }) => Self::Unanswered,
        }
    }
}

/// Outcome of a call to the store, for the metrics.
pub(crate) struct CallOutcome {
    pub(crate) call: StoreCall,
    pub(crate) topic: Topic,
    pub(crate) end: StoreCallEnd,
    /// Time that the call took, less the time for which it asked the store to wait.
    pub(crate) elapsed: Duration,
    /// Size of the records returned, in bytes.
    pub(crate) bytes: usize,
}
