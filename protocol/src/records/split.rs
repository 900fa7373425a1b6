//! Splitting of submissions, completions and snapshots into records within the size limit.

use limpetweir_state::{
    Completion,
    NewItem,
    Outcome,
    Snapshot,
    SnapshotPart, //
};
use snafu::ensure;

use super::MAX_RECORD_BYTES;
use super::envelope::{
    RecordError,
    TooLargeSnafu, //
};

/// Bytes of a record reserved for everything besides its items or snapshot bytes: two identifiers,
/// the numbers and the field names.
const OVERHEAD_BYTES: usize = 1_024;

/// Upper bound for the bytes of an encoded item or completion besides its texts: 4 numbers and 4
/// headers of at most 9 bytes each, and the name of the outcome.
const ITEM_OVERHEAD_BYTES: usize = 96;

/// Maximum size of the items or of the snapshot bytes in a record.
const MAX_PAYLOAD_BYTES: usize = MAX_RECORD_BYTES - OVERHEAD_BYTES;

/// Splits the items of a submission into parts that fit into records.
///
/// Returns [`RecordError::TooLarge`] if an item does not fit into a record, and no parts if `items`
/// is empty.
pub fn split_items(items: Vec<NewItem>) -> Result<Vec<Vec<NewItem>>, RecordError> {
    split(items, |item| item.id.len() + item.prompt.len())
}

/// Splits completions into parts that fit into records.
///
/// Returns [`RecordError::TooLarge`] if a completion does not fit into a record.
pub fn split_completions(items: Vec<Completion>) -> Result<Vec<Vec<Completion>>, RecordError> {
    split(items, |item| match &item.outcome {
        Outcome::Finished(text) | Outcome::Failed(text) => text.len(),
    })
}

/// Splits a snapshot into parts that fit into records; an empty snapshot has one empty part.
pub fn split_snapshot(snapshot: &Snapshot) -> Vec<SnapshotPart> {
    let count = snapshot.bytes.len().div_ceil(MAX_PAYLOAD_BYTES).max(1);
    let parts = u32::try_from(count).unwrap_or(u32::MAX);
    let mut rest = snapshot.bytes.as_slice();
    let part = |part| {
        let (bytes, tail) = rest.split_at(rest.len().min(MAX_PAYLOAD_BYTES));
        rest = tail;
        SnapshotPart {
            as_of: snapshot.as_of,
            part,
            parts,
            bytes: bytes.to_vec(),
        }
    };
    (0..parts).map(part).collect()
}

fn split<T>(items: Vec<T>, text_bytes: fn(&T) -> usize) -> Result<Vec<Vec<T>>, RecordError> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for item in items {
        let len = text_bytes(&item) + ITEM_OVERHEAD_BYTES;
        ensure!(len <= MAX_PAYLOAD_BYTES, TooLargeSnafu { len });
        if part_bytes + len > MAX_PAYLOAD_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += len;
        part.push(item);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    Ok(parts)
}
