//! Assembly of snapshots from their parts.

use std::collections::BTreeMap;

use super::entry::{
    SnapshotPart,
    WriterId, //
};
use super::fold::Snapshot;
use crate::ids::{
    Incarnation,
    Offset, //
};

/// Incomplete snapshots, at most one per incarnation.
///
/// Parts of different writers are never combined, because different program versions may encode
/// the same state differently.
#[derive(Debug, Default)]
pub(crate) struct SnapshotAssembler {
    open: BTreeMap<Incarnation, PartialSnapshot>,
}

#[derive(Debug)]
struct PartialSnapshot {
    as_of: Offset,
    parts: u32,
    bytes: BTreeMap<u32, Vec<u8>>,
}

impl SnapshotAssembler {
    /// Adds a part; returns the snapshot once all its parts are present.
    pub(crate) fn add(&mut self, writer: &WriterId, part: SnapshotPart) -> Option<Snapshot> {
        if part.part >= part.parts {
            return None;
        }
        let fresh = PartialSnapshot {
            as_of: part.as_of,
            parts: part.parts,
            bytes: BTreeMap::new(),
        };
        let partial = self
            .open
            .entry(writer.incarnation.clone())
            .or_insert_with(|| fresh.without_bytes());
        // `as_of` of a writer's snapshots never decreases, so a part with a lower one is a late
        // copy. A reader in a gap has no sequences to detect it as a resend.
        if fresh.as_of < partial.as_of {
            return None;
        }
        if (partial.as_of, partial.parts) != (fresh.as_of, fresh.parts) {
            *partial = fresh;
        }
        partial.bytes.insert(part.part, part.bytes);
        if !partial.is_complete() {
            return None;
        }
        let partial = self.open.remove(&writer.incarnation)?;
        Some(partial.join())
    }

    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}

impl PartialSnapshot {
    fn without_bytes(&self) -> Self {
        Self {
            as_of: self.as_of,
            parts: self.parts,
            bytes: BTreeMap::new(),
        }
    }

    fn is_complete(&self) -> bool {
        u32::try_from(self.bytes.len()).is_ok_and(|len| len == self.parts)
    }

    fn join(self) -> Snapshot {
        let bytes: Vec<Vec<u8>> = self.bytes.into_values().collect();
        Snapshot {
            as_of: self.as_of,
            bytes: bytes.concat(),
        }
    }
}
