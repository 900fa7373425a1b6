//! Envelope of the records in a log stream.

use crate::ids::{
    Incarnation,
    Offset, //
};

/// Identity of an entry; a resend has the same identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriterId {
    /// Process that writes the entry.
    pub incarnation: Incarnation,
    /// At least 1; strictly increasing over the entries of the incarnation in the stream.
    pub sequence: u64,
}

/// A record of a stream whose data records have type `R`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<R> {
    /// Identity of the entry.
    pub writer: WriterId,
    /// Content of the entry.
    pub body: EntryBody<R>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryBody<R> {
    /// A change of the state.
    Data(R),
    /// A part of a snapshot of the state at an earlier offset.
    Snapshot(SnapshotPart),
}

/// Part of a snapshot; all parts concatenated in order are the bytes of a [`super::Snapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPart {
    /// Offset of the last record folded into the snapshot.
    pub as_of: Offset,
    /// Index of the part, below `parts`.
    pub part: u32,
    /// Number of parts of the snapshot, at least 1.
    pub parts: u32,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
}
