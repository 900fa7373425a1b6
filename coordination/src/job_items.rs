//! Items of one batch job and the order in which they run.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use limpetweir_state::{
    Job,
    JobId,
    ModelId,
    OrganisationId,
    ServiceId,
    UnixMillis, //
};

use crate::timing::ITEM_ATTEMPTS;

/// Properties of a job that scheduling depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// The job.
    pub job: JobId,
    /// Organisation that is billed.
    pub organisation: OrganisationId,
    /// Service that runs the items.
    pub service: ServiceId,
    /// Model that runs the items.
    pub model: ModelId,
    /// Time by which the job should be finished.
    pub deadline: UnixMillis,
    /// Number of items; indexes run from 0 to `items` - 1.
    pub items: u32,
}

impl From<(&JobId, &Job)> for JobSpec {
    fn from((id, job): (&JobId, &Job)) -> Self {
        Self {
            job: id.clone(),
            organisation: job.organisation().clone(),
            service: job.service().clone(),
            model: job.model().clone(),
            deadline: job.progress().deadline,
            items: job.len(),
        }
    }
}

/// Output of earlier attempts from which the next attempt resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResumePoint {
    /// Generated text.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: u32,
}

/// Queues of the items of one job that have no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct JobItems {
    spec: JobSpec,
    settled: Vec<bool>,
    /// Number of items without an outcome, including running ones.
    open: u32,
    /// Lowest index that was never dispatched; all indexes from it on are undispatched or settled.
    next: u32,
    /// Items that were preempted or did not run; dispatched first, because work was spent on them.
    returned: VecDeque<(u32, ResumePoint)>,
    /// Items with a failed attempt; dispatched last, so that they delay no other item.
    failed: VecDeque<u32>,
    /// Failed attempts by index.
    failures: BTreeMap<u32, u32>,
    cancelled: bool,
}

impl JobItems {
    /// Creates the queues of a job.
    ///
    /// `settled` contains the indexes with an outcome, `failures` the failed attempts by index.
    pub(crate) fn new(
        spec: JobSpec,
        settled: impl IntoIterator<Item = u32>,
        failures: impl IntoIterator<Item = (u32, u32)>,
    ) -> Self {
        let mut items = Self {
            settled: vec![false; spec.items as usize],
            open: spec.items,
            next: 0,
            returned: VecDeque::new(),
            failed: VecDeque::new(),
            failures: failures.into_iter().collect(),
            cancelled: false,
            spec,
        };
        for index in settled {
            items.settle(index);
        }
        items.skip_settled();
        items
    }

    pub(crate) fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns whether all items have an outcome or the job was cancelled.
    pub(crate) fn is_finished(&self) -> bool {
        self.open == 0 || self.cancelled
    }

    pub(crate) fn is_waiting(&self) -> bool {
        let fresh = self.next < self.spec.items;
        !self.cancelled && (fresh || !self.returned.is_empty() || !self.failed.is_empty())
    }

    /// Removes and returns the item to run next.
    pub(crate) fn take(&mut self) -> Option<(u32, ResumePoint)> {
        if self.cancelled {
            return None;
        }
        if let Some(item) = self.returned.pop_front() {
            return Some(item);
        }
        if self.next < self.spec.items {
            let index = self.next;
            self.next += 1;
            self.skip_settled();
            return Some((index, ResumePoint::default()));
        }
        let index = self.failed.pop_front()?;
        Some((index, ResumePoint::default()))
    }

    fn skip_settled(&mut self) {
        while self.settled.get(self.next as usize) == Some(&true) {
            self.next += 1;
        }
    }

    pub(crate) fn requeue(&mut self, index: u32, progress: ResumePoint) {
        self.returned.push_front((index, progress));
    }

    /// Counts a failed attempt; returns the count and whether it was the last attempt.
    pub(crate) fn fail(&mut self, index: u32) -> (u32, bool) {
        let count = self.failures.entry(index).or_insert(0);
        *count += 1;
        let last = *count >= ITEM_ATTEMPTS;
        if !last {
            self.failed.push_back(index);
        }
        (*count, last)
    }

    /// Records that the item has an outcome; returns whether it had none before.
    pub(crate) fn settle(&mut self, index: u32) -> bool {
        match self.settled.get_mut(index as usize) {
            Some(settled) if !*settled => {
                *settled = true;
                self.open -= 1;
                self.failures.remove(&index);
                true
            }
            _ => false,
        }
    }

    pub(crate) fn cancel(&mut self) {
        self.cancelled = true;
        self.returned.clear();
        self.failed.clear();
    }
}
