//! Effects of the records of a `jobs-<n>` stream.

use crate::ids::{
    Epoch,
    JobId, //
};

use super::record::SubmissionId;

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobsEvent {
    /// Effect of the change in the record.
    pub outcome: JobOutcome,
    /// Jobs whose result retention ended by the time of the record.
    pub expired: Vec<JobId>,
}

/// Effect of the change in a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The owner with this epoch may write from now on.
    Opened {
        /// The epoch.
        epoch: Epoch,
    },
    /// The record has no effect, because its epoch is lower than the highest opened one.
    Stale {
        /// Epoch of the record.
        epoch: Epoch,
    },
    /// The record has no effect, because its epoch was not opened by [`super::JobChange::Open`].
    NotOpened {
        /// Epoch of the record.
        epoch: Epoch,
    },
    /// The part was stored until the submission is complete.
    PartStored,
    /// The part has no effect, because it is already stored.
    PartRepeated,
    /// The submission became a job.
    Submitted {
        /// The job.
        job: JobId,
    },
    /// The job already exists, from an earlier copy of the same submission.
    Resubmitted {
        /// The job.
        job: JobId,
    },
    /// The idempotency key was used before with another body; its job is unchanged.
    KeyConflict {
        /// The job of the first submission.
        job: JobId,
    },
    /// The submission has no effect, because some of its parts are missing.
    Incomplete {
        /// The submission.
        submission: SubmissionId,
    },
    /// The job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
        /// Number of items that were cancelled.
        items: u32,
    },
    /// The cancellation has no effect, because the job had already ended.
    AlreadyEnded {
        /// The job.
        job: JobId,
    },
    /// The record has no effect, because its job does not exist or has expired.
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// Items received their outcomes.
    Completed {
        /// The job.
        job: JobId,
        /// Number of items that received an outcome.
        completed: u32,
        /// Number of outcomes without effect, because the item is not open or does not exist.
        ignored: u32,
        /// Whether the record ended the job.
        ended: bool,
    },
    /// Numbers of failed attempts were recorded.
    AttemptsNoted {
        /// The job.
        job: JobId,
    },
    /// The record only advanced the clock.
    Ticked,
}
