//! Cells of a large fleet, and how often their instances hear of each other.

mod support;

use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::IpAddr;

use limpetweir_gateway::{
    BackendKey,
    Cells,
    Instance,
    MAX_CELL_INSTANCES,
    Members,
    Report,
    replicas, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Instances of a fleet whose zones have about the same number of them.
fn fleet(count: usize) -> Vec<(String, &'static str)> {
    let instances = (0..count).map(|n| (format!("instance-{n}"), ZONES[n % ZONES.len()]));
    instances.collect()
}

fn instance<'a>((name, zone): &'a (String, &'static str)) -> Instance<'a> {
    Instance {
        name,
        zone,
        capacity: 500,
    }
}

fn divide(all: &[(String, &'static str)], me: usize) -> Cells {
    let others = all.iter().enumerate().filter(|(n, _)| *n != me);
    Cells::divide(instance(&all[me]), others.map(|(_, other)| instance(other)))
}

/// Guards against a fleet of the usual size in which instances hear of changes late.
#[rstest]
#[case(1)]
#[case(11)]
#[case(MAX_CELL_INSTANCES)]
fn a_small_fleet_is_one_cell(#[case] count: usize) {
    let all = fleet(count);
    let cells = divide(&all, 0);
    assert!(!cells.is_divided());
    assert!(all.iter().all(|(name, _)| cells.is_own_instance(name)));
    assert!((0..1_000).all(|key| cells.is_own_backend(BackendKey(key), "b")));
}

/// Load: hundreds of instances that each change something ten times a second. Guards against cells
/// on which the instances disagree, against cells of different size, and against a backend server
/// that none or two of them take first.
#[rstest]
#[case(MAX_CELL_INSTANCES + 1, 5)]
#[case(300, 5)]
#[case(1_000, 15)]
fn the_cells_of_a_large_fleet_are_even(#[case] count: usize, #[case] expected: usize) {
    let all = fleet(count);
    let mut users: HashMap<u32, HashSet<Vec<&str>>> = HashMap::new();
    let mut found = HashSet::new();
    for me in 0..count {
        let cells = divide(&all, me);
        assert!(cells.is_divided());
        found.extend(cells.own());
        let own = all.iter().enumerate();
        let own = own.filter(|(n, (name, _))| *n == me || cells.is_own_instance(name));
        let own: Vec<&str> = own.map(|(_, (name, _))| name.as_str()).collect();
        let even = count / expected;
        assert!((even..=even + 1).contains(&own.len()), "{}", own.len());
        let served = |key: &u32| cells.is_own_backend(BackendKey(*key), ZONES[*key as usize % 5]);
        for key in (0..200).filter(served) {
            users.entry(key).or_default().insert(own.clone());
        }
    }
    assert_eq!(found.len(), expected);
    assert_eq!(users.len(), 200);
    assert!(users.values().all(|cells| cells.len() == 1));
}

/// Load: callers of a zone are sent to its instances. Guards against requests that go to servers of
/// other zones, whose answers cost bytes between zones, while the own zone has room.
#[test]
fn a_cell_takes_the_servers_of_its_zone() {
    let all = fleet(300);
    for me in 0..10 {
        let cells = divide(&all, me);
        let own = all[me].1;
        assert!((0..100).all(|key| cells.is_own_backend(BackendKey(key), own)));
        let others = ZONES.iter().filter(|zone| **zone != own);
        for zone in others {
            assert!((0..100).all(|key| !cells.is_own_backend(BackendKey(key), zone)));
        }
    }
}

/// Guards against servers of a zone without instances that no cell takes, or all do.
#[test]
fn servers_of_a_zone_without_instances_are_spread_over_the_cells() {
    let all = fleet(300);
    let mut taken = [0; 5];
    for (me, taken) in taken.iter_mut().enumerate() {
        let cells = divide(&all, me);
        *taken = (0..100)
            .filter(|key| cells.is_own_backend(BackendKey(*key), "z"))
            .count();
    }
    assert_eq!(taken, [20; 5]);
}

/// Guards against a lost instance that moves many others to another cell.
#[test]
fn a_lost_instance_moves_few_others() {
    let all = fleet(1_000);
    let before: Vec<Cells> = (0..1_000).map(|me| divide(&all, me)).collect();
    let left = &all[..999];
    let mut moved = 0;
    for (me, before) in before.iter().enumerate().take(999) {
        let after = divide(left, me);
        let lost = left.iter();
        moved += lost
            .filter(|(name, _)| before.is_own_instance(name) != after.is_own_instance(name))
            .count();
    }
    // Each of the two borders in the zone moves by at most one instance, which changes its relation
    // to two cells in both directions.
    assert!(moved <= 2 * 2 * 2 * 67, "{moved} relations changed");
}

/// Load: hundreds of instances with one slot in eight of the servers. Guards against items that run
/// in a few cells only while slots of the others stay free.
#[test]
fn each_zone_of_a_large_fleet_holds_every_partition() {
    let all = fleet(295);
    let mixed: Vec<Instance<'_>> = all.iter().map(instance).collect();
    let mixed = mixed.into_iter().enumerate().map(|(n, instance)| Instance {
        capacity: if n % 5 < 4 || n < 50 { 500 } else { 120 },
        ..instance
    });
    let mixed: Vec<Instance<'_>> = mixed.collect();
    let zone = |name: &str| mixed.iter().find(|i| i.name == name).map(|i| i.zone);
    let capacity = |name: &str| mixed.iter().find(|i| i.name == name).map(|i| i.capacity);
    for partition in 0..4 {
        let chosen = replicas(partition, &mixed);
        let zones: HashSet<_> = chosen.iter().map(|name| zone(name)).collect();
        assert_eq!((chosen.len(), zones.len()), (5, 5));
        assert!(chosen.iter().all(|name| capacity(name) == Some(500)));
    }
}

/// Guards against an instance of another cell that is taken for lost between two of its reports, and
/// against callers that are sent to it for as long as it may still be alive.
#[rstest]
#[case::near(250, 900, true, true)]
#[case::near_silent(250, 1_100, false, false)]
#[case::far(1_000, 1_900, true, true)]
#[case::far_two_missing(1_000, 2_100, true, false)]
#[case::far_silent(1_000, 4_100, false, false)]
fn the_silence_that_tells_a_loss_follows_the_interval(
    #[case] next_ms: u32,
    #[case] age: u64,
    #[case] alive: bool,
    #[case] named: bool,
) {
    let mut members = Members::default();
    let addr: IpAddr = [127, 0, 0, 1].into();
    let report = Report {
        next_ms,
        ..idle_report("a")
    };
    members.apply_report(report, addr, Timestamp::from_millis(0));
    let now = Timestamp::from_millis(age);
    assert_eq!(members.reachable(now).count() == 1, alive);
    assert_eq!(members.for_callers(now).count() == 1, named);
}

/// Load: all instances of a zone are restarted in turn. Guards against a started instance that takes
/// those of other zones for silent until their next regular report, and refuses requests within the
/// rate of their organisation meanwhile.
#[test]
fn a_started_instance_is_told_of_the_others_at_once() {
    let addr: IpAddr = [127, 0, 0, 1].into();
    let mut members = Members::default();
    let mut started = |boot: u64, sequence: u64| {
        let report = Report {
            boot,
            sequence,
            ..idle_report("a")
        };
        let heard = members.apply_report(report.clone(), addr, Timestamp::from_millis(0));
        heard.has_started(&report)
    };
    assert!(started(1, 1));
    assert!(!started(1, 2));
    assert!(started(2, 1));
    assert!(!started(2, 2));
    assert!(!started(1, 3));
}
