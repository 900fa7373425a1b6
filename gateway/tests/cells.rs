//! Cells of a large fleet, and reports between their instances.

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
    ReplicaCandidates,
    Report,
    replicas, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Returns the names and zones of `count` instances that are spread evenly over the zones.
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

/// Guards against delayed reports of changes in a fleet of the usual size.
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

/// Load pattern: hundreds of instances, each with ten changes per second. Guards against different
/// divisions at different instances, against cells of different size, and against a backend server
/// that belongs to no cell or to two.
#[rstest]
#[case(MAX_CELL_INSTANCES + 1, 5)]
#[case(300, 5)]
#[case(1_000, 15)]
fn the_cells_of_a_large_fleet_have_equal_sizes(#[case] count: usize, #[case] expected: usize) {
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

/// Load pattern: callers of a zone are directed to its instances. Guards against requests to
/// servers of other zones, whose responses cause traffic between zones, while the own zone has free
/// slots.
#[test]
fn servers_belong_to_a_cell_of_their_zone() {
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

/// Guards against servers of a zone without instances that belong to no cell, or to all.
#[test]
fn servers_of_a_zone_without_instances_are_spread_over_the_cells() {
    let all = fleet(300);
    let mut counts = [0; 5];
    for (me, counts) in counts.iter_mut().enumerate() {
        let cells = divide(&all, me);
        *counts = (0..100)
            .filter(|key| cells.is_own_backend(BackendKey(*key), "z"))
            .count();
    }
    assert_eq!(counts, [20; 5]);
}

/// Guards against the removal of an instance moving many others to another cell.
#[test]
fn removing_an_instance_moves_few_others() {
    let all = fleet(1_000);
    let before: Vec<Cells> = (0..1_000).map(|me| divide(&all, me)).collect();
    let remaining = &all[..999];
    let mut moved = 0;
    for (me, before) in before.iter().enumerate().take(999) {
        let after = divide(remaining, me);
        let others = remaining.iter();
        moved += others
            .filter(|(name, _)| before.is_own_instance(name) != after.is_own_instance(name))
            .count();
    }
    // Each of the two cell borders in the zone moves by at most one instance, which changes the
    // relation of that instance to two cells in both directions.
    assert!(moved <= 2 * 2 * 2 * 67, "{moved} relations changed");
}

/// Load pattern: a fleet of hundreds of instances, where the replicas of a partition use one in eight
/// of the servers' slots. Guards against replicas in a few cells only: items run only there while
/// slots of the other cells stay free.
#[test]
fn every_partition_has_a_replica_in_each_zone_of_a_large_fleet() {
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
        let candidates = ReplicaCandidates {
            ready: mixed.clone(),
            ..ReplicaCandidates::default()
        };
        let chosen = replicas(partition, &candidates);
        let zones: HashSet<_> = chosen.iter().map(|name| zone(name)).collect();
        assert_eq!((chosen.len(), zones.len()), (5, 5));
        assert!(chosen.iter().all(|name| capacity(name) == Some(500)));
    }
}

/// Guards against calls about jobs that are forwarded to an instance which knows no key, and against copies at
/// instances that stop or whose readers stand still.
#[rstest]
#[case::serves_callers(true, false, false, 0, (true, true))]
#[case::knows_no_server(false, false, false, 3, (true, true))]
#[case::knows_no_configuration(false, false, false, 0, (true, false))]
#[case::stops(false, true, false, 3, (false, false))]
#[case::stands_still(false, false, true, 3, (false, false))]
fn who_may_hold_jobs_and_answer_calls_about_them(
    #[case] ready: bool,
    #[case] leaving: bool,
    #[case] stalled: bool,
    #[case] version: u64,
    #[case] expected: (bool, bool),
) {
    let report = Report {
        ready,
        leaving,
        stalled,
        version,
        ..idle_report("one")
    };
    let may = (report.may_hold_jobs(), report.may_answer_job_calls());
    assert_eq!(may, expected);
}

/// Guards against an instance of another cell that counts as unreachable between two of its
/// reports, and against callers that are directed to it until it counts as unreachable.
#[rstest]
#[case::near(250, 900, true, true)]
#[case::near_unreachable(250, 1_100, false, false)]
#[case::far(1_000, 1_900, true, true)]
#[case::far_two_reports_missing(1_000, 2_100, true, false)]
#[case::far_unreachable(1_000, 4_100, false, false)]
fn the_report_timeout_follows_the_report_interval(
    #[case] next_ms: u32,
    #[case] age: u64,
    #[case] reachable_now: bool,
    #[case] listed: bool,
) {
    let mut members = Members::default();
    let addr: IpAddr = [127, 0, 0, 1].into();
    let report = Report {
        next_ms,
        ..idle_report("a")
    };
    members.apply_report(report, addr, Timestamp::from_millis(0));
    let now = Timestamp::from_millis(age);
    assert_eq!(members.reachable(now).count() == 1, reachable_now);
    assert_eq!(members.for_callers(now).count() == 1, listed);
}

/// Load pattern: all instances of a zone are restarted in turn. Guards against a started instance
/// that treats those of other zones as unreachable until their next periodic report, and meanwhile
/// rejects requests within the rate of their organisation.
#[test]
fn a_start_is_detected_from_the_first_report() {
    let addr: IpAddr = [127, 0, 0, 1].into();
    let mut members = Members::default();
    let mut started = |boot: u64, sequence: u64| {
        let report = Report {
            boot,
            sequence,
            ..idle_report("a")
        };
        let update = members.apply_report(report.clone(), addr, Timestamp::from_millis(0));
        update.has_started(&report)
    };
    assert!(started(1, 1));
    assert!(!started(1, 2));
    assert!(started(2, 1));
    assert!(!started(2, 2));
    assert!(!started(1, 3));
}
