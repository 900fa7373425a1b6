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
    /// Wall-clock time of the writer; it alone moves the fold's clock.
    pub at: UnixMillis,
    /// The change.
    pub change: JobChange,
}

/// Numbers the submissions of an owner, uniquely within its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubmissionId(pub u64);

/// A change of the jobs of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobChange {
    /// First record of an owner; records of lower epochs have no effect after it.
    Open,
    /// Some of the items of a submission.
    SubmitPart {
        /// The submission.
        submission: SubmissionId,
        /// Index of the part, below the number of parts.
        part: u32,
        /// Items in order.
        items: Vec<NewItem>,
    },
    /// Makes the parts of a submission a job.
    Submit(Submission),
    /// Ends a job; its open items do not complete any more.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Outcomes of items.
    Completed {
        /// The job.
        job: JobId,
        /// The items.
        items: Vec<Completion>,
    },
    /// Failed attempts of items.
    Attempts {
        /// The job.
        job: JobId,
        /// Index of each item and the number of its failed attempts so far.
        counts: Vec<(u32, u32)>,
    },
    /// Moves the clock, so that results expire while the group is idle.
    Tick,
}

/// An item as it is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewItem {
    /// Name that the caller gave to the item.
    pub id: Box<str>,
    /// Prompt of the item.
    pub prompt: Box<str>,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
}

/// The head of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The submission whose parts hold the items.
    pub submission: SubmissionId,
    /// Number of its parts.
    pub parts: u32,
    /// Identifier of the job, a function of `organisation` and `key`.
    pub job: JobId,
    /// Organisation that submits the job and is billed.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub key: Box<str>,
    /// SHA-256 of the request body.
    pub digest: [u8; 32],
    /// Model service that runs the items.
    ///
    /// Plain services are excluded, because an item can be computed again after a loss and some
    /// of their calls may not be repeated.
    pub service: ServiceId,
    /// Model that runs the items.
    pub model: ModelId,
    /// Time by which the job is due.
    pub deadline: UnixMillis,
    /// Time for which results stay readable after the job ends. The record carries it, because
    /// readers may hold different configurations when they fold the end of the job.
    pub result_retention: Duration,
}

/// The outcome of an item and what it used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Index of the item in its job.
    pub index: u32,
    /// The outcome.
    pub outcome: Outcome,
    /// Tokens to bill.
    pub usage: Usage,
}

/// Final outcome of an item that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The item ran to its end.
    #[serde(rename = "t")]
    Finished(
        /// Generated text.
        Box<str>,
    ),
    /// All attempts failed.
    #[serde(rename = "f")]
    Failed(
        /// One sentence for a person.
        Box<str>,
    ),
}

/// Tokens that an item used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(rename = "p")]
    pub prompt_tokens: u32,
    /// Generated tokens.
    #[serde(rename = "c")]
    pub completion_tokens: u32,
}
