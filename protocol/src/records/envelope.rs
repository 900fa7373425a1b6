//! The envelope of every record and its codec.

use std::io;

use limpetweir_state::{
    Entry,
    EntryBody,
    Incarnation,
    Offset,
    SnapshotPart,
    Verdict,
    WriterId, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use snafu::{
    OptionExt,
    ResultExt,
    Snafu,
    ensure, //
};

use super::{
    MAX_RECORD_BYTES,
    RECORD_VERSION, //
};

/// A data record with a wire type.
pub trait StreamRecord: Sized {
    /// Type that is encoded.
    #[doc(hidden)]
    type Wire: Serialize + DeserializeOwned + From<Self> + TryInto<Self, Error = String>;
}

/// An entry as it is encoded after the version byte.
#[derive(Serialize, Deserialize)]
struct WireEntry<W> {
    incarnation: Incarnation,
    sequence: u64,
    body: WireBody<W>,
}

#[derive(Serialize, Deserialize)]
enum WireBody<W> {
    Data(W),
    Snapshot {
        as_of: u64,
        part: u32,
        parts: u32,
        #[serde(with = "crate::bytes")]
        bytes: Vec<u8>,
    },
}

/// A record that could not be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RecordError {
    /// The entry could not be encoded.
    #[snafu(display("cannot encode a record: {source}"))]
    Encode {
        /// Cause given by the codec.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The record is larger than [`MAX_RECORD_BYTES`].
    #[snafu(display("a record of {len} bytes is over the limit of {MAX_RECORD_BYTES} bytes"))]
    TooLarge {
        /// Encoded size in bytes, or an upper bound of it.
        len: usize,
    },
    /// The record ends too early.
    #[snafu(display("the record is truncated after {len} bytes"))]
    Truncated {
        /// Length of the record in bytes.
        len: usize,
    },
    /// The record has a format version that this program does not know.
    #[snafu(display("record format version {version} is unknown"))]
    UnknownVersion {
        /// First byte of the record.
        version: u8,
    },
    /// The record is complete CBOR, but no entry of this stream.
    #[snafu(display("the record of {len} bytes is no entry of this stream: {reason}"))]
    Unknown {
        /// Length of the record in bytes.
        len: usize,
        /// Cause given by the codec or by a check.
        reason: String,
    },
    /// The record is not CBOR, or more bytes follow it.
    #[snafu(display("the record of {len} bytes is malformed at byte {at}"))]
    Malformed {
        /// Length of the record in bytes.
        len: usize,
        /// Offset of the first byte that does not belong to the record.
        at: usize,
    },
}

/// Kinds of [`RecordError`], for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordFault {
    /// The entry could not be encoded or is too large.
    Rejected,
    /// The record ends too early.
    Truncated,
    /// Another version of the program wrote the record, or it belongs to another stream.
    Unknown,
    /// The record is damaged.
    Malformed,
}

impl RecordError {
    /// Returns the kind of the error.
    pub fn fault(&self) -> RecordFault {
        match self {
            Self::Encode { .. } | Self::TooLarge { .. } => RecordFault::Rejected,
            Self::Truncated { .. } => RecordFault::Truncated,
            Self::UnknownVersion { .. } | Self::Unknown { .. } => RecordFault::Unknown,
            Self::Malformed { .. } => RecordFault::Malformed,
        }
    }

    /// Returns whether the operation behind the record may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self.fault() {
            RecordFault::Rejected => Verdict::NotRun,
            RecordFault::Truncated | RecordFault::Unknown | RecordFault::Malformed => {
                Verdict::MayHaveRun
            }
        }
    }
}

/// Encodes an entry as a record.
pub fn encode<R: StreamRecord>(entry: Entry<R>) -> Result<Vec<u8>, RecordError> {
    let mut buf = vec![RECORD_VERSION];
    let wire: WireEntry<R::Wire> = entry.into();
    ciborium::into_writer(&wire, &mut buf).context(EncodeSnafu)?;
    let len = buf.len();
    ensure!(len <= MAX_RECORD_BYTES, TooLargeSnafu { len });
    Ok(buf)
}

/// Decodes a record.
pub fn decode<R: StreamRecord>(buf: &[u8]) -> Result<Entry<R>, RecordError> {
    let len = buf.len();
    ensure!(len <= MAX_RECORD_BYTES, TooLargeSnafu { len });
    let (version, mut rest) = buf.split_first().context(TruncatedSnafu { len })?;
    let version = *version;
    ensure!(version == RECORD_VERSION, UnknownVersionSnafu { version });
    let wire: Result<WireEntry<R::Wire>, _> = ciborium::from_reader(&mut rest);
    let wire = wire.map_err(|err| decode_error(err, len))?;
    let at = len - rest.len();
    ensure!(rest.is_empty(), MalformedSnafu { len, at });
    let entry = Entry::try_from(wire);
    entry.map_err(|reason| RecordError::Unknown { len, reason })
}

fn decode_error(err: ciborium::de::Error<io::Error>, len: usize) -> RecordError {
    use ciborium::de::Error;
    match err {
        Error::Io(_) => RecordError::Truncated { len },
        // The codec counts from the byte after the version.
        Error::Syntax(at) => RecordError::Malformed { len, at: at + 1 },
        Error::Semantic(_, reason) => RecordError::Unknown { len, reason },
        Error::RecursionLimitExceeded => {
            let reason = "values are nested too deeply".to_owned();
            RecordError::Unknown { len, reason }
        }
    }
}

impl<R: StreamRecord> From<Entry<R>> for WireEntry<R::Wire> {
    fn from(entry: Entry<R>) -> Self {
        let body = match entry.body {
            EntryBody::Data(record) => WireBody::Data(record.into()),
            EntryBody::Snapshot(part) => WireBody::Snapshot {
                as_of: part.as_of.0,
                part: part.part,
                parts: part.parts,
                bytes: part.bytes,
            },
        };
        Self {
            incarnation: entry.writer.incarnation,
            sequence: entry.writer.sequence,
            body,
        }
    }
}

impl<W, R> TryFrom<WireEntry<W>> for Entry<R>
where
    R: StreamRecord<Wire = W>,
    W: TryInto<R, Error = String>,
{
    type Error = String;

    fn try_from(wire: WireEntry<W>) -> Result<Self, String> {
        let body = match wire.body {
            WireBody::Data(record) => EntryBody::Data(record.try_into()?),
            WireBody::Snapshot {
                as_of,
                part,
                parts,
                bytes,
            } => {
                if part >= parts {
                    return Err(format!("snapshot part {part} of {parts}"));
                }
                let as_of = Offset(as_of);
                EntryBody::Snapshot(SnapshotPart {
                    as_of,
                    part,
                    parts,
                    bytes,
                })
            }
        };
        let writer = WriterId {
            incarnation: wire.incarnation,
            sequence: wire.sequence,
        };
        Ok(Self { writer, body })
    }
}
