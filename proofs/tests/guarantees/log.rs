//! A fake of the log service, and an instance's client of one stream.

use std::collections::BTreeMap;

use limpetweir_state::*;

/// Simulation time after which the result of an append counts as unknown.
const APPEND_TIMEOUT_MS: u64 = 1_000;
/// Simulation time between two reads of a stream.
const READ_INTERVAL_MS: u64 = 250;
/// Simulation time between two snapshots of a stream.
const SNAPSHOT_INTERVAL_MS: u64 = 5_000;

/// Condition of the log service, shared by all streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Condition {
    pub(crate) down: bool,
    pub(crate) delay_ms: u64,
    /// Appends take effect, but their results are lost.
    pub(crate) lose_results: bool,
}

/// One stream. Offsets never change; records below `first` are trimmed.
pub(crate) struct Stream<R> {
    pub(crate) first: u64,
    pub(crate) records: Vec<Entry<R>>,
    in_flight: Vec<(u64, Entry<R>)>,
    results: BTreeMap<WriterId, AppendResult>,
    /// `as_of` of the newest complete snapshot in the stream.
    snapshot: Option<u64>,
}

impl<R> Default for Stream<R> {
    fn default() -> Self {
        Self {
            first: 0,
            records: Vec::new(),
            in_flight: Vec::new(),
            results: BTreeMap::new(),
            snapshot: None,
        }
    }
}

impl<R> Stream<R> {
    /// Applies the appends that are due; an outage rejects them.
    pub(crate) fn step(&mut self, now: u64, condition: Condition) {
        let due = |(at, _): &mut (u64, Entry<R>)| *at <= now;
        for (_, entry) in self.in_flight.extract_if(.., due) {
            let result = match condition {
                Condition { down: true, .. } => AppendResult::Rejected,
                Condition { lose_results, .. } if lose_results => AppendResult::Unknown,
                _ => AppendResult::Appended(Offset(self.records.len() as u64)),
            };
            self.results.insert(entry.writer.clone(), result);
            if condition.down {
                continue;
            }
            if let EntryBody::Snapshot(part) = &entry.body
                && part.part + 1 == part.parts
            {
                self.snapshot = self.snapshot.max(Some(part.as_of.0));
            }
            self.records.push(entry);
        }
    }

    /// Trims all records that the newest complete snapshot covers.
    pub(crate) fn trim(&mut self) {
        self.first = self.first.max(self.snapshot.map_or(0, |as_of| as_of + 1));
    }
}

/// Replica and writer of one stream at one instance.
pub(crate) struct StreamClient<F: Fold> {
    pub(crate) replica: Replica<F>,
    pub(crate) writer: Writer<F::Record>,
    /// The append in flight and the simulation time at which it was sent.
    append: Option<(WriterId, u64)>,
    last_result_at: u64,
    /// When the read in flight was sent, in simulation time and by the instance's clock.
    read: Option<(u64, Timestamp)>,
    next_read: u64,
    next_snapshot: u64,
}

/// Time and condition under which an instance calls the log.
#[derive(Clone, Copy)]
pub(crate) struct LogAccess {
    pub(crate) now: u64,
    pub(crate) clock: Timestamp,
    pub(crate) condition: Condition,
    pub(crate) reachable: bool,
}

/// An update read from a stream.
pub(crate) enum StreamUpdate<'a, F: Fold> {
    /// A record was folded; holds the fold just after that record.
    Event(&'a F, Option<Ticket>, F::Event),
    /// A snapshot replaced the state.
    Recovered(&'a F, Vec<Ticket>),
}

impl<F: Fold<Record: Clone>> StreamClient<F> {
    /// Returns the client of an instance; its first read is at `first_read`.
    pub(crate) fn new(own: Incarnation, first_read: u64) -> Self {
        Self {
            replica: Replica::new(),
            writer: Writer::new(own, 64),
            append: None,
            last_result_at: 0,
            read: None,
            next_read: first_read,
            next_snapshot: SNAPSHOT_INTERVAL_MS,
        }
    }

    /// Sends appends and reads and handles their results; returns the send time, by the instance's
    /// clock, of a read that confirmed the state.
    pub(crate) fn step(
        &mut self,
        log_access: LogAccess,
        stream: &mut Stream<F::Record>,
        own: &Incarnation,
        mut on_update: impl FnMut(StreamUpdate<'_, F>),
    ) -> Option<Timestamp> {
        let now = log_access.now;
        self.append(log_access, stream);
        let Some((sent, sent_at)) = self.read else {
            if now >= self.next_read {
                self.read = Some((now, log_access.clock));
            }
            return None;
        };
        if now < sent + log_access.condition.delay_ms {
            return None;
        }
        self.read = None;
        self.next_read = sent + READ_INTERVAL_MS;
        if log_access.condition.down || !log_access.reachable {
            return None;
        }
        self.replica.on_trimmed(Offset(stream.first));
        while let Some(entry) = stream.records.get(self.replica.next().0 as usize) {
            let writer = entry.writer.clone();
            let outcome = self.replica.read(self.replica.next(), entry.clone());
            let Some(fold) = self.replica.fold() else {
                continue;
            };
            if matches!(outcome, EntryOutcome::Recovered { .. }) {
                let last = self.replica.last_sequence(own).unwrap_or(0);
                on_update(StreamUpdate::Recovered(
                    fold,
                    self.writer.on_caught_up(last),
                ));
                continue;
            }
            let ticket = self.writer.on_read(&writer);
            if let EntryOutcome::Applied(event) = outcome {
                on_update(StreamUpdate::Event(fold, ticket, event));
            }
        }
        if self.replica.status() != ReplicaStatus::Ready {
            return None;
        }
        if sent >= self.last_result_at {
            self.writer.on_read_to_end(self.replica.next());
        }
        Some(sent_at)
    }

    fn append(&mut self, log_access: LogAccess, stream: &mut Stream<F::Record>) {
        let now = log_access.now;
        if let Some((id, sent)) = &self.append {
            let result = stream.results.remove(id).filter(|_| log_access.reachable);
            let timed_out = now >= sent + APPEND_TIMEOUT_MS;
            if let Some(result) = result.or(timed_out.then_some(AppendResult::Unknown)) {
                self.writer.on_append_result(id.sequence, result);
                self.last_result_at = now;
                self.append = None;
            }
        }
        if self.append.is_none()
            && let Some(entry) = self.writer.poll_append()
        {
            self.append = Some((entry.writer.clone(), now));
            if log_access.reachable {
                stream.results.remove(&entry.writer);
                stream
                    .in_flight
                    .push((now + log_access.condition.delay_ms, entry));
            }
        }
    }

    /// Queues a snapshot in two parts when one is due.
    pub(crate) fn write_snapshot(&mut self, now: u64) {
        if now < self.next_snapshot || !self.writer.is_empty() {
            return;
        }
        let Ok(Some(snapshot)) = self.replica.snapshot() else {
            return;
        };
        self.next_snapshot = now + SNAPSHOT_INTERVAL_MS;
        let (first, second) = snapshot.bytes.split_at(snapshot.bytes.len() / 2);
        for (part, bytes) in [(0, first), (1, second)] {
            let part = SnapshotPart {
                as_of: snapshot.as_of,
                part,
                parts: 2,
                bytes: bytes.to_vec(),
            };
            self.writer
                .push(EntryBody::Snapshot(part))
                .expect("writer queue is empty");
        }
    }
}
