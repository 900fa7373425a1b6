//! Data records of a `jobs-<n>` stream.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Epoch,
    JobId,
    ModelId,
    OrganisationId,
    ServiceId, //
};
use crate::time::UnixMillis;

/// A data record of a `jobs-<n>` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRecord {
    /// Epoch under which the writer owns the group.
    pub epoch: Epoch,
    /// Wall-clock time of the writer, the only source of the fold's clock.
    pub at: UnixMillis,
    /// The change.
    pub change: JobChange,
}

/// Number of a submission, unique within the epoch of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubmissionId(pub u64);

/// A change to the jobs of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobChange {
    /// First record of a new owner; records of lower epochs after it have no effect.
    Open,
    /// A part of the items of a submission.
    SubmitPart {
        /// The submission.
        submission: SubmissionId,
        /// Index of the part, below the number of parts.
        part: u32,
        /// Items in order.
        items: Vec<NewItem>,
    },
    /// Creates a job from the parts of a submission.
    Submit(Submission),
    /// Cancels a job; its open items can no longer complete.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Outcomes of items.
    Completed {
        /// The job.
        job: JobId,
        /// Outcome of each item.
        items: Vec<Completion>,
    },
    /// Failed attempts of items.
    Attempts {
        /// The job.
        job: JobId,
        /// Index of each item with the number of its failed attempts so far.
        counts: Vec<(u32, u32)>,
    },
    /// Advances the clock, so that results expire while the group is idle.
    Tick,
}

/// An item of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewItem {
    /// Name of the item, chosen by the caller.
    pub id: Box<str>,
    /// Prompt of the item.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Header of a submission; its items are in separate parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The submission whose parts contain the items.
    pub submission: SubmissionId,
    /// Number of parts of the submission.
    pub parts: u32,
    /// Identifier of the job, a function of `organisation` and `key`.
    pub job: JobId,
    /// Organisation that submits the job and is billed.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub key: Box<str>,
    /// SHA-256 digest of the request body.
    pub digest: [u8; 32],
    /// Model service that runs the items.
    ///
    /// Plain services are excluded, because an item may be run again after a failure and some of
    /// their calls must not be repeated.
    pub service: ServiceId,
    /// Model that runs the items.
    pub model: ModelId,
    /// Time by which the job is due.
    pub deadline: UnixMillis,
    /// Time for which results stay readable after the job ends. It is part of the record because
    /// readers may have different configurations when they fold the end of the job.
    pub result_retention: Duration,
}

/// Outcome and usage of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Index of the item in its job.
    pub index: u32,
    /// The outcome.
    pub outcome: Outcome,
    /// Tokens to bill.
    pub usage: Usage,
}

/// Final outcome of an item that was not cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The item ran to completion.
    #[serde(rename = "t")]
    Finished(
        /// Generated text.
        Box<str>,
    ),
    /// All attempts failed.
    #[serde(rename = "f")]
    Failed(
        /// Human-readable reason, one sentence.
        Box<str>,
    ),
}

/// Tokens that an item used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(rename = "p")]
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    #[serde(rename = "c")]
    pub completion_tokens: u32,
}
