//! Starting and stopping items beside online requests.

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
    Placed,
    Report,
    WaitingItem,
    choose_preemptions,
    choose_starts,
    reserve, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const SLOTS: u32 = 8;
/// Slots that items may take of a fleet of one server with four online requests; one is left to
/// the next request.
const FREE: usize = 3;
/// Time in Unix milliseconds, before all items are due unless a test says otherwise.
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

fn room(n: u32, online: u32, batch: u32, unchanged_ms: u64) -> BatchCandidate {
    BatchCandidate {
        key: backend(n),
        slots: SLOTS,
        placed: Placed { online, batch },
        suspect: false,
        slow: false,
        other_cell: false,
        unchanged_for: Duration::from_millis(unchanged_ms),
    }
}

fn waiting(count: u64, first: u64) -> Vec<WaitingItem> {
    let items = first..first + count;
    let waiting = items.map(|n| WaitingItem {
        item: ItemKey(n),
        due: 10_000 + n,
        late: false,
        avoid: None,
    });
    waiting.collect()
}

fn others(me: &str) -> Vec<&'static str> {
    NAMES.into_iter().filter(|name| *name != me).collect()
}

/// Peers that all have items which can still be on time.
fn in_time<'a>(names: &'a [&'a str]) -> Contenders<'a> {
    Contenders {
        in_time: names,
        late: &[],
        any_late: false,
    }
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

/// Returns how many items all instances start on each of `rooms` when they decide at once.
fn started_by_all(rooms: &[BatchCandidate]) -> Vec<u32> {
    let mut started = vec![0; rooms.len()];
    for me in NAMES {
        let mut items = waiting(100, 0);
        for (_, on) in choose_starts(&mut items, rooms, me, in_time(&others(me)), reserve) {
            started[on.0 as usize] += 1;
        }
    }
    started
}

/// Load: online requests fall off on all servers at once while every instance has items waiting.
/// Guards against a slot that several instances fill at the same moment.
#[test]
fn instances_that_decide_at_once_fill_each_slot_once() {
    let rooms: Vec<BatchCandidate> = (0..12).map(|n| room(n, 4, 0, 1)).collect();
    let started = started_by_all(&rooms);
    assert!(started.iter().all(|count| (3..=4).contains(count)));
    // Of 48 free slots, 7 are left to the next of 48 online requests.
    assert_eq!(started.iter().sum::<u32>(), 41);
}

/// Load: a dip of online requests while jobs are late. Guards against a slot that each server
/// leaves free where the next online requests need a few in the whole fleet.
#[rstest]
#[case::dip([2, 1, 1, 2, 1, 1, 2, 1, 1], 4)]
#[case::idle([0; 9], 1)]
#[case::peak([6, 7, 6, 7, 6, 7, 6, 7, 6], 8)]
fn the_fleet_leaves_slots_free_by_its_online_requests(#[case] online: [u32; 9], #[case] left: u32) {
    let rooms = online.iter().zip(0..).map(|(n, key)| room(key, *n, 0, 1));
    let rooms: Vec<BatchCandidate> = rooms.collect();
    let started = started_by_all(&rooms);
    let free = SLOTS * 9 - online.iter().sum::<u32>() - started.iter().sum::<u32>();
    assert_eq!(free, left);
}

/// Load: the same, with late items at this instance or at another one. Guards against slots that
/// stay free while items miss their time.
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
    let rooms: Vec<BatchCandidate> = (0..9).map(|n| room(n, 1, 0, 1)).collect();
    assert_eq!(
        choose_starts(&mut items, &rooms, "a", peers, reserve).len(),
        63
    );
}

/// Guards against slots left free on one server only, where the next online requests would queue
/// at others or stop items there.
#[test]
fn the_slots_left_free_are_spread_over_the_servers() {
    let rooms: Vec<BatchCandidate> = (0..9).map(|n| room(n, 4, 0, 1)).collect();
    let started = started_by_all(&rooms);
    assert!(started.iter().all(|count| (3..=4).contains(count)));
    assert_eq!(started.iter().sum::<u32>(), 30);
}

/// Guards against slots that stay empty because the instance they belong to has nothing for them.
#[test]
fn a_slot_that_stays_free_goes_to_every_instance() {
    let rooms = [room(0, 4, 0, 1_000)];
    let mut items = waiting(30, 0);
    let started = choose_starts(&mut items, &rooms, "a", in_time(&others("a")), reserve);
    assert_eq!(started.len(), FREE);
}

/// Guards against an item that is due later taking the slot of one that is due sooner.
#[test]
fn the_earliest_due_item_starts_first() {
    let mut items = waiting(3, 0);
    items.reverse();
    let started = choose_starts(&mut items, &[room(0, 6, 0, 1)], "a", NONE, reserve);
    assert_eq!(started, [(ItemKey(0), backend(0))]);
}

/// Load: jobs are late after a loss of all instances. Guards against late items that start first
/// because they were due first, so that every item behind them becomes late as well.
#[test]
fn items_that_can_still_be_on_time_start_before_late_ones() {
    let mut items = waiting(6, 0);
    for item in &mut items[..3] {
        item.late = true;
    }
    let started = choose_starts(&mut items, &[room(0, 3, 0, 1)], "a", NONE, reserve);
    let started: Vec<u64> = started.iter().map(|(item, _)| item.0).collect();
    assert_eq!(started, [3, 4, 5, 0, 1]);
}

/// Load: the same, with the late items at some instances and the others elsewhere. Guards against
/// late items in slots for which another instance has an item that can still be on time.
#[test]
fn an_instance_with_late_items_waits_for_one_with_others() {
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
    let fresh = room(0, 2, 0, 1);
    assert_eq!(
        choose_starts(&mut late(), &[fresh], "a", peers, reserve),
        []
    );
    assert_eq!(
        choose_starts(&mut waiting(9, 0), &[fresh], "b", in_time(&[]), reserve).len(),
        5
    );
    let left_free = room(0, 2, 0, 1_000);
    assert_eq!(
        choose_starts(&mut late(), &[left_free], "a", peers, reserve).len(),
        6
    );
}

/// Load: online requests rise after a loss of all instances. Guards against items that can still be
/// on time and give way to late ones.
#[test]
fn late_items_give_way_first() {
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
    let mut stopped = choose_preemptions(&load, "a", NOW, |_| Some(SLOTS), |_| false);
    stopped.sort();
    assert_eq!(stopped, [ItemKey(1), ItemKey(3)]);
}

/// Guards against items that queue at a full server, or run on one that does not answer.
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
    let mut only = room(0, online, batch, 1_000);
    only.suspect = suspect;
    assert_eq!(
        choose_starts(&mut waiting(3, 0), &[only], "a", NONE, reserve),
        []
    );
}

/// Load: callers move to one zone of a large fleet, or its servers crash. Guards against items that
/// wait there while other zones have room, against items that leave their zone without need, and
/// against slots that another cell has filled since its last report.
#[rstest]
#[case::room_here(room(0, 4, 0, 1), room(1, 0, 0, 1), &[(0, 3)])]
#[case::full_here(room(0, 8, 0, 1), room(1, 2, 1, 1), &[(1, 2)])]
#[case::full_everywhere(room(0, 8, 0, 1), room(1, 4, 1, 1), &[])]
fn items_start_in_other_cells_while_the_own_one_is_full(
    #[case] own: BatchCandidate,
    #[case] other: BatchCandidate,
    #[case] expected: &[(u32, usize)],
) {
    let rooms = [
        own,
        BatchCandidate {
            other_cell: true,
            ..other
        },
    ];
    let started = choose_starts(&mut waiting(30, 0), &rooms, "a", NONE, reserve);
    let mut on: HashMap<u32, usize> = HashMap::new();
    for (_, backend) in started {
        *on.entry(backend.0).or_default() += 1;
    }
    assert_eq!(on, expected.iter().copied().collect());
}

/// Guards against an end of a request in another cell that this cell is not told of.
#[test]
fn a_server_counts_as_used_until_its_end_has_been_told() {
    let mut load = Load::default();
    let used = |load: &Load, ms: u64| load.recently_used(Timestamp::from_millis(ms)).count() > 0;
    assert!(!used(&load, 0));
    load.online_started(backend(0), Timestamp::from_millis(1_000));
    assert!(used(&load, 9_000));
    load.online_ended(backend(0), Timestamp::from_millis(9_000));
    assert!(used(&load, 9_700));
    assert!(!used(&load, 9_900));
}

/// Guards against an item that returns to the server that just turned it away while others are free.
#[test]
fn the_server_of_the_last_failure_is_avoided() {
    let mut items = waiting(1, 0);
    items[0].avoid = Some(backend(0));
    let rooms = [room(0, 0, 0, 1), room(1, 5, 0, 1)];
    let started = choose_starts(&mut items, &rooms, "a", NONE, reserve);
    assert_eq!(started, [(ItemKey(0), backend(1))]);
}

/// Load: online requests rise on a server that several instances have filled with items.
/// Guards against too many or too few items that give way, and against the earliest due one.
#[test]
fn as_many_items_give_way_as_slots_are_needed() {
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
        stopped.extend(choose_preemptions(
            &load,
            me,
            NOW,
            |_| Some(SLOTS),
            |_| false,
        ));
    }
    stopped.sort();
    assert_eq!(stopped, [ItemKey(2), ItemKey(3)]);
}

/// Guards against an item that two instances run to its end after a cut between them has healed.
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
            choose_preemptions(&load, me, NOW, |_| Some(SLOTS), |_| false),
            stopped
        );
    }
}

/// Load: a few servers turn several times slower while items run on them.
/// Guards against items that stay there and miss their time, and against new ones.
#[test]
fn items_leave_slow_servers() {
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
    let stopped = choose_preemptions(&load, "a", NOW, |_| Some(SLOTS), |on| on == backend(1));
    assert_eq!(stopped, [ItemKey(2)]);
    let mut slow = room(1, 0, 0, 1_000);
    slow.slow = true;
    assert_eq!(
        choose_starts(&mut waiting(3, 0), &[slow], "a", NONE, reserve),
        []
    );
}

/// Guards against counts that drift when reports replace each other, or when a peer is lost.
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
