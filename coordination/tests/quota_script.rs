//! Single sequences of quota messages that random runs seldom meet.

use std::time::Duration;

use limpetweir_coordination::quota::{
    LocalAdmission,
    OwnershipStart,
    QuotaAnswer,
    QuotaGrantee,
    QuotaOwner,
    QuotaRefusal,
    QuotaRequest,
    QuotaSettings,
    SentCall, //
};
use limpetweir_state::{
    Epoch,
    Incarnation,
    InstanceId,
    Limit,
    OrganisationId,
    Timestamp, //
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn organisation() -> OrganisationId {
    OrganisationId::try_from("o").expect("valid name")
}

fn limit(rate: f64, burst: f64) -> Option<Limit> {
    Some(Limit::new(rate, burst).expect("valid limit"))
}

fn borrower(name: &str) -> QuotaGrantee {
    let me = Incarnation {
        instance: name.try_into().expect("valid name"),
        started: 1,
    };
    QuotaGrantee::new(me, QuotaSettings::default())
}

fn home(epoch: u64, start: OwnershipStart, now: Timestamp) -> QuotaOwner {
    let mut home = QuotaOwner::new(Epoch(epoch), start, QuotaSettings::default(), now);
    home.set_limit(&organisation(), limit(100.0, 100.0), now);
    home
}

/// Offers `count` requests, so that the borrower has demand, and returns the renewal.
fn renewal(borrower: &mut QuotaGrantee, count: u32, now: Timestamp) -> (QuotaRequest, SentCall) {
    for _ in 0..count {
        borrower.admit(&organisation(), now);
    }
    borrower.renewals(now).pop().expect("a renewal is due")
}

fn renew(borrower: &mut QuotaGrantee, home: &mut QuotaOwner, count: u32, ms: u64) -> QuotaAnswer {
    let (call, sent) = renewal(borrower, count, at(ms));
    let answer = home.handle(&call, at(ms)).expect("the home answers");
    borrower.on_answer(&sent, &answer, at(ms));
    answer
}

fn rate(borrower: &QuotaGrantee, ms: u64) -> f64 {
    let share = borrower.share(&organisation(), at(ms));
    share.map_or(0.0, |share| share.rate)
}

/// Guards against a new home that repeats a share which the former home has reduced since, when the
/// report of the greater share arrives late.
#[test]
fn late_report_does_not_restore_a_reduced_share() {
    let mut former = home(1, OwnershipStart::First, at(0));
    let (mut a, mut b) = (borrower("a"), borrower("b"));
    renew(&mut a, &mut former, 50, 0);
    assert_eq!(rate(&a, 0), 80.0);
    renew(&mut b, &mut former, 50, 100);
    // The report of 80 requests per second is on its way to the new home from here on.
    let (late_call, late_sent) = renewal(&mut a, 50, at(500));
    renew(&mut a, &mut former, 50, 1_000);
    renew(&mut b, &mut former, 50, 1_100);
    renew(&mut a, &mut former, 50, 1_500);
    renew(&mut b, &mut former, 50, 1_600);
    let reduced = rate(&a, 1_600);
    assert!(reduced < 60.0 && rate(&b, 1_600) > 20.0);
    assert!(reduced + rate(&b, 1_600) <= 80.0 + 1e-9);
    // The former home released its group, so the new one acts at once.
    let mut later = home(2, OwnershipStart::AfterRelease, at(1_700));
    let answer = later.handle(&late_call, at(1_700)).unwrap();
    a.on_answer(&late_sent, &answer, at(1_700));
    assert_eq!(rate(&a, 1_700), reduced);
}

/// Guards against a borrower that follows a message of a former home after it met the new one.
#[test]
fn grant_of_a_former_home_is_refused() {
    let mut former = home(1, OwnershipStart::First, at(0));
    let mut a = borrower("a");
    renew(&mut a, &mut former, 50, 0);
    let (call, sent) = renewal(&mut a, 50, at(500));
    let late = former.handle(&call, at(500)).unwrap();
    let mut later = home(2, OwnershipStart::AfterRelease, at(600));
    renew(&mut a, &mut later, 50, 1_000);
    let share = a.share(&organisation(), at(1_100)).unwrap();
    assert_eq!(share.id.epoch, Epoch(2));
    a.on_answer(&sent, &late, at(1_100));
    assert_eq!(a.share(&organisation(), at(1_100)).unwrap(), share);
}

/// Guards against a home that goes on lending after a borrower met its successor.
#[test]
fn replaced_home_refuses() {
    let mut a = borrower("a");
    let mut later = home(2, OwnershipStart::First, at(0));
    renew(&mut a, &mut later, 50, 0);
    let (call, _) = renewal(&mut a, 50, at(500));
    let mut former = home(1, OwnershipStart::First, at(0));
    let refusal = former.handle(&call, at(500)).unwrap_err();
    assert!(matches!(refusal, QuotaRefusal::Replaced { .. }));
}

/// Guards against a home that acts within the former home's lease, and against a caller that is not
/// told how long that takes.
#[test]
fn new_home_tells_when_it_acts() {
    let mut later = home(2, OwnershipStart::AfterLoss, at(0));
    let (call, _) = borrower("a").admission_request(&organisation(), 1, at(300));
    let refusal = later.handle(&call, at(300)).unwrap_err();
    let retry_after = Duration::from_secs(3);
    assert_eq!(refusal, QuotaRefusal::NotActive { retry_after });
    assert!(later.handle(&call, at(3_300)).is_ok());
}

/// Guards against a lowered limit that the home applies only at the next renewal.
#[test]
fn lowered_limit_is_in_force_at_once_at_the_home() {
    let mut home = home(1, OwnershipStart::First, at(0));
    home.set_limit(&organisation(), limit(1.0, 2.0), at(100));
    let (call, _) = borrower("a").admission_request(&organisation(), 50, at(100));
    let answer = home
        .handle(
            &QuotaRequest {
                renew: false,
                ..call
            },
            at(100),
        )
        .unwrap();
    assert_eq!(answer.admitted, 2);
    assert!(answer.retry_after.is_some());
}

/// Guards against a full burst for an organisation that is removed and added again.
#[test]
fn organisation_that_returns_starts_empty() {
    let mut home = home(1, OwnershipStart::First, at(0));
    let (call, _) = borrower("a").admission_request(&organisation(), 100, at(0));
    let call = QuotaRequest {
        renew: false,
        ..call
    };
    assert_eq!(home.handle(&call, at(0)).unwrap().admitted, 100);
    home.set_limits([], at(10));
    let refusal = home.handle(&call, at(10)).unwrap_err();
    assert!(matches!(refusal, QuotaRefusal::UnknownOrganisation { .. }));
    home.set_limit(&organisation(), limit(100.0, 100.0), at(60));
    assert!(home.handle(&call, at(60)).unwrap().admitted <= 5);
}

/// Guards against a share that is used after its lease, counted from the send time of the renewal.
#[test]
fn share_ends_with_its_lease() {
    let mut home = home(1, OwnershipStart::First, at(0));
    let mut a = borrower("a");
    let (call, sent) = renewal(&mut a, 50, at(0));
    let answer = home.handle(&call, at(1_000)).unwrap();
    a.on_answer(&sent, &answer, at(2_000));
    assert_eq!(
        a.admit(&organisation(), at(7_999)),
        LocalAdmission::Admitted
    );
    assert_eq!(a.admit(&organisation(), at(8_000)), LocalAdmission::NoToken);
    // The home counts from the arrival of the renewal, and 10% more.
    assert!(
        home.status(&organisation(), at(9_799))
            .unwrap()
            .granted_rate
            > 0.0
    );
    assert_eq!(
        home.status(&organisation(), at(9_800))
            .unwrap()
            .granted_rate,
        0.0
    );
}

/// Guards against an idle organisation that costs messages and memory for ever.
#[test]
fn idle_organisation_is_forgotten() {
    let mut home = home(1, OwnershipStart::First, at(0));
    let mut a = borrower("a");
    renew(&mut a, &mut home, 50, 0);
    let mut last = 0;
    for ms in (500..60_000).step_by(500) {
        for (call, sent) in a.renewals(at(ms)) {
            let answer = home.handle(&call, at(ms)).unwrap();
            a.on_answer(&sent, &answer, at(ms));
            last = ms;
        }
    }
    assert!(last < 30_000, "still renewed after {last} ms");
    assert_eq!(
        home.status(&organisation(), at(60_000)).unwrap().grantees,
        0
    );
}

/// Guards against shares so small that they can never admit a request.
#[test]
fn small_burst_stays_with_the_home() {
    let mut home = home(1, OwnershipStart::First, at(0));
    home.set_limit(&organisation(), limit(10.0, 1.5), at(0));
    let answer = renew(&mut borrower("a"), &mut home, 50, 0);
    assert_eq!(answer.share, None);
}

/// Guards against tokens of a share that only its own instance can use while no home acts, and
/// against a peer that admits more than its share holds or after its lease.
#[test]
fn peer_admits_from_its_share() {
    let mut home = home(1, OwnershipStart::First, at(0));
    let (mut lender, mut asker) = (borrower("a"), borrower("b"));
    renew(&mut lender, &mut home, 50, 0);
    let held = lender.share(&organisation(), at(10)).unwrap().tokens;
    let call = asker.peer_request(&organisation(), 1_000);
    let answer = lender.answer_peer(&call, at(10));
    assert_eq!(f64::from(answer.admitted), held.floor());
    assert!(answer.admitted > 0 && answer.share.is_none());
    assert_eq!(lender.answer_peer(&call, at(10)).admitted, 0);
    assert_eq!(lender.answer_peer(&call, at(8_000)).admitted, 0);
    assert_eq!(asker.answer_peer(&call, at(10)).admitted, 0);
}

/// Guards against asks that begin at peers without tokens although another peer has some, and
/// against messages to all peers for each request above the rate.
#[test]
fn peers_are_asked_from_the_last_lender_on() {
    let mut asker = borrower("b");
    let peers = ["a", "b", "c", "d"].map(|name| InstanceId::try_from(name).unwrap());
    let order = |asker: &mut QuotaGrantee, ms| -> Vec<String> {
        let order = asker.peers_to_try(&organisation(), &peers, at(ms));
        order.iter().map(|peer| peer.as_str().to_owned()).collect()
    };
    assert_eq!(order(&mut asker, 0), ["c", "d", "a"]);
    asker.on_peer_admitted(&organisation(), &peers[3], at(0));
    assert_eq!(order(&mut asker, 0), ["d", "a", "c"]);
    asker.on_peers_empty(&organisation(), at(0));
    assert!(order(&mut asker, 99).is_empty());
    assert_eq!(order(&mut asker, 100), ["d", "a", "c"]);
}

/// Guards against requests that wait for a lost home although peers can admit them.
#[test]
fn home_that_fails_is_asked_last() {
    let mut asker = borrower("b");
    assert!(asker.tries_owner_first(&organisation(), at(0)));
    asker.on_owner_failed(&organisation(), at(0));
    assert!(!asker.tries_owner_first(&organisation(), at(499)));
    assert!(asker.tries_owner_first(&organisation(), at(500)));
}

/// Guards against a share that is lost together with its home while other borrowers could have it.
#[test]
fn home_lends_nothing_to_its_own_instance_among_many() {
    let mut home = home(1, OwnershipStart::First, at(0));
    home.set_limit(&organisation(), limit(100.0, 200.0), at(0));
    let mut borrowers = ["a", "b", "c", "d"].map(borrower);
    home.set_own(Incarnation {
        instance: "a".try_into().unwrap(),
        started: 1,
    });
    for ms in (0..5_000).step_by(500) {
        for borrower in &mut borrowers {
            renew(borrower, &mut home, 10, ms);
        }
    }
    let rates = borrowers.map(|borrower| rate(&borrower, 4_500));
    assert_eq!(rates[0], 0.0);
    assert!(rates[1..].iter().all(|rate| *rate > 25.0));
}
