//! Bound on the requests that all instances admit, and availability of quota under failures.

mod quota_harness;

use std::time::Duration;

use limpetweir_coordination::quota::{
    OwnershipStart,
    QuotaGrantee,
    QuotaOwner,
    QuotaRequest,
    QuotaSettings, //
};
use limpetweir_state::{
    Epoch,
    Incarnation,
    InstanceId,
    Limit,
    OrganisationId,
    Timestamp, //
};
use quota_harness::{
    Fleet,
    Plan,
    Policy,
    Traffic,
    count_within,
    settings_for, //
};
use rstest::rstest;

/// Slowest and fastest clock; their ratio is 1.1.
const SKEWED: (f64, f64) = (0.9535, 1.0488);

/// Tolerance for rounding errors in sums of fractions of tokens.
const ROUNDING: f64 = 1e-6;

fn limit(rate: f64, burst: f64) -> Limit {
    Limit::new(rate, burst).expect("valid limit")
}

fn plan() -> Plan {
    Plan {
        settings: settings_for(SKEWED.1),
        instances: 5,
        seconds: 60,
        offered: 150.0,
        clocks: SKEWED,
        faults: 0.1,
        outages: true,
        bursty: true,
        limit_changes: false,
        lowering: true,
        peers: true,
        policy: Policy::Shares,
        traffic: Traffic::Moving,
        one_way: (300, 2_000),
        reconnect: false,
    }
}

fn calm() -> Plan {
    Plan {
        settings: QuotaSettings::default(),
        faults: 0.0,
        outages: false,
        bursty: false,
        clocks: (1.0, 1.0),
        ..plan()
    }
}

/// Runs a fleet and checks the bound for every interval in true time.
fn check_bound(mut fleet: Fleet, seed: u64) {
    fleet.run();
    assert!(
        fleet.admitted.len() > 100,
        "the run admits too little to show anything"
    );
    let excess = fleet.excess(1.0);
    assert!(
        excess <= ROUNDING,
        "seed {seed} admits {excess} requests too many"
    );
}

/// Guards against more than burst plus rate times length in any interval while messages are lost,
/// late, duplicated and reordered, owners and grantees terminate and pause, and clock rates differ.
#[rstest]
fn bound_holds(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values((20.0, 40.0), (30.0, 3.0), (10.0, 100.0))] (rate, burst): (f64, f64),
) {
    let fleet = Fleet::new(plan(), seed, limit(rate, burst));
    check_bound(fleet, seed);
}

/// Guards against a limit change that allows more requests, or that is not in force after 4.4 s.
#[rstest]
fn bound_holds_while_the_limit_changes(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let changing = Plan {
        limit_changes: true,
        ..plan()
    };
    let fleet = Fleet::new(changing, seed, limit(20.0, 40.0));
    check_bound(fleet, seed);
}

/// Guards against shares that follow a lowered limit only when their lease ends, because their
/// owner was lost at the same time, and against shares of a large burst that are too much for a
/// small one.
#[rstest]
fn lowered_limit_is_in_force_without_an_owner(
    #[values((10.0, 5.0), (5.0, 100.0), (2.0, 140.0))] (rate, burst): (f64, f64),
) {
    let excess = |seed, lowering| {
        let within = Plan {
            lowering,
            offered: 80.0,
            ..calm()
        };
        let mut fleet = Fleet::new(within, seed, limit(100.0, 200.0));
        fleet.kill_owner_at(20);
        fleet.set_limit_at(20, limit(rate, burst));
        fleet.run();
        fleet.excess(1.0)
    };
    for seed in 1..=8 {
        assert!(excess(seed, true) <= ROUNDING, "seed {seed}");
    }
    let seen = (1..=8).any(|seed| excess(seed, false) > 1.0);
    assert!(seen, "the test does not detect the fault");
}

/// Guards against requests that are rejected within the rate in the minute around the loss of the
/// owner.
#[rstest]
fn loss_of_the_owner_rejects_no_requests(
    #[values(1, 2, 3)] seed: u64,
    #[values(50.0, 80.0)] offered: f64,
    #[values(Traffic::Even, Traffic::Skewed, Traffic::Moving)] traffic: Traffic,
) {
    let rejected = |peers| {
        let within = Plan {
            offered,
            instances: 9,
            reconnect: true,
            peers,
            traffic,
            ..calm()
        };
        let mut fleet = Fleet::new(within, seed, limit(100.0, 200.0));
        fleet.kill_owner_at(20);
        fleet.run();
        let rejected = fleet.offered.iter().filter(|o| o.admitted_after.is_none());
        rejected.count() as f64 / fleet.offered.len() as f64
    };
    assert!(rejected(true) < 0.001);
    assert!(
        rejected(false) > 0.001,
        "the test does not detect the fault"
    );
}

/// Guards against default settings that exceed the rate as the fastest clock of the fleet counts
/// it.
#[rstest]
fn bound_holds_by_the_fastest_clock_with_default_settings(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let default = Plan {
        settings: QuotaSettings::default(),
        ..plan()
    };
    let mut fleet = Fleet::new(default, seed, limit(20.0, 40.0));
    fleet.run();
    let excess = fleet.excess(SKEWED.1);
    assert!(
        excess <= ROUNDING,
        "seed {seed} admits {excess} requests too many"
    );
}

/// Guards against a harness that detects no fault: if an owner counts a share for less than its
/// lease, the bound must be exceeded.
#[test]
fn bound_fails_when_shares_are_counted_too_short() {
    let mut broken = plan();
    broken.settings.lease_skew = 0.1;
    let exceeds = |seed| {
        let mut fleet = Fleet::new(broken, seed, limit(20.0, 40.0));
        fleet.run();
        fleet.excess(1.0) > ROUNDING
    };
    assert!((1..=12).any(exceeds));
}

/// Returns the number of requests that two owners admit above the bound while the former one acts
/// for a lease.
fn excess_of_two_owners(settings: QuotaSettings) -> f64 {
    let limit = limit(10.0, 10.0);
    let organisation = OrganisationId::try_from("o").expect("valid name");
    let me = Incarnation {
        instance: InstanceId::try_from("i").expect("valid name"),
        started: 0,
    };
    let at = Timestamp::from_millis;
    let mut former = QuotaOwner::new(Epoch(1), OwnershipStart::First, settings, at(0));
    former.set_limit(&organisation, Some(limit), at(0));
    let mut later = QuotaOwner::new(Epoch(2), OwnershipStart::AfterLoss, settings, at(0));
    later.set_limit(&organisation, Some(limit), at(0));
    let mut grantee = QuotaGrantee::new(me, settings);
    let mut admitted = 0;
    for ms in 0..2_999 {
        for owner in [&mut former, &mut later] {
            let (call, _) = grantee.admission_request(&organisation, 1, at(ms));
            let answer = owner.handle(
                &QuotaRequest {
                    renew: false,
                    ..call
                },
                at(ms),
            );
            admitted += answer.map_or(0, |answer| answer.admitted);
        }
    }
    f64::from(admitted) - (10.0 + 10.0 * 2.998)
}

/// Guards against a successor that admits requests while the former owner may still act.
#[test]
fn successor_waits_for_the_former_lease() {
    let settings = QuotaSettings::default();
    assert!(excess_of_two_owners(settings) <= ROUNDING);
    let without_wait = QuotaSettings {
        owner_lease: Duration::ZERO,
        ..settings
    };
    assert!(
        excess_of_two_owners(without_wait) > 1.0,
        "the test does not detect the fault"
    );
}

/// Guards against rejections within the rate without failures, while half of the load moves to
/// another instance every 5 s.
#[rstest]
fn requests_within_rate_are_admitted(
    #[values(1, 2, 3)] seed: u64,
    #[values(20.0, 50.0, 80.0)] offered: f64,
) {
    let within = Plan { offered, ..calm() };
    let mut fleet = Fleet::new(within, seed, limit(100.0, 200.0));
    fleet.run();
    assert_eq!(fleet.admitted.len(), fleet.offered.len());
    // Most requests must be admitted from shares, or every request would depend on the owner.
    assert!(fleet.by_share.len() * 2 > fleet.offered.len());
}

/// Guards against an organisation that cannot use its rate while it offers more.
#[rstest]
fn rate_is_used_under_overload(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(calm(), seed, limit(20.0, 40.0));
    fleet.run();
    let admitted = count_within(&fleet.admitted, 10, 60);
    assert!(
        admitted as f64 >= 0.9 * 20.0 * 50.0,
        "{admitted} requests in 50 s"
    );
}

/// Guards against shares that end with the loss of their owner, and against a new owner that never
/// recovers.
#[rstest]
fn shares_outlive_their_owner(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::new(calm(), seed, limit(20.0, 40.0));
    fleet.kill_owner_at(20);
    fleet.run();
    assert!(count_within(&fleet.by_share, 21, 23) > 0);
    // The successor acts at most 2.5 s + 3.3 s after the loss, and has recovered 8.8 s later.
    let later = count_within(&fleet.admitted, 35, 60);
    assert!(
        later as f64 >= 0.9 * 20.0 * 25.0,
        "{later} requests in 25 s"
    );
    assert!(fleet.excess(1.0) <= ROUNDING);
}
