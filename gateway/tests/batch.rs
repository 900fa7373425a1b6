//! Start and preemption of items beside online requests.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_gateway::{
    BackendKey,
    BatchCandidate,
    BatchRun,
    Contenders,
    ItemKey,
    Load,
    Permit,
    Placed,
    Report,
    Stop,
    StopCause,
    WaitingItem,
    choose_preemptions,
    choose_starts,
    reserve, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const SLOTS: u32 = 8;
/// Slots that items may occupy in a fleet of one server with four online requests; one slot stays
/// free for the next request.
const FREE: usize = 3;
/// Time in Unix milliseconds, before the deadlines of all items unless a test states otherwise.
const NOW: u64 = 100;
/// No other instance has waiting items.
const NONE: Contenders<'static> = Contenders {
    in_time: &[],
    late: &[],
    any_late: false,
};
const NAMES: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

fn backend(n: u32) -> BackendKey {
    BackendKey(n)
}

fn candidate(n: u32, online: u32, batch: u32, unchanged_ms: u64) -> BatchCandidate {
    BatchCandidate {
        key: backend(n),
        slots: SLOTS,
        placed: Placed { online, batch },
        suspect: false,
        slow: false,
        other_cell: false,
        permit: Permit::Unlimited,
        unchanged_for: Duration::from_millis(unchanged_ms),
    }
}

fn waiting(count: u64, first: u64) -> Vec<WaitingItem> {
    let items = first..first + count;
    let waiting = items.map(|n| WaitingItem {
        item: ItemKey(n),
        due: 10_000 + n,
        late: false,
        urgent: false,
        avoid: None,
    });
    waiting.collect()
}

fn others(me: &str) -> Vec<&'static str> {
    NAMES.into_iter().filter(|name| *name != me).collect()
}

/// Peers that all have items which can still meet their deadlines.
fn in_time<'a>(names: &'a [&'a str]) -> Contenders<'a> {
    Contenders {
        in_time: names,
        late: &[],
        any_late: false,
    }
}

/// Returns the number of requests beyond the slots of a server.
fn excess(load: &Load) -> impl Fn(BackendKey) -> u32 {
    let excess = load.excess(|_| Some(SLOTS));
    move |on| excess.get(&on).copied().unwrap_or(0)
}

fn items(stops: Vec<Stop>) -> Vec<ItemKey> {
    stops.into_iter().map(|stop| stop.item).collect()
}

fn report(name: &str, online: &[(u32, u32)], batch: &[(u64, u32, u64)]) -> Report {
    let batch = batch.iter().map(|&(item, on, due)| BatchRun {
        item: ItemKey(item),
        backend: backend(on),
        due,
    });
    Report {
        online: online.iter().map(|&(on, n)| (backend(on), n)).collect(),
        batch: batch.collect(),
        ..idle_report(name)
    }
}

/// Returns the number of items that all instances together start on each candidate when they decide
/// concurrently.
fn started_by_all(candidates: &[BatchCandidate]) -> Vec<u32> {
    let mut started = vec![0; candidates.len()];
    for me in NAMES {
        let mut items = waiting(100, 0);
        for (_, on) in choose_starts(&mut items, candidates, me, in_time(&others(me)), reserve) {
            started[on.0 as usize] += 1;
        }
    }
    started
}

/// Load pattern: online requests drop on all servers at the same time while every instance has
/// waiting items. Guards against several instances filling the same slot.
#[test]
fn concurrent_decisions_fill_each_slot_once() {
    let candidates: Vec<BatchCandidate> = (0..12).map(|n| candidate(n, 4, 0, 1)).collect();
    let started = started_by_all(&candidates);
    assert!(started.iter().all(|count| (3..=4).contains(count)));
    // Of 48 free slots, 7 stay free for the next of 48 online requests.
    assert_eq!(started.iter().sum::<u32>(), 41);
}

/// Load pattern: a dip of online requests while jobs are late. Guards against one free slot per
/// server when the next online requests need only a few slots in the whole fleet.
#[rstest]
#[case::dip([2, 1, 1, 2, 1, 1, 2, 1, 1], 4)]
#[case::idle([0; 9], 1)]
#[case::peak([6, 7, 6, 7, 6, 7, 6, 7, 6], 8)]
fn free_slots_follow_the_number_of_online_requests(
    #[case] online: [u32; 9],
    #[case] expected: u32,
) {
    let candidates = online
        .iter()
        .zip(0..)
        .map(|(n, key)| candidate(key, *n, 0, 1));
    let candidates: Vec<BatchCandidate> = candidates.collect();
    let started = started_by_all(&candidates);
    let free = SLOTS * 9 - online.iter().sum::<u32>() - started.iter().sum::<u32>();
    assert_eq!(free, expected);
}

/// Load pattern: the same, with late items at this instance or at another one. Guards against slots
/// that stay free while items miss their deadlines.
#[rstest]
#[case::here(true, false)]
#[case::elsewhere(false, true)]
fn no_slot_stays_free_while_items_are_late(#[case] here: bool, #[case] elsewhere: bool) {
    let mut items = waiting(100, 0);
    items[99].late = here;
    let peers = Contenders {
        any_late: elsewhere,
        ..NONE
    };
    let candidates: Vec<BatchCandidate> = (0..9).map(|n| candidate(n, 1, 0, 1)).collect();
    assert_eq!(
        choose_starts(&mut items, &candidates, "a", peers, reserve).len(),
        63
    );
}

/// Guards against free slots on one server only: the next online requests would queue or preempt
/// items at other servers.
#[test]
fn reserved_slots_are_spread_over_the_servers() {
    let candidates: Vec<BatchCandidate> = (0..9).map(|n| candidate(n, 4, 0, 1)).collect();
    let started = started_by_all(&candidates);
    assert!(started.iter().all(|count| (3..=4).contains(count)));
    assert_eq!(started.iter().sum::<u32>(), 30);
}

/// Guards against slots that stay free because the instance they are assigned to has no item.
#[test]
fn a_free_slot_passes_to_other_instances() {
    let candidates = [candidate(0, 4, 0, 1_000)];
    let mut items = waiting(30, 0);
    let started = choose_starts(&mut items, &candidates, "a", in_time(&others("a")), reserve);
    assert_eq!(started.len(), FREE);
}

/// Guards against an item with a later deadline taking the slot of one with an earlier deadline.
#[test]
fn the_earliest_due_item_starts_first() {
    let mut items = waiting(3, 0);
    items.reverse();
    let started = choose_starts(&mut items, &[candidate(0, 6, 0, 1)], "a", NONE, reserve);
    assert_eq!(started, [(ItemKey(0), backend(0))]);
}

/// Load pattern: jobs are late after a failure of all instances. Guards against late items starting
/// first because of their earlier deadlines, which makes all items behind them late as well.
#[test]
fn items_in_time_start_before_late_ones() {
    let mut items = waiting(6, 0);
    for item in &mut items[..3] {
        item.late = true;
    }
    let started = choose_starts(&mut items, &[candidate(0, 3, 0, 1)], "a", NONE, reserve);
    let started: Vec<u64> = started.iter().map(|(item, _)| item.0).collect();
    assert_eq!(started, [3, 4, 5, 0, 1]);
}

/// Load pattern: the same, with late items at some instances and items in time at others. Guards
/// against late items in slots for which another instance has an item in time.
#[test]
fn instances_with_late_items_rank_after_those_with_items_in_time() {
    let late = || {
        let mut items = waiting(9, 0);
        items.iter_mut().for_each(|item| item.late = true);
        items
    };
    let peers = Contenders {
        in_time: &["b"],
        late: &["c"],
        any_late: true,
    };
    let fresh = candidate(0, 2, 0, 1);
    assert_eq!(
        choose_starts(&mut late(), &[fresh], "a", peers, reserve),
        []
    );
    assert_eq!(
        choose_starts(&mut waiting(9, 0), &[fresh], "b", in_time(&[]), reserve).len(),
        5
    );
    let left_free = candidate(0, 2, 0, 1_000);
    assert_eq!(
        choose_starts(&mut late(), &[left_free], "a", peers, reserve).len(),
        6
    );
}

/// Load pattern: online requests rise after a failure of all instances. Guards against preemption
/// of items in time while late ones run.
#[test]
fn late_items_are_preempted_first() {
    let mut load = Load::default();
    for (item, due) in [(1, NOW - 50), (2, NOW + 500), (3, NOW + 900)] {
        let run = BatchRun {
            item: ItemKey(item),
            backend: backend(0),
            due,
        };
        load.batch_started(run, Timestamp::from_millis(1));
    }
    load.apply_report(&report("z", &[(0, 7)], &[]), Timestamp::from_millis(2));
    let mut stopped = items(choose_preemptions(&load, "a", NOW, excess(&load), |_| {
        false
    }));
    stopped.sort();
    assert_eq!(stopped, [ItemKey(1), ItemKey(3)]);
}

/// Guards against items that queue at a full server, or start on an unresponsive one.
#[rstest]
#[case(8, 0, false)]
#[case(7, 0, false)]
#[case(3, 4, false)]
#[case(0, 0, true)]
fn full_and_suspect_servers_get_no_item(
    #[case] online: u32,
    #[case] batch: u32,
    #[case] suspect: bool,
) {
    let mut only = candidate(0, online, batch, 1_000);
    only.suspect = suspect;
    assert_eq!(
        choose_starts(&mut waiting(3, 0), &[only], "a", NONE, reserve),
        []
    );
}

/// Load pattern: callers move to one zone of a large fleet, or its servers crash. Guards against
/// items that wait there while other zones have free slots, against items that leave their zone
/// without need, and against slots that another cell has filled since its last report.
#[rstest]
#[case::free_in_own_cell(candidate(0, 4, 0, 1), candidate(1, 0, 0, 1), &[(0, 3)])]
#[case::full_in_own_cell(candidate(0, 8, 0, 1), candidate(1, 2, 1, 1), &[(1, 2)])]
#[case::full_everywhere(candidate(0, 8, 0, 1), candidate(1, 4, 1, 1), &[])]
fn items_start_in_other_cells_while_the_own_one_is_full(
    #[case] own: BatchCandidate,
    #[case] other: BatchCandidate,
    #[case] expected: &[(u32, usize)],
) {
    let candidates = [
        own,
        BatchCandidate {
            other_cell: true,
            ..other
        },
    ];
    let started = choose_starts(&mut waiting(30, 0), &candidates, "a", NONE, reserve);
    let mut on: HashMap<u32, usize> = HashMap::new();
    for (_, backend) in started {
        *on.entry(backend.0).or_default() += 1;
    }
    assert_eq!(on, expected.iter().copied().collect());
}

/// Guards against the end of a request on a server of another cell that is not reported there.
#[test]
fn a_server_counts_as_recently_used_until_the_end_is_reported() {
    let mut load = Load::default();
    let used = |load: &Load, ms: u64| load.recently_used(Timestamp::from_millis(ms)).count() > 0;
    assert!(!used(&load, 0));
    load.online_started(backend(0), Timestamp::from_millis(1_000));
    assert!(used(&load, 9_000));
    load.online_ended(backend(0), Timestamp::from_millis(9_000));
    assert!(used(&load, 9_700));
    assert!(!used(&load, 9_900));
}

/// Guards against an item that returns to the server of its last failure while others are free.
#[test]
fn the_server_of_the_last_failure_is_avoided() {
    let mut items = waiting(1, 0);
    items[0].avoid = Some(backend(0));
    let candidates = [candidate(0, 0, 0, 1), candidate(1, 5, 0, 1)];
    let started = choose_starts(&mut items, &candidates, "a", NONE, reserve);
    assert_eq!(started, [(ItemKey(0), backend(1))]);
}

/// Load pattern: online requests rise on a server that several instances have filled with items.
/// Guards against too many or too few preemptions, and against preemption of the item with the
/// earliest deadline.
#[test]
fn as_many_items_are_preempted_as_slots_are_needed() {
    let now = Timestamp::from_millis(1);
    let runs = [(1, 0, 500), (2, 0, 900), (3, 0, 700)];
    let mut stopped = Vec::new();
    for (me, (item, on, due)) in ["a", "b", "c"].into_iter().zip(runs) {
        let mut load = Load::default();
        let own = BatchRun {
            item: ItemKey(item),
            backend: backend(on),
            due,
        };
        load.batch_started(own, now);
        for (name, run) in ["a", "b", "c"].into_iter().zip(runs) {
            if name != me {
                load.apply_report(&report(name, &[], &[run]), now);
            }
        }
        load.apply_report(&report("z", &[(0, 7)], &[]), now);
        let stops = choose_preemptions(&load, me, NOW, excess(&load), |_| false);
        stopped.extend(items(stops));
    }
    stopped.sort();
    assert_eq!(stopped, [ItemKey(2), ItemKey(3)]);
}

/// Guards against an item that two instances both run to its end after a network partition between
/// them has healed.
#[test]
fn of_two_runs_of_one_item_the_first_instance_continues() {
    let now = Timestamp::from_millis(1);
    let own = BatchRun {
        item: ItemKey(1),
        backend: backend(0),
        due: 500,
    };
    for (me, peer, stopped) in [("a", "b", vec![]), ("b", "a", vec![ItemKey(1)])] {
        let mut load = Load::default();
        load.batch_started(own, now);
        load.apply_report(&report(peer, &[], &[(1, 3, 500)]), now);
        assert_eq!(
            items(choose_preemptions(&load, me, NOW, excess(&load), |_| false)),
            stopped
        );
    }
}

/// Load pattern: a few servers become several times slower while items run on them. Guards against
/// items that stay there and miss their deadlines, and against new items there.
#[test]
fn items_are_moved_off_slow_servers() {
    let now = Timestamp::from_millis(1);
    let mut load = Load::default();
    for (item, on) in [(1, 0), (2, 1)] {
        let own = BatchRun {
            item: ItemKey(item),
            backend: backend(on),
            due: 500,
        };
        load.batch_started(own, now);
    }
    let stopped = choose_preemptions(&load, "a", NOW, excess(&load), |on| on == backend(1));
    assert_eq!(stopped[0].cause, StopCause::SlowServer);
    let stopped = items(stopped);
    assert_eq!(stopped, [ItemKey(2)]);
    let mut slow = candidate(1, 0, 0, 1_000);
    slow.slow = true;
    assert_eq!(
        choose_starts(&mut waiting(3, 0), &[slow], "a", NONE, reserve),
        []
    );
}

/// Guards against requests that a repeated report counts twice or moves the time of the last change for,
/// and against a change that is not seen after it.
#[test]
fn a_repeated_report_changes_nothing() {
    let at = Timestamp::from_millis;
    let mut load = Load::default();
    let first = report("p", &[(0, 3)], &[(9, 0, 5)]);
    load.apply_report(&first, at(1));
    assert_eq!(load.apply_report(&first, at(20)), 0);
    assert_eq!(load.placed(backend(0)).total(), 4);
    assert_eq!(load.unchanged_for(backend(0), at(21)).as_millis(), 20);
    assert_eq!(
        load.apply_report(&report("p", &[(0, 4)], &[(9, 0, 5)]), at(30)),
        1
    );
    load.apply_report(&report("p", &[(0, 4)], &[(9, 1, 5)]), at(40));
    assert_eq!(load.placed(backend(1)).total(), 1);
    assert_eq!(load.placed(backend(0)).total(), 4);
}

/// Guards against counts that drift when reports replace each other, or when a peer is removed.
#[test]
fn a_report_replaces_the_one_before() {
    let now = Timestamp::from_millis(1);
    let mut load = Load::default();
    load.online_started(backend(0), now);
    load.apply_report(&report("p", &[(0, 3), (1, 2)], &[(9, 0, 5)]), now);
    assert_eq!(
        load.placed(backend(0)),
        Placed {
            online: 4,
            batch: 1
        }
    );
    load.apply_report(&report("p", &[(0, 1)], &[]), now);
    assert_eq!(
        load.placed(backend(0)),
        Placed {
            online: 2,
            batch: 0
        }
    );
    assert_eq!(load.placed(backend(1)), Placed::default());
    load.remove_peer("p", now);
    assert_eq!(
        load.placed(backend(0)),
        Placed {
            online: 1,
            batch: 0
        }
    );
    load.online_ended(backend(0), now);
    assert_eq!(load.placed(backend(0)), Placed::default());
}

/// Load pattern: servers with and without a limit have free slots. Guards against items that start
/// against a limit, several at once, or in all slots of a limited server, and against items in the
/// slots that online requests use first.
#[rstest]
#[case::limited_first(Permit::Allowed, 0, &[1, 0, 0])]
#[case::not_against_the_limit(Permit::Denied, 0, &[0, 0, 0])]
#[case::a_quarter_stays_free(Permit::Allowed, 6, &[0, 0, 0])]
fn items_start_at_limited_servers_one_at_a_time(
    #[case] permit: Permit,
    #[case] batch: u32,
    #[case] chosen: &[u32],
) {
    let limited = BatchCandidate {
        permit,
        ..candidate(1, 0, batch, 60_000)
    };
    let candidates = [candidate(0, 0, 0, 60_000), limited];
    let none_kept = |_, _, _| 0;
    let starts = choose_starts(&mut waiting(3, 0), &candidates, "a", NONE, none_kept);
    let starts: Vec<u32> = starts.into_iter().map(|(_, key)| key.0).collect();
    assert_eq!(starts, chosen);
}

/// Load pattern: items wait at all instances while servers return cold. Guards against a decision that
/// starts several items at a cold server, for which it has asked once, and against items at cold servers
/// of other cells, whose instances count what these get.
#[rstest]
#[case::own_cell(false, &[0, 1])]
#[case::other_cell(true, &[])]
fn items_start_at_cold_servers_one_at_a_time(#[case] other_cell: bool, #[case] chosen: &[u32]) {
    let cold = |key| BatchCandidate {
        permit: Permit::Paced,
        other_cell,
        ..candidate(key, 0, 0, 60_000)
    };
    let none_kept = |_, _, _| 0;
    let starts = choose_starts(
        &mut waiting(9, 0),
        &[cold(0), cold(1)],
        "a",
        NONE,
        none_kept,
    );
    let mut starts: Vec<u32> = starts.into_iter().map(|(_, key)| key.0).collect();
    starts.sort_unstable();
    assert_eq!(starts, chosen);
}
