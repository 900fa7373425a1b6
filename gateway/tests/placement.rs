//! Placement of online requests on backend servers, and the time to return when all are full.

#[path = "support/candidate.rs"]
mod candidate;

use std::time::Duration;

use candidate::candidate;
use limpetweir_gateway::{
    BackendKey,
    Candidate,
    Limits,
    Permit,
    Placement,
    place,
    retry_after,
    starts_immediately, //
};
use rstest::rstest;

const LIMITS: Limits = Limits { queue: 2 };

fn remote(n: u32, online: u32, batch: u32) -> Candidate {
    Candidate {
        other_cell: true,
        ..candidate(n, online, batch)
    }
}

/// Load pattern: a peak of online requests, with items in the remaining slots. Guards against
/// requests that wait behind batch items, or behind other requests while a slot is free.
#[rstest]
#[case::free_slot([candidate(0, 8, 0), candidate(1, 6, 1)], Placement::Send(BackendKey(1)))]
#[case::free_before_batch([candidate(0, 2, 6), candidate(1, 7, 0)], Placement::Send(BackendKey(1)))]
#[case::batch_preempted([candidate(0, 8, 0), candidate(1, 5, 3)], Placement::Send(BackendKey(1)))]
#[case::shortest_queue([candidate(0, 9, 0), candidate(1, 8, 0)], Placement::Send(BackendKey(1)))]
#[case::full([candidate(0, 10, 0), candidate(1, 10, 0)], Placement::Full)]
fn a_request_goes_where_it_starts_first(
    #[case] candidates: [Candidate; 2],
    #[case] placement: Placement,
) {
    assert_eq!(place(&candidates, LIMITS), placement);
}

/// Load pattern: callers move to one zone, or its servers crash, while other zones have free slots.
/// Guards against requests that wait in the own zone or are rejected there, against responses that
/// cross zones without need, and against slots that another cell has filled since its last report.
#[rstest]
#[case::own_slot_first([candidate(0, 7, 0), remote(1, 0, 0)], 0)]
#[case::own_items_are_preempted_first([candidate(0, 5, 3), remote(1, 0, 0)], 0)]
#[case::other_cell_before_waiting([candidate(0, 8, 0), remote(1, 2, 2)], 1)]
#[case::other_cell_slot_may_be_occupied([candidate(0, 8, 0), remote(1, 6, 0)], 0)]
#[case::other_cell_items_are_preempted([candidate(0, 10, 0), remote(1, 4, 4)], 1)]
#[case::other_cell_queue([candidate(0, 10, 0), remote(1, 9, 0)], 1)]
fn a_request_goes_to_another_cell_when_it_would_wait(
    #[case] candidates: [Candidate; 2],
    #[case] chosen: u32,
) {
    let expected = Placement::Send(BackendKey(chosen));
    assert_eq!(place(&candidates, LIMITS), expected);
}

fn limited(permit: Permit, candidate: Candidate) -> Candidate {
    Candidate {
        permit,
        ..candidate
    }
}

/// Load pattern: servers with and without a limit, between calm and peak. Guards against tokens that
/// are spent while a server without a limit has a slot, against requests that wait although a limited
/// server may take them, and against a crowd that fills the queues of the others.
#[rstest]
#[case::no_limit_first([candidate(0, 5, 0), limited(Permit::Allowed, candidate(1, 0, 0))], Some(0))]
#[case::items_without_limit_are_preempted([candidate(0, 7, 1), limited(Permit::Allowed, candidate(1, 0, 0))], Some(0))]
#[case::limited_before_waiting([candidate(0, 8, 0), limited(Permit::Allowed, candidate(1, 4, 3))], Some(1))]
#[case::waiting_before_items_of_limited([candidate(0, 8, 0), limited(Permit::Allowed, candidate(1, 4, 4))], Some(0))]
#[case::items_of_limited_at_last([candidate(0, 10, 0), limited(Permit::Allowed, candidate(1, 4, 4))], Some(1))]
#[case::nothing_waits_at_limited([candidate(0, 10, 0), limited(Permit::Allowed, candidate(1, 8, 0))], None)]
#[case::denied([candidate(0, 10, 0), limited(Permit::Denied, candidate(1, 0, 0))], None)]
#[case::limited_of_another_cell([candidate(0, 10, 0), limited(Permit::Allowed, remote(1, 0, 0))], None)]
#[case::stale_limit_is_confirmed([candidate(0, 1, 0), limited(Permit::Refresh, candidate(1, 0, 0))], Some(1))]
fn limited_servers_take_what_the_others_cannot(
    #[case] candidates: [Candidate; 2],
    #[case] chosen: Option<u32>,
) {
    let expected = chosen.map_or(Placement::Full, |n| Placement::Send(BackendKey(n)));
    assert_eq!(place(&candidates, LIMITS), expected);
}

/// Guards against a search through all servers of a large fleet for every request, and against no
/// such search while the servers of the own cell are unavailable.
#[rstest]
#[case::slot(candidate(0, 7, 1), true)]
#[case::full(candidate(0, 8, 0), false)]
#[case::suspect(Candidate { suspect: true, ..candidate(0, 0, 0) }, false)]
#[case::tried(Candidate { tried: true, ..candidate(0, 0, 0) }, false)]
fn other_cells_are_considered_when_the_own_one_is_full(
    #[case] candidate: Candidate,
    #[case] immediately: bool,
) {
    assert_eq!(starts_immediately(&candidate), immediately);
}

/// Guards against sending a request again to a server that rejected it, and against choosing an
/// unresponsive server while another one responds.
#[test]
fn tried_and_suspect_servers_come_last() {
    let mut tried = candidate(0, 0, 0);
    tried.tried = true;
    let mut suspect = candidate(1, 0, 0);
    suspect.suspect = true;
    let busy = candidate(2, 9, 0);
    let send = |c: &[Candidate]| place(c, LIMITS);
    assert_eq!(
        send(&[tried, suspect, busy]),
        Placement::Send(BackendKey(2))
    );
    assert_eq!(send(&[tried, suspect]), Placement::Send(BackendKey(1)));
    assert_eq!(send(&[tried]), Placement::Full);
    assert_eq!(send(&[]), Placement::NoBackend);
}

/// All servers may be suspected at once, because all are silent. Guards against any number of requests
/// that wait at them.
#[test]
fn a_suspect_server_gets_no_more_than_its_queue() {
    let queued = |queued: u32| {
        let mut suspect = candidate(0, 8 + queued, 0);
        suspect.suspect = true;
        place(&[suspect], LIMITS)
    };
    assert_eq!(queued(LIMITS.queue - 1), Placement::Send(BackendKey(0)));
    assert_eq!(queued(LIMITS.queue), Placement::Full);
}

/// Guards against a retry time that is far too short, or longer than callers wait.
#[rstest]
#[case(96, 0, 200)]
#[case(96, 60, 470)]
#[case(8, 100, 1_500)]
fn the_retry_time_is_bounded(#[case] running: u32, #[case] excess: u32, #[case] at_most_ms: u64) {
    let after = retry_after(running, excess, Duration::from_millis(750));
    assert!(after >= Duration::from_millis(200));
    assert!(after <= Duration::from_millis(at_most_ms + 10), "{after:?}");
}

fn in_shard(n: u32, online: u32, batch: u32) -> Candidate {
    Candidate {
        in_shard: true,
        ..candidate(n, online, batch)
    }
}

/// Guards against copies of a request that crashes servers which spread over all of them, and against
/// requests that wait, displace an item or meet a slow server because of their shard.
#[rstest]
#[case::in_the_shard([candidate(0, 2, 0), in_shard(1, 4, 0)], 1)]
#[case::the_better_of_two([in_shard(0, 4, 0), in_shard(1, 3, 0)], 1)]
#[case::too_loaded([candidate(0, 1, 0), in_shard(1, 4, 0)], 0)]
#[case::no_free_slot([candidate(0, 7, 0), in_shard(1, 8, 0)], 0)]
#[case::slot_of_an_item([candidate(0, 5, 0), in_shard(1, 2, 6)], 0)]
#[case::suspected([candidate(0, 5, 0), Candidate { suspect: true, ..in_shard(1, 0, 0) }], 0)]
#[case::slow([candidate(0, 2, 0), Candidate { slowness: 4.0, ..in_shard(1, 2, 0) }], 0)]
fn copies_of_a_request_meet_on_its_shard(#[case] candidates: [Candidate; 2], #[case] chosen: u32) {
    let placement = Placement::Send(BackendKey(chosen));
    assert_eq!(place(&candidates, LIMITS), placement);
}

/// Load pattern: a zone returns with cold servers. Guards against cold servers that have capacity and
/// are used last, and against requests from cells that do not count what a cold server gets.
#[rstest]
#[case::ordinary([candidate(0, 1, 0), limited(Permit::Paced, candidate(1, 0, 0))], 1)]
#[case::kept_away([candidate(0, 1, 0), limited(Permit::Denied, candidate(1, 0, 0))], 0)]
#[case::other_cell([candidate(0, 8, 0), limited(Permit::Paced, remote(1, 0, 0))], 0)]
fn a_cold_server_with_capacity_is_an_ordinary_one(
    #[case] candidates: [Candidate; 2],
    #[case] chosen: u32,
) {
    let expected = Placement::Send(BackendKey(chosen));
    assert_eq!(place(&candidates, LIMITS), expected);
}
