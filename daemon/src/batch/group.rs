//! State of the job groups that this instance owns.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use event_listener::Event;
use limpetweir_coordination::{
    AttemptId,
    MayAct,
    Scheduler, //
};
use limpetweir_state::{
    Epoch,
    GroupId,
    InstanceId,
    Job,
    JobChange,
    JobId,
    JobOutcome,
    JobRecord,
    Jobs,
    JobsEvent,
    Offset,
    SubmissionId,
    Timestamp, //
};

use super::outcome::ItemOutcome;
use crate::control::{
    Stream,
    StreamObserver,
    WriteError, //
};
use crate::node::{
    Node,
    unix_millis, //
};

/// Stream of one job group.
pub(super) type JobStream = Stream<JobsObserver>;

/// Jobs that the log submitted or ended since the scheduler was last told.
///
/// The scheduler follows the log and not the calls, because the future of a call may be dropped
/// after its record was queued.
#[derive(Debug, Default)]
pub(super) struct JobNews {
    jobs: Mutex<Vec<JobId>>,
    /// Notified when a job is added, an item ends or a submission ends.
    pub(super) wake: Event,
}

impl JobNews {
    fn lock(&self) -> MutexGuard<'_, Vec<JobId>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, job: JobId) {
        self.lock().push(job);
        self.wake.notify(usize::MAX);
    }

    /// Takes all jobs.
    pub(super) fn take(&self) -> Vec<JobId> {
        std::mem::take(&mut *self.lock())
    }
}

/// Follows the stream of a job group.
#[derive(Debug)]
pub(super) struct JobsObserver {
    pub(super) news: Arc<JobNews>,
}

impl StreamObserver for JobsObserver {
    type Fold = Jobs;

    fn on_applied(&self, _fold: &Jobs, _at: Offset, event: JobsEvent) {
        match event.outcome {
            JobOutcome::Submitted { job } | JobOutcome::Cancelled { job, .. } => self.news.add(job),
            _ => {}
        }
    }

    fn on_replaced(&self, fold: &Jobs) {
        for (id, _) in fold.iter() {
            self.news.add(id.clone());
        }
    }

    fn on_page_read(&self, _fold: &Jobs, _confirmed: Option<Timestamp>) {}
}

/// State of one job group.
#[derive(Debug, Default)]
pub struct JobGroup {
    /// Set while this instance owns the group and its `Open` record was read back.
    pub(super) owned: Option<Owned>,
}

/// A job group under one epoch of this instance's ownership.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) handle: Handle,
    pub(super) scheduler: Scheduler<ItemOutcome>,
    /// Where each running attempt of the scheduler runs.
    pub(super) running: HashMap<AttemptId, RunningItem>,
    /// Jobs whose submission is being written; a second one waits for its end.
    pub(super) submitting: HashSet<JobId>,
    next_submission: u64,
    /// Outcomes that the scheduler holds and that were not read back.
    pub(super) unrecorded: usize,
    /// Whether the group is about to be released, so that no further item starts.
    pub(super) closing: bool,
}

/// A dispatched item.
#[derive(Clone, Debug)]
pub(super) struct RunningItem {
    /// Job of the item.
    pub(super) job: JobId,
    /// Batch manager that runs the item.
    pub(super) manager: InstanceId,
}

/// Access to an owned group beside its lock.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    /// The group.
    pub(super) group: GroupId,
    /// Epoch under which this instance owns the group.
    pub(super) epoch: Epoch,
    /// Stream of the group.
    pub(super) stream: Arc<JobStream>,
    /// Jobs that the scheduler has not heard of.
    pub(super) news: Arc<JobNews>,
}

impl Owned {
    /// Returns the group with the jobs that the log shows.
    pub(super) fn new(handle: Handle) -> Self {
        let scheduler = Scheduler::new(handle.group, handle.epoch);
        let mut owned = Self {
            handle,
            scheduler,
            running: HashMap::new(),
            submitting: HashSet::new(),
            next_submission: 0,
            unrecorded: 0,
            closing: false,
        };
        let stream = owned.handle.stream.clone();
        stream.with_fold(|jobs| {
            for (id, job) in jobs.iter() {
                owned.follow(id, job);
            }
        });
        owned
    }

    /// Tells the scheduler of the jobs that the log submitted or ended.
    pub(super) fn follow_news(&mut self) {
        let stream = self.handle.stream.clone();
        for id in self.handle.news.take() {
            stream.with_fold(|jobs| {
                if let Some(job) = jobs.get(&id) {
                    self.follow(&id, job);
                }
            });
        }
    }

    fn follow(&mut self, id: &JobId, job: &Job) {
        if job.has_ended() {
            self.scheduler.cancel(id);
        } else {
            self.scheduler.add_folded(id, job);
        }
    }

    /// Returns a number that no other submission of this epoch has.
    pub(super) fn next_submission(&mut self) -> SubmissionId {
        self.next_submission += 1;
        SubmissionId(self.next_submission)
    }
}

impl Handle {
    /// Returns whether this instance may act for the group now.
    pub(super) fn may_act(&self, node: &Node) -> bool {
        let state = node.control.may_act(node.clock.now(), self.group);
        state == MayAct::Yes(self.epoch)
    }

    /// Calls `work` with the group if it is still owned under this epoch.
    pub(super) fn with<T>(&self, node: &Node, work: impl FnOnce(&mut Owned) -> T) -> Option<T> {
        let mut shard = node.batch.groups.at(usize::from(self.group.index));
        let owned = shard.owned.as_mut();
        owned
            .filter(|owned| owned.handle.epoch == self.epoch)
            .map(work)
    }

    /// Appends a change and waits until it is read back.
    ///
    /// A change of a lost epoch is read back without an effect; the fold shows which.
    pub(super) async fn write(&self, change: JobChange) -> Result<(), WriteError> {
        self.stream.write(self.record(change)).await
    }

    /// Returns the record of a change at the current time.
    pub(super) fn record(&self, change: JobChange) -> JobRecord {
        JobRecord {
            epoch: self.epoch,
            at: unix_millis(),
            change,
        }
    }
}

/// Returns the group's handle if this instance may act for it.
pub(super) fn acting(node: &Node, group: GroupId) -> Option<Handle> {
    let MayAct::Yes(epoch) = node.control.may_act(node.clock.now(), group) else {
        return None;
    };
    let shard = node.batch.groups.at(usize::from(group.index));
    let handle = &shard.owned.as_ref()?.handle;
    (handle.epoch == epoch).then(|| handle.clone())
}
