//! Work and arithmetic that must not depend on the size of numbers from outside.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use limpetweir_gateway::{
    BackendKey,
    BatchCandidate,
    BatchRun,
    Candidate,
    Configuration,
    ConfigurationParts,
    Contenders,
    ItemKey,
    ItemPacing,
    Limits,
    Load,
    Organisation,
    OrganisationKey,
    Permit,
    Placed,
    Placement,
    Purpose,
    Quotas,
    Route,
    RouteKind,
    RunKey,
    ServerLimits,
    StatedLimit,
    WaitingItem,
    choose_preemptions,
    choose_starts,
    place,
    reserve,
    retry_after, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

/// Longest time of one decision on a busy machine; usual ones take microseconds.
const DECISION_LIMIT: Duration = Duration::from_secs(1);

const NOW: Timestamp = Timestamp::from_millis(10_000);

const KEY: BackendKey = BackendKey(7);

fn batch_candidate(slots: u32, placed: Placed, permit: Permit) -> BatchCandidate {
    BatchCandidate {
        key: KEY,
        slots,
        placed,
        suspect: false,
        slow: false,
        other_cell: false,
        permit,
        unchanged_for: Duration::from_secs(60),
    }
}

fn waiting(count: u64, late: bool) -> Vec<WaitingItem> {
    let items = (0..count).map(|n| WaitingItem {
        item: ItemKey(n),
        due: n,
        late,
        urgent: false,
        avoid: None,
    });
    items.collect()
}

/// Guards against a server entry with many slots that stops the scheduler while it holds the lock of
/// the instance.
#[rstest]
#[case::in_time(false, Permit::Unlimited, 40)]
#[case::late(true, Permit::Unlimited, 40)]
#[case::limited(false, Permit::Allowed, 1)]
fn the_number_of_slots_does_not_determine_the_work(
    #[case] late: bool,
    #[case] permit: Permit,
    #[case] expected: usize,
) {
    let candidates = [batch_candidate(u32::MAX, Placed::default(), permit)];
    let names: Vec<String> = (0..100).map(|n| format!("instance-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let contenders = Contenders {
        in_time: &names[..50],
        late: &names[50..],
        any_late: true,
    };
    let mut items = waiting(40, late);
    let begin = Instant::now();
    let chosen = choose_starts(&mut items, &candidates, "me", contenders, reserve);
    assert!(begin.elapsed() < DECISION_LIMIT, "{:?}", begin.elapsed());
    assert_eq!(chosen.len(), expected);
}

/// Guards against an overflow when instances report more requests than there can be.
#[test]
fn items_are_started_and_preempted_beside_any_number_of_requests() {
    let full = Placed {
        online: u32::MAX,
        batch: u32::MAX,
    };
    assert_eq!(full.total(), u32::MAX);
    let candidates = [
        batch_candidate(u32::MAX, full, Permit::Unlimited),
        batch_candidate(0, full, Permit::Allowed),
    ];
    let none = Contenders::default();
    let chosen = choose_starts(&mut waiting(3, false), &candidates, "me", none, reserve);
    assert!(chosen.is_empty(), "{chosen:?}");
    let mut load = Load::default();
    for peer in ["one", "two", "three"] {
        let mut report = idle_report(peer);
        report.online = vec![(KEY, u32::MAX), (KEY, u32::MAX)];
        load.apply_report(&report, NOW);
    }
    assert_eq!(load.placed(KEY).online, u32::MAX);
    load.online_started(KEY, NOW);
    load.online_ended(KEY, NOW);
    let run = BatchRun {
        item: ItemKey(1),
        backend: KEY,
        due: 0,
    };
    load.batch_started(run, NOW);
    let excess = load.excess(|_| Some(0));
    let excess = ItemPacing::default().excess(excess, NOW);
    choose_preemptions(&load, "me", 0, |on| excess[&on], |_| false);
    load.batch_ended(run.item, NOW);
    for peer in ["one", "two", "three"] {
        load.apply_report(&idle_report(peer), NOW);
        load.remove_peer(peer, NOW);
    }
}

/// Guards against an overflow in the choice of a server and in the time to return.
#[rstest]
#[case::slots(u32::MAX, Placed::default())]
#[case::requests(1, Placed { online: u32::MAX, batch: u32::MAX })]
#[case::both(u32::MAX, Placed { online: u32::MAX, batch: u32::MAX })]
fn a_request_is_placed_beside_any_numbers(#[case] slots: u32, #[case] placed: Placed) {
    for (permit, other_cell) in [
        (Permit::Unlimited, false),
        (Permit::Unlimited, true),
        (Permit::Allowed, false),
    ] {
        let candidate = Candidate {
            key: KEY,
            run: RunKey(7),
            slots,
            placed,
            suspect: false,
            tried: false,
            slowness: 1.0,
            connected: false,
            local: false,
            other_cell,
            in_shard: false,
            permit,
            draw: 0,
        };
        let limits = Limits { queue: u32::MAX };
        let chosen = place(&[candidate], limits);
        assert!(chosen == Placement::Send(KEY) || chosen == Placement::Full);
    }
    assert!(retry_after(u32::MAX, u32::MAX, Duration::MAX) <= Duration::from_secs(2));
}

/// Guards against an overflow of the sum of weights, which the operators may choose freely.
#[test]
fn weights_of_any_size_divide_requests() {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        attempts: 1,
        priority: 0,
        public: false,
        resumable: false,
        services: vec![("one".to_owned(), u32::MAX), ("two".to_owned(), u32::MAX)],
        batch: None,
    };
    for draw in [0, 1, u32::MAX - 1, u32::MAX] {
        assert!(["one", "two"].contains(&route.service(draw)));
    }
}

/// A faulty server states a limit of any size. Guards against a panic while the state of the instance
/// is locked, at each request and on all instances that hear of the limit.
#[rstest]
#[case::none("0")]
#[case::smallest("5e-324")]
#[case::large("1e308")]
#[case::largest("1.7976931348623157e308")]
fn a_limit_of_any_size_is_kept(#[case] value: &str) {
    let stated = StatedLimit::parse(value.as_bytes());
    let mut limits = ServerLimits::new("one");
    let mut other = ServerLimits::new("two");
    for step in 0..20 {
        let now = NOW + Duration::from_millis(step * 700);
        limits.set_senders(1, 2, now);
        limits.stated(RunKey(7), &stated, now, now);
        for purpose in [
            Purpose::Online { items_wait: false },
            Purpose::Online { items_wait: true },
            Purpose::Item,
        ] {
            if limits.permit(RunKey(7), purpose, now, u64::MAX) != Permit::Denied {
                limits.sent(RunKey(7), now);
            }
        }
        other.apply_report("one", 1, &limits.reports(now), now);
        other.permit(RunKey(7), Purpose::Item, now, 0);
    }
    assert!(limits.limit(RunKey(7)).is_some());
}

/// Guards against levels of a peer that are no numbers and fill or empty the buckets.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
fn levels_that_are_no_numbers_are_ignored(#[case] level: f64) {
    let organisation = Organisation {
        name: "org".to_owned(),
        keys: Vec::new(),
        rate: Some(10.0),
        burst: 10.0,
        priority: None,
    };
    let config = Configuration::from(ConfigurationParts {
        organisations: vec![organisation],
        ..ConfigurationParts::default()
    });
    let mut quotas = Quotas::default();
    quotas.configure(&config, NOW);
    let before = quotas.levels();
    quotas.adopt(&[(OrganisationKey::of("org"), level)], NOW);
    assert_eq!(quotas.levels(), before);
}
