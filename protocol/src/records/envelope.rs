//! Envelope of the log records and its codec.

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

/// A data record that can be encoded.
pub trait StreamRecord: Sized {
    /// Encoded form of the record.
    #[doc(hidden)]
    type Wire: Serialize + DeserializeOwned + From<Self> + TryInto<Self, Error = String>;
}

/// Encoded form of an entry, without the leading version byte.
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

/// Error of encoding or decoding a record.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RecordError {
    /// The entry could not be encoded.
    #[snafu(display("cannot encode a record: {source}"))]
    Encode {
        /// Error of the codec.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The record is larger than [`MAX_RECORD_BYTES`].
    #[snafu(display("a record of {len} bytes is over the limit of {MAX_RECORD_BYTES} bytes"))]
    TooLarge {
        /// Encoded size in bytes, or an upper bound for it.
        len: usize,
    },
    /// The record is truncated.
    #[snafu(display("the record is truncated after {len} bytes"))]
    Truncated {
        /// Length of the record in bytes.
        len: usize,
    },
    /// The format version of the record is not supported.
    #[snafu(display("record format version {version} is not supported"))]
    UnknownVersion {
        /// First byte of the record.
        version: u8,
    },
    /// The record is valid CBOR but not an entry of this stream.
    #[snafu(display("the record of {len} bytes is not an entry of this stream: {reason}"))]
    Unknown {
        /// Length of the record in bytes.
        len: usize,
        /// Error of the codec or of a validation.
        reason: String,
    },
    /// The record is not valid CBOR or is followed by further bytes.
    #[snafu(display("the record of {len} bytes is malformed at byte {at}"))]
    Malformed {
        /// Length of the record in bytes.
        len: usize,
        /// Offset of the first byte that is not part of a valid record.
        at: usize,
    },
}

/// Kinds of [`RecordError`], for counting errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordErrorKind {
    /// The entry could not be encoded or is too large.
    Rejected,
    /// The record is truncated.
    Truncated,
    /// The record was written by another version of the program or belongs to another stream.
    Unknown,
    /// The record is corrupted.
    Malformed,
}

impl RecordError {
    /// Returns the kind of the error.
    pub fn kind(&self) -> RecordErrorKind {
        match self {
            Self::Encode { .. } | Self::TooLarge { .. } => RecordErrorKind::Rejected,
            Self::Truncated { .. } => RecordErrorKind::Truncated,
            Self::UnknownVersion { .. } | Self::Unknown { .. } => RecordErrorKind::Unknown,
            Self::Malformed { .. } => RecordErrorKind::Malformed,
        }
    }

    /// Returns whether the operation that the record describes may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self.kind() {
            RecordErrorKind::Rejected => Verdict::NotRun,
            RecordErrorKind::Truncated | RecordErrorKind::Unknown | RecordErrorKind::Malformed => {
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
        // The codec does not count the version byte.
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
                    return Err(format!(
                        "snapshot part {part} is out of range for {parts} parts"
                    ));
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
