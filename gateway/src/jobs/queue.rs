//! Decisions of a writer: which changes of the jobs go into a call of the store, and what the end of
//! the call means for each of them. It makes no calls itself.

use std::collections::VecDeque;

use limpetweir_state::Timestamp;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use super::record::RecordError;
use super::table::LoadedPartition;
use super::write::{
    Change,
    Decision,
    Pending, //
};
use crate::platform::{
    MAX_KEY_BYTES,
    Record, //
};

/// Error of a change that is not confirmed to be in the store.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WriteError {
    /// The job does not exist.
    #[snafu(display("no such job"))]
    NoJob,
    /// The job would exceed the limit of waiting tokens. Log lines contain the name of the variant.
    #[snafu(display("{waiting} tokens wait already"))]
    NoRoom {
        /// Number of tokens that are waiting already.
        waiting: u64,
    },
    /// The change is larger than the store takes; it has no effect.
    #[snafu(display("{reason}"))]
    TooLarge {
        /// The limit that it exceeds.
        reason: String,
    },
    /// The store refuses the change whatever else is in the call; it has no effect.
    #[snafu(display("{reason}"))]
    Refused {
        /// Error from the store.
        reason: String,
    },
    /// The change has not taken effect and never will.
    #[snafu(display("{reason}"))]
    NotDone {
        /// Why it was not written.
        reason: String,
    },
    /// The change may have taken effect or may still do so.
    #[snafu(display("{reason}"))]
    Unknown {
        /// Why the outcome is not known.
        reason: String,
    },
}

/// Limits of the calls of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest record in bytes.
    pub record_bytes: usize,
    /// Largest total size of the records of one call in bytes.
    pub call_bytes: usize,
}

/// Length of a record within a call: its own length, and that of its key.
const RECORD_FRAME_BYTES: usize = 5;

/// Bytes of the key of a record of a job in addition to the identifier of the job.
const JOB_KEY_BYTES: usize = "r//0000".len();

impl CallLimits {
    /// Returns why the store can't take `change`, if that shows before its records are made.
    pub fn check(self, change: &Change) -> Result<(), WriteError> {
        let too_large = |what: &str, bytes: usize, most: usize| WriteError::TooLarge {
            reason: format!("{what} of {bytes} bytes, at most {most} are allowed"),
        };
        match change {
            Change::Submit(submission) => {
                let longest = MAX_KEY_BYTES - JOB_KEY_BYTES;
                if submission.id.len() > longest {
                    return Err(too_large("an identifier", submission.id.len(), longest));
                }
                let bodies = submission.items.iter().map(|item| item.body.len());
                if let Some(bytes) = bodies.clone().find(|bytes| *bytes > self.record_bytes) {
                    return Err(too_large("an item", bytes, self.record_bytes));
                }
                let total: usize = bodies.sum();
                if total > self.call_bytes {
                    return Err(too_large("a job", total, self.call_bytes));
                }
            }
            Change::Finish { text, .. } if text.len() > self.record_bytes => {
                return Err(too_large("an output", text.len(), self.record_bytes));
            }
            Change::Finish { .. } | Change::End { .. } | Change::Remove { .. } => {}
        }
        Ok(())
    }

    /// Returns the size of `records` in a call, or why the store can't take them.
    fn size(self, records: &[Record]) -> Result<usize, String> {
        let mut total = 0;
        for record in records {
            let bytes = record.bytes() + 1;
            if bytes > self.record_bytes || record.key.len() > MAX_KEY_BYTES {
                let (key, most) = (record.key.len(), self.record_bytes);
                return Err(format!(
                    "a record of {bytes} bytes with a key of {key}, at most {most} and {MAX_KEY_BYTES} are allowed"
                ));
            }
            total += record.bytes() + RECORD_FRAME_BYTES;
        }
        if total > self.call_bytes {
            let most = self.call_bytes;
            return Err(format!("{total} bytes, at most {most} are allowed"));
        }
        Ok(total)
    }
}

/// A change that waits to be written.
#[derive(Debug)]
pub struct QueuedChange<T> {
    /// The change.
    pub change: Change,
    /// Time after which its caller no longer waits; with `None` it is retried until it is written.
    pub deadline: Option<Timestamp>,
    /// What stands for the one who waits for its outcome.
    pub ticket: T,
    /// The appends whose outcome is unknown, and in one of which the change was.
    unknown: Option<Append>,
    /// Largest number of changes of a call that it may be in; smaller after a call that was refused.
    most: usize,
}

impl<T> QueuedChange<T> {
    /// Returns a change that has not been in a call.
    pub fn new(change: Change, deadline: Option<Timestamp>, ticket: T) -> Self {
        Self {
            change,
            deadline,
            ticket,
            unknown: None,
            most: usize::MAX,
        }
    }

    fn unknown_in(&mut self, append: Append) {
        let unknown = self.unknown.get_or_insert(append);
        unknown.at = unknown.at.max(append.at);
        unknown.end = unknown.end.max(append.end);
    }
}

/// Offsets of the records of an append that succeeds only if the partition ends at the first of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Append {
    at: u64,
    end: u64,
}

/// The changes of a call in progress.
#[derive(Debug)]
struct Call<T> {
    append: Append,
    changes: Vec<QueuedChange<T>>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// All records are in the store.
    Done,
    /// The partition did not end at the expected offset.
    OffsetMismatch,
    /// The store did not execute the call because of its content.
    Refused(String),
    /// The store did not execute the call.
    NotDone(String),
    /// The call may have been executed, or may still be executed.
    Unknown(String),
    /// The same, and its content may be the cause.
    Failed(String),
}

/// What another instance has made of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum PassedOn {
    /// It is in the store.
    Written,
    /// Its job does not exist.
    NoJob,
    /// It can't be written.
    Refused,
    /// Anything else.
    Unknown,
}

impl From<Result<(), WriteError>> for PassedOn {
    fn from(outcome: Result<(), WriteError>) -> Self {
        match outcome {
            Ok(()) => Self::Written,
            Err(WriteError::NoJob) => Self::NoJob,
            Err(WriteError::TooLarge { .. } | WriteError::Refused { .. }) => Self::Refused,
            Err(
                WriteError::NoRoom { .. } | WriteError::NotDone { .. } | WriteError::Unknown { .. },
            ) => Self::Unknown,
        }
    }
}

/// The records of the next call.
#[derive(Debug, PartialEq, Eq)]
pub struct PreparedCall {
    /// Offset at which the partition must end.
    pub at: u64,
    /// The records; none if there is nothing to write.
    pub records: Vec<Record>,
}

/// A change that has an outcome.
#[derive(Debug)]
pub struct Settled<T> {
    /// What stands for the one who waits for it.
    pub ticket: T,
    /// Its outcome.
    pub outcome: Result<(), WriteError>,
}

/// Changes without an outcome, in the order in which they are written.
#[derive(Debug)]
pub struct ChangeQueue<T> {
    waiting: VecDeque<QueuedChange<T>>,
    /// Changes of the call in progress. Each change is in one of the two whenever the writer waits.
    call: Option<Call<T>>,
    /// Changes that another instance is asked to write.
    passed_on: Vec<QueuedChange<T>>,
    /// Offset up to which the partition had been read when its end was last read.
    read_to_end: u64,
    settled: Vec<Settled<T>>,
}

impl<T> Default for ChangeQueue<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            call: None,
            passed_on: Vec::new(),
            read_to_end: 0,
            settled: Vec::new(),
        }
    }
}

impl<T> ChangeQueue<T> {
    /// Adds a change.
    pub fn push(&mut self, change: QueuedChange<T>) {
        self.waiting.push_back(change);
    }

    /// Returns whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a caller waits for one of the changes.
    pub fn is_urgent(&self) -> bool {
        self.waiting.iter().any(|queued| queued.deadline.is_some())
    }

    /// Returns the changes that have got an outcome since the last call.
    pub fn take_settled(&mut self) -> Vec<Settled<T>> {
        std::mem::take(&mut self.settled)
    }

    /// Returns the changes of a call that a panic has interrupted to the front of the queue. The call
    /// may have been executed.
    pub fn recover(&mut self) {
        if let Some(call) = self.call.take() {
            self.requeue(call.changes, |queued| queued.unknown_in(call.append));
        }
        let passed_on = std::mem::take(&mut self.passed_on);
        self.requeue(passed_on, |_| {});
    }

    /// Takes the waiting changes that `select` chooses out of the queue until
    /// [`passed_on_ended`](Self::passed_on_ended), because another instance writes them.
    pub fn pass_on(&mut self, mut select: impl FnMut(&Change) -> bool) -> &[QueuedChange<T>] {
        for queued in std::mem::take(&mut self.waiting) {
            match select(&queued.change) {
                true => self.passed_on.push(queued),
                false => self.waiting.push_back(queued),
            }
        }
        &self.passed_on
    }

    /// Records what another instance has written of the changes passed on to it, in their order; a
    /// missing outcome is unknown.
    pub fn passed_on_ended(&mut self, outcomes: &[PassedOn]) {
        let passed_on = std::mem::take(&mut self.passed_on);
        let outcomes = outcomes.iter().chain(std::iter::repeat(&PassedOn::Unknown));
        for (queued, outcome) in passed_on.into_iter().zip(outcomes) {
            let reason = "refused at another instance".to_owned();
            match outcome {
                PassedOn::Written => self.settle(queued, Ok(())),
                PassedOn::NoJob => self.settle(queued, Err(WriteError::NoJob)),
                PassedOn::Refused => self.settle(queued, Err(WriteError::Refused { reason })),
                PassedOn::Unknown => self.waiting.push_back(queued),
            }
        }
    }

    /// Decides the changes on `state`, as many as fit into one call, and makes them those of the call
    /// in progress. Those that need no call, or cannot be written, get their outcome.
    pub fn prepare(
        &mut self,
        state: LoadedPartition<'_>,
        limits: CallLimits,
        mut decide: impl FnMut(&mut Pending, &Change) -> Result<Decision, RecordError>,
    ) -> PreparedCall {
        self.sort();
        let at = state.next();
        let mut records = Vec::new();
        let mut changes: Vec<QueuedChange<T>> = Vec::new();
        let mut pending = Pending::default();
        let mut bytes = 0;
        let mut most = usize::MAX;
        for mut queued in std::mem::take(&mut self.waiting) {
            let is_full = bytes >= limits.call_bytes / 2;
            if is_full || changes.len() >= most.min(queued.most) {
                self.waiting.push_back(queued);
                continue;
            }
            let is_known = self.is_known(Some(state), &queued);
            let outcome = match decide(&mut pending, &queued.change) {
                Ok(Decision::Append(new)) => match limits.size(&new) {
                    Ok(size) if bytes + size > limits.call_bytes => {
                        pending.retract(&queued.change);
                        self.waiting.push_back(queued);
                        continue;
                    }
                    Ok(size) => {
                        if is_known {
                            queued.unknown = None;
                        }
                        bytes += size;
                        most = most.min(queued.most);
                        records.extend(new);
                        changes.push(queued);
                        continue;
                    }
                    Err(reason) => {
                        pending.retract(&queued.change);
                        Err(WriteError::TooLarge { reason })
                    }
                },
                Ok(Decision::Deferred) => {
                    self.waiting.push_back(queued);
                    continue;
                }
                Ok(Decision::Done) => Ok(()),
                Ok(Decision::NoJob) => Err(WriteError::NoJob),
                Ok(Decision::OverTokenLimit { waiting }) => Err(WriteError::NoRoom { waiting }),
                Err(err) => Err(WriteError::NotDone {
                    reason: err.to_string(),
                }),
            };
            let outcome = match outcome {
                // An append of it may still arrive.
                Err(err) if !is_known => Err(WriteError::Unknown {
                    reason: err.to_string(),
                }),
                outcome => outcome,
            };
            self.settle(queued, outcome);
        }
        if !changes.is_empty() {
            let end = at + records.len() as u64;
            let append = Append { at, end };
            self.call = Some(Call { append, changes });
        }
        PreparedCall { at, records }
    }

    /// Records the end of the call in progress.
    pub fn call_ended(&mut self, end: CallEnd) {
        let Some(Call { append, changes }) = self.call.take() else {
            return;
        };
        let count = changes.len();
        match end {
            CallEnd::Done => {
                for queued in changes {
                    self.settle(queued, Ok(()));
                }
            }
            // Nothing is known of earlier appends: one of them may be what the partition has grown by.
            CallEnd::OffsetMismatch => self.requeue(changes, |_| {}),
            CallEnd::Refused(reason) if count == 1 => {
                for queued in changes {
                    let outcome = match queued.unknown {
                        None => WriteError::Refused {
                            reason: reason.clone(),
                        },
                        Some(_) => WriteError::Unknown {
                            reason: reason.clone(),
                        },
                    };
                    self.settle(queued, Err(outcome));
                }
            }
            CallEnd::Refused(_) => self.requeue(changes, |queued| queued.most = count / 2),
            CallEnd::NotDone(reason) => {
                self.requeue(changes, |_| {});
                self.reject_callers(&reason);
            }
            CallEnd::Unknown(_) => self.requeue(changes, |queued| queued.unknown_in(append)),
            CallEnd::Failed(_) if count == 1 => {
                // The others go first.
                for mut queued in changes {
                    queued.unknown_in(append);
                    queued.most = 1;
                    self.waiting.push_back(queued);
                }
            }
            CallEnd::Failed(_) => self.requeue(changes, |queued| {
                queued.unknown_in(append);
                queued.most = count / 2;
            }),
        }
    }

    /// Records that the partition was read up to its end at `next`.
    pub fn read_to_end(&mut self, next: u64) {
        self.read_to_end = self.read_to_end.max(next);
    }

    /// Decides the changes whose outcome was unknown on what has been read, and gives those whose
    /// callers no longer wait an outcome. `state` is `None` while the partition is not loaded.
    pub fn settle_known(&mut self, state: Option<LoadedPartition<'_>>, now: Timestamp) {
        for mut queued in std::mem::take(&mut self.waiting) {
            let has_expired = queued.deadline.is_some_and(|deadline| deadline <= now);
            if queued.unknown.is_none() && !has_expired {
                self.waiting.push_back(queued);
                continue;
            }
            if state.is_some_and(|state| queued.change.is_done(state)) {
                self.settle(queued, Ok(()));
                continue;
            }
            if self.is_known(state, &queued) {
                queued.unknown = None;
            }
            if !has_expired {
                self.waiting.push_back(queued);
                continue;
            }
            let reason = "the store did not respond in time".to_owned();
            let outcome = match queued.unknown {
                None => WriteError::NotDone { reason },
                Some(_) => WriteError::Unknown { reason },
            };
            self.settle(queued, Err(outcome));
        }
    }

    /// Returns whether `state` shows if the change has taken effect, so that no earlier append of it
    /// can still do so. An append succeeds only at its offset and as a whole, so this holds once all
    /// its records have been read, or the partition up to an end behind its offset.
    fn is_known(&self, state: Option<LoadedPartition<'_>>, queued: &QueuedChange<T>) -> bool {
        let Some(append) = queued.unknown else {
            return true;
        };
        state.is_some_and(|state| {
            let next = state.next();
            next >= append.end || (next >= self.read_to_end && self.read_to_end > append.at)
        })
    }

    /// Submissions and ends come first, because callers wait for them.
    fn sort(&mut self) {
        let waiting = self.waiting.make_contiguous();
        waiting.sort_by_key(|queued| queued.deadline.is_none());
    }

    fn settle(&mut self, queued: QueuedChange<T>, outcome: Result<(), WriteError>) {
        let ticket = queued.ticket;
        self.settled.push(Settled { ticket, outcome });
    }

    fn requeue(
        &mut self,
        changes: Vec<QueuedChange<T>>,
        mut change: impl FnMut(&mut QueuedChange<T>),
    ) {
        for mut queued in changes.into_iter().rev() {
            change(&mut queued);
            self.waiting.push_front(queued);
        }
    }

    /// Rejects the callers' changes that certainly have not taken effect.
    fn reject_callers(&mut self, reason: &str) {
        for queued in std::mem::take(&mut self.waiting) {
            if queued.deadline.is_none() || queued.unknown.is_some() {
                self.waiting.push_back(queued);
                continue;
            }
            let reason = reason.to_owned();
            self.settle(queued, Err(WriteError::NotDone { reason }));
        }
    }
}
