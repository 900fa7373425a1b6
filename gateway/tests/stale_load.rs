//! Choice of a server from old counts, and the estimate of what is not counted yet.

#[path = "support/candidate.rs"]
mod candidate;

use std::time::Duration;

use candidate::candidate;
use limpetweir_gateway::{
    Arrivals,
    BackendKey,
    Candidate,
    Limits,
    LoadSpread,
    Permit,
    Placement,
    Staleness,
    place,
    place_stale, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const LIMITS: Limits = Limits { queue: 2 };

fn at_rank(candidates: &[Candidate], rank: u32) -> Placement {
    let remaining = 1.0;
    place_stale(candidates, LIMITS, Staleness { rank, remaining })
}

/// Load pattern: other instances have placed requests since the last report. Guards against requests
/// that all go to the least loaded server, and against ones that leave a preferred class which still
/// has room. Servers 0 and 1 have 14 free slots, server 2 has 8 with items, and each has a queue of 2.
#[rstest]
#[case::least_loaded(0, 0)]
#[case::its_second_slot(1, 0)]
#[case::the_next_level(3, 1)]
#[case::first_slot_of_an_item(14, 2)]
#[case::last_slot_of_an_item(21, 2)]
#[case::waiting_after_all_slots(22, 0)]
#[case::again_from_the_first(28, 0)]
fn ranks_fill_the_servers_from_the_least_loaded(#[case] rank: u32, #[case] chosen: u32) {
    let candidates = [candidate(0, 0, 0), candidate(1, 2, 0), candidate(2, 0, 8)];
    let expected = Placement::Send(BackendKey(chosen));
    assert_eq!(at_rank(&candidates, rank), expected);
}

/// Guards against ranks that go to suspected, refused or limited servers, to other cells, or to slots
/// with items, while preferred servers have room.
#[rstest]
#[case::suspected(Candidate { suspect: true, ..candidate(1, 0, 0) })]
#[case::tried(Candidate { tried: true, ..candidate(1, 0, 0) })]
#[case::denied(Candidate { permit: Permit::Denied, ..candidate(1, 0, 0) })]
#[case::limited(Candidate { permit: Permit::Allowed, ..candidate(1, 0, 0) })]
#[case::other_cell(Candidate { other_cell: true, ..candidate(1, 0, 0) })]
#[case::items(candidate(1, 0, 8))]
#[case::more_loaded(candidate(1, 4, 0))]
fn less_preferred_servers_get_no_rank(#[case] other: Candidate) {
    let chosen = at_rank(&[other, candidate(0, 0, 0)], 3);
    assert_eq!(chosen, Placement::Send(BackendKey(0)));
}

/// Guards against new connections and traffic between zones without need, which are billed.
#[rstest]
#[case::connected(Candidate { connected: true, ..candidate(1, 2, 0) })]
#[case::local(Candidate { local: true, ..candidate(1, 2, 0) })]
fn among_equals_connections_and_the_zone_decide(#[case] preferred: Candidate) {
    let candidates = [candidate(0, 2, 0), preferred, candidate(2, 2, 0)];
    assert_eq!(at_rank(&candidates, 3), Placement::Send(BackendKey(1)));
}

/// Guards against a refusal because of an estimate.
#[test]
fn a_high_rank_is_placed_as_long_as_there_is_room() {
    let expected = Placement::Send(BackendKey(0));
    assert_eq!(at_rank(&[candidate(0, 9, 0)], u32::MAX), expected);
    assert_eq!(at_rank(&[candidate(0, 10, 0)], u32::MAX), Placement::Full);
    let suspect = Candidate {
        suspect: true,
        ..candidate(1, 0, 0)
    };
    assert_eq!(at_rank(&[suspect, candidate(0, 9, 0)], 5), expected);
}

/// Guards against old counts that pass for exact: a full server has a free slot later.
#[test]
fn some_of_the_counted_requests_have_ended() {
    let candidates = [candidate(0, 7, 0), candidate(1, 9, 0)];
    let after = |remaining| {
        let staleness = Staleness { rank: 2, remaining };
        place_stale(&candidates, LIMITS, staleness)
    };
    // Half of each is left, 3 and 4: the first two slots are on the first server.
    assert_eq!(after(0.5), Placement::Send(BackendKey(1)));
    // All are left: the request waits at the server with the shorter queue.
    assert_eq!(after(1.0), Placement::Send(BackendKey(0)));
}

/// Guards against a changed choice in a small or calm fleet, and against a rank outside the unseen
/// requests.
#[rstest]
#[case::none(0.0, u32::MAX, 0)]
#[case::one(1.0, u32::MAX, 0)]
#[case::few(4.0, u32::MAX, 3)]
#[case::first(4.0, 0, 0)]
#[case::undefined(f64::NAN, u32::MAX, 0)]
#[case::endless(f64::INFINITY, u32::MAX, u32::MAX)]
fn the_rank_is_one_of_the_unseen_requests(
    #[case] unseen: f64,
    #[case] draw: u32,
    #[case] rank: u32,
) {
    let age = Duration::from_millis(10);
    let staleness = Staleness::draw(unseen, age, Duration::ZERO, draw);
    assert_eq!(staleness.rank, rank);
    let candidates = [candidate(0, 3, 1), candidate(1, 2, 4)];
    if rank == 0 {
        let former = place(&candidates, LIMITS);
        assert_eq!(place_stale(&candidates, LIMITS, staleness), former);
    }
}

/// Load pattern: 100 requests per second, and an instance without work that hears the others every
/// 250 ms. Guards against counts that pass for fresh although nothing was heard, and against a guess
/// that stays after the load.
#[test]
fn unseen_requests_grow_with_the_age_of_the_counts() {
    let mut arrivals = Arrivals::default();
    let at = Timestamp::from_millis;
    for report in 1..=80 {
        arrivals.reported("a", 5, at(50 * report));
    }
    let heard = arrivals.unseen(at(4_000));
    assert!((0.5..2.0).contains(&heard), "{heard}");
    assert!(arrivals.unseen(at(4_200)) > 8.0 * heard);
    assert!(arrivals.unseen(at(9_000)) < 0.1);
    // With work, every change is heard from now on.
    arrivals.sent(true, at(4_000));
    assert!(arrivals.age(at(4_200)) < Duration::from_millis(30));
    arrivals.sent(false, at(4_200));
    assert!(arrivals.age(at(4_200)) > Duration::from_millis(200));
    // The counts of an instance that is gone are not old.
    arrivals.remove_peer("a");
    assert!(arrivals.age(at(9_000)) < Duration::from_millis(30));
}

/// Guards against a division by zero without servers, and against a percentile of the wrong end.
#[test]
fn the_spread_is_that_of_the_busiest_servers() {
    assert_eq!(LoadSpread::of(Vec::new()), LoadSpread::default());
    let spread = LoadSpread::of((0..100).rev().map(f64::from).collect());
    assert_eq!((spread.mean, spread.p95), (49.5, 95.0));
}
