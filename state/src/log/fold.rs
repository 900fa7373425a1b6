//! Deterministic folds over a stream, and their snapshots.

use std::fmt::Debug;
use std::io;

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::ids::Offset;

/// State that is a deterministic function of the records of a stream.
///
/// Folds that applied the same records must have equal states and write equal snapshots. An
/// implementation must therefore use ordered collections and depend on nothing but the records.
pub trait Fold: Default + Serialize + DeserializeOwned {
    /// A data record of the stream.
    type Record: Debug;
    /// Effect of a record.
    type Event;

    /// Applies the record at offset `at`.
    fn apply(&mut self, at: Offset, record: Self::Record) -> Self::Event;

    /// Appends the state to `buf` as one CBOR item.
    fn snapshot(&self, buf: &mut Vec<u8>) -> Result<(), SnapshotError> {
        encode(self, buf)
    }

    /// Decodes a state from the front of `buf` and advances `buf` past it.
    fn restore(buf: &mut &[u8]) -> Result<Self, SnapshotError> {
        decode(buf)
    }
}

/// State of a replica in the form that is written to the log and sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the last record folded into the snapshot.
    pub as_of: Offset,
    /// Encoded state of the fold, followed by that of the resend detection.
    pub bytes: Vec<u8>,
}

/// A snapshot could not be encoded or restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state could not be encoded.
    #[snafu(display("cannot encode a snapshot: {source}"))]
    Encode {
        /// Error of the codec.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The bytes are not a snapshot of this stream.
    #[snafu(display("cannot decode a snapshot: {source}"))]
    Decode {
        /// Error of the codec.
        source: ciborium::de::Error<io::Error>,
    },
    /// Bytes follow the snapshot.
    #[snafu(display("{len} bytes follow the snapshot"))]
    Trailing {
        /// Number of bytes after the snapshot.
        len: usize,
    },
}

pub(crate) fn encode<T: Serialize>(value: &T, buf: &mut Vec<u8>) -> Result<(), SnapshotError> {
    ciborium::into_writer(value, buf).context(EncodeSnafu)
}

pub(crate) fn decode<T: DeserializeOwned>(buf: &mut &[u8]) -> Result<T, SnapshotError> {
    ciborium::from_reader(buf).context(DecodeSnafu)
}
