//! Buffer of batch item outcomes that are to be appended to the log.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use limpetweir_state::{
    JobId,
    Timestamp, //
};

use crate::timing::{
    COMPLETION_INTERVAL,
    COMPLETION_MAX_ITEMS, //
};

/// Maximum number of buffered outcomes per group. Each running item counts as one outcome.
const MAX_BUFFERED_ITEMS: usize = 4_096;

/// Size of a group's buffered outcomes, in bytes, at which dispatching stops.
///
/// 16 groups on one instance then use at most half of its 128 MiB.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// A value whose memory use in the buffer can be estimated.
pub trait BufferedSize {
    /// Returns the approximate size in bytes.
    fn buffered_size(&self) -> usize;
}

/// Outcomes of one job's items that are appended as one log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionBatch<R> {
    /// The job.
    pub job: JobId,
    /// Index and outcome of each item.
    pub items: Vec<(u32, R)>,
}

/// Bounded buffer of the outcomes of one job group.
#[derive(Clone, Debug)]
pub(crate) struct Completions<R> {
    /// Outcomes not yet in a batch; never contains an empty list.
    pending: BTreeMap<JobId, VecDeque<(u32, R)>>,
    /// The keys of `pending`, oldest first.
    order: VecDeque<JobId>,
    /// Items and bytes of all outcomes not yet read back from the log, including those being
    /// appended.
    items: usize,
    bytes: usize,
    /// Items and bytes of the batch that is being appended.
    appending: Option<(usize, usize)>,
    last_batch_at: Option<Timestamp>,
}

impl<R: BufferedSize> Completions<R> {
    pub(crate) fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            order: VecDeque::new(),
            items: 0,
            bytes: 0,
            appending: None,
            last_batch_at: None,
        }
    }

    /// Returns whether the buffer has capacity for one more item besides the `running` ones.
    pub(crate) fn has_capacity(&self, running: usize) -> bool {
        self.items + running < MAX_BUFFERED_ITEMS && self.bytes < MAX_BUFFERED_BYTES
    }

    pub(crate) fn push(&mut self, job: &JobId, index: u32, outcome: R) {
        self.items += 1;
        self.bytes += outcome.buffered_size();
        let list = self.pending.entry(job.clone()).or_default();
        if list.is_empty() {
            self.order.push_back(job.clone());
        }
        list.push_back((index, outcome));
    }

    /// Returns the next batch if one is due at `now` and none is being appended.
    ///
    /// A batch is due after the completion interval, or immediately when it is full.
    pub(crate) fn take(&mut self, now: Timestamp) -> Option<CompletionBatch<R>> {
        if self.appending.is_some() {
            return None;
        }
        let job = self.due(now)?.clone();
        let list = self.pending.get_mut(&job)?;
        let count = list.len().min(COMPLETION_MAX_ITEMS);
        let items: Vec<_> = list.drain(..count).collect();
        self.order.retain(|other| *other != job);
        if list.is_empty() {
            self.pending.remove(&job);
        } else {
            self.order.push_back(job.clone());
        }
        let bytes = items.iter().map(|(_, outcome)| outcome.buffered_size());
        self.appending = Some((items.len(), bytes.sum()));
        self.last_batch_at = Some(now);
        Some(CompletionBatch { job, items })
    }

    fn due(&self, now: Timestamp) -> Option<&JobId> {
        let interval_elapsed = self
            .last_batch_at
            .is_none_or(|at| now.since(at) >= COMPLETION_INTERVAL);
        if interval_elapsed {
            return self.order.front();
        }
        let full = |job: &&JobId| {
            let list = self.pending.get(*job);
            list.is_some_and(|list| list.len() >= COMPLETION_MAX_ITEMS)
        };
        self.order.iter().find(full)
    }

    /// Records that the last batch was read back from the log.
    pub(crate) fn confirm(&mut self) {
        if let Some((items, bytes)) = self.appending.take() {
            self.items -= items;
            self.bytes -= bytes;
        }
    }
}
