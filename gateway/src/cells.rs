//! Division of a large fleet into cells, whose instances report every change to each other.
//!
//! Load pattern: in a fleet of a hundred or more instances, reports of every change from each
//! instance to every other one take most of the processor time, and most of the traffic between
//! zones. Such a fleet is divided into cells, each within one availability zone, whose callers are
//! also directed to it. A cell places requests on the backend servers of its zone, so that only its
//! instances need a report of every change there. A cell without free slots places requests on
//! servers of other cells, and reports every change to these cells as long as it does.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;

use crate::backend::BackendKey;
use crate::instance::Instance;

/// Largest number of instances in a cell; a fleet up to this size is a single cell. With 102
/// instances that reported every change to each other, reports took more processor time than the
/// requests.
pub const MAX_CELL_INSTANCES: usize = 96;

/// Slots of a server of another cell that stay free, because that cell may have filled some of them
/// since its last periodic report.
pub(crate) const OTHER_CELL_MARGIN: u32 = 3;

/// Number of a cell; instances with the same list of members assign the same numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellNumber(usize);

/// The cells of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cells {
    /// Number of cells; 0 or 1 if the fleet is not divided.
    count: usize,
    /// Cells of each zone with instances.
    zones: BTreeMap<String, Range<usize>>,
    /// Cell of each instance by name.
    instances: HashMap<String, CellNumber>,
    /// Cell of this instance.
    own: Option<CellNumber>,
}

impl Cells {
    /// Divides the fleet of the instance `me` and the `others`. The cells of a zone differ in size
    /// by at most one instance, and adding or removing an instance moves few others.
    pub fn divide<'a>(me: Instance<'a>, others: impl Iterator<Item = Instance<'a>>) -> Self {
        let mut zones: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for instance in others.chain([me]) {
            zones.entry(instance.zone).or_default().push(instance.name);
        }
        let mut cells = Self::default();
        if zones.values().map(Vec::len).sum::<usize>() <= MAX_CELL_INSTANCES {
            return cells;
        }
        for (zone, mut names) in zones {
            names.sort_by_cached_key(|name| (xxh3_64(name.as_bytes()), name.to_owned()));
            let first = cells.count;
            let parts = names.len().div_ceil(MAX_CELL_INSTANCES);
            for (place, name) in names.iter().enumerate() {
                let cell = CellNumber(first + place * parts / names.len());
                cells.instances.insert((*name).to_owned(), cell);
            }
            cells.count += parts;
            cells.zones.insert(zone.to_owned(), first..cells.count);
        }
        cells.own = cells.of_instance(me.name);
        cells
    }

    /// Returns whether the fleet is divided.
    pub fn is_divided(&self) -> bool {
        self.count > 1
    }

    /// Returns the cell of this instance; `None` if the fleet is not divided.
    pub fn own(&self) -> Option<CellNumber> {
        self.own
    }

    /// Returns the cell of the instance `name`; `None` if the fleet is not divided.
    pub fn of_instance(&self, name: &str) -> Option<CellNumber> {
        self.instances.get(name).copied()
    }

    /// Returns the cell that the backend server `key` in `zone` belongs to; `None` if the fleet is
    /// not divided.
    pub fn of_backend(&self, key: BackendKey, zone: &str) -> Option<CellNumber> {
        // Servers in a zone without instances are spread over all cells.
        let cells = self.zones.get(zone).cloned().unwrap_or(0..self.count);
        // The key is a hash, so its remainder distributes the servers evenly.
        let place = (key.0 as usize).checked_rem(cells.len())?;
        Some(CellNumber(cells.start + place))
    }

    /// Returns whether the instance `name` is in the own cell.
    pub fn is_own_instance(&self, name: &str) -> bool {
        self.of_instance(name) == self.own
    }

    /// Returns whether the backend server `key` in `zone` belongs to the own cell.
    pub fn is_own_backend(&self, key: BackendKey, zone: &str) -> bool {
        self.of_backend(key, zone) == self.own
    }
}
