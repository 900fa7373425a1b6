//! Start and preemption of items that keep their slots while online requests vary.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_gateway::{
    BackendKey,
    BatchCandidate,
    BatchRun,
    Contenders,
    ItemKey,
    ItemPacing,
    Permit,
    Placed,
    Preemption,
    Report,
    WaitingItem,
    one_slot_each, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const SLOTS: u32 = 8;
const SERVERS: u32 = 11;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

/// Servers that have run nothing but these online requests for long.
fn candidates(online: u32) -> Vec<BatchCandidate> {
    let candidates = (0..SERVERS).map(|n| BatchCandidate {
        key: BackendKey(n),
        slots: SLOTS,
        placed: Placed { online, batch: 0 },
        suspect: false,
        slow: false,
        other_cell: false,
        permit: Permit::Unlimited,
        unchanged_for: Duration::from_secs(60),
    });
    candidates.collect()
}

fn observe(pacing: &mut ItemPacing, online: u32, at: Timestamp) {
    let online = (0..SERVERS).map(|n| (BackendKey(n), online));
    pacing.observe(&online.collect(), at);
}

/// Returns how many of 200 waiting items `me` starts on each server, without a reserve.
/// `others` have waiting items as well.
fn starts(
    pacing: &mut ItemPacing,
    me: &str,
    others: &[&str],
    online: u32,
    at: Timestamp,
) -> HashMap<u32, u32> {
    let waiting = (0..200).map(|n| WaitingItem {
        item: ItemKey(n),
        due: 10_000 + n,
        late: false,
        urgent: false,
        avoid: None,
    });
    let mut waiting: Vec<WaitingItem> = waiting.collect();
    let contenders = Contenders {
        in_time: others,
        ..Contenders::default()
    };
    let candidates = candidates(online);
    let reserve = |_, _, _| 0;
    let starts = pacing.choose_starts(&mut waiting, &candidates, me, contenders, reserve, at);
    let mut on = HashMap::new();
    for (_, backend) in starts {
        *on.entry(backend.0).or_default() += 1;
    }
    on
}

/// Load pattern: servers idle while no item waits, or return after a failure; then several instances
/// have items in the same moment. Guards against servers that get twice as many items as slots,
/// because the turns of all instances for the free slots had passed before.
#[rstest]
#[case::items_arrive(0, 0)]
#[case::online_requests_end(8, 500)]
fn concurrent_decisions_fill_slots_once_that_were_free_before(
    #[case] online_before: u32,
    #[case] wait_ms: u64,
) {
    let mut started: HashMap<u32, u32> = HashMap::new();
    for me in NAMES {
        let mut pacing = ItemPacing::default();
        observe(&mut pacing, online_before, ms(0));
        for at in (500..=500 + wait_ms).step_by(50) {
            observe(&mut pacing, 0, ms(at));
        }
        let at = ms(501 + wait_ms);
        observe(&mut pacing, 0, at);
        let others: Vec<&str> = NAMES.into_iter().filter(|name| *name != me).collect();
        for (server, count) in starts(&mut pacing, me, &others, 0, at) {
            *started.entry(server).or_default() += count;
        }
    }
    let all: u32 = started.values().sum();
    assert_eq!(all, SERVERS * SLOTS, "{started:?}");
    assert!(started.values().all(|count| *count == SLOTS), "{started:?}");
}

/// Load pattern: more items are due than there are slots. Guards against items that miss their
/// deadlines in favour of slots that are kept free, and against others that start before them.
#[test]
fn urgent_items_start_in_all_free_slots() {
    let mut pacing = ItemPacing::default();
    observe(&mut pacing, 7, ms(0));
    observe(&mut pacing, 2, ms(500));
    let item = |n: u64| WaitingItem {
        item: ItemKey(n),
        due: 10_000,
        late: false,
        urgent: n > 5,
        avoid: None,
    };
    let mut waiting: Vec<WaitingItem> = (1..=100).map(item).collect();
    let none = Contenders::default();
    let candidates = candidates(2);
    let starts = pacing.choose_starts(&mut waiting, &candidates, "a", none, one_slot_each, ms(500));
    // The square root of 22 online requests stays free.
    assert_eq!(starts.len() as u32, SERVERS * 6 - 5);
    assert!(starts.iter().all(|(item, _)| item.0 > 5));
}

/// Guards against slots that stay free because the instances to which they are assigned have no item.
#[test]
fn slots_that_stay_free_pass_to_the_next_instance() {
    let mut pacing = ItemPacing::default();
    let mut most = 0;
    for at in (0..=700).step_by(20) {
        observe(&mut pacing, 0, ms(at));
        most = starts(&mut pacing, "a", &NAMES[1..], 0, ms(at))
            .values()
            .sum();
    }
    assert_eq!(most, SERVERS * SLOTS);
}

/// Load pattern: the online requests of a server vary within fractions of a second, and a server
/// returns while all slots are needed. Guards against items that start in a slot which is idle for
/// a moment, and on a server of which nothing is known yet.
#[rstest]
#[case::never_needed(2, 0, 500, 6)]
#[case::needed_before(7, 400, 700, 1)]
#[case::needed_long_ago(7, 100, 700, 6)]
#[case::returned(2, 0, 400, 0)]
fn slots_that_online_requests_used_recently_stay_free(
    #[case] peak: u32,
    #[case] peak_until_ms: u64,
    #[case] at_ms: u64,
    #[case] started_on_each: u32,
) {
    let mut pacing = ItemPacing::default();
    let mut started = HashMap::new();
    for at in (0..=at_ms).step_by(10) {
        let online = if at <= peak_until_ms { peak } else { 2 };
        observe(&mut pacing, online, ms(at));
        started = starts(&mut pacing, "a", &[], 2, ms(at));
    }
    let expected = (0..SERVERS).map(|server| (server, started_on_each));
    assert_eq!(started, expected.filter(|(_, count)| *count > 0).collect());
}

/// Guards against two instances that fill the same slot, because an item arrived at one of them after its
/// last report.
#[rstest]
#[case::idle(0, 0, false, false)]
#[case::waiting(1, 0, true, true)]
#[case::running(0, 1, false, true)]
fn instances_that_run_items_contend_for_slots(
    #[case] waiting: u32,
    #[case] running: u64,
    #[case] immediate: bool,
    #[case] lasting: bool,
) {
    let run = |n| BatchRun {
        item: ItemKey(n),
        backend: BackendKey(1),
        due: 0,
    };
    let report = Report {
        waiting,
        batch: (0..running).map(run).collect(),
        ..idle_report("a")
    };
    assert_eq!(Preemption::Immediate.contends(&report), immediate);
    assert_eq!(Preemption::Lasting.contends(&report), lasting);
}

/// Load pattern: two instances send a request to the same server within the delay of reports, and
/// the next online request there ends some milliseconds later. Guards against an item that is
/// stopped for it, against items that stay although the slots are needed for longer, and against
/// more stops than requests that waited.
#[test]
fn items_stop_for_an_excess_that_lasts() {
    let mut pacing = ItemPacing::default();
    let mut excess = |excess: u32, at: u64| {
        let present = HashMap::from([(BackendKey(1), excess)]);
        pacing.excess(present, ms(at))[&BackendKey(1)]
    };
    assert_eq!(excess(1, 0), 0);
    assert_eq!(excess(0, 15), 0);
    assert_eq!(excess(1, 25), 0);
    assert_eq!(excess(3, 40), 0);
    assert_eq!(excess(3, 45), 1);
    assert_eq!(excess(2, 55), 1);
    assert_eq!(excess(3, 60), 2);
    assert_eq!(excess(3, 80), 3);
    assert_eq!(excess(0, 85), 0);
}
