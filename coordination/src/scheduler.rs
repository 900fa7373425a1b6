//! Scheduler by which the owner of a job group dispatches batch items.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use limpetweir_state::{
    Epoch,
    GroupId,
    Job,
    JobId,
    OrganisationId,
    Timestamp, //
};

use crate::attempt::AttemptId;
use crate::completions::{
    BufferedSize,
    CompletionBatch,
    Completions, //
};
use crate::fair_share::FairShares;
use crate::job_items::{
    JobItems,
    JobSpec,
    ResumePoint, //
};
use crate::timing::COMPLETION_INTERVAL;

/// Number of items at which a job is huge and leaves a quarter of the dispatches to other jobs.
const HUGE_JOB_ITEMS: u32 = 1_024;

/// Consecutive dispatches of a huge job while others wait; the fourth goes to another job.
const MAX_HUGE_RUN: usize = 3;

/// An item to send to a batch manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Job of the item.
    pub job: JobId,
    /// Index of the item in the job.
    pub index: u32,
    /// Output of earlier attempts to resume from.
    pub resume: ResumePoint,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd<R> {
    /// The item ran to its end with this outcome.
    Finished(R),
    /// The item was preempted by online requests; does not count as a failure.
    Preempted(ResumePoint),
    /// The attempt failed; its outcome is recorded if it was the last attempt of the item.
    Failed(R),
    /// The item did not run, for example because the batch manager was busy; does not count as a
    /// failure.
    NotRun,
    /// The batch manager and the output of the attempt were lost; does not count as a failure.
    Lost,
}

/// State of an item after the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The item has its outcome.
    Settled,
    /// The item is queued for another dispatch.
    Waiting,
    /// The job was cancelled or has all its outcomes, so the item does not run again.
    Dropped,
    /// The attempt was not running, so its end has no effect.
    Unknown,
}

/// Failed attempts of one job's items, to be recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptCounts {
    /// The job.
    pub job: JobId,
    /// Index and number of failed attempts so far.
    pub counts: Vec<(u32, u32)>,
}

#[derive(Clone, Debug)]
struct Running {
    job: JobId,
    index: u32,
    resume: ResumePoint,
}

/// Jobs of one group under one epoch of ownership.
///
/// The job with the earliest deadline is dispatched first, limited by fair shares of the
/// organisations and by the quarter of the dispatches that a huge job leaves to others. The caller
/// must request no dispatches or batches while it may not act for the group.
#[derive(Clone, Debug)]
pub struct Scheduler<R> {
    group: GroupId,
    epoch: Epoch,
    next_attempt: u64,
    jobs: BTreeMap<JobId, JobItems>,
    /// All jobs ever added; a finished job must not restart when it is added again.
    known: BTreeSet<JobId>,
    /// Running attempts; their items are in no queue of the job.
    running: BTreeMap<AttemptId, Running>,
    shares: FairShares,
    /// Jobs of the last dispatches, at most [`MAX_HUGE_RUN`].
    recent: VecDeque<JobId>,
    completions: Completions<R>,
    failures: BTreeMap<JobId, BTreeMap<u32, u32>>,
    last_counts_at: Option<Timestamp>,
}

impl<R: BufferedSize> Scheduler<R> {
    /// Creates the scheduler of `group` under `epoch`.
    pub fn new(group: GroupId, epoch: Epoch) -> Self {
        Self {
            group,
            epoch,
            next_attempt: 0,
            jobs: BTreeMap::new(),
            known: BTreeSet::new(),
            running: BTreeMap::new(),
            shares: FairShares::default(),
            recent: VecDeque::new(),
            completions: Completions::new(),
            failures: BTreeMap::new(),
            last_counts_at: None,
        }
    }

    /// Sets the weight of an organisation; the default is 1.
    pub fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.shares.set_weight(organisation, weight);
    }

    /// Adds a job from the fold of the log; a known job is not changed.
    ///
    /// `settled` contains the indexes with an outcome, `failures` the failed attempts by index.
    pub fn add_job(
        &mut self,
        spec: JobSpec,
        settled: impl IntoIterator<Item = u32>,
        failures: impl IntoIterator<Item = (u32, u32)>,
    ) {
        if self.known.insert(spec.job.clone()) {
            let id = spec.job.clone();
            let items = JobItems::new(spec, settled, failures);
            self.jobs.insert(id, items);
        }
    }

    /// Adds a job from the fold, including its outcomes and failed attempts.
    pub fn add_folded(&mut self, id: &JobId, job: &Job) {
        let spec = JobSpec::from((id, job));
        let open: BTreeMap<u32, u32> = job
            .open_items(0)
            .map(|item| (item.index, item.attempts))
            .collect();
        let settled = (0..spec.items).filter(|index| !open.contains_key(index));
        let failures = open.iter().filter(|(_, attempts)| **attempts > 0);
        let failures = failures.map(|(&index, &attempts)| (index, attempts));
        self.add_job(spec, settled, failures);
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the next item to dispatch among the jobs for which `placeable` returns true.
    ///
    /// Returns `None` if none is queued, or if the outcomes of running items would fill the buffer.
    pub fn next(&mut self, placeable: impl Fn(&JobSpec) -> bool) -> Option<Dispatch> {
        if !self.completions.has_capacity(self.running.len()) {
            return None;
        }
        let waiting: Vec<&JobSpec> = self
            .jobs
            .values()
            .filter(|items| items.is_waiting())
            .map(JobItems::spec)
            .filter(|&spec| placeable(spec))
            .collect();
        self.shares
            .observe(waiting.iter().map(|spec| &spec.organisation));
        let job = self.choose(&waiting)?.job.clone();
        self.dispatch(job)
    }

    /// Returns the job with the earliest deadline that is within its limits.
    ///
    /// Limits only apply while another job has queued items, so that no dispatch is wasted.
    fn choose<'a>(&self, waiting: &[&'a JobSpec]) -> Option<&'a JobSpec> {
        let allowed = || {
            let specs = waiting.iter().copied();
            specs.filter(|spec| !self.exceeds_huge_run(spec))
        };
        let within = |spec: &&JobSpec| self.shares.is_within_lead(&spec.organisation);
        earliest(allowed().filter(within))
            .or_else(|| earliest(allowed()))
            .or_else(|| earliest(waiting.iter().copied()))
    }

    fn exceeds_huge_run(&self, spec: &JobSpec) -> bool {
        let huge = spec.items >= HUGE_JOB_ITEMS;
        let run = self.recent.iter().filter(|job| **job == spec.job).count();
        huge && run >= MAX_HUGE_RUN
    }

    fn dispatch(&mut self, job: JobId) -> Option<Dispatch> {
        let items = self.jobs.get_mut(&job)?;
        let (index, resume) = items.take()?;
        self.shares.charge(&items.spec().organisation);
        self.recent.push_back(job.clone());
        if self.recent.len() > MAX_HUGE_RUN {
            self.recent.pop_front();
        }
        let attempt = AttemptId {
            group: self.group,
            epoch: self.epoch,
            number: self.next_attempt,
        };
        self.next_attempt += 1;
        let running = Running {
            job: job.clone(),
            index,
            resume: resume.clone(),
        };
        self.running.insert(attempt, running);
        Some(Dispatch {
            attempt,
            job,
            index,
            resume,
        })
    }

    /// Records the end of an attempt.
    pub fn on_end(&mut self, attempt: AttemptId, end: AttemptEnd<R>) -> ItemState {
        let Some(running) = self.running.remove(&attempt) else {
            return ItemState::Unknown;
        };
        let job = running.job.clone();
        let state = match end {
            AttemptEnd::Finished(outcome) => self.settle(&running, outcome),
            AttemptEnd::Failed(outcome) => self.fail(&running, outcome),
            AttemptEnd::Preempted(progress) => self.requeue(running, Some(progress), true),
            AttemptEnd::NotRun => self.requeue(running, None, true),
            AttemptEnd::Lost => self.requeue(running, None, false),
        };
        self.remove_if_finished(&job);
        state
    }

    /// Records the outcome of an item, even if its job was cancelled while the item ran.
    fn settle(&mut self, running: &Running, outcome: R) -> ItemState {
        let items = self.jobs.get_mut(&running.job);
        if items.is_some_and(|items| items.settle(running.index)) {
            self.completions.push(&running.job, running.index, outcome);
        }
        ItemState::Settled
    }

    fn fail(&mut self, running: &Running, outcome: R) -> ItemState {
        let Some(items) = self.jobs.get_mut(&running.job) else {
            return ItemState::Dropped;
        };
        if items.is_finished() {
            return ItemState::Dropped;
        }
        let (count, last) = items.fail(running.index);
        if last {
            return self.settle(running, outcome);
        }
        let counts = self.failures.entry(running.job.clone()).or_default();
        counts.insert(running.index, count);
        ItemState::Waiting
    }

    fn requeue(
        &mut self,
        running: Running,
        progress: Option<ResumePoint>,
        refund: bool,
    ) -> ItemState {
        let Some(items) = self.jobs.get_mut(&running.job) else {
            return ItemState::Dropped;
        };
        if refund {
            self.shares.refund(&items.spec().organisation);
        }
        if items.is_finished() {
            return ItemState::Dropped;
        }
        items.requeue(running.index, progress.unwrap_or(running.resume));
        ItemState::Waiting
    }

    fn remove_if_finished(&mut self, job: &JobId) {
        if !self.jobs.get(job).is_some_and(JobItems::is_finished) {
            return;
        }
        let runs = self.running.values().any(|running| running.job == *job);
        if !runs {
            self.jobs.remove(job);
            self.failures.remove(job);
        }
    }

    /// Cancels a job, so that no further item is dispatched; returns its running attempts.
    pub fn cancel(&mut self, job: &JobId) -> Vec<AttemptId> {
        if let Some(items) = self.jobs.get_mut(job) {
            items.cancel();
        }
        let attempts: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, running)| running.job == *job)
            .map(|(&attempt, _)| attempt)
            .collect();
        self.remove_if_finished(job);
        attempts
    }

    /// Returns the outcomes for the next log record, if one is due at `now`.
    ///
    /// Returns `None` until [`Scheduler::confirm_completions`] is called for the last batch.
    pub fn take_completions(&mut self, now: Timestamp) -> Option<CompletionBatch<R>> {
        self.completions.take(now)
    }

    /// Records that the last batch of outcomes was read back from the log.
    pub fn confirm_completions(&mut self) {
        self.completions.confirm();
    }

    /// Returns the failed attempts of one job to record, at most once per completion interval.
    pub fn take_attempt_counts(&mut self, now: Timestamp) -> Option<AttemptCounts> {
        let interval_elapsed = self
            .last_counts_at
            .is_none_or(|at| now.since(at) >= COMPLETION_INTERVAL);
        if !interval_elapsed {
            return None;
        }
        let (job, counts) = self.failures.pop_first()?;
        self.last_counts_at = Some(now);
        let counts = counts.into_iter().collect();
        Some(AttemptCounts { job, counts })
    }
}

fn earliest<'a>(specs: impl Iterator<Item = &'a JobSpec>) -> Option<&'a JobSpec> {
    specs.min_by_key(|&spec| (spec.deadline, &spec.job))
}
