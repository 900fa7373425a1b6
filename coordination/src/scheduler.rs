//! Order in which the owner of a job group dispatches batch items.

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

/// Items from which a job leaves a quarter of the dispatches to other jobs.
const HUGE_JOB_ITEMS: u32 = 1_024;

/// Dispatches in a row that a huge job may take while others wait; the fourth goes to another job.
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
    /// Output to resume from.
    pub resume: ResumePoint,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd<R> {
    /// The item ran to its end with this outcome.
    Finished(R),
    /// The item gave way to online requests; no failure.
    Preempted(ResumePoint),
    /// The attempt failed; the outcome is recorded if it was the last one.
    Failed(R),
    /// The item did not run, for example because the batch manager was busy; no failure.
    NotRun,
    /// The batch manager was lost, and with it the output of the attempt; no failure.
    Lost,
}

/// What the end of an attempt meant for its item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The item has its outcome.
    Settled,
    /// The item waits to be dispatched again.
    Waiting,
    /// The job was cancelled, so the item does not run again.
    Dropped,
    /// The attempt was not running; its end has no effect.
    Unknown,
}

/// Failed attempts to record in the log, by index.
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
/// Dispatches follow the earliest deadline, limited by fair shares of the organisations and by the
/// quarter that a huge job leaves to others. The caller stops asking for dispatches and batches
/// when it may not act for the group.
#[derive(Clone, Debug)]
pub struct Scheduler<R> {
    group: GroupId,
    epoch: Epoch,
    next_attempt: u64,
    jobs: BTreeMap<JobId, JobItems>,
    /// All jobs ever added; a job that is over must not start anew when it is added again.
    known: BTreeSet<JobId>,
    /// Every entry's item is in no queue of its job.
    running: BTreeMap<AttemptId, Running>,
    shares: FairShares,
    /// Jobs of the last dispatches, at most [`MAX_HUGE_RUN`].
    recent: VecDeque<JobId>,
    completions: Completions<R>,
    failures: BTreeMap<JobId, BTreeMap<u32, u32>>,
    failures_taken_at: Option<Timestamp>,
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
            failures_taken_at: None,
        }
    }

    /// Sets the weight of an organisation; without one it is 1.
    pub fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.shares.set_weight(organisation, weight);
    }

    /// Adds a job as folded from the log; a known job is left as it is.
    ///
    /// `settled` holds the indexes with an outcome, `failures` the failed attempts by index.
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

    /// Adds a job from the fold, with the outcomes and failed attempts that it shows.
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
    /// Returns `None` if none waits, or if the outcomes of running items would fill the buffer.
    pub fn next(&mut self, placeable: impl Fn(&JobSpec) -> bool) -> Option<Dispatch> {
        if !self.completions.has_room(self.running.len()) {
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
    /// Limits only apply while another job waits, so that no dispatch is wasted.
    fn choose<'a>(&self, waiting: &[&'a JobSpec]) -> Option<&'a JobSpec> {
        let allowed = || {
            let specs = waiting.iter().copied();
            specs.filter(|spec| !self.is_over_huge_run(spec))
        };
        let within = |spec: &&JobSpec| self.shares.is_within(&spec.organisation);
        earliest(allowed().filter(within))
            .or_else(|| earliest(allowed()))
            .or_else(|| earliest(waiting.iter().copied()))
    }

    fn is_over_huge_run(&self, spec: &JobSpec) -> bool {
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
            AttemptEnd::Preempted(progress) => self.give_back(running, Some(progress), true),
            AttemptEnd::NotRun => self.give_back(running, None, true),
            AttemptEnd::Lost => self.give_back(running, None, false),
        };
        self.forget_if_over(&job);
        state
    }

    /// An item that ran to its end is recorded even if its job was cancelled meanwhile.
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
        if items.is_over() {
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

    fn give_back(
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
        if items.is_over() {
            return ItemState::Dropped;
        }
        items.give_back(running.index, progress.unwrap_or(running.resume));
        ItemState::Waiting
    }

    fn forget_if_over(&mut self, job: &JobId) {
        if !self.jobs.get(job).is_some_and(JobItems::is_over) {
            return;
        }
        let runs = self.running.values().any(|running| running.job == *job);
        if !runs {
            self.jobs.remove(job);
            self.failures.remove(job);
        }
    }

    /// Stops a job: no further item is dispatched; returns the running attempts to stop.
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
        self.forget_if_over(job);
        attempts
    }

    /// Returns the outcomes for the next log record, if one is due at `now`.
    ///
    /// Nothing further is returned until [`Scheduler::confirm_completions`].
    pub fn take_completions(&mut self, now: Timestamp) -> Option<CompletionBatch<R>> {
        self.completions.take(now)
    }

    /// Records that the last batch of outcomes was read back from the log.
    pub fn confirm_completions(&mut self) {
        self.completions.confirm();
    }

    /// Returns the failed attempts of one job to record, at most once in a completion interval.
    pub fn take_attempt_counts(&mut self, now: Timestamp) -> Option<AttemptCounts> {
        let rested = self
            .failures_taken_at
            .is_none_or(|at| now.since(at) >= COMPLETION_INTERVAL);
        if !rested {
            return None;
        }
        let (job, counts) = self.failures.pop_first()?;
        self.failures_taken_at = Some(now);
        let counts = counts.into_iter().collect();
        Some(AttemptCounts { job, counts })
    }
}

fn earliest<'a>(specs: impl Iterator<Item = &'a JobSpec>) -> Option<&'a JobSpec> {
    specs.min_by_key(|&spec| (spec.deadline, &spec.job))
}
