//! Builders shared by the tests of the log.

// Every test target compiles this module and uses a part of it; unwrap is allowed by clippy.toml
// only in test functions.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use limpetweir_state::*;

pub fn incarnation(name: &str) -> Incarnation {
    Incarnation {
        instance: InstanceId::try_from(name).unwrap(),
        started: 1_000,
    }
}

pub fn writer(name: &str, sequence: u64) -> WriterId {
    WriterId {
        incarnation: incarnation(name),
        sequence,
    }
}

pub fn data<R>(name: &str, sequence: u64, record: R) -> Entry<R> {
    Entry {
        writer: writer(name, sequence),
        body: Body::Data(record),
    }
}

/// Splits a snapshot into entries with consecutive sequences.
pub fn snapshot_entries<R>(
    name: &str,
    sequence: u64,
    snapshot: &Snapshot,
    parts: usize,
) -> Vec<Entry<R>> {
    let size = snapshot.bytes.len().div_ceil(parts);
    let chunks: Vec<&[u8]> = snapshot.bytes.chunks(size).collect();
    let total = u32::try_from(chunks.len()).unwrap();
    let entry = |(index, chunk): (usize, &&[u8])| Entry {
        writer: writer(name, sequence + index as u64),
        body: Body::Snapshot(SnapshotPart {
            as_of: snapshot.as_of,
            part: u32::try_from(index).unwrap(),
            parts: total,
            bytes: chunk.to_vec(),
        }),
    };
    chunks.iter().enumerate().map(entry).collect()
}

pub fn publish(id: &str, base: u64, document: &str) -> Publish {
    Publish {
        id: PublicationId::try_from(id).unwrap(),
        base: Version(base),
        document: document.to_owned(),
    }
}
