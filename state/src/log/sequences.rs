//! Detection of resent entries.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::entry::WriterId;
use crate::ids::{
    Incarnation,
    Offset, //
};

/// Largest number of incarnations kept: enough for 3 days of restarts at the target size.
const MAX_INCARNATIONS: usize = 1_024;

/// Last sequence of each incarnation that wrote to the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sequences {
    /// At most [`MAX_INCARNATIONS`] entries; the least recent writer is dropped first.
    seen: BTreeMap<Incarnation, Seen>,
}

/// Last sequence of an incarnation and the offset of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Seen(u64, Offset);

impl Sequences {
    /// Records an entry at offset `at`; returns `false` if it is a resend.
    pub(crate) fn observe(&mut self, writer: &WriterId, at: Offset) -> bool {
        if let Some(seen) = self.seen.get_mut(&writer.incarnation) {
            if writer.sequence <= seen.0 {
                return false;
            }
            *seen = Seen(writer.sequence, at);
            return true;
        }
        if self.seen.len() >= MAX_INCARNATIONS {
            self.drop_oldest();
        }
        let seen = Seen(writer.sequence, at);
        self.seen.insert(writer.incarnation.clone(), seen);
        true
    }

    /// Returns the last sequence of an incarnation, or 0 if there is none.
    pub(crate) fn last(&self, incarnation: &Incarnation) -> u64 {
        self.seen.get(incarnation).map_or(0, |seen| seen.0)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.1);
        let Some(incarnation) = oldest.map(|(incarnation, _)| incarnation.clone()) else {
            return;
        };
        self.seen.remove(&incarnation);
    }
}
