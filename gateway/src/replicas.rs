//! Which instances hold the jobs and run their items.
//!
//! Load answered: every holder of a partition reads everything that is written there, and after a
//! loss of power all of them list it at once. In a fleet of hundreds of instances each zone has a
//! holder of its own, which runs its share of the items on the backend servers there.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use limpetweir_coordination::rendezvous_score;

use crate::cells::MAX_CELL_INSTANCES;
use crate::instance::{
    Instance,
    is_large, //
};

/// Instances up to which every one of them holds all jobs.
pub(crate) const FULL_REPLICATION_LIMIT: usize = 24;

/// Instances that hold a partition of the jobs in a larger fleet. Each of them reads everything that
/// is written there, and after a loss of power all of them list it at once from a store that answers
/// 80 MB a second.
const HOLDERS: usize = 4;

/// Most holders of a partition in a fleet that is divided into cells.
const MOST_HOLDERS: usize = 6;

/// Returns the instances that hold a partition of the jobs, the preferred one first. In a large
/// fleet these are large machines as far as there are any: a holder runs many items, and on a small
/// machine it stood still for seconds. In a fleet with cells they are in different zones, so that
/// the items of each partition are spread over the cells.
pub fn replicas<'a>(partition: usize, instances: &[Instance<'a>]) -> Vec<&'a str> {
    if instances.len() <= FULL_REPLICATION_LIMIT {
        return instances.iter().map(|i| i.name).collect();
    }
    let key = (partition as u64).to_be_bytes();
    let largest = instances.iter().map(|i| i.capacity).max().unwrap_or(0);
    let rank = |i: &Instance<'a>| {
        let large = is_large(i.capacity, largest);
        Reverse((large, rendezvous_score(&key, i.name), i.name))
    };
    let mut replicas = instances.to_vec();
    replicas.sort_by_cached_key(rank);
    let mut count = HOLDERS;
    if instances.len() > MAX_CELL_INSTANCES {
        let zones: BTreeSet<&str> = instances.iter().map(|i| i.zone).collect();
        count = zones.len().clamp(HOLDERS, MOST_HOLDERS);
        replicas = spread_over_zones(replicas, largest);
    }
    replicas.truncate(count);
    replicas.into_iter().map(|i| i.name).collect()
}

/// Orders `instances` so that the first large one of each zone comes before the second one of any,
/// and all small ones at the end.
fn spread_over_zones<'a>(instances: Vec<Instance<'a>>, largest: u32) -> Vec<Instance<'a>> {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    let ranked = instances.into_iter().map(|instance| {
        let before = seen.entry(instance.zone).or_default();
        *before += 1;
        (!is_large(instance.capacity, largest), *before, instance)
    });
    let mut ranked: Vec<(bool, usize, Instance<'a>)> = ranked.collect();
    // Stable, so that instances of the same rank keep their order.
    ranked.sort_by_key(|(small, before, _)| (*small, *before));
    ranked
        .into_iter()
        .map(|(_, _, instance)| instance)
        .collect()
}

/// Returns the instance among `names` that is responsible for `key`.
pub fn owner<'a>(key: u64, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let key = key.to_be_bytes();
    names
        .into_iter()
        .max_by_key(|name| (rendezvous_score(&key, name), *name))
}
