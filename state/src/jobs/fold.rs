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

/// Largest number of incomplete submissions; the one with the lowest number is dropped first.
///
/// An owner writes only a few submissions at a time, so any beyond that were abandoned by it.
const MAX_PENDING: usize = 64;

/// The jobs of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    /// Highest opened epoch.
    epoch: Epoch,
    /// Latest time of a record that was not rejected because of its epoch.
    clock: UnixMillis,
    /// Parts of at most [`MAX_PENDING`] submissions of the current epoch that are not yet jobs.
    pending: BTreeMap<SubmissionId, Parts>,
    jobs: BTreeMap<JobId, Job>,
    usage: BTreeMap<OrganisationId, OrganisationUsage>,
    /// Ended jobs by the time at which their results expire; rebuilt from `jobs` after a restore.
    #[serde(skip)]
    expiries: BTreeSet<(UnixMillis, JobId)>,
}

/// Parts of a submission by their index.
type Parts = BTreeMap<u32, Vec<PendingItem>>;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PendingItem(Box<str>, Box<str>, u32);

/// Usage of an organisation over all jobs of a group, including expired ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUsage {
    /// Number of finished items.
    pub items: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

impl Jobs {
    /// Returns the highest opened epoch, or 0 if there is none.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the clock of the fold: the latest time of a record that was not rejected because of
    /// its epoch.
    pub fn clock(&self) -> UnixMillis {
        self.clock
    }

    /// Returns a job unless its results expired.
    pub fn get(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns all jobs whose results have not expired.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Returns the usage of each organisation.
    pub fn usage(&self) -> impl Iterator<Item = (&OrganisationId, &OrganisationUsage)> {
        self.usage.iter()
    }

    /// Returns the usage of an organisation.
    pub fn usage_of(&self, organisation: &OrganisationId) -> OrganisationUsage {
        self.usage.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the time at which the next results expire.
    ///
    /// They are dropped by the first record with this or a later time, for example
    /// [`JobChange::Tick`].
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Opens `epoch` if it is higher than the highest opened one.
    fn open(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            // Submission numbers are unique only within an epoch, and the previous owner can no
            // longer complete its submissions.
            self.pending.clear();
        }
    }

    /// Advances the clock to `at` and drops the jobs whose results expired; returns them.
    fn advance_clock(&mut self, at: UnixMillis) -> Vec<JobId> {
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
            JobChange::Submit(header) => self.submit(header),
            JobChange::Cancel { job } => self.cancel(job),
            JobChange::Completed { job, items } => self.complete(job, items),
            JobChange::Attempts { job, counts } => self.record_attempts(job, &counts),
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

    fn submit(&mut self, header: Submission) -> JobOutcome {
        let job = header.job.clone();
        if let Some(existing) = self.jobs.get(&job) {
            let same = existing.is_same_submission(&header);
            self.pending.remove(&header.submission);
            return if same {
                JobOutcome::Resubmitted { job }
            } else {
                JobOutcome::KeyConflict { job }
            };
        }
        let submission = header.submission;
        let Some(items) = self.take_parts(submission, header.parts) else {
            return JobOutcome::Incomplete { submission };
        };
        let new = Job::new(header, items, self.clock);
        self.schedule_expiry(&job, new.expires());
        self.jobs.insert(job.clone(), new);
        JobOutcome::Submitted { job }
    }

    /// Removes the parts of a submission and returns their items in order, if exactly the parts
    /// with an index below `count` are stored.
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
        self.schedule_expiry(&id, expires);
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
        self.schedule_expiry(&id, expires);
        JobOutcome::Completed {
            job: id,
            completed,
            ignored,
            ended,
        }
    }

    fn record_attempts(&mut self, id: JobId, counts: &[(u32, u32)]) -> JobOutcome {
        let Some(job) = self.jobs.get_mut(&id) else {
            return JobOutcome::UnknownJob { job: id };
        };
        for (index, count) in counts {
            job.record_attempts(*index, *count);
        }
        JobOutcome::AttemptsNoted { job: id }
    }

    fn schedule_expiry(&mut self, id: &JobId, expires: Option<UnixMillis>) {
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
        // No claim has epoch 0, but it is the initial value of `self.epoch`: a record with epoch 0
        // must not be accepted in a group that was never opened.
        if epoch != self.epoch || epoch == Epoch::default() {
            let outcome = if epoch < self.epoch {
                JobOutcome::Stale { epoch }
            } else {
                JobOutcome::NotOpened { epoch }
            };
            let expired = Vec::new();
            return JobsEvent { outcome, expired };
        }
        let expired = self.advance_clock(at);
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
