//! Wire type of the `jobs-<n>` streams.

use std::time::Duration;

use limpetweir_state::{
    Completion,
    Epoch,
    JobChange,
    JobId,
    JobRecord,
    ModelId,
    NewItem,
    OrganisationId,
    Outcome,
    ServiceId,
    Submission,
    SubmissionId,
    UnixMillis,
    Usage, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::StreamRecord;

#[derive(Serialize, Deserialize)]
#[doc(hidden)]
pub struct WireJob {
    epoch: Epoch,
    at: UnixMillis,
    change: WireChange,
}

#[derive(Serialize, Deserialize)]
enum WireChange {
    Open,
    SubmitPart {
        submission: u64,
        part: u32,
        items: Vec<WireItem>,
    },
    Submit {
        submission: u64,
        parts: u32,
        job: JobId,
        organisation: OrganisationId,
        key: Box<str>,
        #[serde(with = "crate::bytes")]
        digest: Vec<u8>,
        service: ServiceId,
        model: ModelId,
        deadline: UnixMillis,
        result_retention_ms: u64,
    },
    Cancel {
        job: JobId,
    },
    Completed {
        job: JobId,
        items: Vec<WireCompletion>,
    },
    Attempts {
        job: JobId,
        counts: Vec<(u32, u32)>,
    },
    Tick,
}

/// Identifier, prompt and token limit.
///
/// Encoded as an array without field names, because a record holds thousands of items.
#[derive(Serialize, Deserialize)]
struct WireItem(Box<str>, Box<str>, u32);

/// Index, outcome, prompt tokens and generated tokens, also encoded as an array.
#[derive(Serialize, Deserialize)]
struct WireCompletion(u32, WireOutcome, u32, u32);

#[derive(Serialize, Deserialize)]
enum WireOutcome {
    Finished(Box<str>),
    Failed(Box<str>),
}

impl StreamRecord for JobRecord {
    type Wire = WireJob;
}

impl From<JobRecord> for WireJob {
    fn from(record: JobRecord) -> Self {
        Self {
            epoch: record.epoch,
            at: record.at,
            change: record.change.into(),
        }
    }
}

impl TryFrom<WireJob> for JobRecord {
    type Error = String;

    fn try_from(wire: WireJob) -> Result<Self, String> {
        Ok(Self {
            epoch: wire.epoch,
            at: wire.at,
            change: wire.change.try_into()?,
        })
    }
}

impl From<JobChange> for WireChange {
    fn from(change: JobChange) -> Self {
        match change {
            JobChange::Open => Self::Open,
            JobChange::SubmitPart {
                submission,
                part,
                items,
            } => Self::SubmitPart {
                submission: submission.0,
                part,
                items: items.into_iter().map(WireItem::from).collect(),
            },
            JobChange::Submit(submission) => submission.into(),
            JobChange::Cancel { job } => Self::Cancel { job },
            JobChange::Completed { job, items } => Self::Completed {
                job,
                items: items.into_iter().map(WireCompletion::from).collect(),
            },
            JobChange::Attempts { job, counts } => Self::Attempts { job, counts },
            JobChange::Tick => Self::Tick,
        }
    }
}

impl From<Submission> for WireChange {
    fn from(submission: Submission) -> Self {
        let retention = submission.result_retention.as_millis();
        Self::Submit {
            submission: submission.submission.0,
            parts: submission.parts,
            job: submission.job,
            organisation: submission.organisation,
            key: submission.key,
            digest: submission.digest.to_vec(),
            service: submission.service,
            model: submission.model,
            deadline: submission.deadline,
            result_retention_ms: u64::try_from(retention).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<WireChange> for JobChange {
    type Error = String;

    fn try_from(wire: WireChange) -> Result<Self, String> {
        Ok(match wire {
            WireChange::Open => Self::Open,
            WireChange::SubmitPart {
                submission,
                part,
                items,
            } => Self::SubmitPart {
                submission: SubmissionId(submission),
                part,
                items: items.into_iter().map(NewItem::from).collect(),
            },
            WireChange::Submit {
                submission,
                parts,
                job,
                organisation,
                key,
                digest,
                service,
                model,
                deadline,
                result_retention_ms,
            } => Self::Submit(Submission {
                submission: SubmissionId(submission),
                parts,
                job,
                organisation,
                key,
                digest: check_digest(&digest)?,
                service,
                model,
                deadline,
                result_retention: Duration::from_millis(result_retention_ms),
            }),
            WireChange::Cancel { job } => Self::Cancel { job },
            WireChange::Completed { job, items } => Self::Completed {
                job,
                items: items.into_iter().map(Completion::from).collect(),
            },
            WireChange::Attempts { job, counts } => Self::Attempts { job, counts },
            WireChange::Tick => Self::Tick,
        })
    }
}

fn check_digest(digest: &[u8]) -> Result<[u8; 32], String> {
    let checked = <[u8; 32]>::try_from(digest);
    checked.map_err(|_| format!("the digest has {} bytes instead of 32", digest.len()))
}

impl From<NewItem> for WireItem {
    fn from(item: NewItem) -> Self {
        Self(item.id, item.prompt, item.max_tokens)
    }
}

impl From<WireItem> for NewItem {
    fn from(wire: WireItem) -> Self {
        Self {
            id: wire.0,
            prompt: wire.1,
            max_tokens: wire.2,
        }
    }
}

impl From<Completion> for WireCompletion {
    fn from(item: Completion) -> Self {
        let outcome = match item.outcome {
            Outcome::Finished(text) => WireOutcome::Finished(text),
            Outcome::Failed(message) => WireOutcome::Failed(message),
        };
        let usage = item.usage;
        Self(
            item.index,
            outcome,
            usage.prompt_tokens,
            usage.completion_tokens,
        )
    }
}

impl From<WireCompletion> for Completion {
    fn from(wire: WireCompletion) -> Self {
        let outcome = match wire.1 {
            WireOutcome::Finished(text) => Outcome::Finished(text),
            WireOutcome::Failed(message) => Outcome::Failed(message),
        };
        Self {
            index: wire.0,
            outcome,
            usage: Usage {
                prompt_tokens: wire.2,
                completion_tokens: wire.3,
            },
        }
    }
}
