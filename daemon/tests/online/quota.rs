//! Tests of an organisation's rate and burst over several instances.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_standins::fleet::eventually;

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    TEST_TIMEOUT,
    bearer,
    error_code, //
};

const RATE: f64 = 40.0;
const BURST: f64 = 20.0;

/// Number of admitted requests after which the callers stop: the burst and four seconds at the rate.
const ENOUGH: usize = 180;

/// Bounds of the time at which a request was admitted.
#[derive(Clone, Copy)]
struct Admitted {
    sent: Instant,
    answered: Instant,
}

/// Sends requests to one instance until [`ENOUGH`] requests of all callers are admitted.
///
/// Returns the admitted requests and the number of rejected ones.
fn send_until_enough(fleet: &Fleet, index: usize, total: &AtomicUsize) -> (Vec<Admitted>, usize) {
    let authorization = bearer(KEY);
    let headers = [("authorization", authorization.as_str())];
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut admitted = Vec::new();
    let mut rejected = 0;
    while total.load(Ordering::Relaxed) < ENOUGH {
        assert!(Instant::now() < deadline, "too few requests are admitted");
        let sent = Instant::now();
        let path = "/services/tanks/tanks/t1";
        let response = fleet.send_bytes(index, "GET", path, Vec::new(), &headers);
        let answered = Instant::now();
        if response.status == 404 {
            admitted.push(Admitted { sent, answered });
            total.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        // The quota owner changes when instances start, and none is reachable in the meantime.
        if response.status == 503 {
            assert_eq!(error_code(&response, 503, "not-run"), "quota_unavailable");
        } else {
            assert_eq!(error_code(&response, 429, "not-run"), "rate_limited");
        }
        assert!(response.header("retry-after").is_some());
        rejected += 1;
    }
    (admitted, rejected)
}

/// Guards against instances that together admit more than the rate and burst, and against rejected
/// calls that run nevertheless.
#[test]
fn three_instances_keep_to_the_rate_and_burst() {
    let fleet = Fleet::start(Setup {
        instances: 3,
        limit: (RATE, BURST),
        ..Setup::SMALL
    });
    let (fleet, total) = (&fleet, &AtomicUsize::new(0));
    let (admitted, rejected) = thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|index| scope.spawn(move || send_until_enough(fleet, index, total)))
            .collect();
        let results = callers.into_iter().map(|caller| caller.join().unwrap());
        results.fold((Vec::new(), 0), |(mut all, rejected), (one, more)| {
            all.extend(one);
            (all, rejected + more)
        })
    });
    // The service answers 404 for a tank without a reading, which shows that it got the call.
    assert_eq!(fleet.plain_records(0).len(), admitted.len());
    assert!(admitted.len() >= ENOUGH && rejected > 0);
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

/// Sends `count` requests to each instance and returns how many are admitted in total.
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
    let responses = (0..3 * count).map(|n| send(n % 3));
    responses.filter(|response| response.status == 404).count()
}

/// Guards against shares of a former limit that grantees still use after the limit was lowered.
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
    eventually("an instance has a share", TEST_TIMEOUT, &mut shares).unwrap();
    let (rate, burst) = (0.01, 1.0);
    fleet.set_limit((rate, burst));
    let document = fleet.document(&[("k1", KEY)]);
    fleet.publish(&document);
    let in_force = Instant::now();
    let admitted = admitted_of(&fleet, 40);
    let allowed = burst + rate * in_force.elapsed().as_secs_f64();
    assert!(admitted as f64 <= allowed, "{admitted} are admitted");
}

/// Time for which the quota owner does nothing: longer than it is waited for before peers are asked,
/// and shorter than the timeouts of admissions in these tests and of heartbeats.
const OWNER_PAUSE: Duration = Duration::from_millis(500);

/// Guards against a request that is refused for lack of an answer of the quota owner, although the
/// answer arrives within the time for its admission.
#[test]
fn a_late_answer_of_the_quota_owner_admits_the_request() {
    let fleet = Fleet::start(Setup {
        instances: 2,
        ..Setup::SMALL
    });
    let query = "organisation=reef&model=reef-1";
    let acts = |index| fleet.explain(index, query)["quota"]["acts"] == true;
    let owner = (0..2).find(|index| acts(*index)).unwrap();
    let authorization = bearer(KEY);
    let headers = [("authorization", authorization.as_str())];
    fleet.block(owner, OWNER_PAUSE);
    // The first request of the organisation: neither instance has a share.
    let path = "/services/tanks/tanks/t1";
    let response = fleet.send_bytes(1 - owner, "GET", path, Vec::new(), &headers);
    assert_eq!(response.status, 404, "{}", response.text());
}
