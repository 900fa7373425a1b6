//! Property tests: readers have equal states, writers neither lose nor duplicate entries, outcomes
//! and usage are final.

// The test helpers use unwrap, which clippy.toml allows only in test functions.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::VecDeque;

use common::*;
use limpetweir_state::*;
use proptest::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// A fold that keeps the records in order.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Trace(Vec<u32>);

impl Fold for Trace {
    type Record = u32;
    type Event = ();

    fn apply(&mut self, _at: Offset, record: u32) {
        self.0.push(record);
    }
}

/// An operation on a stream; writers are identified by a number.
#[derive(Clone, Debug)]
enum Op {
    Write(u8),
    /// Appends a copy of an earlier entry, selected by the number.
    Resend(usize),
    Unreadable,
    /// A writer takes a snapshot and splits it into this number of parts.
    TakeSnapshot(u8, usize),
    /// A writer appends the next part of its snapshot.
    WritePart(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..3u8).prop_map(Op::Write),
        1 => any::<usize>().prop_map(Op::Resend),
        1 => Just(Op::Unreadable),
        1 => (0..3u8, 1..4usize).prop_map(|(writer, parts)| Op::TakeSnapshot(writer, parts)),
        4 => (0..3u8).prop_map(Op::WritePart),
    ]
}

/// A stream, and the state of a reader of the whole stream after each record.
#[derive(Default)]
struct Stream {
    records: Vec<Option<Entry<u32>>>,
    states: Vec<Snapshot>,
    reader: Replica<Trace>,
    sequences: [u64; 3],
    parts: [VecDeque<SnapshotPart>; 3],
    /// Offset of the first part, and `as_of`, of each snapshot that was written completely.
    complete: Vec<(u64, Offset)>,
    first_part_at: [u64; 3],
}

impl Stream {
    fn run(ops: &[Op]) -> Self {
        let mut stream = Self::default();
        for op in ops {
            stream.step(op);
        }
        stream
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Write(n) => {
                let record = u32::try_from(self.records.len()).unwrap();
                self.write(n, EntryBody::Data(record));
            }
            Op::Resend(n) => {
                let count = self.records.len().max(1);
                if let Some(Some(entry)) = self.records.get(n % count).cloned() {
                    self.append(Some(entry));
                }
            }
            Op::Unreadable => self.append(None),
            Op::TakeSnapshot(n, parts) => {
                if let Some(snapshot) = self.reader.snapshot().unwrap() {
                    let entries = snapshot_entries::<u32>("x", 1, &snapshot, parts);
                    self.parts[usize::from(n)] = entries.into_iter().filter_map(part_of).collect();
                }
            }
            Op::WritePart(n) => self.write_part(n),
        }
    }

    fn write_part(&mut self, n: u8) {
        let index = usize::from(n);
        let Some(part) = self.parts[index].pop_front() else {
            return;
        };
        let at = self.records.len() as u64;
        if part.part == 0 {
            self.first_part_at[index] = at;
        }
        if part.part + 1 == part.parts {
            self.complete.push((self.first_part_at[index], part.as_of));
        }
        self.write(n, EntryBody::Snapshot(part));
    }

    fn write(&mut self, n: u8, body: EntryBody<u32>) {
        let sequence = &mut self.sequences[usize::from(n)];
        *sequence += 1;
        let writer = writer(&format!("w{n}"), *sequence);
        self.append(Some(Entry { writer, body }));
    }

    fn append(&mut self, record: Option<Entry<u32>>) {
        let at = Offset(self.records.len() as u64);
        feed(&mut self.reader, at, record.clone());
        self.records.push(record);
        self.states.push(self.reader.snapshot().unwrap().unwrap());
    }
}

fn part_of(entry: Entry<u32>) -> Option<SnapshotPart> {
    match entry.body {
        EntryBody::Data(_) => None,
        EntryBody::Snapshot(part) => Some(part),
    }
}

fn feed(replica: &mut Replica<Trace>, at: Offset, record: Option<Entry<u32>>) {
    match record {
        Some(entry) => {
            replica.read(at, entry);
        }
        None => replica.skip(at),
    }
}

proptest! {
    #![proptest_config(seeded_config(0x6c77_0001, 400))]

    /// Guards against a reader with a gap, at the start or later, whose state differs from that of
    /// a reader of the whole stream, or that stays in the gap although a usable snapshot follows.
    #[test]
    fn readers_after_a_gap_agree_with_a_full_reader(
        ops in prop::collection::vec(op(), 1..80),
        before in 0..80u64,
        first in 0..80u64,
    ) {
        let stream = Stream::run(&ops);
        let end = stream.records.len() as u64;
        let first = first.min(end);
        let before = before.min(first);
        let mut replica = Replica::<Trace>::new();
        let read = (0..before).chain(first..end);
        for at in read {
            let index = usize::try_from(at).unwrap();
            feed(&mut replica, Offset(at), stream.records[index].clone());
            if let Some(snapshot) = replica.snapshot().unwrap() {
                prop_assert_eq!(&snapshot, &stream.states[index]);
            }
        }
        let usable = |(start, as_of): &(u64, Offset)| *start >= first && as_of.next().0 >= first;
        let has_gap = before < first && first < end;
        if !has_gap || stream.complete.iter().any(usable) {
            prop_assert_eq!(replica.status(), ReplicaStatus::Ready);
        }
    }

    /// Guards against records that are lost, duplicated or reverted by adopting a peer's snapshot,
    /// in a gap or not.
    #[test]
    fn adopted_snapshot_agrees_with_a_full_reader(
        ops in prop::collection::vec(op(), 1..60),
        first in 0..60u64,
        adopt_at in 0..60u64,
        as_of in 0..60u64,
    ) {
        let stream = Stream::run(&ops);
        let end = stream.records.len() as u64;
        prop_assume!(end > 0);
        let first = first.min(end - 1);
        let adopt_at = adopt_at.clamp(first, end);
        let peer = &stream.states[usize::try_from(as_of.min(end - 1)).unwrap()];
        let mut replica = Replica::<Trace>::new();
        replica.on_trimmed(Offset(first));
        for at in first..adopt_at {
            let index = usize::try_from(at).unwrap();
            feed(&mut replica, Offset(at), stream.records[index].clone());
        }
        let next = replica.next();
        replica.adopt(peer).unwrap();
        prop_assert!(replica.next() >= next);
        let mut at = replica.next().0;
        while at < end {
            let index = usize::try_from(at).unwrap();
            feed(&mut replica, Offset(at), stream.records[index].clone());
            at += 1;
        }
        if let Some(snapshot) = replica.snapshot().unwrap() {
            prop_assert_eq!(&snapshot, stream.states.last().unwrap());
        }
        if peer.as_of.next().0 >= first {
            prop_assert_eq!(replica.status(), ReplicaStatus::Ready);
        }
    }
}

/// Behaviour of the log service for one append.
#[derive(Clone, Copy, Debug)]
enum AppendBehaviour {
    Confirmed,
    ResponseLost,
    Rejected,
    /// Neither appended nor confirmed.
    Lost,
    /// Appended after the writer stopped waiting for the response.
    Delayed,
    /// Confirmed, but stored as an unreadable record.
    Damaged,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Push,
    Append(AppendBehaviour),
    /// Stores the entries of delayed appends.
    StoreDelayed,
    Read,
}

fn event() -> impl Strategy<Value = Event> {
    let behaviour = prop_oneof![
        Just(AppendBehaviour::Confirmed),
        Just(AppendBehaviour::ResponseLost),
        Just(AppendBehaviour::Rejected),
        Just(AppendBehaviour::Lost),
        Just(AppendBehaviour::Delayed),
        Just(AppendBehaviour::Damaged),
    ];
    prop_oneof![
        2 => Just(Event::Push),
        4 => behaviour.prop_map(Event::Append),
        1 => Just(Event::StoreDelayed),
        4 => Just(Event::Read),
    ]
}

/// A writer, a log service with faults, and the reader of the writer's process.
struct Process {
    writer: Writer<u32>,
    stored: Vec<Option<Entry<u32>>>,
    delayed: Vec<Entry<u32>>,
    replica: Replica<Trace>,
    pushed: Vec<Ticket>,
    read_back: Vec<Ticket>,
}

impl Process {
    fn new() -> Self {
        Self {
            writer: Writer::new(incarnation("a"), 4),
            stored: Vec::new(),
            delayed: Vec::new(),
            replica: Replica::new(),
            pushed: Vec::new(),
            read_back: Vec::new(),
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Push => {
                let record = u32::try_from(self.pushed.len()).unwrap();
                self.pushed
                    .extend(self.writer.push(EntryBody::Data(record)).ok());
            }
            Event::Append(behaviour) => {
                if let Some(entry) = self.writer.poll_append() {
                    let sequence = entry.writer.sequence;
                    let result = self.append(entry, behaviour);
                    self.writer.on_append_result(sequence, result);
                }
            }
            Event::StoreDelayed => self.stored.extend(self.delayed.drain(..).map(Some)),
            Event::Read => self.read(),
        }
    }

    fn append(&mut self, entry: Entry<u32>, behaviour: AppendBehaviour) -> AppendResult {
        let at = Offset(self.stored.len() as u64);
        match behaviour {
            AppendBehaviour::Confirmed | AppendBehaviour::ResponseLost => {
                self.stored.push(Some(entry))
            }
            AppendBehaviour::Damaged => self.stored.push(None),
            AppendBehaviour::Delayed => self.delayed.push(entry),
            AppendBehaviour::Rejected | AppendBehaviour::Lost => {}
        }
        match behaviour {
            AppendBehaviour::Confirmed | AppendBehaviour::Damaged => AppendResult::Appended(at),
            AppendBehaviour::Rejected => AppendResult::Rejected,
            AppendBehaviour::ResponseLost | AppendBehaviour::Lost | AppendBehaviour::Delayed => {
                AppendResult::Unknown
            }
        }
    }

    fn read(&mut self) {
        let next = usize::try_from(self.replica.next().0).unwrap();
        for (at, record) in self.stored.iter().enumerate().skip(next) {
            feed(&mut self.replica, Offset(at as u64), record.clone());
            let writer = record.as_ref().map(|entry| &entry.writer);
            self.read_back
                .extend(writer.and_then(|writer| self.writer.on_read(writer)));
        }
        self.writer.on_read_to_end(self.replica.next());
    }
}

proptest! {
    #![proptest_config(seeded_config(0x6c77_0002, 400))]

    /// Guards against entries that are lost, duplicated, reordered or acknowledged before they are
    /// read back, for any behaviour of the log service.
    #[test]
    fn every_entry_is_folded_once_and_in_order(
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut process = Process::new();
        for event in events {
            process.step(event);
            let folded = &process.replica.fold().unwrap().0;
            prop_assert_eq!(folded.len(), process.read_back.len());
        }
        // Each iteration without faults resolves or reads back one entry; the queue holds up to 4.
        for _ in 0..10 {
            process.step(Event::Append(AppendBehaviour::Confirmed));
            process.step(Event::Read);
        }
        prop_assert!(process.writer.is_empty());
        process.step(Event::StoreDelayed);
        process.step(Event::Read);
        prop_assert_eq!(&process.read_back, &process.pushed);
        let expected: Vec<u32> = (0..).take(process.pushed.len()).collect();
        prop_assert_eq!(&process.replica.fold().unwrap().0, &expected);
    }
}

const KEYS: [&str; 3] = ["k0", "k1", "k2"];

fn change() -> impl Strategy<Value = JobChange> {
    let key = || prop::sample::select(KEYS.to_vec());
    let completion = prop_oneof![
        (0..5u32, "[a-c]{1,2}").prop_map(|(index, text)| finished(index, &text)),
        (0..5u32).prop_map(failed),
    ];
    let completions = prop::collection::vec(completion, 0..4);
    let counts = prop::collection::vec((0..5u32, 0..4u32), 0..3);
    prop_oneof![
        1 => Just(JobChange::Open),
        3 => (0..3u64, 0..2u32, 0..4u32).prop_map(|(id, index, end)| part(id, index, 0..end)),
        3 => (0..3u64, 0..3u32, key(), 0..2u8)
            .prop_map(|(id, parts, key, digest)| submit(id, parts, key, digest)),
        1 => key().prop_map(cancel),
        6 => (key(), completions).prop_map(|(key, items)| completed(key, items)),
        1 => (key(), counts)
            .prop_map(|(key, counts)| JobChange::Attempts { job: job(key), counts }),
        1 => Just(JobChange::Tick),
    ]
}

fn statuses(job: &Job) -> Vec<ItemStatus<'_>> {
    let page = job.results(0, u32::MAX);
    page.items.iter().map(|item| item.status).collect()
}

proptest! {
    #![proptest_config(seeded_config(0x6c77_0003, 600))]

    /// Guards against an outcome that changes, an item that is billed twice or not at all, a job
    /// that is removed before its results expire, and a restored fold that behaves differently.
    #[test]
    fn outcomes_are_final_and_billed_once(
        records in prop::collection::vec((1..4u64, 0..400u64, change()), 1..120),
        snapshot_at in 0..120usize,
    ) {
        let mut fold = Jobs::default();
        let mut restored = None;
        let mut billed = OrganisationUsage::default();
        for (index, (epoch, at, change)) in records.into_iter().enumerate() {
            let before = fold.clone();
            let offset = Offset(index as u64);
            // The time increases with the offset, so that results expire in the middle of the run.
            let record = record(epoch, at + 20 * index as u64, change);
            let event = fold.apply(offset, record.clone());
            if let Some(restored) = &mut restored {
                prop_assert_eq!(&Jobs::apply(restored, offset, record), &event);
            }
            for (id, job) in before.iter() {
                if event.expired.contains(id) {
                    prop_assert!(job.has_ended());
                    prop_assert!(job.expires().unwrap() <= fold.clock());
                    continue;
                }
                let after = statuses(fold.get(id).unwrap());
                for (old, new) in statuses(job).into_iter().zip(after) {
                    prop_assert!(old == ItemStatus::Open || old == new);
                    if old == ItemStatus::Open && matches!(new, ItemStatus::Finished { .. }) {
                        billed.items += 1;
                        billed.prompt_tokens += 2;
                        billed.completion_tokens += 3;
                    }
                }
            }
            prop_assert_eq!(fold.usage_of(&organisation("org")), billed);
            if index == snapshot_at {
                let mut buf = Vec::new();
                fold.snapshot(&mut buf).unwrap();
                restored = Some(Jobs::restore(&mut &buf[..]).unwrap());
            }
        }
        if let Some(restored) = restored {
            prop_assert_eq!(restored, fold);
        }
    }
}
