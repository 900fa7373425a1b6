//! Records of the log streams, encoded as CBOR.

mod claims;
mod config;
mod envelope;
mod jobs;
mod split;

pub use envelope::{RecordError, RecordErrorKind, StreamRecord, decode, encode};
pub use split::{split_completions, split_items, split_snapshot};

/// Maximum size of an encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1_024 * 1_024;

/// Version of the record format, the first byte of each record.
pub const RECORD_VERSION: u8 = 1;
