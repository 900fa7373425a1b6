//! What instances tell each other about evacuations, within the bounds of a report.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::checked::Label;

/// Most zones in a report. Fleets have fewer zones; it keeps a report at a few kilobytes.
const MAX_REPORTED_ZONES: usize = 32;

/// Largest total size of the names of these zones in bytes.
const MAX_REPORTED_BYTES: usize = 2_048;

/// Largest offset; up to here all whole numbers are exact as floating-point numbers.
const MAX_OFFSET: u64 = 1 << 53;

/// The evacuated zones that an instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationReport {
    /// Offset up to which `zones` is complete; `None` if the instance does not know evacuations yet. With
    /// 0 the report says nothing about zones that it does not name.
    pub complete_to: Option<u64>,
    /// Evacuated zones with the offsets of their records.
    pub zones: Vec<(String, u64)>,
}

impl EvacuationReport {
    /// Returns the same zones without the claim that there are no others.
    pub(crate) fn incomplete(self) -> Self {
        Self {
            complete_to: self.complete_to.map(|_| 0),
            ..self
        }
    }

    /// Returns the newest zones that a report has room for.
    pub(crate) fn shortened(mut self) -> Self {
        let all = self.zones.len();
        self.zones.sort_by_key(|(_, offset)| *offset);
        self.zones.reverse();
        let mut bytes = 0;
        let fitting = self.zones.iter().take_while(|(zone, _)| {
            bytes += zone.len();
            bytes <= MAX_REPORTED_BYTES
        });
        let count = fitting.count().min(MAX_REPORTED_ZONES);
        self.zones.truncate(count);
        match count < all {
            true => self.incomplete(),
            false => self,
        }
    }

    /// Returns the report without zones and offsets that cannot be.
    pub(crate) fn into_checked(self) -> Self {
        let all = self.zones.len();
        let zones = self.zones.into_iter().filter_map(|(zone, offset)| {
            let zone = Label::try_from(zone).ok()?.into_string();
            (!zone.is_empty() && offset <= MAX_OFFSET).then_some((zone, offset))
        });
        let checked = Self {
            complete_to: self.complete_to,
            zones: zones.collect(),
        };
        let is_whole = checked.zones.len() == all;
        match is_whole && self.complete_to.is_none_or(|end| end <= MAX_OFFSET) {
            true => checked.shortened(),
            false => checked.shortened().incomplete(),
        }
    }
}

/// Encoded form: the offset up to which it is complete, and zones with offsets.
#[derive(Deserialize, Serialize)]
pub(crate) struct WireEvacuations(Option<u64>, Vec<(String, u64)>);

impl From<&EvacuationReport> for WireEvacuations {
    fn from(r: &EvacuationReport) -> Self {
        Self(r.complete_to, r.zones.clone())
    }
}

impl From<WireEvacuations> for EvacuationReport {
    fn from(w: WireEvacuations) -> Self {
        Self {
            complete_to: w.0,
            zones: w.1,
        }
    }
}
