//! Kinds and outcomes of calls to the store, for the metrics.

use std::time::Duration;

use crate::platform::Topic;

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
    /// An append.
    Append,
}

/// Outcome of a call to the store, for the metrics.
pub(crate) struct CallOutcome {
    pub(crate) call: StoreCall,
    pub(crate) topic: Topic,
    pub(crate) ok: bool,
    /// Time that the call took, less the time for which it asked the store to wait.
    pub(crate) elapsed: Duration,
    /// Size of the records returned, in bytes.
    pub(crate) bytes: usize,
}
