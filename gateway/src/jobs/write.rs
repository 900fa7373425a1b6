//! Decides which records to append for a change of the jobs, given the state on which the append is
//! conditional.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use hyper::body::Bytes;
use serde_bytes::ByteBuf;

use super::record::{
    ItemRecord,
    JobKey,
    JobRecord,
    Outcome,
    RecordError,
    ResultRecord,
    encode, //
};
use super::table::LoadedPartition;
use crate::platform::Record;

/// Memory of a header of an item beside its name and value.
const HEADER_MEMORY: usize = size_of::<(String, String)>();

/// An item as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewItem {
    /// Identifier assigned by the caller.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Sum of prompt tokens and maximum output tokens.
    pub tokens: u64,
}

impl NewItem {
    /// Returns the memory of the item in bytes, without the rounding of the allocator.
    pub fn memory(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len() + HEADER_MEMORY);
        size_of::<Self>()
            + self.id.len()
            + self.path.len()
            + self.body.len()
            + headers.sum::<usize>()
    }
}

/// A job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifier assigned by the caller; a repeated submission has the same one.
    pub id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Host of the route.
    pub host: String,
    /// Time of the submission in Unix milliseconds.
    pub submitted: u64,
    /// Most tokens that the organisation may have waiting; `None` for no limit.
    pub waiting_tokens: Option<u64>,
    /// Items.
    pub items: Vec<NewItem>,
}

/// A change of the jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A job is submitted.
    Submit(Submission),
    /// An item has ended.
    Finish {
        /// The job.
        job: String,
        /// Index of the item.
        item: usize,
        /// How it ended.
        outcome: Outcome,
        /// Output.
        text: String,
    },
    /// The caller ends a job.
    End {
        /// The job.
        job: String,
    },
    /// A job is removed after the retention time of its results.
    Remove {
        /// The job.
        job: String,
    },
}

/// Changes that precede the one being decided in the same append.
#[derive(Debug, Default)]
pub struct Pending {
    /// Finished items by job.
    finished: HashMap<String, BTreeSet<usize>>,
    /// Whether a job is submitted or removed, which affects the check of the token limit.
    exclusive: bool,
}

impl Pending {
    /// Takes back a change that was decided last, and is not in the append.
    pub fn retract(&mut self, change: &Change) {
        match change {
            Change::Submit(_) | Change::Remove { .. } => self.exclusive = false,
            Change::Finish { job, item, .. } => {
                if let Some(items) = self.finished.get_mut(job) {
                    items.remove(item);
                }
            }
            Change::End { .. } => {}
        }
    }
}

impl Change {
    /// Returns whether the change has taken effect.
    pub fn is_done(&self, state: LoadedPartition<'_>) -> bool {
        match self {
            Self::Submit(submission) => state.get(&submission.id).is_some(),
            Self::Finish { job, item, .. } => {
                state.get(job).is_some_and(|job| job.has_result(*item))
            }
            Self::End { job } => state.get(job).is_some_and(|job| job.ended),
            Self::Remove { job } => state.get(job).is_none(),
        }
    }
}

/// Decision on a change, given the state of its partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The change has already taken effect.
    Done,
    /// The job or its item does not exist.
    NoJob,
    /// The job would exceed the limit of waiting tokens.
    OverTokenLimit {
        /// Tokens that are already waiting.
        waiting: u64,
    },
    /// The change must be decided again after the append that is being prepared.
    Deferred,
    /// The records must be appended.
    Append(Vec<Record>),
}

/// Decides which records to append for `change`, given the state of its partition and the changes
/// in the same append.
///
/// Records larger than `record_bytes` are split where the format allows it.
pub fn decide(
    state: LoadedPartition<'_>,
    pending: &mut Pending,
    change: &Change,
    record_bytes: usize,
) -> Result<Decision, RecordError> {
    if pending.exclusive {
        return Ok(Decision::Deferred);
    }
    match change {
        Change::Submit(submission) => {
            let decision = submit(state, submission, record_bytes)?;
            pending.exclusive = matches!(decision, Decision::Append(_));
            Ok(decision)
        }
        Change::Finish {
            job,
            item,
            outcome,
            text,
        } => {
            let Some(known) = state.get(job) else {
                return Ok(Decision::NoJob);
            };
            // Asked for by a peer; its position would stay empty.
            if *item >= known.items.len() {
                return Ok(Decision::NoJob);
            }
            if known.has_result(*item) {
                return Ok(Decision::Done);
            }
            let before = pending.finished.entry(job.clone()).or_default();
            // The number of items of a job is far below the range of `u32`.
            let position = (known.results.len() + before.len()) as u32;
            if !before.insert(*item) {
                return Ok(Decision::Deferred);
            }
            let record = ResultRecord {
                item: *item as u32,
                outcome: *outcome,
                text: text.clone(),
            };
            let key = JobKey::Result(job, position);
            Ok(Decision::Append(vec![encode(&key, &record)?]))
        }
        Change::End { job } => Ok(match state.get(job) {
            None => Decision::NoJob,
            Some(known) if known.ended => Decision::Done,
            Some(_) => Decision::Append(vec![encode(&JobKey::End(job), &true)?]),
        }),
        Change::Remove { job } => {
            pending.exclusive = true;
            Ok(remove(state, job))
        }
    }
}

fn submit(
    state: LoadedPartition<'_>,
    submission: &Submission,
    record_bytes: usize,
) -> Result<Decision, RecordError> {
    let id = &submission.id;
    if state.get(id).is_some() {
        return Ok(Decision::Done);
    }
    let new_tokens = submission.items.iter().map(|item| item.tokens);
    let new_tokens = new_tokens.fold(0, u64::saturating_add);
    let waiting = state.waiting_tokens(&submission.organisation, &submission.route);
    if submission
        .waiting_tokens
        .is_some_and(|limit| waiting.saturating_add(new_tokens) > limit)
    {
        return Ok(Decision::OverTokenLimit { waiting });
    }
    let mut records = Vec::new();
    for part in split(&submission.items, record_bytes) {
        let key = JobKey::Part(id, records.len() as u32);
        records.push(encode(&key, &part)?);
    }
    let header = JobRecord {
        organisation: submission.organisation.clone(),
        route: submission.route.clone(),
        host: submission.host.clone(),
        submitted: submission.submitted,
        parts: records.len() as u32,
    };
    records.push(encode(&JobKey::Job(id), &header)?);
    Ok(Decision::Append(records))
}

/// Most bytes of an item in a record in addition to its fields: their names and the encoding.
const ITEM_OVERHEAD: usize = 128;

/// Most bytes of a header of an item in addition to its name and value.
const HEADER_OVERHEAD: usize = 16;

/// Returns the most bytes that an item takes in a record.
fn item_bytes(item: &NewItem) -> usize {
    let headers = item.headers.iter();
    let headers = headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD);
    ITEM_OVERHEAD + item.id.len() + item.path.len() + item.body.len() + headers.sum::<usize>()
}

/// Splits items into parts whose records stay below `record_bytes`; a larger item has a part of its
/// own.
fn split(items: &[NewItem], record_bytes: usize) -> Vec<Vec<ItemRecord>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for item in items {
        let len = item_bytes(item);
        if size + len > record_bytes && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = 0;
        }
        size += len;
        part.push(ItemRecord {
            id: item.id.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: ByteBuf::from(item.body.to_vec()),
            tokens: item.tokens,
        });
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}

fn remove(state: LoadedPartition<'_>, job: &str) -> Decision {
    let Some(known) = state.get(job) else {
        return Decision::Done;
    };
    let results = (0..known.results.len() as u32).map(|n| JobKey::Result(job, n).encode());
    // A job never has more parts than items.
    let parts = (0..known.items.len() as u32).map(|n| JobKey::Part(job, n).encode());
    let head = [JobKey::End(job).encode(), JobKey::Job(job).encode()];
    let keys = results.chain(parts).chain(head);
    let records = keys.map(|key| Record {
        key,
        value: Bytes::new(),
    });
    Decision::Append(records.collect())
}
