//! The fold over a `jobs-<n>` stream.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::event::{
    JobOutcome,
    JobsEvent, //
};
use super::job::Job;
use super::record::{
    Completion,
    JobChange,
    JobRecord,
    NewItem,
    Outcome,
    Submission,
    SubmissionId,
    Usage, //
};
use crate::ids::{
    Epoch,
    JobId,
    Offset,
    OrganisationId, //
};
use crate::log::{
    Fold,
    SnapshotError,
    decode, //
};
use crate::time::UnixMillis;

/// Largest number of submissions whose parts are kept; the lowest is dropped first.
///
/// An owner writes a few submissions at a time, so more are ones that it gave up.
const MAX_PENDING: usize = 64;

/// The jobs of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    /// Highest epoch opened.
    epoch: Epoch,
    /// Latest time of a record that had the right to write.
    clock: UnixMillis,
    /// At most [`MAX_PENDING`] submissions of the current epoch that are no job yet.
    pending: BTreeMap<SubmissionId, Parts>,
    jobs: BTreeMap<JobId, Job>,
    usage: BTreeMap<OrganisationId, OrganisationUsage>,
    /// Ended jobs by the time at which their results expire; rebuilt from `jobs`.
    #[serde(skip)]
    expiries: BTreeSet<(UnixMillis, JobId)>,
}

/// Parts of a submission by their index.
type Parts = BTreeMap<u32, Vec<PendingItem>>;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PendingItem(Box<str>, Box<str>, u32);

/// What an organisation used in the jobs of a group, over all time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUsage {
    /// Number of items that ran to their end.
    pub items: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

impl Jobs {
    /// Returns the highest epoch opened; 0 if there is none.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the latest time of a record.
    pub fn clock(&self) -> UnixMillis {
        self.clock
    }

    /// Returns a job, until its results expire.
    pub fn get(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns all jobs whose results did not expire.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Returns what each organisation used.
    pub fn usage(&self) -> impl Iterator<Item = (&OrganisationId, &OrganisationUsage)> {
        self.usage.iter()
    }

    /// Returns what an organisation used.
    pub fn usage_of(&self, organisation: &OrganisationId) -> OrganisationUsage {
        self.usage.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the time at which the next results expire; a record at or after it, for example
    /// [`JobChange::Tick`], drops them.
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Takes over the group if `epoch` is higher than the highest opened.
    fn open(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            // Submissions are numbered within an epoch, and the former owner cannot finish its own.
            self.pending.clear();
        }
    }

    fn advance(&mut self, at: UnixMillis) -> Vec<JobId> {
        self.clock = self.clock.max(at);
        let mut expired = Vec::new();
        while let Some((expires, _)) = self.expiries.first()
            && *expires <= self.clock
            && let Some((_, id)) = self.expiries.pop_first()
        {
            self.jobs.remove(&id);
            expired.push(id);
        }
        expired
    }

    fn change(&mut self, change: JobChange) -> JobOutcome {
        match change {
            JobChange::Open => JobOutcome::Opened { epoch: self.epoch },
            JobChange::SubmitPart {
                submission,
                part,
                items,
            } => self.store_part(submission, part, items),
            JobChange::Submit(head) => self.submit(head),
            JobChange::Cancel { job } => self.cancel(job),
            JobChange::Completed { job, items } => self.complete(job, items),
            JobChange::Attempts { job, counts } => self.note_attempts(job, &counts),
            JobChange::Tick => JobOutcome::Ticked,
        }
    }

    fn store_part(
        &mut self,
        submission: SubmissionId,
        part: u32,
        items: Vec<NewItem>,
    ) -> JobOutcome {
        let parts = self.pending.entry(submission).or_default();
        if parts.contains_key(&part) {
            return JobOutcome::PartRepeated;
        }
        let items = items.into_iter().map(PendingItem::from).collect();
        parts.insert(part, items);
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
        JobOutcome::PartStored
    }

    fn submit(&mut self, head: Submission) -> JobOutcome {
        let job = head.job.clone();
        if let Some(former) = self.jobs.get(&job) {
            let same = former.is_same_submission(&head);
            self.pending.remove(&head.submission);
            return if same {
                JobOutcome::Resubmitted { job }
            } else {
                JobOutcome::KeyConflict { job }
            };
        }
        let submission = head.submission;
        let Some(items) = self.take_parts(submission, head.parts) else {
            return JobOutcome::Incomplete { submission };
        };
        let new = Job::new(head, items, self.clock);
        self.note_end(&job, new.expires());
        self.jobs.insert(job.clone(), new);
        JobOutcome::Submitted { job }
    }

    /// Removes and joins the parts of a submission if exactly the parts below `count` are stored.
    fn take_parts(&mut self, submission: SubmissionId, count: u32) -> Option<Vec<NewItem>> {
        let parts = self.pending.remove(&submission).unwrap_or_default();
        if !parts.keys().copied().eq(0..count) {
            if !parts.is_empty() {
                self.pending.insert(submission, parts);
            }
            return None;
        }
        let items = parts.into_values().flatten();
        Some(items.map(NewItem::from).collect())
    }

    fn cancel(&mut self, id: JobId) -> JobOutcome {
        let clock = self.clock;
        let Some(job) = self.jobs.get_mut(&id) else {
            return JobOutcome::UnknownJob { job: id };
        };
        if job.has_ended() {
            return JobOutcome::AlreadyEnded { job: id };
        }
        let items = job.cancel(clock);
        let expires = job.expires();
        self.note_end(&id, expires);
        JobOutcome::Cancelled { job: id, items }
    }

    fn complete(&mut self, id: JobId, items: Vec<Completion>) -> JobOutcome {
        let clock = self.clock;
        let Some(job) = self.jobs.get_mut(&id) else {
            return JobOutcome::UnknownJob { job: id };
        };
        let had_ended = job.has_ended();
        let mut used = OrganisationUsage::default();
        let mut completed = 0;
        let mut ignored = 0;
        for item in items {
            let finished = matches!(item.outcome, Outcome::Finished(_));
            let usage = item.usage;
            if job.complete(item, clock) {
                used.add(finished, usage);
                completed += 1;
            } else {
                ignored += 1;
            }
        }
        let ended = job.has_ended() && !had_ended;
        let expires = job.expires().filter(|_| ended);
        if completed > 0 {
            let organisation = job.organisation().clone();
            self.usage.entry(organisation).or_default().merge(used);
        }
        self.note_end(&id, expires);
        JobOutcome::Completed {
            job: id,
            completed,
            ignored,
            ended,
        }
    }

    fn note_attempts(&mut self, id: JobId, counts: &[(u32, u32)]) -> JobOutcome {
        let Some(job) = self.jobs.get_mut(&id) else {
            return JobOutcome::UnknownJob { job: id };
        };
        for (index, count) in counts {
            job.note_attempts(*index, *count);
        }
        JobOutcome::AttemptsNoted { job: id }
    }

    fn note_end(&mut self, id: &JobId, expires: Option<UnixMillis>) {
        if let Some(expires) = expires {
            self.expiries.insert((expires, id.clone()));
        }
    }
}

impl Fold for Jobs {
    type Record = JobRecord;
    type Event = JobsEvent;

    fn apply(&mut self, _at: Offset, record: JobRecord) -> JobsEvent {
        let JobRecord { epoch, at, change } = record;
        if change == JobChange::Open {
            self.open(epoch);
        }
        // Epoch 0 belongs to no claim and must not pass for the one of an unopened group.
        if epoch != self.epoch || epoch == Epoch::default() {
            let outcome = if epoch < self.epoch {
                JobOutcome::Stale { epoch }
            } else {
                JobOutcome::NotOpened { epoch }
            };
            let expired = Vec::new();
            return JobsEvent { outcome, expired };
        }
        let expired = self.advance(at);
        let outcome = self.change(change);
        JobsEvent { outcome, expired }
    }

    fn restore(buf: &mut &[u8]) -> Result<Self, SnapshotError> {
        let mut fold: Self = decode(buf)?;
        let ended = fold.jobs.iter().filter_map(|(id, job)| {
            let expires = job.expires()?;
            Some((expires, id.clone()))
        });
        fold.expiries = ended.collect();
        Ok(fold)
    }
}

impl OrganisationUsage {
    fn add(&mut self, finished: bool, usage: Usage) {
        self.items += u64::from(finished);
        self.prompt_tokens += u64::from(usage.prompt_tokens);
        self.completion_tokens += u64::from(usage.completion_tokens);
    }

    fn merge(&mut self, other: Self) {
        self.items += other.items;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
    }
}

impl From<NewItem> for PendingItem {
    fn from(item: NewItem) -> Self {
        Self(item.id, item.prompt, item.max_tokens)
    }
}

impl From<PendingItem> for NewItem {
    fn from(item: PendingItem) -> Self {
        Self {
            id: item.0,
            prompt: item.1,
            max_tokens: item.2,
        }
    }
}
