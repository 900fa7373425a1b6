//! Batch jobs and their items.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use strum::{
    Display,
    IntoStaticStr, //
};

use super::record::{
    Completion,
    NewItem,
    Outcome,
    Submission,
    Usage, //
};
use crate::ids::{
    ModelId,
    OrganisationId,
    ServiceId, //
};
use crate::time::UnixMillis;

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    organisation: OrganisationId,
    key: Box<str>,
    digest: [u8; 32],
    service: ServiceId,
    model: ModelId,
    deadline: UnixMillis,
    result_retention: Duration,
    items: Box<[Item]>,
    /// Number of finished items.
    finished: u32,
    /// Number of failed items.
    failed: u32,
    /// Whether the job was ended by cancellation.
    cancelled: bool,
    /// Time at which the job ended; `None` while it runs.
    ended: Option<UnixMillis>,
}

/// An item; serialised with short names because a job has up to 720,000 items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Item {
    #[serde(rename = "i")]
    pub(crate) id: Box<str>,
    #[serde(rename = "s")]
    pub(crate) state: ItemState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ItemState {
    #[serde(rename = "o")]
    Open {
        #[serde(rename = "p")]
        prompt: Box<str>,
        #[serde(rename = "m")]
        max_tokens: u32,
        /// Number of failed attempts.
        #[serde(rename = "a")]
        attempts: u32,
    },
    /// The prompt is dropped, because only the outcome can still be requested.
    #[serde(rename = "d")]
    Done(Outcome, Usage),
    #[serde(rename = "x")]
    Cancelled,
}

/// An item that has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenItem<'a> {
    /// Index in the job.
    pub index: u32,
    /// Prompt of the item.
    pub prompt: &'a str,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Number of failed attempts.
    pub attempts: u32,
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum JobPhase {
    /// Some items have no outcome yet.
    Running,
    /// All items have an outcome.
    Completed,
    /// The job was cancelled before all items had an outcome.
    Cancelled,
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Phase of the job.
    pub phase: JobPhase,
    /// Number of items.
    pub total: u32,
    /// Number of items that ran to completion.
    pub finished: u32,
    /// Number of items of which all attempts failed.
    pub failed: u32,
    /// Number of items that were cancelled.
    pub cancelled: u32,
    /// Time by which the job is due.
    pub deadline: UnixMillis,
    /// Time at which the job ended, if it did.
    pub ended: Option<UnixMillis>,
    /// Time at which the results expire, once the job ended.
    pub expires: Option<UnixMillis>,
}

impl Job {
    pub(crate) fn new(header: Submission, items: Vec<NewItem>, now: UnixMillis) -> Self {
        let ended = items.is_empty().then_some(now);
        Self {
            organisation: header.organisation,
            key: header.key,
            digest: header.digest,
            service: header.service,
            model: header.model,
            deadline: header.deadline,
            result_retention: header.result_retention,
            items: items.into_iter().map(Item::from).collect(),
            finished: 0,
            failed: 0,
            cancelled: false,
            ended,
        }
    }

    /// Returns the organisation that submitted the job and is billed.
    pub fn organisation(&self) -> &OrganisationId {
        &self.organisation
    }

    /// Returns the caller's idempotency key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the SHA-256 digest of the request body that submitted the job.
    pub fn digest(&self) -> &[u8; 32] {
        &self.digest
    }

    /// Returns the model service that runs the items.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the model that runs the items.
    pub fn model(&self) -> &ModelId {
        &self.model
    }

    /// Returns the number of items.
    pub fn len(&self) -> u32 {
        // Never saturates: the index of an item is a u32, so a job has fewer than u32::MAX items.
        u32::try_from(self.items.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the job has no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether the job has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns the progress of the job.
    pub fn progress(&self) -> Progress {
        let phase = match (self.ended, self.cancelled) {
            (None, _) => JobPhase::Running,
            (Some(_), false) => JobPhase::Completed,
            (Some(_), true) => JobPhase::Cancelled,
        };
        let cancelled = if self.cancelled {
            self.without_outcome()
        } else {
            0
        };
        Progress {
            phase,
            total: self.len(),
            finished: self.finished,
            failed: self.failed,
            cancelled,
            deadline: self.deadline,
            ended: self.ended,
            expires: self.expires(),
        }
    }

    /// Returns the time at which the results expire, once the job ended.
    pub fn expires(&self) -> Option<UnixMillis> {
        let ended = self.ended?;
        let retention = u64::try_from(self.result_retention.as_millis()).unwrap_or(u64::MAX);
        Some(UnixMillis(ended.0.saturating_add(retention)))
    }

    /// Returns the open items with an index of at least `from`, in order.
    pub fn open_items(&self, from: u32) -> impl Iterator<Item = OpenItem<'_>> {
        let items = (0..).zip(&self.items).skip(from as usize);
        items.filter_map(|(index, item)| item.open(index))
    }

    /// Returns an item if it is open.
    pub fn open_item(&self, index: u32) -> Option<OpenItem<'_>> {
        self.items.get(index as usize)?.open(index)
    }

    pub(crate) fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns whether `header` is a resend of this job's submission.
    pub(crate) fn is_same_submission(&self, header: &Submission) -> bool {
        self.organisation == header.organisation
            && self.key == header.key
            && self.digest == header.digest
    }

    /// Sets the outcome of an item if it is open; returns whether it was.
    pub(crate) fn complete(&mut self, completion: Completion, now: UnixMillis) -> bool {
        let Some(item) = self.items.get_mut(completion.index as usize) else {
            return false;
        };
        if !matches!(item.state, ItemState::Open { .. }) {
            return false;
        }
        match completion.outcome {
            Outcome::Finished(_) => self.finished += 1,
            Outcome::Failed(_) => self.failed += 1,
        }
        item.state = ItemState::Done(completion.outcome, completion.usage);
        if self.without_outcome() == 0 {
            self.ended = Some(now);
        }
        true
    }

    /// Raises the number of failed attempts of an open item; a lower number has no effect.
    pub(crate) fn record_attempts(&mut self, index: u32, count: u32) {
        let item = self.items.get_mut(index as usize);
        if let Some(Item {
            state: ItemState::Open { attempts, .. },
            ..
        }) = item
        {
            *attempts = count.max(*attempts);
        }
    }

    /// Cancels all open items and ends the job; returns the number of items cancelled.
    pub(crate) fn cancel(&mut self, now: UnixMillis) -> u32 {
        for item in &mut self.items {
            if matches!(item.state, ItemState::Open { .. }) {
                item.state = ItemState::Cancelled;
            }
        }
        self.cancelled = true;
        self.ended = Some(now);
        self.without_outcome()
    }

    /// Returns the number of items that are open or cancelled.
    fn without_outcome(&self) -> u32 {
        self.len() - self.finished - self.failed
    }
}

impl Item {
    fn open(&self, index: u32) -> Option<OpenItem<'_>> {
        let ItemState::Open {
            prompt,
            max_tokens,
            attempts,
        } = &self.state
        else {
            return None;
        };
        Some(OpenItem {
            index,
            prompt,
            max_tokens: *max_tokens,
            attempts: *attempts,
        })
    }
}

impl From<NewItem> for Item {
    fn from(item: NewItem) -> Self {
        Self {
            id: item.id,
            state: ItemState::Open {
                prompt: item.prompt,
                max_tokens: item.max_tokens,
                attempts: 0,
            },
        }
    }
}
