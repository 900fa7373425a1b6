//! Parts of a large fleet whose instances tell each other of every change.
//!
//! Load answered: in a fleet of a hundred instances and more, reports of every change from each
//! instance to every other one take most of the processor. Such a fleet is divided into cells. Each
//! cell places requests on backend servers of its own, so that only its instances need to know of
//! every change there; the others hear of it in regular reports.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::backend::BackendKey;

/// Instances up to which the fleet is one cell. With 102 instances that all told each other of every
/// change, reports took more processor time than the requests.
pub const ONE_CELL: usize = 96;

/// Instances of a cell in a larger fleet: enough of them in each zone, and enough servers that the
/// load of a cell varies little.
const CELL: usize = 24;

/// The cell of this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cells {
    /// Number of cells; 0 and 1 are a fleet that is not divided.
    count: usize,
    /// Number of the own cell.
    own: usize,
    /// The other instances of the own cell.
    near: HashSet<String>,
}

impl Cells {
    /// Divides the fleet of the instance `me` and the `others`. Cells differ in size by at most one
    /// instance, and an instance more or less moves few others.
    pub fn divide<'a>(me: &str, others: impl Iterator<Item = &'a str>) -> Self {
        let mut all: Vec<&str> = others.collect();
        all.push(me);
        if all.len() <= ONE_CELL {
            return Self::default();
        }
        all.sort_by_cached_key(|name| (xxh3_64(name.as_bytes()), name.to_owned()));
        let count = all.len() / CELL;
        let cell = |place: usize| place * count / all.len();
        let place = all.iter().position(|name| *name == me).unwrap_or(0);
        let own = cell(place);
        let near = all.iter().enumerate();
        let near = near.filter(|(place, name)| cell(*place) == own && **name != me);
        Self {
            count,
            own,
            near: near.map(|(_, name)| (*name).to_owned()).collect(),
        }
    }

    /// Returns whether the fleet is divided.
    pub fn are_several(&self) -> bool {
        self.count > 1
    }

    /// Returns whether `name` is in the own cell.
    pub fn holds(&self, name: &str) -> bool {
        !self.are_several() || self.near.contains(name)
    }

    /// Returns whether `backend` takes the requests of the own cell.
    pub fn serves(&self, backend: BackendKey) -> bool {
        // The key is a hash, so that its remainder spreads the servers evenly.
        !self.are_several() || backend.0 as usize % self.count == self.own
    }
}
