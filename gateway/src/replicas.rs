//! Assignment of the partitions of the jobs to instances, the replicas, which run their items.
//!
//! Load pattern: every replica of a partition reads all records written there, and after a power
//! loss all replicas list it at the same time. In a fleet of hundreds of instances each zone has a
//! replica of its own, which runs its share of the items on the backend servers there.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use limpetweir_coordination::rendezvous_score;

use crate::cells::MAX_CELL_INSTANCES;
use crate::instance::{
    Instance,
    KnownInstance,
    is_large, //
};

/// Largest number of instances with which each of them is a replica of all partitions.
pub(crate) const FULL_REPLICATION_LIMIT: usize = 24;

/// Replicas of a partition of the jobs in a larger fleet. Each of them reads all records written
/// there, and after a power loss all of them list it at the same time from a store that delivers
/// 80 MB per second.
const REPLICAS: usize = 4;

/// Largest number of replicas of a partition in a fleet that is divided into cells.
const MAX_REPLICAS: usize = 6;

/// Instances among which the replicas are selected, each list sorted by name.
///
/// Whoever is reached may hold a copy of the jobs, also if it cannot serve callers for want of a backend server.
/// If only those that serve callers counted, each instance of a fleet in which nobody does would select
/// itself for all partitions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCandidates<'a> {
    /// Instances that serve callers, which are preferred.
    pub ready: Vec<Instance<'a>>,
    /// Instances that do not.
    pub others: Vec<Instance<'a>>,
}

impl<'a> ReplicaCandidates<'a> {
    fn len(&self) -> usize {
        self.ready.len() + self.others.len()
    }

    /// Returns all of them, each with whether it serves callers.
    fn iter(&self) -> impl Iterator<Item = (Instance<'a>, bool)> {
        let ready = self.ready.iter().map(|i| (*i, true));
        ready.chain(self.others.iter().map(|i| (*i, false)))
    }
}

/// The replicas of all partitions of the jobs.
///
/// Load pattern: an instance of a large fleet hears hundreds of reports per second, and selects among
/// hundreds of instances. It selects again only if these are others than before.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTable {
    /// Instances among which the replicas were selected, each with whether it serves callers.
    candidates: Vec<(KnownInstance, bool)>,
    /// Replicas of each partition, the preferred one first.
    replicas: Vec<Vec<String>>,
}

impl ReplicaTable {
    /// Selects the replicas of `partitions` among `candidates`; returns whether these are others than
    /// before.
    pub(crate) fn select(&mut self, partitions: usize, candidates: &ReplicaCandidates<'_>) -> bool {
        let known = self.candidates.iter();
        let known = known.map(|(instance, is_ready)| (Instance::from(instance), *is_ready));
        if self.replicas.len() == partitions && known.eq(candidates.iter()) {
            return false;
        }
        let owned = |names: Vec<&str>| names.into_iter().map(str::to_owned).collect();
        let replicas = (0..partitions).map(|n| owned(replicas(n, candidates)));
        self.replicas = replicas.collect();
        let known = candidates.iter();
        let known = known.map(|(instance, is_ready)| (KnownInstance::from(&instance), is_ready));
        self.candidates = known.collect();
        true
    }

    /// Returns the replicas of each partition, the preferred one first.
    pub(crate) fn partitions(&self) -> &[Vec<String>] {
        &self.replicas
    }
}

/// Returns the replicas of a partition of the jobs, the preferred one first. In a large fleet instances
/// that serve callers are preferred, and of these large machines: a replica runs many items, and on a
/// small machine the process was paused for seconds. In a fleet with cells the replicas are in
/// different zones, so that the items of each partition are spread over the cells.
pub fn replicas<'a>(partition: usize, candidates: &ReplicaCandidates<'a>) -> Vec<&'a str> {
    if candidates.len() <= FULL_REPLICATION_LIMIT {
        return candidates.iter().map(|(i, _)| i.name).collect();
    }
    let key = (partition as u64).to_be_bytes();
    let capacities = candidates.iter().map(|(i, _)| i.capacity);
    let largest = capacities.max().unwrap_or(0);
    let rank = |(i, is_ready): &(Instance<'a>, bool)| {
        let large = is_large(i.capacity, largest);
        Reverse((*is_ready, large, rendezvous_score(&key, i.name), i.name))
    };
    let mut replicas: Vec<(Instance<'a>, bool)> = candidates.iter().collect();
    replicas.sort_by_cached_key(rank);
    let mut count = REPLICAS;
    if candidates.len() > MAX_CELL_INSTANCES {
        let zones: BTreeSet<&str> = candidates.iter().map(|(i, _)| i.zone).collect();
        count = zones.len().clamp(REPLICAS, MAX_REPLICAS);
        replicas = spread_over_zones(replicas, largest);
    }
    replicas.truncate(count);
    replicas.into_iter().map(|(i, _)| i.name).collect()
}

/// Sorts instances that serve callers so that the first large one of every zone precedes the second one of
/// any zone, and all small ones come last. Instances that do not serve callers follow in the same order.
fn spread_over_zones<'a>(
    instances: Vec<(Instance<'a>, bool)>,
    largest: u32,
) -> Vec<(Instance<'a>, bool)> {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    let ranked = instances.into_iter().map(|(instance, is_ready)| {
        let before = seen.entry(instance.zone).or_default();
        *before += 1;
        let small = !is_large(instance.capacity, largest);
        ((!is_ready, small, *before), (instance, is_ready))
    });
    let mut ranked: Vec<_> = ranked.collect();
    // The sort is stable, so instances of the same rank keep their order.
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns the instance among `names` that is responsible for `key`, by rendezvous hashing.
pub fn owner<'a>(key: u64, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let key = key.to_be_bytes();
    names
        .into_iter()
        .max_by_key(|name| (rendezvous_score(&key, name), *name))
}
