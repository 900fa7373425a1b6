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

/// Snapshots that are being read, at most one for each incarnation.
///
/// Parts of different writers are never combined, because programs of different versions may
/// encode the same state differently.
#[derive(Debug, Default)]
pub(crate) struct Assemblies {
    open: BTreeMap<Incarnation, Assembly>,
}

#[derive(Debug)]
struct Assembly {
    as_of: Offset,
    parts: u32,
    bytes: BTreeMap<u32, Vec<u8>>,
}

impl Assemblies {
    /// Adds a part; returns the snapshot once all its parts were added.
    pub(crate) fn add(&mut self, writer: &WriterId, part: SnapshotPart) -> Option<Snapshot> {
        if part.part >= part.parts {
            return None;
        }
        let fresh = Assembly {
            as_of: part.as_of,
            parts: part.parts,
            bytes: BTreeMap::new(),
        };
        let assembly = self
            .open
            .entry(writer.incarnation.clone())
            .or_insert_with(|| fresh.copy_head());
        // A writer's snapshots get newer, so an older part is a late copy. A reader in a gap does not
        // know the sequences by which it would recognise it.
        if fresh.as_of < assembly.as_of {
            return None;
        }
        if (assembly.as_of, assembly.parts) != (fresh.as_of, fresh.parts) {
            *assembly = fresh;
        }
        assembly.bytes.insert(part.part, part.bytes);
        if !assembly.is_complete() {
            return None;
        }
        let assembly = self.open.remove(&writer.incarnation)?;
        Some(assembly.join())
    }

    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}

impl Assembly {
    fn copy_head(&self) -> Self {
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
