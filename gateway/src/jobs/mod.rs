//! State of batch jobs as a fold over the records of the store.

mod queue;
mod record;
mod table;
mod write;

pub use queue::{
    CallEnd,
    CallLimits,
    ChangeQueue,
    PassedOn,
    PreparedCall,
    QueuedChange,
    Settled,
    WriteError, //
};
pub(crate) use record::RESULT_OVERHEAD_BYTES;
pub use record::{
    JobKey,
    Outcome,
    RecordError, //
};
pub use table::{
    ItemResult,
    Job,
    JobItem,
    LoadedPartition,
    Partition, //
};
pub use write::{
    Change,
    Decision,
    NewItem,
    Pending,
    Submission,
    decide, //
};
