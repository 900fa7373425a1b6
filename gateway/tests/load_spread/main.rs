//! Spread of the load over servers when instances choose at the same moment from old counts.

mod model;
mod rules;

use std::hint::black_box;
use std::time::Instant;

use limpetweir_gateway::{
    Candidate,
    Staleness,
    place_stale, //
};
use model::{
    Fleet,
    Model,
    Seen, //
};
use rstest::rstest;
use rules::Rule;

const SMALL: Fleet = Fleet {
    instances: 12,
    servers: 56,
    rate: 340.0,
    slow_share: 0.25,
    time: 5_000_000,
};

const MIDDLE: Fleet = Fleet {
    instances: 80,
    ..SMALL
};

const LARGE: Fleet = Fleet {
    instances: 300,
    ..SMALL
};

/// Number of runs of each fleet, each with its own seed.
const SEEDS: u64 = 3;

/// Plays the demand with the seeds up to `seeds`.
fn play(fleet: Fleet, rule: Rule, seeds: u64) -> Seen {
    let mut all = Seen::default();
    for seed in 1..=seeds {
        all.add(Model::play(fleet, rule, seed));
    }
    all
}

/// Returns by how much the spread of the load in peaks exceeds that of an even load.
fn unevenness(fleet: Fleet, rule: Rule, seeds: u64) -> f64 {
    play(fleet, rule, seeds).spread() - 1.0
}

/// Load pattern: peaks in which streams take 84 % of the slots. Guards against servers that are
/// overloaded in turn because all instances choose the same one. The bound is that of
/// docs/design/requirements.md, E.
#[rstest]
fn the_load_is_twice_as_even(#[values(MIDDLE, LARGE)] fleet: Fleet) {
    let [before, after] =
        [Rule::LeastLoaded, Rule::Fill].map(|rule| unevenness(fleet, rule, SEEDS));
    assert!(after <= before / 2.0, "{after:.3} instead of {before:.3}");
}

/// Guards against the same, compared with what counts without any delay achieve.
#[rstest]
#[case::middle(MIDDLE, SEEDS)]
#[case::large(LARGE, 1)]
fn most_unevenness_from_old_counts_is_avoided(#[case] fleet: Fleet, #[case] seeds: u64) {
    let rules = [Rule::Fresh, Rule::LeastLoaded, Rule::Fill];
    let [fresh, before, after] = rules.map(|rule| unevenness(fleet, rule, seeds));
    let (after, before) = (after - fresh, before - fresh);
    assert!(after <= before / 2.0, "{after:.3} instead of {before:.3}");
}

/// Guards against requests that wait at one server while another has a free slot.
#[rstest]
#[case::middle(MIDDLE, SEEDS)]
#[case::large(LARGE, 1)]
fn half_as_many_requests_wait_beside_free_slots(#[case] fleet: Fleet, #[case] seeds: u64) {
    let [before, after] = [Rule::LeastLoaded, Rule::Fill].map(|rule| play(fleet, rule, seeds));
    assert_eq!(before.requests, after.requests);
    assert!(after.waited <= before.waited / 2);
    assert!(after.first_event_ms(0.99) <= before.first_event_ms(0.99));
}

/// Guards against a loss in small fleets.
#[test]
fn a_small_fleet_is_served_as_well_as_before() {
    let [before, after] = [Rule::LeastLoaded, Rule::Fill].map(|rule| play(SMALL, rule, SEEDS));
    assert!(after.waited <= before.waited);
    assert!(after.spread() <= before.spread());
    assert!(after.first_event_ms(0.99) <= before.first_event_ms(0.99));
}

/// Prints the table of docs/design/even-load.md.
#[rstest]
#[ignore = "prints a table; takes a minute"]
fn compare(#[values(SMALL, MIDDLE, LARGE)] fleet: Fleet) {
    let rules = [
        Rule::Fresh,
        Rule::LeastLoaded,
        Rule::Choices(2),
        Rule::Choices(3),
        Rule::OwnOrder,
        Rule::IdleSlots,
        Rule::Random,
        Rule::Fill,
    ];
    let seeds = std::env::var("SPREAD_SEEDS").ok();
    let seeds = seeds.and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    for rule in rules {
        let seen = play(fleet, rule, seeds);
        println!(
            "| {} | {rule:?} | {:.3} | {:.2} % | {:.2} % | {:.2} % | {} | {} | {:.1} |",
            fleet.instances,
            seen.spread(),
            100.0 * seen.share(seen.waited),
            100.0 * seen.share(seen.queued),
            100.0 * seen.share(seen.rejected + seen.refused),
            seen.first_event_ms(0.5),
            seen.first_event_ms(0.99),
            seen.choice().as_nanos() as f64 / 1e3,
        );
    }
}

/// Prints the processor time of a choice among servers in a peak.
#[rstest]
#[ignore = "measures time"]
fn cost(#[values(60, 130)] servers: u32, #[values(0, 4, 60)] rank: u32) {
    let candidates: Vec<Candidate> = (0..servers).map(model::busy_candidate).collect();
    let remaining = if rank > 0 { 0.97 } else { 1.0 };
    let staleness = Staleness { rank, remaining };
    // The least time is that of a batch without interruption by other processes.
    let batch = |_| {
        let begun = Instant::now();
        for _ in 0..50 {
            black_box(place_stale(
                black_box(&candidates),
                model::LIMITS,
                staleness,
            ));
        }
        begun.elapsed().as_nanos() / 50
    };
    let nanos = (0..400).map(batch).min().unwrap_or_default();
    println!("| {servers} | {rank} | {nanos} ns |");
}
