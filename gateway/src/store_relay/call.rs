//! Calls about the jobs that an instance has a peer make, their outcomes, and the encoding of both.

use hyper::body::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_bytes::ByteBuf;
use snafu::Snafu;

use crate::checked::excerpt;
use crate::platform::{
    MAX_KEY_BYTES,
    Page,
    Record,
    RecordRange,
    StoreError,
    Topic, //
};
use crate::store_load::CallTarget;

/// Largest offset of a record, so that sums of offsets and numbers of records do not overflow.
const MAX_OFFSET: u64 = 1 << 62;

/// A call to the store about the jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsCall {
    /// Appends the records if the partition ends at `at`.
    Append {
        /// The partition.
        partition: u32,
        /// Offset at which it must end.
        at: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Reads records without waiting for new ones.
    Read {
        /// The partition.
        partition: u32,
        /// Offset of the first record.
        from: u64,
    },
    /// Lists a page of the newest record of each key.
    List {
        /// The partition.
        partition: u32,
        /// Key after which the page begins.
        after: Option<String>,
    },
}

/// Answer of the store to a [`JobsCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsAnswer {
    /// The records are in the store; the offset is the new end of the partition.
    Appended(u64),
    /// Records.
    Range(RecordRange),
    /// A page of a listing.
    Page(Page),
}

/// A message of a peer that is not one about a store call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RelayError {
    /// It cannot be decoded.
    #[snafu(display("cannot decode: {reason}"))]
    Encoding {
        /// Cause.
        reason: String,
    },
    /// A number or a key is out of its range.
    #[snafu(display("a value is out of range"))]
    OutOfRange,
}

#[derive(Deserialize, Serialize)]
enum WireCall {
    Append(u32, u64, Vec<WireRecord>),
    Read(u32, u64),
    List(u32, Option<String>),
}

/// Key and content.
#[derive(Deserialize, Serialize)]
struct WireRecord(String, ByteBuf);

#[derive(Deserialize, Serialize)]
enum WireOutcome {
    Appended(u64),
    /// First offset, end of the partition and records; `None` for one that cannot be decoded.
    Range(u64, u64, Vec<Option<WireRecord>>),
    /// Records with their offsets, key of the last one unless the page is the last, end.
    Page(Vec<(u64, WireRecord)>, Option<String>, u64),
    OffsetMismatch,
    NotDone(String),
    Refused(String),
    Failed(String),
    Unknown(String),
    Trimmed(u64),
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        Self(record.key.clone(), ByteBuf::from(record.value.to_vec()))
    }
}

impl TryFrom<WireRecord> for Record {
    type Error = RelayError;

    fn try_from(wire: WireRecord) -> Result<Self, RelayError> {
        if wire.0.len() > MAX_KEY_BYTES {
            return Err(RelayError::OutOfRange);
        }
        Ok(Self {
            key: wire.0,
            value: Bytes::from(wire.1.into_vec()),
        })
    }
}

impl From<&JobsCall> for WireCall {
    fn from(call: &JobsCall) -> Self {
        match call {
            JobsCall::Append {
                partition,
                at,
                records,
            } => {
                let records = records.iter().map(WireRecord::from);
                Self::Append(*partition, *at, records.collect())
            }
            JobsCall::Read { partition, from } => Self::Read(*partition, *from),
            JobsCall::List { partition, after } => Self::List(*partition, after.clone()),
        }
    }
}

impl TryFrom<WireCall> for JobsCall {
    type Error = RelayError;

    fn try_from(wire: WireCall) -> Result<Self, RelayError> {
        Ok(match wire {
            WireCall::Append(partition, at, records) => Self::Append {
                partition,
                at: offset(at)?,
                records: checked(records)?,
            },
            WireCall::Read(partition, from) => Self::Read {
                partition,
                from: offset(from)?,
            },
            WireCall::List(partition, after) => Self::List { partition, after },
        })
    }
}

impl From<&Result<JobsAnswer, StoreError>> for WireOutcome {
    fn from(outcome: &Result<JobsAnswer, StoreError>) -> Self {
        match outcome {
            Ok(JobsAnswer::Appended(end)) => Self::Appended(*end),
            Ok(JobsAnswer::Range(range)) => {
                let records = range.records.iter();
                let records = records.map(|record| record.as_ref().map(WireRecord::from));
                Self::Range(range.from, range.end, records.collect())
            }
            Ok(JobsAnswer::Page(page)) => {
                let records = page.records.iter();
                let records = records.map(|(offset, record)| (*offset, record.into()));
                Self::Page(records.collect(), page.next.clone(), page.end)
            }
            Err(StoreError::OffsetMismatch) => Self::OffsetMismatch,
            Err(StoreError::NotDone { reason }) => Self::NotDone(reason.clone()),
            Err(StoreError::Refused { reason }) => Self::Refused(reason.clone()),
            Err(StoreError::Failed { reason }) => Self::Failed(reason.clone()),
            Err(StoreError::Unknown { reason }) => Self::Unknown(reason.clone()),
            Err(StoreError::Trimmed { first }) => Self::Trimmed(*first),
        }
    }
}

impl TryFrom<WireOutcome> for Result<JobsAnswer, StoreError> {
    type Error = RelayError;

    fn try_from(wire: WireOutcome) -> Result<Self, RelayError> {
        let reason = |text: String| excerpt(&text);
        Ok(match wire {
            WireOutcome::Appended(end) => Ok(JobsAnswer::Appended(offset(end)?)),
            WireOutcome::Range(from, end, records) => {
                let records = records.into_iter();
                let records = records.map(|wire| wire.map(Record::try_from).transpose());
                Ok(JobsAnswer::Range(RecordRange {
                    from: offset(from)?,
                    end: offset(end)?,
                    records: records.collect::<Result<_, _>>()?,
                }))
            }
            WireOutcome::Page(records, next, end) => {
                let records = records.into_iter();
                let records = records.map(|(at, wire)| Ok((offset(at)?, Record::try_from(wire)?)));
                Ok(JobsAnswer::Page(Page {
                    records: records.collect::<Result<_, RelayError>>()?,
                    next,
                    end: offset(end)?,
                }))
            }
            WireOutcome::OffsetMismatch => Err(StoreError::OffsetMismatch),
            WireOutcome::NotDone(text) => Err(StoreError::NotDone {
                reason: reason(text),
            }),
            WireOutcome::Refused(text) => Err(StoreError::Refused {
                reason: reason(text),
            }),
            WireOutcome::Failed(text) => Err(StoreError::Failed {
                reason: reason(text),
            }),
            WireOutcome::Unknown(text) => Err(StoreError::Unknown {
                reason: reason(text),
            }),
            WireOutcome::Trimmed(first) => Err(StoreError::Trimmed {
                first: offset(first)?,
            }),
        })
    }
}

fn offset(offset: u64) -> Result<u64, RelayError> {
    match offset <= MAX_OFFSET {
        true => Ok(offset),
        false => Err(RelayError::OutOfRange),
    }
}

fn checked(records: Vec<WireRecord>) -> Result<Vec<Record>, RelayError> {
    records.into_iter().map(Record::try_from).collect()
}

fn encoded(wire: &impl Serialize) -> Bytes {
    let mut buf = Vec::new();
    // Writing to a vector cannot fail, and every field can be encoded.
    if ciborium::into_writer(wire, &mut buf).is_err() {
        buf.clear();
    }
    buf.into()
}

fn decoded<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, RelayError> {
    ciborium::from_reader(bytes).map_err(|err| RelayError::Encoding {
        reason: excerpt(&err.to_string()),
    })
}

impl JobsCall {
    /// Returns the partition.
    pub fn partition(&self) -> u32 {
        match self {
            Self::Append { partition, .. }
            | Self::Read { partition, .. }
            | Self::List { partition, .. } => *partition,
        }
    }

    /// Returns what the call is about.
    pub(crate) fn target(&self) -> CallTarget {
        match self {
            Self::Append { partition, .. } => CallTarget::append(Topic::Jobs, *partition),
            Self::Read { partition, .. } | Self::List { partition, .. } => {
                CallTarget::read(Topic::Jobs, *partition)
            }
        }
    }

    /// Returns the kind of the call, for log lines and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Append { .. } => "append",
            Self::Read { .. } => "read",
            Self::List { .. } => "list",
        }
    }

    /// Encodes the call for a peer.
    pub fn encode(&self) -> Bytes {
        encoded(&WireCall::from(self))
    }

    /// Decodes a call of a peer.
    pub fn decode(bytes: &[u8]) -> Result<Self, RelayError> {
        decoded::<WireCall>(bytes)?.try_into()
    }

    /// Encodes the outcome of a call for the peer that asked for it.
    pub fn encode_outcome(outcome: &Result<JobsAnswer, StoreError>) -> Bytes {
        encoded(&WireOutcome::from(outcome))
    }

    /// Decodes the outcome of this call; fails if it is that of another kind of call.
    pub fn decode_outcome(
        &self,
        bytes: &[u8],
    ) -> Result<Result<JobsAnswer, StoreError>, RelayError> {
        let outcome: Result<JobsAnswer, StoreError> = decoded::<WireOutcome>(bytes)?.try_into()?;
        let fits = match (self, &outcome) {
            (Self::Append { .. }, Ok(JobsAnswer::Appended(_)))
            | (Self::List { .. }, Ok(JobsAnswer::Page(_)))
            | (Self::Read { .. }, Err(StoreError::Trimmed { .. })) => true,
            (Self::Read { from, .. }, Ok(JobsAnswer::Range(range))) => range.from == *from,
            (_, Ok(_) | Err(StoreError::Trimmed { .. })) => false,
            (Self::Append { .. }, Err(_)) => true,
            (_, Err(StoreError::OffsetMismatch)) => false,
            (_, Err(_)) => true,
        };
        match fits {
            true => Ok(outcome),
            false => Err(RelayError::OutOfRange),
        }
    }
}
