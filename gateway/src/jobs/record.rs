//! Records of batch jobs.
//!
//! A job consists of one record `j/<job>` with its header, and one record `p/<job>/<part>` for each
//! part of its items; the parts are written first. A result is a record `r/<job>/<position>`, the
//! end of a job a record `e/<job>`. The store keeps only the newest record of each key, so the key
//! of a result must be written only once. The append of a result is therefore conditional: it fails
//! if the partition has grown meanwhile.

use hyper::body::Bytes;
use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_bytes::ByteBuf;
use snafu::Snafu;

use crate::platform::Record;

/// Error when a record of a job cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("record {key:?}: {reason}"))]
pub struct RecordError {
    /// Key of the record.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Decoded key of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobKey<'a> {
    /// Header of a job.
    Job(&'a str),
    /// Items of a job.
    Part(&'a str, u32),
    /// Result at a position.
    Result(&'a str, u32),
    /// End of a job.
    End(&'a str),
}

impl<'a> JobKey<'a> {
    /// Decodes the key of a record.
    pub fn parse(key: &'a str) -> Option<Self> {
        let (kind, rest) = key.split_once('/')?;
        let numbered = || {
            let (job, number) = rest.rsplit_once('/')?;
            Some((job, number.parse().ok()?))
        };
        match kind {
            "j" => Some(Self::Job(rest)),
            "e" => Some(Self::End(rest)),
            "p" => numbered().map(|(job, n)| Self::Part(job, n)),
            "r" => numbered().map(|(job, n)| Self::Result(job, n)),
            _ => None,
        }
    }

    /// Encodes the key.
    pub fn encode(&self) -> String {
        match self {
            Self::Job(job) => format!("j/{job}"),
            Self::End(job) => format!("e/{job}"),
            Self::Part(job, n) => format!("p/{job}/{n:04}"),
            Self::Result(job, n) => format!("r/{job}/{n:04}"),
        }
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Outcome {
    /// Its output is complete.
    Completed,
    /// It was given up.
    GivenUp,
}

/// Header of a job: what holds for all items, and the number of parts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JobRecord {
    pub(crate) organisation: String,
    pub(crate) route: String,
    pub(crate) host: String,
    /// Time of the submission in Unix milliseconds.
    pub(crate) submitted: u64,
    pub(crate) parts: u32,
}

/// One item of a part.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ItemRecord {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: ByteBuf,
    pub(crate) tokens: u64,
}

/// Most bytes of the record of a result in addition to its text: the key, whose length is one byte,
/// and the encoding.
pub(crate) const RESULT_OVERHEAD_BYTES: usize = 512;

/// Result of an item.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ResultRecord {
    /// Index of the item in the job.
    pub(crate) item: u32,
    pub(crate) outcome: Outcome,
    pub(crate) text: String,
}

/// Encodes the content of a record.
pub(crate) fn encode<T: Serialize>(key: &JobKey<'_>, content: &T) -> Result<Record, RecordError> {
    let key = key.encode();
    let mut buf = Vec::new();
    ciborium::into_writer(content, &mut buf).map_err(|err| RecordError {
        key: key.clone(),
        reason: err.to_string(),
    })?;
    Ok(Record {
        key,
        value: Bytes::from(buf),
    })
}

/// Decodes the content of a record.
pub(crate) fn decode<T: DeserializeOwned>(record: &Record) -> Result<T, RecordError> {
    ciborium::from_reader(&record.value[..]).map_err(|err| RecordError {
        key: record.key.clone(),
        reason: err.to_string(),
    })
}
