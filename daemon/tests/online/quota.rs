//! Rate and burst of an organisation over several instances.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::thread;
use std::time::Instant;

use limpetweir_standins::fleet::eventually;

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    WAIT,
    bearer,
    error_code, //
};

const RATE: f64 = 40.0;
const BURST: f64 = 20.0;

/// Admitted requests after which the callers stop: the burst and four seconds at the rate.
const ENOUGH: usize = 180;

/// An admitted request was admitted at some time between these two.
#[derive(Clone, Copy)]
struct Admitted {
    sent: Instant,
    answered: Instant,
}

/// Sends to one instance until all callers together have enough admitted requests.
fn send(fleet: &Fleet, index: usize, total: &AtomicUsize) -> (Vec<Admitted>, usize) {
    let authorization = bearer(KEY);
    let headers = [("authorization", authorization.as_str())];
    let deadline = Instant::now() + WAIT;
    let mut admitted = Vec::new();
    let mut refused = 0;
    while total.load(Ordering::Relaxed) < ENOUGH {
        assert!(Instant::now() < deadline, "too few requests are admitted");
        let sent = Instant::now();
        let path = "/services/tanks/tanks/t1";
        let answer = fleet.send_bytes(index, "GET", path, Vec::new(), &headers);
        let answered = Instant::now();
        if answer.status == 404 {
            admitted.push(Admitted { sent, answered });
            total.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        // The home changes hands when instances start, and is not reachable meanwhile.
        if answer.status == 503 {
            assert_eq!(error_code(&answer, 503, "not-run"), "quota_unavailable");
        } else {
            assert_eq!(error_code(&answer, 429, "not-run"), "rate_limited");
        }
        assert!(answer.header("retry-after").is_some());
        refused += 1;
    }
    (admitted, refused)
}

/// Guards against instances that together admit more than the rate and burst, and against refused
/// calls that run nevertheless.
#[test]
fn three_instances_keep_to_the_rate_and_burst() {
    let fleet = Fleet::start(Setup {
        instances: 3,
        limit: (RATE, BURST),
        ..Setup::SMALL
    });
    let (fleet, total) = (&fleet, &AtomicUsize::new(0));
    let (admitted, refused) = thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|index| scope.spawn(move || send(fleet, index, total)))
            .collect();
        let results = callers.into_iter().map(|caller| caller.join().unwrap());
        results.fold((Vec::new(), 0), |(mut all, refused), (one, more)| {
            all.extend(one);
            (all, refused + more)
        })
    });
    // The service answers 404 for a tank without a reading, which shows that it got the call.
    assert_eq!(fleet.plain_records(0).len(), admitted.len());
    assert!(admitted.len() >= ENOUGH && refused > 0);
    for first in &admitted {
        for last in &admitted {
            let within = |a: &&Admitted| a.sent >= first.sent && a.answered <= last.answered;
            let count = admitted.iter().filter(within).count();
            let length = last.answered.saturating_duration_since(first.sent);
            let allowed = BURST + RATE * length.as_secs_f64();
            assert!(count as f64 <= allowed, "{count} in {length:?}");
        }
    }
}

/// Returns how many of `count` requests to each instance are admitted.
fn admitted_of(fleet: &Fleet, count: usize) -> usize {
    let authorization = bearer(KEY);
    let headers = [("authorization", authorization.as_str())];
    let send = |index| {
        fleet.send_bytes(
            index,
            "GET",
            "/services/tanks/tanks/t1",
            Vec::new(),
            &headers,
        )
    };
    let answers = (0..3 * count).map(|n| send(n % 3));
    answers.filter(|answer| answer.status == 404).count()
}

/// Guards against shares of a former limit that outlast a lowered one at their borrowers.
#[test]
fn a_lowered_limit_is_in_force_with_its_configuration() {
    let mut fleet = Fleet::start(Setup {
        instances: 3,
        limit: (1000.0, 3000.0),
        ..Setup::SMALL
    });
    let mut shares = || {
        admitted_of(&fleet, 30);
        (0..3).any(|index| {
            let explained = fleet.explain(index, "organisation=reef&model=reef-1");
            explained["quota"]["share"].is_object()
        })
    };
    eventually("an instance has a share", WAIT, &mut shares).unwrap();
    let (rate, burst) = (0.01, 1.0);
    fleet.set_limit((rate, burst));
    let document = fleet.document(&[("k1", KEY)]);
    fleet.publish(&document);
    let in_force = Instant::now();
    let admitted = admitted_of(&fleet, 40);
    let allowed = burst + rate * in_force.elapsed().as_secs_f64();
    assert!(admitted as f64 <= allowed, "{admitted} are admitted");
}
