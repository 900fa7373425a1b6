//! A log stream at one instance: a replica that follows it and a writer that appends to it.

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

/// What an instance does with the records of a stream.
///
/// The methods are called in the order of the stream while it is locked, so they must not block
/// and must not call the stream.
pub(crate) trait StreamObserver: Send + Sync + 'static {
    /// State that the stream folds into.
    type Fold: Fold<Record: StreamRecord + Clone + Send, Event: Send> + Send + 'static;

    /// Takes the effect of one record; `fold` is the state just after it.
    fn on_applied(&self, fold: &Self::Fold, at: Offset, event: <Self::Fold as Fold>::Event);

    /// Takes a state that replaced the former one, from a snapshot in the stream or of a peer.
    fn on_replaced(&self, fold: &Self::Fold);

    /// Called after each page of records; `confirmed` is the send time of the read if `fold` holds
    /// everything that the stream held then.
    fn on_page_read(&self, fold: &Self::Fold, confirmed: Option<Timestamp>);
}

/// An entry that was not read back.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum WriteError {
    /// Too many entries wait for the log.
    #[snafu(display("{source}"))]
    QueueFull {
        /// Cause given by the writer.
        source: limpetweir_state::QueueFull,
    },
    /// The entry has no valid encoding.
    #[snafu(display("{message}"))]
    Encoding {
        /// Cause given by the codec.
        message: String,
    },
    /// The stream was closed or the writer gave up before the entry was read back.
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

/// A queued entry that will be read back.
#[derive(Debug)]
pub(crate) struct Written {
    result: Receiver<Result<(), WriteError>>,
}

impl Written {
    /// Waits until the entry is read back and folded; dropping the future keeps the entry queued.
    pub(crate) async fn wait(&self) -> Result<(), WriteError> {
        let result = self.result.recv().await;
        result.unwrap_or_else(|_| Err(lost()))
    }

    /// Returns the result if it is known; it is returned once.
    pub(crate) fn poll(&self) -> Option<Result<(), WriteError>> {
        match self.result.try_recv() {
            Ok(result) => Some(result),
            Err(async_channel::TryRecvError::Empty) => None,
            Err(async_channel::TryRecvError::Closed) => Some(Err(lost())),
        }
    }
}

fn lost() -> WriteError {
    let verdict = Verdict::MayHaveRun;
    WriteError::Abandoned { verdict }
}

/// How a stream is read and written.
#[derive(Clone, Debug)]
pub(crate) struct StreamOptions {
    /// Name of the stream at the log service.
    pub(crate) name: String,
    /// Writer of the entries.
    pub(crate) incarnation: Incarnation,
    /// Entries that may wait for the log.
    pub(crate) queue: usize,
    /// Longest wait of one read.
    pub(crate) long_poll: Duration,
    /// Time for which the log service keeps records, or less.
    pub(crate) retention: Duration,
}

/// One log stream; nothing runs until `start` is called.
#[derive(Debug)]
pub(crate) struct Stream<O: StreamObserver> {
    pub(super) options: StreamOptions,
    pub(super) log: LogClient,
    pub(super) clock: Clock,
    observer: O,
    state: Mutex<State<O::Fold>>,
    /// Notified when an entry may be sent.
    pub(super) appendable: Event,
    /// Notified when an unknown answer has to be resolved by a read at once.
    pub(super) unresolved: Event,
}

#[derive(Debug)]
pub(super) struct State<F: Fold> {
    replica: Replica<F>,
    pub(super) writer: Writer<F::Record>,
    waiting: BTreeMap<Ticket, Sender<Result<(), WriteError>>>,
    /// When the last answer to an append was noted.
    pub(super) answered_at: Option<Timestamp>,
    /// Whether an answer was unknown and no read has reached the end since.
    pub(super) unknown: bool,
    /// When the newest snapshot was read or queued; `None` if its age is not known.
    snapshot_at: Option<Timestamp>,
    newest_snapshot: Option<Offset>,
    /// Last part of a queued snapshot.
    snapshot_ticket: Option<Ticket>,
    confirmed_at: Option<Timestamp>,
    pub(super) skipped: u64,
    gaps: u64,
}

/// Figures of a stream for metrics and reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamFigures {
    /// Offset to read next.
    pub(crate) next: Offset,
    /// Whether the state is known.
    pub(crate) ready: bool,
    /// Send time of the last read that reached the end.
    pub(crate) confirmed_at: Option<Timestamp>,
    /// Entries that are not read back.
    pub(crate) queued: usize,
    /// Unreadable records.
    pub(crate) skipped: u64,
    /// Gaps since the start.
    pub(crate) gaps: u64,
}

impl<O: StreamObserver> Stream<O> {
    /// Creates a stream from which nothing was read.
    pub(crate) fn new(log: LogClient, clock: Clock, options: StreamOptions, observer: O) -> Self {
        // The time of the process's clock rises faster than entries can be queued, so a stream that
        // this incarnation opens again continues above the sequences that it used before.
        let first = clock.now().0;
        let writer = Writer::starting_at(options.incarnation.clone(), options.queue, first);
        let state = State {
            replica: Replica::new(),
            writer,
            waiting: BTreeMap::new(),
            answered_at: None,
            unknown: false,
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

    /// Returns what `look` returns for the state, or `None` in a gap.
    pub(crate) fn with_fold<T>(&self, look: impl FnOnce(&O::Fold) -> T) -> Option<T> {
        self.lock().replica.fold().map(look)
    }

    /// Returns the figures of the stream.
    pub(crate) fn figures(&self) -> StreamFigures {
        let state = self.lock();
        StreamFigures {
            next: state.replica.next(),
            ready: state.replica.status() == ReplicaStatus::Ready,
            confirmed_at: state.confirmed_at,
            queued: state.writer.len(),
            skipped: state.skipped,
            gaps: state.gaps,
        }
    }

    /// Queues a record; entries are appended in the order of the calls.
    pub(crate) fn push(&self, record: <O::Fold as Fold>::Record) -> Result<Written, WriteError> {
        self.check_encoding(&record)?;
        let (sender, result) = async_channel::bounded(1);
        let mut state = self.lock();
        let ticket = state.writer.push(EntryBody::Data(record));
        let ticket = ticket.context(QueueFullSnafu)?;
        state.waiting.insert(ticket, sender);
        drop(state);
        self.appendable.notify(usize::MAX);
        Ok(Written { result })
    }

    /// Queues a record and waits until it is read back and folded.
    pub(crate) async fn write(&self, record: <O::Fold as Fold>::Record) -> Result<(), WriteError> {
        let written = self.push(record)?;
        written.wait().await
    }

    /// An entry that cannot be encoded would block the entries behind it.
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

    /// Gives up every entry that was not read back; their waiters get the verdict.
    pub(crate) fn abandon(&self) {
        let mut state = self.lock();
        let abandoned = state.writer.abandon();
        state.unknown = false;
        state.snapshot_ticket = None;
        state.fail(abandoned);
    }

    /// Continues from a peer's snapshot if it is newer; returns whether it was.
    pub(crate) fn adopt(&self, snapshot: &Snapshot) -> Result<bool, SnapshotError> {
        let mut state = self.lock();
        match state.replica.adopt(snapshot)? {
            AdoptOutcome::Stale => Ok(false),
            AdoptOutcome::Adopted { .. } => {
                self.replace(&mut state);
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
    /// Only the instance that is responsible for the stream calls this. A snapshot whose age is not
    /// known, because it was read at the start, counts as old.
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

    /// Notes that the records before `first` were trimmed.
    pub(super) fn on_trimmed(&self, first: Offset) {
        let mut state = self.lock();
        let next = state.replica.next();
        if state.replica.on_trimmed(first) {
            state.gaps += 1;
            self.report_gap(next, first);
        }
    }

    fn report_gap(&self, next: Offset, first: Offset) {
        let name = &self.options.name;
        event!(
            STREAM_GAP,
            "stream={name} next={} first={}",
            next.0,
            first.0
        );
    }

    /// Reads one entry.
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
                state.note_snapshot(self.clock.now());
                state.read_back(&writer);
            }
            EntryOutcome::Recovered { as_of, .. } => {
                let name = &self.options.name;
                event!(STREAM_RECOVERED, "stream={name} as_of={}", as_of.0);
                state.note_snapshot(self.clock.now());
                self.replace(state);
            }
            EntryOutcome::AlreadyRead | EntryOutcome::Resent | EntryOutcome::Buffered => {}
        }
    }

    /// Skips an unreadable record.
    pub(super) fn on_unreadable(&self, state: &mut State<O::Fold>, at: Offset) {
        state.skipped += 1;
        state.replica.skip(at);
    }

    /// Ends a page whose read was sent at `sent` when the stream ended before `end`.
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
        if state.answered_at.is_none_or(|at| sent > at) {
            state.unknown = false;
            state.writer.on_read_to_end(next);
        }
    }

    /// Tells the observer and the waiters of a state that replaced the former one.
    fn replace(&self, state: &mut State<O::Fold>) {
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

    /// Returns whether the state is known.
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
            // The receiver is only gone if nobody waits for the entry any more.
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

    fn note_snapshot(&mut self, now: Timestamp) {
        let newest = self.replica.newest_snapshot();
        if newest > self.newest_snapshot {
            self.newest_snapshot = newest;
            // Snapshots that are read while catching up were written at an unknown time.
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
