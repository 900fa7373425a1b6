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

/// Log stream of one job group.
pub(super) type JobStream = Stream<JobsObserver>;

/// Jobs that were submitted or ended in the log since the scheduler was last updated.
///
/// The scheduler is updated from the log and not from the calls, because the future of a call may
/// be dropped after its record was queued.
#[derive(Debug, Default)]
pub(super) struct JobUpdates {
    jobs: Mutex<Vec<JobId>>,
    /// Notified when a job is added, an item ends or a submission ends.
    pub(super) wake: Event,
}

impl JobUpdates {
    fn lock(&self) -> MutexGuard<'_, Vec<JobId>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, job: JobId) {
        self.lock().push(job);
        self.wake.notify(usize::MAX);
    }

    /// Removes and returns all jobs.
    pub(super) fn take(&self) -> Vec<JobId> {
        std::mem::take(&mut *self.lock())
    }
}

/// Observes the stream of a job group and collects the updated jobs.
#[derive(Debug)]
pub(super) struct JobsObserver {
    pub(super) updates: Arc<JobUpdates>,
}

impl StreamObserver for JobsObserver {
    type Fold = Jobs;

    fn on_applied(&self, _fold: &Jobs, _at: Offset, event: JobsEvent) {
        match event.outcome {
            JobOutcome::Submitted { job } | JobOutcome::Cancelled { job, .. } => {
                self.updates.add(job)
            }
            _ => {}
        }
    }

    fn on_replaced(&self, fold: &Jobs) {
        for (id, _) in fold.iter() {
            self.updates.add(id.clone());
        }
    }

    fn on_page_read(&self, _fold: &Jobs, _confirmed: Option<Timestamp>) {}
}

/// State of one job group.
#[derive(Debug, Default)]
pub struct JobGroup {
    /// Set while this instance owns the group, once its `Open` record was read back.
    pub(super) owned: Option<OwnedGroup>,
}

/// A job group that this instance owns under one epoch.
#[derive(Debug)]
pub(super) struct OwnedGroup {
    pub(super) handle: GroupHandle,
    pub(super) scheduler: Scheduler<ItemOutcome>,
    /// Job and batch manager of each running attempt.
    pub(super) running: HashMap<AttemptId, RunningItem>,
    /// Jobs whose submission is being written; a concurrent submission of the same job waits.
    pub(super) submitting: HashSet<JobId>,
    next_submission: u64,
    /// Outcomes in the scheduler that have not been read back from the log.
    pub(super) unrecorded: usize,
    /// Whether the group is being released, so that no further item starts.
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

/// Reference to an owned group that is used without holding the lock of its shard.
#[derive(Clone, Debug)]
pub(super) struct GroupHandle {
    /// The group.
    pub(super) group: GroupId,
    /// Epoch under which this instance owns the group.
    pub(super) epoch: Epoch,
    /// Log stream of the group.
    pub(super) stream: Arc<JobStream>,
    /// Job updates that the scheduler has not applied yet.
    pub(super) updates: Arc<JobUpdates>,
}

impl OwnedGroup {
    /// Creates the group with the jobs of the fold.
    pub(super) fn new(handle: GroupHandle) -> Self {
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
                owned.sync_job(id, job);
            }
        });
        owned
    }

    /// Updates the scheduler with the jobs that were submitted or ended in the log.
    pub(super) fn apply_updates(&mut self) {
        let stream = self.handle.stream.clone();
        for id in self.handle.updates.take() {
            stream.with_fold(|jobs| {
                if let Some(job) = jobs.get(&id) {
                    self.sync_job(&id, job);
                }
            });
        }
    }

    fn sync_job(&mut self, id: &JobId, job: &Job) {
        if job.has_ended() {
            self.scheduler.cancel(id);
        } else {
            self.scheduler.add_folded(id, job);
        }
    }

    /// Returns a submission number that is unique in this epoch.
    pub(super) fn next_submission(&mut self) -> SubmissionId {
        self.next_submission += 1;
        SubmissionId(self.next_submission)
    }
}

impl GroupHandle {
    /// Returns whether this instance may act for the group now under the epoch of this handle.
    pub(super) fn may_act(&self, node: &Node) -> bool {
        let state = node.control.may_act(node.clock.now(), self.group);
        state == MayAct::Yes(self.epoch)
    }

    /// Calls `work` with the group if it is still owned under this epoch.
    pub(super) fn with<T>(
        &self,
        node: &Node,
        work: impl FnOnce(&mut OwnedGroup) -> T,
    ) -> Option<T> {
        let mut shard = node.batch.groups.at(usize::from(self.group.index));
        let owned = shard.owned.as_mut();
        owned
            .filter(|owned| owned.handle.epoch == self.epoch)
            .map(work)
    }

    /// Appends a change and waits until it is read back.
    ///
    /// A change of a superseded epoch is read back but has no effect; callers check the fold.
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
pub(super) fn acting_handle(node: &Node, group: GroupId) -> Option<GroupHandle> {
    let MayAct::Yes(epoch) = node.control.may_act(node.clock.now(), group) else {
        return None;
    };
    let shard = node.batch.groups.at(usize::from(group.index));
    let handle = &shard.owned.as_ref()?.handle;
    (handle.epoch == epoch).then(|| handle.clone())
}
