//! The envelope of every record in a log stream.

use crate::ids::{
    Incarnation,
    Offset, //
};

/// Identifies an entry; a resent entry has the same identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriterId {
    /// Process that wrote the entry.
    pub incarnation: Incarnation,
    /// Rises by at least 1 with each new entry of the incarnation in the stream; at least 1.
    pub sequence: u64,
}

/// One record of a stream whose data records have type `R`.
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
    /// A part of the state as of an earlier offset.
    Snapshot(SnapshotPart),
}

/// One part of a snapshot; the parts in order give the bytes of a [`super::Snapshot`].
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
