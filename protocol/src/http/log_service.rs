//! Response bodies of the log service.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use limpetweir_state::Offset;
use serde::de::Error;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};

/// Response body of `POST /streams/<s>/records`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// Response body of `GET /streams/<s>/records`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// First retained offset.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// Records, ordered by offset.
    pub records: Vec<RecordBody>,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBody {
    /// Offset of the record.
    pub offset: Offset,
    /// Bytes of the record, encoded as base64 on the wire.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
}

/// Response body with status 410, returned if the requested offset was trimmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrimmedResponse {
    /// First retained offset.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
}

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(data))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}
