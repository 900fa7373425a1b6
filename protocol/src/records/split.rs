//! Splitting of submissions, completions and snapshots into records below the size limit.

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

/// Bytes of a record that are kept for everything but its items or its snapshot bytes: two
/// identifiers, the numbers and the field names.
const ENVELOPE_BYTES: usize = 1_024;

/// Bytes of an encoded item or completion besides its texts: 4 numbers and 4 headers of at most 9
/// bytes, and the name of the outcome.
const ITEM_BYTES: usize = 96;

/// Largest sum of the items' bytes, or number of snapshot bytes, in a record.
const PAYLOAD_BYTES: usize = MAX_RECORD_BYTES - ENVELOPE_BYTES;

/// Splits the items of a submission into parts that fit into records.
///
/// An item that does not fit into a record is a [`RecordError::TooLarge`]. No items give no parts.
pub fn split_items(items: Vec<NewItem>) -> Result<Vec<Vec<NewItem>>, RecordError> {
    split(items, |item| item.id.len() + item.prompt.len())
}

/// Splits completions into parts that fit into records.
///
/// A completion that does not fit into a record is a [`RecordError::TooLarge`].
pub fn split_completions(items: Vec<Completion>) -> Result<Vec<Vec<Completion>>, RecordError> {
    split(items, |item| match &item.outcome {
        Outcome::Finished(text) | Outcome::Failed(text) => text.len(),
    })
}

/// Splits a snapshot into parts that fit into records; an empty snapshot is one empty part.
pub fn split_snapshot(snapshot: &Snapshot) -> Vec<SnapshotPart> {
    let count = snapshot.bytes.len().div_ceil(PAYLOAD_BYTES).max(1);
    let parts = u32::try_from(count).unwrap_or(u32::MAX);
    let mut rest = snapshot.bytes.as_slice();
    let part = |part| {
        let (bytes, behind) = rest.split_at(rest.len().min(PAYLOAD_BYTES));
        rest = behind;
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
    let mut filled = 0;
    for item in items {
        let len = text_bytes(&item) + ITEM_BYTES;
        ensure!(len <= PAYLOAD_BYTES, TooLargeSnafu { len });
        if filled + len > PAYLOAD_BYTES {
            parts.push(std::mem::take(&mut part));
            filled = 0;
        }
        filled += len;
        part.push(item);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    Ok(parts)
}
