//! Selection of the instances that hold a copy of the jobs.

use limpetweir_gateway::{
    Instance,
    ReplicaCandidates,
    replicas, //
};

/// Returns instances on small machines, those of `large` on large ones.
fn instances<'a>(names: &[&'a str], large: &[&str]) -> Vec<Instance<'a>> {
    let instances = names.iter().map(|name| Instance {
        name,
        zone: "zone",
        capacity: if large.contains(name) { 500 } else { 120 },
    });
    instances.collect()
}

/// Returns candidates that all serve callers.
fn ready<'a>(instances: &[Instance<'a>]) -> ReplicaCandidates<'a> {
    ReplicaCandidates {
        ready: instances.to_vec(),
        others: Vec::new(),
    }
}

/// Guards against small fleets in which calls about jobs are forwarded, and against large ones in
/// which every instance reads all jobs.
#[test]
fn a_partition_has_few_replicas_in_a_large_fleet() {
    let names: Vec<String> = (0..82).map(|n| format!("gateway-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let all_equal = instances(&names, &[]);
    assert_eq!(replicas(0, &ready(&all_equal[..17])).len(), 17);
    let mut all = Vec::new();
    for partition in 0..4 {
        let chosen = replicas(partition, &ready(&all_equal));
        assert_eq!(chosen.len(), 4);
        // The loss of the preferred replica does not change the others.
        let mut rest = all_equal.clone();
        rest.retain(|i| i.name != chosen[0]);
        assert_eq!(replicas(partition, &ready(&rest))[..3], chosen[1..]);
        all.extend(chosen);
    }
    all.sort_unstable();
    all.dedup();
    assert!(all.len() > 8, "{all:?}");
}

/// Guards against a fleet in which nobody serves callers, and in which each instance therefore selects itself as
/// the replica of all partitions.
#[test]
fn replicas_are_few_while_few_instances_serve_callers() {
    let names: Vec<String> = (0..59).map(|n| format!("gateway-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let all = instances(&names, &names[10..30]);
    for serving in [0, 1, 3, 4, 30] {
        let candidates = ReplicaCandidates {
            ready: all[..serving].to_vec(),
            others: all[serving..].to_vec(),
        };
        for partition in 0..4 {
            let chosen = replicas(partition, &candidates);
            assert_eq!(chosen.len(), 4, "{serving} instances serve callers");
            let preferred = chosen.iter().filter(|name| names[..serving].contains(name));
            assert_eq!(preferred.count(), serving.min(4));
        }
    }
}

/// Guards against replicas on small machines: in a fleet of 59 instances on large and small machines,
/// a small one with two partitions was paused for up to six seconds, because its share of the
/// processor was used up.
#[test]
fn replicas_are_on_large_machines() {
    let names: Vec<String> = (0..59).map(|n| format!("gateway-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for partition in 0..4 {
        let chosen = replicas(partition, &ready(&instances(&names, &names[10..30])));
        assert!(chosen.iter().all(|name| names[10..30].contains(name)));
        // With too few large machines small ones are replicas as well.
        let chosen = replicas(partition, &ready(&instances(&names, &names[10..12])));
        assert_eq!(chosen.len(), 4);
        assert!(names[10..12].iter().all(|name| chosen[..2].contains(name)));
    }
}
