//! Request and response bodies of the job interface.

use std::collections::HashSet;
use std::time::Duration;

use limpetweir_state::{
    JobId,
    JobPhase,
    ModelId,
    ServiceId,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    Snafu,
    ensure, //
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

/// Maximum number of items in a job.
pub const MAX_JOB_ITEMS: usize = 100_000;

/// Maximum time to the deadline: 30 days.
const MAX_DEADLINE_S: u64 = 30 * 24 * 3600;

/// Request body of `POST /v1/jobs` as received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawJobRequest {
    /// Service that runs the items.
    pub service: ServiceId,
    /// Model that runs the items.
    pub model: ModelId,
    /// Seconds until the results are due.
    pub deadline_s: u64,
    /// The items.
    pub items: Vec<JobItem>,
}

/// An item of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobItem {
    /// Identifier given by the caller, unique in the job.
    pub id: String,
    /// Prompt of the item.
    pub prompt: String,
    /// Maximum number of tokens to generate, at least 1.
    pub max_tokens: u32,
}

/// A validated [`RawJobRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Service that runs the items.
    pub service: ServiceId,
    /// Model that runs the items.
    pub model: ModelId,
    /// Time until the results are due, between 1 s and 30 days.
    pub deadline: Duration,
    /// Between 1 and [`MAX_JOB_ITEMS`] items with distinct identifiers.
    pub items: Vec<JobItem>,
}

/// Reason why a job request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobRequestError {
    /// The number of items is out of range.
    #[snafu(display("a job has 1 to {MAX_JOB_ITEMS} items, not {count}"))]
    Count {
        /// Number of items.
        count: usize,
    },
    /// The deadline is out of range.
    #[snafu(display("deadline_s is 1 to {MAX_DEADLINE_S}, not {seconds}"))]
    Deadline {
        /// Requested value.
        seconds: u64,
    },
    /// The token limit of an item is 0.
    #[snafu(display("max_tokens of item {id:?} must be at least 1"))]
    NoTokens {
        /// Identifier of the item.
        id: String,
    },
    /// Two items have the same identifier.
    #[snafu(display("the item id {id:?} occurs more than once"))]
    DuplicateId {
        /// The identifier.
        id: String,
    },
}

impl TryFrom<RawJobRequest> for JobRequest {
    type Error = JobRequestError;

    fn try_from(raw: RawJobRequest) -> Result<Self, JobRequestError> {
        let count = raw.items.len();
        ensure!((1..=MAX_JOB_ITEMS).contains(&count), CountSnafu { count });
        let seconds = raw.deadline_s;
        ensure!(
            (1..=MAX_DEADLINE_S).contains(&seconds),
            DeadlineSnafu { seconds }
        );
        check_items(&raw.items)?;
        Ok(Self {
            service: raw.service,
            model: raw.model,
            deadline: Duration::from_secs(seconds),
            items: raw.items,
        })
    }
}

fn check_items(items: &[JobItem]) -> Result<(), JobRequestError> {
    let mut ids = HashSet::with_capacity(items.len());
    for item in items {
        let id = item.id.as_str();
        ensure!(item.max_tokens > 0, NoTokensSnafu { id });
        ensure!(ids.insert(id), DuplicateIdSnafu { id });
    }
    Ok(())
}

/// Response body of `POST /v1/jobs`, the same each time the job is resent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Identifier of the job for the other calls.
    pub id: JobId,
    /// Number of accepted items.
    pub items: u32,
}

/// State of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Some items are waiting or running.
    Running,
    /// All items have an outcome.
    Completed,
    /// The job was cancelled.
    Cancelled,
}

impl From<JobPhase> for JobState {
    fn from(phase: JobPhase) -> Self {
        match phase {
            JobPhase::Running => Self::Running,
            JobPhase::Completed => Self::Completed,
            JobPhase::Cancelled => Self::Cancelled,
        }
    }
}

/// Response body of `GET /v1/jobs/<id>` and `POST /v1/jobs/<id>/cancel`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub id: JobId,
    /// State of the job.
    pub state: JobState,
    /// Service that runs the items.
    pub service: ServiceId,
    /// Model that runs the items.
    pub model: ModelId,
    /// Time at which the results are due.
    pub deadline: UnixMillis,
    /// Number of items.
    pub items: u32,
    /// Number of completed items.
    pub completed: u32,
    /// Number of items that failed permanently.
    pub failed: u32,
    /// Total usage of the finished items.
    pub usage: ItemUsage,
}

/// Billed tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemUsage {
    /// Tokens of the prompts.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// Response body of `GET /v1/jobs/<id>/results`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResults {
    /// The job.
    pub id: JobId,
    /// Items with an outcome, ordered by index.
    pub results: Vec<ItemResult>,
    /// Value of `from` for the next page; absent after the last item of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u32>,
}

/// Result of an item with an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in the submitted job.
    pub index: u32,
    /// Identifier given by the caller.
    pub id: String,
    /// Outcome of the item.
    #[serde(flatten)]
    pub outcome: ItemOutcome,
}

/// Outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ItemOutcome {
    /// The item completed.
    Completed {
        /// Generated text.
        text: String,
        /// Billed tokens.
        usage: ItemUsage,
    },
    /// The item failed permanently.
    Failed {
        /// Human-readable description in one sentence.
        message: String,
    },
    /// The job was cancelled before the item completed.
    Cancelled,
}
