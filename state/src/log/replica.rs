//! Replica of the state of a stream.

use std::mem;

use super::assembly::SnapshotAssembler;
use super::entry::{
    Entry,
    EntryBody,
    SnapshotPart,
    WriterId, //
};
use super::fold::{
    Fold,
    Snapshot,
    SnapshotError,
    decode,
    encode, //
};
use super::sequences::Sequences;
use crate::ids::{
    Incarnation,
    Offset, //
};

/// Replica of a stream's state, built from the stream's entries and from snapshots.
#[derive(Debug)]
pub struct Replica<F: Fold> {
    /// Offset to read next; everything below it is folded, buffered or skipped.
    next: Offset,
    state: State<F>,
    assembler: SnapshotAssembler,
    /// `as_of` of the newest snapshot whose parts were all read.
    newest_snapshot: Option<Offset>,
}

#[derive(Debug)]
enum State<F: Fold> {
    Ready(FoldState<F>),
    Gap {
        /// First offset after the trimmed records.
        first: Offset,
        /// Entries read from `first` on, without the bytes of snapshot parts.
        buffer: Vec<(Offset, Entry<F::Record>)>,
    },
}

/// State of the fold and of the resend detection.
#[derive(Debug, Default)]
struct FoldState<F> {
    fold: F,
    sequences: Sequences,
}

/// Whether a replica has the state of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// All records below the next offset are folded.
    Ready,
    /// Records were trimmed before they were read, and no usable snapshot was read since.
    Gap {
        /// First offset after the trimmed records.
        first: Offset,
    },
}

/// Result of reading an entry.
#[derive(Debug, PartialEq, Eq)]
pub enum EntryOutcome<E> {
    /// The offset was read before.
    AlreadyRead,
    /// The entry is a resend and was ignored.
    Resent,
    /// The data record was applied to the fold.
    Applied(E),
    /// The entry was buffered until a usable snapshot is read.
    Buffered,
    /// A part of a snapshot of which other parts are still missing.
    SnapshotPart,
    /// All parts of a snapshot were read by a replica that is ready and does not need it.
    SnapshotComplete {
        /// Offset of the last record folded into the snapshot.
        as_of: Offset,
    },
    /// The snapshot cannot be used: it is too old to end the gap, cannot be decoded, or claims an
    /// offset that is not before the record itself.
    SnapshotRejected {
        /// Offset that the snapshot claims.
        as_of: Offset,
    },
    /// A snapshot ended the gap.
    ///
    /// There are no events for entries up to `as_of` and for parts of snapshots; a writer finds its
    /// own entries among them with [`Replica::last_sequence`].
    Recovered {
        /// Offset of the last record folded into the snapshot.
        as_of: Offset,
        /// Buffered records after `as_of`, in order.
        applied: Vec<Applied<E>>,
    },
}

/// A buffered entry that was applied when a gap ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Applied<E> {
    /// Offset of the entry.
    pub at: Offset,
    /// Identity of the entry.
    pub writer: WriterId,
    /// Event of the fold.
    pub event: E,
}

/// Result of [`Replica::adopt`].
#[derive(Debug, PartialEq, Eq)]
pub enum AdoptOutcome<E> {
    /// The replica is unchanged: the snapshot is not newer, or does not cover all trimmed records of
    /// the gap.
    Stale,
    /// The replica continues from the snapshot.
    Adopted {
        /// Buffered records after the snapshot, in order.
        applied: Vec<Applied<E>>,
    },
}

impl<F: Fold> Default for Replica<F> {
    fn default() -> Self {
        Self::at(Offset::default(), FoldState::default())
    }
}

impl<F: Fold> Replica<F> {
    /// Returns a replica that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a replica that starts from a snapshot, for example one received from a peer.
    pub fn from_snapshot(snapshot: &Snapshot) -> Result<Self, SnapshotError> {
        let folded = FoldState::restore(&snapshot.bytes)?;
        Ok(Self::at(snapshot.as_of.next(), folded))
    }

    fn at(next: Offset, folded: FoldState<F>) -> Self {
        Self {
            next,
            state: State::Ready(folded),
            assembler: SnapshotAssembler::default(),
            newest_snapshot: None,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the replica is ready or in a gap.
    pub fn status(&self) -> ReplicaStatus {
        match &self.state {
            State::Ready(_) => ReplicaStatus::Ready,
            State::Gap { first, .. } => ReplicaStatus::Gap { first: *first },
        }
    }

    /// Returns the state, or `None` in a gap.
    pub fn fold(&self) -> Option<&F> {
        match &self.state {
            State::Ready(folded) => Some(&folded.fold),
            State::Gap { .. } => None,
        }
    }

    /// Returns `as_of` of the newest snapshot whose parts were all read from the stream.
    pub fn newest_snapshot(&self) -> Option<Offset> {
        self.newest_snapshot
    }

    /// Returns the last folded sequence of an incarnation, 0 if there is none; `None` in a gap.
    pub fn last_sequence(&self, incarnation: &Incarnation) -> Option<u64> {
        match &self.state {
            State::Ready(folded) => Some(folded.sequences.last(incarnation)),
            State::Gap { .. } => None,
        }
    }

    /// Returns the state as a snapshot, or `None` in a gap and before the first record.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, SnapshotError> {
        let State::Ready(folded) = &self.state else {
            return Ok(None);
        };
        let Some(as_of) = self.next.0.checked_sub(1).map(Offset) else {
            return Ok(None);
        };
        let bytes = folded.snapshot()?;
        Ok(Some(Snapshot { as_of, bytes }))
    }

    /// Handles a trim after which the stream starts at `first`.
    ///
    /// Returns whether unread records were trimmed, which opens a gap.
    pub fn on_trimmed(&mut self, first: Offset) -> bool {
        if first <= self.next {
            return false;
        }
        if matches!(self.state, State::Ready(_)) {
            // A ready replica tracks parts without their bytes, so they cannot be joined in a gap.
            self.assembler.clear();
        }
        let buffer = Vec::new();
        self.next = first;
        self.state = State::Gap { first, buffer };
        true
    }

    /// Skips the unreadable record at offset `at`.
    pub fn skip(&mut self, at: Offset) {
        if at < self.next {
            return;
        }
        self.on_trimmed(at);
        self.next = at.next();
    }

    /// Processes the entry read at offset `at`; an offset beyond [`Self::next`] means that records
    /// were trimmed.
    pub fn read(&mut self, at: Offset, entry: Entry<F::Record>) -> EntryOutcome<F::Event> {
        if at < self.next {
            return EntryOutcome::AlreadyRead;
        }
        self.on_trimmed(at);
        self.next = at.next();
        match &mut self.state {
            State::Ready(folded) => {
                if !folded.sequences.observe(&entry.writer, at) {
                    return EntryOutcome::Resent;
                }
                match entry.body {
                    EntryBody::Data(record) => EntryOutcome::Applied(folded.fold.apply(at, record)),
                    EntryBody::Snapshot(part) => self.track_part(at, &entry.writer, part),
                }
            }
            State::Gap { .. } => self.read_in_gap(at, entry),
        }
    }

    /// Replaces the state by a peer's snapshot if it is newer.
    ///
    /// There are no events for records between the old state and the snapshot; a writer finds its
    /// own entries among them with [`Self::last_sequence`].
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Result<AdoptOutcome<F::Event>, SnapshotError> {
        let after = snapshot.as_of.next();
        let needed = match &self.state {
            State::Ready(_) => self.next.next(),
            State::Gap { first, .. } => *first,
        };
        if after < needed {
            return Ok(AdoptOutcome::Stale);
        }
        let folded = FoldState::restore(&snapshot.bytes)?;
        self.next = self.next.max(after);
        let applied = self.recover(snapshot.as_of, folded);
        Ok(AdoptOutcome::Adopted { applied })
    }

    /// Tracks a part that a ready replica read, without keeping its bytes.
    fn track_part(
        &mut self,
        at: Offset,
        writer: &WriterId,
        mut part: SnapshotPart,
    ) -> EntryOutcome<F::Event> {
        let as_of = part.as_of;
        if as_of >= at {
            return EntryOutcome::SnapshotRejected { as_of };
        }
        part.bytes = Vec::new();
        if self.assembler.add(writer, part).is_none() {
            return EntryOutcome::SnapshotPart;
        }
        self.newest_snapshot = self.newest_snapshot.max(Some(as_of));
        EntryOutcome::SnapshotComplete { as_of }
    }

    fn read_in_gap(&mut self, at: Offset, mut entry: Entry<F::Record>) -> EntryOutcome<F::Event> {
        let part = match &mut entry.body {
            EntryBody::Data(_) => None,
            EntryBody::Snapshot(part) => Some(take_part(part)),
        };
        let writer = entry.writer.clone();
        if let State::Gap { buffer, .. } = &mut self.state {
            buffer.push((at, entry));
        }
        let Some(part) = part else {
            return EntryOutcome::Buffered;
        };
        let as_of = part.as_of;
        if as_of >= at {
            return EntryOutcome::SnapshotRejected { as_of };
        }
        match self.assembler.add(&writer, part) {
            Some(snapshot) => self.end_gap(&snapshot),
            None => EntryOutcome::SnapshotPart,
        }
    }

    fn end_gap(&mut self, snapshot: &Snapshot) -> EntryOutcome<F::Event> {
        let as_of = snapshot.as_of;
        if let State::Gap { first, .. } = &self.state
            && as_of.next() < *first
        {
            return EntryOutcome::SnapshotRejected { as_of };
        }
        let Ok(folded) = FoldState::restore(&snapshot.bytes) else {
            return EntryOutcome::SnapshotRejected { as_of };
        };
        self.newest_snapshot = self.newest_snapshot.max(Some(as_of));
        let applied = self.recover(as_of, folded);
        EntryOutcome::Recovered { as_of, applied }
    }

    /// Replaces the state by `folded`, with the buffered entries after `as_of` applied.
    fn recover(&mut self, as_of: Offset, mut folded: FoldState<F>) -> Vec<Applied<F::Event>> {
        self.assembler.clear();
        let buffer = match &mut self.state {
            State::Ready(_) => Vec::new(),
            State::Gap { buffer, .. } => mem::take(buffer),
        };
        let mut applied = Vec::new();
        for (at, entry) in buffer {
            if at <= as_of || !folded.sequences.observe(&entry.writer, at) {
                continue;
            }
            let EntryBody::Data(record) = entry.body else {
                continue;
            };
            let event = folded.fold.apply(at, record);
            let writer = entry.writer;
            applied.push(Applied { at, writer, event });
        }
        self.state = State::Ready(folded);
        applied
    }
}

/// Moves the bytes of `part` into a copy of it.
fn take_part(part: &mut SnapshotPart) -> SnapshotPart {
    SnapshotPart {
        as_of: part.as_of,
        part: part.part,
        parts: part.parts,
        bytes: mem::take(&mut part.bytes),
    }
}

impl<F: Fold> FoldState<F> {
    fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut buf = Vec::new();
        self.fold.snapshot(&mut buf)?;
        encode(&self.sequences, &mut buf)?;
        Ok(buf)
    }

    fn restore(mut buf: &[u8]) -> Result<Self, SnapshotError> {
        let fold = F::restore(&mut buf)?;
        let sequences = decode(&mut buf)?;
        if !buf.is_empty() {
            return Err(SnapshotError::Trailing { len: buf.len() });
        }
        Ok(Self { fold, sequences })
    }
}
