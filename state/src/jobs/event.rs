//! Results of folding a record of a `jobs-<n>` stream.

use crate::ids::{
    Epoch,
    JobId, //
};

use super::record::SubmissionId;

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobsEvent {
    /// What the change did.
    pub outcome: JobOutcome,
    /// Jobs whose result retention ended at the time of the record.
    pub expired: Vec<JobId>,
}

/// What the change in a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The owner of this epoch may write.
    Opened {
        /// The epoch.
        epoch: Epoch,
    },
    /// The record has a lower epoch than the highest opened one and has no effect.
    Stale {
        /// Epoch of the record.
        epoch: Epoch,
    },
    /// The owner of this epoch did not write [`super::JobChange::Open`]; the record has no effect.
    NotOpened {
        /// Epoch of the record.
        epoch: Epoch,
    },
    /// The part is kept until its submission.
    PartStored,
    /// The part was stored before and has no effect.
    PartRepeated,
    /// The submission became a job.
    Submitted {
        /// The job.
        job: JobId,
    },
    /// The same submission had become this job before.
    Resubmitted {
        /// The job.
        job: JobId,
    },
    /// The idempotency key had been used with another body; its job is unchanged.
    KeyConflict {
        /// The job of the first submission.
        job: JobId,
    },
    /// Parts of the submission are missing; it has no effect.
    Incomplete {
        /// The submission.
        submission: SubmissionId,
    },
    /// The job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
        /// Number of items that were open.
        items: u32,
    },
    /// The job to cancel had ended before.
    AlreadyEnded {
        /// The job.
        job: JobId,
    },
    /// The record names a job that is not known, or not any more.
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// Items completed.
    Completed {
        /// The job.
        job: JobId,
        /// Number of items that got their outcome.
        completed: u32,
        /// Number of outcomes without effect, because the item had one or does not exist.
        ignored: u32,
        /// Whether this ended the job.
        ended: bool,
    },
    /// Failed attempts were noted.
    AttemptsNoted {
        /// The job.
        job: JobId,
    },
    /// The clock was moved.
    Ticked,
}
