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
    Members,
    ONE_CELL,
    Report, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("instance-{n}")).collect()
}

fn divide(all: &[String], me: &str) -> Cells {
    let others = all.iter().map(String::as_str).filter(|name| *name != me);
    Cells::divide(me, others)
}

/// Guards against a fleet of the usual size in which instances hear of changes late.
#[rstest]
#[case(1)]
#[case(11)]
#[case(ONE_CELL)]
fn a_small_fleet_is_one_cell(#[case] count: usize) {
    let all = names(count);
    let cells = divide(&all, "instance-0");
    assert!(!cells.are_several());
    assert!(all.iter().all(|name| cells.holds(name)));
    assert!((0..1_000).all(|key| cells.serves(BackendKey(key))));
}

/// Load: hundreds of instances that each change something ten times a second. Guards against cells
/// on which the instances disagree, against cells of different size, and against a backend server
/// that none or two of them use.
#[rstest]
#[case(ONE_CELL + 1)]
#[case(300)]
#[case(1_000)]
fn the_cells_of_a_large_fleet_are_even(#[case] count: usize) {
    let all = names(count);
    let mut users: HashMap<u32, HashSet<Vec<&str>>> = HashMap::new();
    for me in &all {
        let cells = divide(&all, me);
        assert!(cells.are_several());
        let own = all.iter().filter(|name| *name == me || cells.holds(name));
        let own: Vec<&str> = own.map(String::as_str).collect();
        assert!((20..=32).contains(&own.len()), "{} instances", own.len());
        for key in (0..200).filter(|key| cells.serves(BackendKey(*key))) {
            users.entry(key).or_default().insert(own.clone());
        }
    }
    assert_eq!(users.len(), 200);
    assert!(users.values().all(|cells| cells.len() == 1));
}

/// Guards against a lost instance that moves many others to another cell.
#[test]
fn a_lost_instance_moves_few_others() {
    let all = names(300);
    let mut moved = 0;
    for me in &all[..299] {
        let before = divide(&all, me);
        let after = divide(&all[..299], me);
        let lost = all[..299].iter();
        moved += lost
            .filter(|name| before.holds(name) != after.holds(name))
            .count();
    }
    // Each of the eleven borders moves by at most one instance, which changes its relation to two
    // cells in both directions.
    assert!(moved <= 11 * 2 * 2 * 26, "{moved} relations changed");
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
    members.heard(report, addr, Timestamp::from_millis(0));
    let now = Timestamp::from_millis(age);
    assert_eq!(members.alive(now).count() == 1, alive);
    assert_eq!(members.for_callers(now).count() == 1, named);
}
