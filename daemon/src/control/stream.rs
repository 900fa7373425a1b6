//! A log stream of one instance: a replica that reads it and a writer that appends to it.

use std::collections::BTreeMap;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use event_listener::Event;
use limpetweir_protocol::records::{
    self,
    StreamRecord, //
};
use limpetweir_state::{
    Abandoned,
    AdoptOutcome,
    Entry,
    EntryBody,
    EntryOutcome,
    Fold,
    Incarnation,
    Offset,
    Replica,
    ReplicaStatus,
    Snapshot,
    SnapshotError,
    Ticket,
    Timestamp,
    Verdict,
    Writer,
    WriterId, //
};
use limpetweir_transport::{
    Clock,
    LogClient, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::event;
use crate::events::{
    SNAPSHOT_FAILED,
    STREAM_GAP,
    STREAM_RECOVERED, //
};

/// Callbacks for the records of a stream.
///
/// The methods are called in the order of the stream while it is locked, so they must not block
/// and must not call methods of the stream.
pub(crate) trait StreamObserver: Send + Sync + 'static {
    /// State that is built from the records.
    type Fold: Fold<Record: StreamRecord + Clone + Send, Event: Send> + Send + 'static;

    /// Called after a record was applied; `fold` is the state after it.
    fn on_applied(&self, fold: &Self::Fold, at: Offset, event: <Self::Fold as Fold>::Event);

    /// Called after the state was replaced by a snapshot from the stream or from a peer.
    fn on_replaced(&self, fold: &Self::Fold);

    /// Called after each page of records; `confirmed` is the send time of the read if `fold`
    /// includes every record that the stream held at that time.
    fn on_page_read(&self, fold: &Self::Fold, confirmed: Option<Timestamp>);
}

/// Reason why an entry was not read back.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum WriteError {
    /// The queue of entries for the log is full.
    #[snafu(display("{source}"))]
    QueueFull {
        /// Error of the writer.
        source: limpetweir_state::QueueFull,
    },
    /// The entry has no valid encoding.
    #[snafu(display("{message}"))]
    Encoding {
        /// Error of the codec.
        message: String,
    },
    /// The stream was closed or the entry was abandoned before it was read back.
    #[snafu(display("the entry was given up before it was read back ({verdict})"))]
    Abandoned {
        /// Whether the entry may take effect.
        verdict: Verdict,
    },
}

impl WriteError {
    /// Returns whether the operation behind the entry may take effect.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::QueueFull { .. } | Self::Encoding { .. } => Verdict::NotRun,
            Self::Abandoned { verdict } => *verdict,
        }
    }
}

/// A queued entry whose result is pending.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    result: Receiver<Result<(), WriteError>>,
}

impl PendingWrite {
    /// Waits until the entry is read back and folded; dropping the future keeps the entry queued.
    pub(crate) async fn wait(&self) -> Result<(), WriteError> {
        let result = self.result.recv().await;
        result.unwrap_or_else(|_| Err(closed_error()))
    }

    /// Returns the result if there is one; it is returned only once.
    pub(crate) fn poll(&self) -> Option<Result<(), WriteError>> {
        match self.result.try_recv() {
            Ok(result) => Some(result),
            Err(async_channel::TryRecvError::Empty) => None,
            Err(async_channel::TryRecvError::Closed) => Some(Err(closed_error())),
        }
    }
}

fn closed_error() -> WriteError {
    let verdict = Verdict::MayHaveRun;
    WriteError::Abandoned { verdict }
}

/// Options of a stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamOptions {
    /// Name of the stream at the log service.
    pub(crate) name: String,
    /// Incarnation that writes the entries.
    pub(crate) incarnation: Incarnation,
    /// Largest number of queued entries.
    pub(crate) queue: usize,
    /// Longest time that a read waits for records.
    pub(crate) long_poll: Duration,
    /// Time for which the log service keeps records, or a lower bound of it.
    pub(crate) retention: Duration,
}

/// A log stream; it is read and written after `start` was called.
#[derive(Debug)]
pub(crate) struct Stream<O: StreamObserver> {
    pub(super) options: StreamOptions,
    pub(super) log: LogClient,
    pub(super) clock: Clock,
    observer: O,
    state: Mutex<State<O::Fold>>,
    /// Notified when an entry may be ready to be appended.
    pub(super) appendable: Event,
    /// Notified when an append with an unknown result has to be resolved by an immediate read.
    pub(super) unresolved: Event,
}

#[derive(Debug)]
pub(super) struct State<F: Fold> {
    replica: Replica<F>,
    pub(super) writer: Writer<F::Record>,
    waiting: BTreeMap<Ticket, Sender<Result<(), WriteError>>>,
    /// Time at which the last append result was recorded.
    pub(super) append_result_at: Option<Timestamp>,
    /// Whether the last append result is unknown and no later read has reached the end.
    pub(super) append_unknown: bool,
    /// Time at which the newest snapshot was read or queued; `None` if its age is unknown.
    snapshot_at: Option<Timestamp>,
    newest_snapshot: Option<Offset>,
    /// Ticket of the last part of a queued snapshot.
    snapshot_ticket: Option<Ticket>,
    confirmed_at: Option<Timestamp>,
    pub(super) skipped: u64,
    gaps: u64,
}

/// Statistics of a stream for metrics and the decision loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamStats {
    /// Offset to read next.
    pub(crate) next: Offset,
    /// Whether the replica has the state of the stream.
    pub(crate) ready: bool,
    /// Send time of the last read that reached the end.
    pub(crate) confirmed_at: Option<Timestamp>,
    /// Number of entries that are not read back yet.
    pub(crate) queued: usize,
    /// Number of unreadable records since the start.
    pub(crate) skipped: u64,
    /// Number of gaps since the start.
    pub(crate) gaps: u64,
}

impl<O: StreamObserver> Stream<O> {
    /// Creates a stream of which nothing has been read.
    pub(crate) fn new(log: LogClient, clock: Clock, options: StreamOptions, observer: O) -> Self {
        // The clock of the process advances faster than entries can be queued, so a stream that is
        // reopened by the same incarnation starts above the sequence numbers used before.
        let first = clock.now().0;
        let writer = Writer::starting_at(options.incarnation.clone(), options.queue, first);
        let state = State {
            replica: Replica::new(),
            writer,
            waiting: BTreeMap::new(),
            append_result_at: None,
            append_unknown: false,
            snapshot_at: None,
            newest_snapshot: None,
            snapshot_ticket: None,
            confirmed_at: None,
            skipped: 0,
            gaps: 0,
        };
        Self {
            options,
            log,
            clock,
            observer,
            state: Mutex::new(state),
            appendable: Event::new(),
            unresolved: Event::new(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State<O::Fold>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `look` with the state and returns its result; `None` in a gap.
    pub(crate) fn with_fold<T>(&self, look: impl FnOnce(&O::Fold) -> T) -> Option<T> {
        self.lock().replica.fold().map(look)
    }

    /// Returns the statistics of the stream.
    pub(crate) fn stats(&self) -> StreamStats {
        let state = self.lock();
        StreamStats {
            next: state.replica.next(),
            ready: state.replica.status() == ReplicaStatus::Ready,
            confirmed_at: state.confirmed_at,
            queued: state.writer.len(),
            skipped: state.skipped,
            gaps: state.gaps,
        }
    }

    /// Queues a record; entries are appended in the order of the calls.
    pub(crate) fn push(
        &self,
        record: <O::Fold as Fold>::Record,
    ) -> Result<PendingWrite, WriteError> {
        self.check_encoding(&record)?;
        let (sender, result) = async_channel::bounded(1);
        let mut state = self.lock();
        let ticket = state.writer.push(EntryBody::Data(record));
        let ticket = ticket.context(QueueFullSnafu)?;
        state.waiting.insert(ticket, sender);
        drop(state);
        self.appendable.notify(usize::MAX);
        Ok(PendingWrite { result })
    }

    /// Queues a record and waits until it is read back and folded.
    pub(crate) async fn write(&self, record: <O::Fold as Fold>::Record) -> Result<(), WriteError> {
        let pending = self.push(record)?;
        pending.wait().await
    }

    /// Rejects a record that cannot be encoded, because it would block the entries queued behind it.
    fn check_encoding(&self, record: &<O::Fold as Fold>::Record) -> Result<(), WriteError> {
        let writer = WriterId {
            incarnation: self.options.incarnation.clone(),
            sequence: u64::MAX,
        };
        let body = EntryBody::Data(record.clone());
        let encoded = records::encode(Entry { writer, body });
        let failed = |err: records::RecordError| WriteError::Encoding {
            message: err.to_string(),
        };
        encoded.map(|_| ()).map_err(failed)
    }

    /// Abandons every entry that was not read back; their waiters receive whether each may take effect.
    pub(crate) fn abandon(&self) {
        let mut state = self.lock();
        let abandoned = state.writer.abandon();
        state.append_unknown = false;
        state.snapshot_ticket = None;
        state.fail(abandoned);
    }

    /// Adopts a peer's snapshot if it is newer than the state; returns whether it is.
    pub(crate) fn adopt(&self, snapshot: &Snapshot) -> Result<bool, SnapshotError> {
        let mut state = self.lock();
        match state.replica.adopt(snapshot)? {
            AdoptOutcome::Stale => Ok(false),
            AdoptOutcome::Adopted { .. } => {
                self.on_replaced(&mut state);
                Ok(true)
            }
        }
    }

    /// Returns the state as a snapshot; `None` in a gap, before the first record, or if it cannot
    /// be encoded.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let snapshot = self.lock().replica.snapshot();
        snapshot.unwrap_or_else(|err| {
            let name = &self.options.name;
            event!(SNAPSHOT_FAILED, "stream={name} error={err}");
            None
        })
    }

    /// Queues a snapshot if the newest one is older than a quarter of the retention.
    ///
    /// Called only on the instance that writes the snapshots of the stream. A snapshot of unknown
    /// age, read before the end of the stream was first reached, counts as old.
    pub(crate) fn write_due_snapshot(&self, now: Timestamp) {
        let mut state = self.lock();
        let period = self.options.retention / 4;
        let is_recent = state.snapshot_at.is_some_and(|at| now.since(at) < period);
        if is_recent || state.snapshot_ticket.is_some() || state.confirmed_at.is_none() {
            return;
        }
        let queued = match state.replica.snapshot() {
            Ok(Some(snapshot)) => state.push_snapshot(snapshot),
            Ok(None) => return,
            Err(err) => Err(err.to_string()),
        };
        state.snapshot_at = Some(now);
        drop(state);
        let name = &self.options.name;
        match queued {
            Ok(()) => {
                self.appendable.notify(usize::MAX);
            }
            Err(err) => event!(SNAPSHOT_FAILED, "stream={name} error={err}"),
        }
    }

    /// Handles a trim of the records before `first`.
    pub(super) fn on_trimmed(&self, first: Offset) {
        let mut state = self.lock();
        let next = state.replica.next();
        if state.replica.on_trimmed(first) {
            state.gaps += 1;
            self.log_gap(next, first);
        }
    }

    fn log_gap(&self, next: Offset, first: Offset) {
        let name = &self.options.name;
        event!(
            STREAM_GAP,
            "stream={name} next={} first={}",
            next.0,
            first.0
        );
    }

    /// Passes one entry to the replica and handles the outcome.
    pub(super) fn on_entry(
        &self,
        state: &mut State<O::Fold>,
        at: Offset,
        entry: Entry<<O::Fold as Fold>::Record>,
    ) {
        let writer = entry.writer.clone();
        match state.replica.read(at, entry) {
            EntryOutcome::Applied(event) => {
                if let Some(fold) = state.replica.fold() {
                    self.observer.on_applied(fold, at, event);
                }
                state.read_back(&writer);
            }
            EntryOutcome::SnapshotPart | EntryOutcome::SnapshotRejected { .. } => {
                state.read_back(&writer)
            }
            EntryOutcome::SnapshotComplete { .. } => {
                state.record_snapshot(self.clock.now());
                state.read_back(&writer);
            }
            EntryOutcome::Recovered { as_of, .. } => {
                let name = &self.options.name;
                event!(STREAM_RECOVERED, "stream={name} as_of={}", as_of.0);
                state.record_snapshot(self.clock.now());
                self.on_replaced(state);
            }
            EntryOutcome::AlreadyRead | EntryOutcome::Resent | EntryOutcome::Buffered => {}
        }
    }

    /// Skips an unreadable record.
    pub(super) fn on_unreadable(&self, state: &mut State<O::Fold>, at: Offset) {
        state.skipped += 1;
        state.replica.skip(at);
    }

    /// Handles the end of a page; its read was sent at `sent`, and `end` is the offset after the
    /// last record of the stream at that read.
    pub(super) fn on_page(&self, state: &mut State<O::Fold>, sent: Timestamp, end: Offset) {
        let Some(fold) = state.replica.fold() else {
            return;
        };
        let next = state.replica.next();
        let confirmed = (next >= end).then_some(sent);
        self.observer.on_page_read(fold, confirmed);
        if confirmed.is_none() {
            return;
        }
        state.confirmed_at = state.confirmed_at.max(confirmed);
        if state.append_result_at.is_none_or(|at| sent > at) {
            state.append_unknown = false;
            state.writer.on_read_to_end(next);
        }
    }

    /// Notifies the observer of a replaced state, and the waiters whose entries it includes.
    fn on_replaced(&self, state: &mut State<O::Fold>) {
        if let Some(fold) = state.replica.fold() {
            self.observer.on_replaced(fold);
        }
        let own = &self.options.incarnation;
        let sequence = state.replica.last_sequence(own).unwrap_or(0);
        for ticket in state.writer.on_caught_up(sequence) {
            state.finish(ticket, Ok(()));
        }
    }
}

impl<F: Fold<Record: Clone>> State<F> {
    /// Returns the offset to read next.
    pub(super) fn next(&self) -> Offset {
        self.replica.next()
    }

    /// Returns whether the replica has the state of the stream.
    pub(super) fn is_ready(&self) -> bool {
        self.replica.status() == ReplicaStatus::Ready
    }

    /// Returns whether a read has reached the end of the stream.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    fn read_back(&mut self, writer: &WriterId) {
        if let Some(ticket) = self.writer.on_read(writer) {
            self.finish(ticket, Ok(()));
        }
    }

    fn finish(&mut self, ticket: Ticket, result: Result<(), WriteError>) {
        if self.snapshot_ticket == Some(ticket) {
            self.snapshot_ticket = None;
        }
        if let Some(sender) = self.waiting.remove(&ticket) {
            // Sending fails only if the waiter was dropped.
            let _ = sender.try_send(result);
        }
    }

    pub(super) fn fail(&mut self, abandoned: Abandoned) {
        let Abandoned {
            not_run,
            may_have_run,
        } = abandoned;
        let not_run = not_run.into_iter().map(|t| (t, Verdict::NotRun));
        let may_have_run = may_have_run.map(|t| (t, Verdict::MayHaveRun));
        for (ticket, verdict) in not_run.chain(may_have_run) {
            self.finish(ticket, Err(WriteError::Abandoned { verdict }));
        }
    }

    fn record_snapshot(&mut self, now: Timestamp) {
        let newest = self.replica.newest_snapshot();
        if newest > self.newest_snapshot {
            self.newest_snapshot = newest;
            // Snapshots read before the end of the stream is reached are of unknown age.
            if self.confirmed_at.is_some() {
                self.snapshot_at = Some(now);
            }
        }
    }

    fn push_snapshot(&mut self, snapshot: Snapshot) -> Result<(), String> {
        for part in records::split_snapshot(&snapshot) {
            let pushed = self.writer.push(EntryBody::Snapshot(part));
            let ticket = pushed.map_err(|err| err.to_string())?;
            self.snapshot_ticket = Some(ticket);
        }
        Ok(())
    }
}
