//! A deterministic replica of the state of a stream.

use std::mem;

use super::assembly::Assemblies;
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

/// State of a stream at one reader.
#[derive(Debug)]
pub struct Replica<F: Fold> {
    /// Offset to read next; everything below is folded, buffered or skipped.
    next: Offset,
    state: State<F>,
    assemblies: Assemblies,
    /// `as_of` of the newest snapshot whose parts were all read.
    newest_snapshot: Option<Offset>,
}

#[derive(Debug)]
enum State<F: Fold> {
    Ready(Image<F>),
    Gap {
        /// First offset read after the trimmed ones.
        first: Offset,
        /// Entries read since `first`, without the bytes of snapshot parts.
        buffer: Vec<(Offset, Entry<F::Record>)>,
    },
}

#[derive(Debug, Default)]
struct Image<F> {
    fold: F,
    sequences: Sequences,
}

/// Whether a replica holds the state of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// All records below the next offset are folded.
    Ready,
    /// Records were trimmed before they were read, and no usable snapshot was found yet.
    Gap {
        /// First offset read after the trimmed ones.
        first: Offset,
    },
}

/// What reading an entry did.
#[derive(Debug, PartialEq, Eq)]
pub enum EntryOutcome<E> {
    /// The offset was read before.
    AlreadyRead,
    /// The entry is a resend and has no effect.
    Resent,
    /// The data record was given to the fold.
    Applied(E),
    /// The entry is kept until a usable snapshot is read.
    Buffered,
    /// A part of a snapshot that is not complete yet.
    SnapshotPart,
    /// All parts of a snapshot were read; a ready replica does not use it.
    SnapshotComplete {
        /// Offset of the last record folded into the snapshot.
        as_of: Offset,
    },
    /// All parts of a snapshot were read in a gap, but it is too old, or cannot be decoded, or
    /// names an offset that it cannot contain.
    SnapshotRejected {
        /// Offset that the snapshot names.
        as_of: Offset,
    },
    /// A snapshot ended the gap.
    ///
    /// Entries up to `as_of` and parts of snapshots give no events; a writer learns about its own
    /// entries among them from [`Replica::last_sequence`].
    Recovered {
        /// Offset of the last record folded into the snapshot.
        as_of: Offset,
        /// The buffered records after `as_of`, in order.
        applied: Vec<Applied<E>>,
    },
}

/// A buffered entry that was folded when a gap ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Applied<E> {
    /// Offset of the entry.
    pub at: Offset,
    /// Identity of the entry.
    pub writer: WriterId,
    /// What the fold did.
    pub event: E,
}

/// What a peer's snapshot did to a replica.
#[derive(Debug, PartialEq, Eq)]
pub enum AdoptOutcome<E> {
    /// The snapshot holds nothing that the replica lacks, or does not reach the first offset read
    /// after a gap; the replica is unchanged.
    Stale,
    /// The replica continues from the snapshot.
    Adopted {
        /// The buffered records after the snapshot, in order.
        applied: Vec<Applied<E>>,
    },
}

impl<F: Fold> Default for Replica<F> {
    fn default() -> Self {
        Self::at(Offset::default(), Image::default())
    }
}

impl<F: Fold> Replica<F> {
    /// Returns the replica of a stream from which nothing was read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a replica that continues after a snapshot, for example one obtained from a peer.
    pub fn from_snapshot(snapshot: &Snapshot) -> Result<Self, SnapshotError> {
        let image = Image::restore(&snapshot.bytes)?;
        Ok(Self::at(snapshot.as_of.next(), image))
    }

    fn at(next: Offset, image: Image<F>) -> Self {
        Self {
            next,
            state: State::Ready(image),
            assemblies: Assemblies::default(),
            newest_snapshot: None,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the replica holds the state.
    pub fn status(&self) -> ReplicaStatus {
        match &self.state {
            State::Ready(_) => ReplicaStatus::Ready,
            State::Gap { first, .. } => ReplicaStatus::Gap { first: *first },
        }
    }

    /// Returns the state, or `None` in a gap.
    pub fn fold(&self) -> Option<&F> {
        match &self.state {
            State::Ready(image) => Some(&image.fold),
            State::Gap { .. } => None,
        }
    }

    /// Returns `as_of` of the newest snapshot whose parts were all read from the stream.
    pub fn newest_snapshot(&self) -> Option<Offset> {
        self.newest_snapshot
    }

    /// Returns the last sequence folded of an incarnation, 0 if there is none; `None` in a gap.
    pub fn last_sequence(&self, incarnation: &Incarnation) -> Option<u64> {
        match &self.state {
            State::Ready(image) => Some(image.sequences.last(incarnation)),
            State::Gap { .. } => None,
        }
    }

    /// Returns the state as a snapshot; `None` in a gap and before the first record.
    pub fn snapshot(&self) -> Result<Option<Snapshot>, SnapshotError> {
        let State::Ready(image) = &self.state else {
            return Ok(None);
        };
        let Some(as_of) = self.next.0.checked_sub(1).map(Offset) else {
            return Ok(None);
        };
        let bytes = image.snapshot()?;
        Ok(Some(Snapshot { as_of, bytes }))
    }

    /// Notes that the stream starts at `first`; returns whether unread records were trimmed.
    pub fn on_trimmed(&mut self, first: Offset) -> bool {
        if first <= self.next {
            return false;
        }
        if matches!(self.state, State::Ready(_)) {
            // A ready replica keeps part numbers without bytes, which cannot be joined.
            self.assemblies.clear();
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

    /// Reads the entry at offset `at`; an offset beyond [`Self::next`] means that records were
    /// trimmed.
    pub fn read(&mut self, at: Offset, entry: Entry<F::Record>) -> EntryOutcome<F::Event> {
        if at < self.next {
            return EntryOutcome::AlreadyRead;
        }
        self.on_trimmed(at);
        self.next = at.next();
        match &mut self.state {
            State::Ready(image) => {
                if !image.sequences.observe(&entry.writer, at) {
                    return EntryOutcome::Resent;
                }
                match entry.body {
                    EntryBody::Data(record) => EntryOutcome::Applied(image.fold.apply(at, record)),
                    EntryBody::Snapshot(part) => self.track_part(at, &entry.writer, part),
                }
            }
            State::Gap { .. } => self.read_in_gap(at, entry),
        }
    }

    /// Continues from a peer's snapshot if it is newer than the replica.
    ///
    /// Records between the replica and the snapshot give no events; a writer learns about its own
    /// entries among them from [`Self::last_sequence`].
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Result<AdoptOutcome<F::Event>, SnapshotError> {
        let after = snapshot.as_of.next();
        let needed = match &self.state {
            State::Ready(_) => self.next.next(),
            State::Gap { first, .. } => *first,
        };
        if after < needed {
            return Ok(AdoptOutcome::Stale);
        }
        let image = Image::restore(&snapshot.bytes)?;
        self.next = self.next.max(after);
        let applied = self.recover(snapshot.as_of, image);
        Ok(AdoptOutcome::Adopted { applied })
    }

    /// Notes a part that a ready replica read, without keeping its bytes.
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
        if self.assemblies.add(writer, part).is_none() {
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
        match self.assemblies.add(&writer, part) {
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
        let Ok(image) = Image::restore(&snapshot.bytes) else {
            return EntryOutcome::SnapshotRejected { as_of };
        };
        self.newest_snapshot = self.newest_snapshot.max(Some(as_of));
        let applied = self.recover(as_of, image);
        EntryOutcome::Recovered { as_of, applied }
    }

    /// Replaces the state by `image` and applies the buffered entries after `as_of`.
    fn recover(&mut self, as_of: Offset, mut image: Image<F>) -> Vec<Applied<F::Event>> {
        self.assemblies.clear();
        let buffer = match &mut self.state {
            State::Ready(_) => Vec::new(),
            State::Gap { buffer, .. } => mem::take(buffer),
        };
        let mut applied = Vec::new();
        for (at, entry) in buffer {
            if at <= as_of || !image.sequences.observe(&entry.writer, at) {
                continue;
            }
            let EntryBody::Data(record) = entry.body else {
                continue;
            };
            let event = image.fold.apply(at, record);
            let writer = entry.writer;
            applied.push(Applied { at, writer, event });
        }
        self.state = State::Ready(image);
        applied
    }
}

/// Returns the part with its bytes and leaves the part without them.
fn take_part(part: &mut SnapshotPart) -> SnapshotPart {
    SnapshotPart {
        as_of: part.as_of,
        part: part.part,
        parts: part.parts,
        bytes: mem::take(&mut part.bytes),
    }
}

impl<F: Fold> Image<F> {
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
