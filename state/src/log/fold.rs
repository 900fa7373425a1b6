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
/// Two folds that applied the same records hold equal states and write equal snapshots, so an
/// implementation must keep its collections ordered and must not depend on anything but the
/// records.
pub trait Fold: Default + Serialize + DeserializeOwned {
    /// A data record of the stream.
    type Record: Debug;
    /// What applying a record did.
    type Event;

    /// Applies the record at offset `at`.
    fn apply(&mut self, at: Offset, record: Self::Record) -> Self::Event;

    /// Appends the state to `buf` as one CBOR item.
    fn snapshot(&self, buf: &mut Vec<u8>) -> Result<(), SnapshotError> {
        encode(self, buf)
    }

    /// Reads a state from the front of `buf` and advances `buf` behind it.
    fn restore(buf: &mut &[u8]) -> Result<Self, SnapshotError> {
        decode(buf)
    }
}

/// State of a replica, as written to the log and sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the last record folded into the snapshot.
    pub as_of: Offset,
    /// Encoded state of the fold and of the resend detection.
    pub bytes: Vec<u8>,
}

/// A snapshot that could not be written or restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state could not be encoded.
    #[snafu(display("cannot encode a snapshot: {source}"))]
    Encode {
        /// Cause given by the codec.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The bytes are no snapshot of this stream.
    #[snafu(display("cannot decode a snapshot: {source}"))]
    Decode {
        /// Cause given by the codec.
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
