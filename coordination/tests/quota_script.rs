//! Specific sequences of quota messages that are rare in random runs.

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

fn grantee(name: &str) -> QuotaGrantee {
    let me = Incarnation {
        instance: name.try_into().expect("valid name"),
        started: 1,
    };
    QuotaGrantee::new(me, QuotaSettings::default())
}

fn owner(epoch: u64, start: OwnershipStart, now: Timestamp) -> QuotaOwner {
    let mut owner = QuotaOwner::new(Epoch(epoch), start, QuotaSettings::default(), now);
    owner.set_limit(&organisation(), limit(100.0, 100.0), now);
    owner
}

/// Offers `count` requests, so that the grantee has demand, and returns the renewal.
fn renewal(grantee: &mut QuotaGrantee, count: u32, now: Timestamp) -> (QuotaRequest, SentCall) {
    for _ in 0..count {
        grantee.admit(&organisation(), now);
    }
    grantee.renewals(now).pop().expect("a renewal is due")
}

fn renew(grantee: &mut QuotaGrantee, owner: &mut QuotaOwner, count: u32, ms: u64) -> QuotaAnswer {
    let (call, sent) = renewal(grantee, count, at(ms));
    let answer = owner.handle(&call, at(ms)).expect("the owner answers");
    grantee.on_answer(&sent, &answer, at(ms));
    answer
}

fn rate(grantee: &QuotaGrantee, ms: u64) -> f64 {
    let share = grantee.share(&organisation(), at(ms));
    share.map_or(0.0, |share| share.rate)
}

/// Guards against a new owner that grants the share of a late report again, although the former
/// owner has reduced the share since.
#[test]
fn late_report_does_not_restore_a_reduced_share() {
    let mut former = owner(1, OwnershipStart::First, at(0));
    let (mut a, mut b) = (grantee("a"), grantee("b"));
    renew(&mut a, &mut former, 50, 0);
    assert_eq!(rate(&a, 0), 80.0);
    renew(&mut b, &mut former, 50, 100);
    // From here on, the report of 80 requests per second is in flight to the new owner.
    let (late_call, late_sent) = renewal(&mut a, 50, at(500));
    renew(&mut a, &mut former, 50, 1_000);
    renew(&mut b, &mut former, 50, 1_100);
    renew(&mut a, &mut former, 50, 1_500);
    renew(&mut b, &mut former, 50, 1_600);
    let reduced = rate(&a, 1_600);
    assert!(reduced < 60.0 && rate(&b, 1_600) > 20.0);
    assert!(reduced + rate(&b, 1_600) <= 80.0 + 1e-9);
    // The former owner released its group, so the new one acts immediately.
    let mut later = owner(2, OwnershipStart::AfterRelease, at(1_700));
    let answer = later.handle(&late_call, at(1_700)).unwrap();
    a.on_answer(&late_sent, &answer, at(1_700));
    assert_eq!(rate(&a, 1_700), reduced);
}

/// Guards against a grantee that accepts a grant of a former owner after one of the new owner.
#[test]
fn grant_of_a_former_owner_is_rejected() {
    let mut former = owner(1, OwnershipStart::First, at(0));
    let mut a = grantee("a");
    renew(&mut a, &mut former, 50, 0);
    let (call, sent) = renewal(&mut a, 50, at(500));
    let late = former.handle(&call, at(500)).unwrap();
    let mut later = owner(2, OwnershipStart::AfterRelease, at(600));
    renew(&mut a, &mut later, 50, 1_000);
    let share = a.share(&organisation(), at(1_100)).unwrap();
    assert_eq!(share.id.epoch, Epoch(2));
    a.on_answer(&sent, &late, at(1_100));
    assert_eq!(a.share(&organisation(), at(1_100)).unwrap(), share);
}

/// Guards against an owner that grants shares to a grantee which holds a share of its successor.
#[test]
fn replaced_owner_rejects() {
    let mut a = grantee("a");
    let mut later = owner(2, OwnershipStart::First, at(0));
    renew(&mut a, &mut later, 50, 0);
    let (call, _) = renewal(&mut a, 50, at(500));
    let mut former = owner(1, OwnershipStart::First, at(0));
    let refusal = former.handle(&call, at(500)).unwrap_err();
    assert!(matches!(refusal, QuotaRefusal::Replaced { .. }));
}

/// Guards against an owner that acts within the former owner's lease, and against a rejection
/// without the remaining time.
#[test]
fn new_owner_returns_the_time_until_it_acts() {
    let mut later = owner(2, OwnershipStart::AfterLoss, at(0));
    let (call, _) = grantee("a").admission_request(&organisation(), 1, at(300));
    let refusal = later.handle(&call, at(300)).unwrap_err();
    let retry_after = Duration::from_secs(3);
    assert_eq!(refusal, QuotaRefusal::NotActive { retry_after });
    assert!(later.handle(&call, at(3_300)).is_ok());
}

/// Guards against a lowered limit that the owner applies only at the next renewal.
#[test]
fn lowered_limit_applies_immediately_at_the_owner() {
    let mut owner = owner(1, OwnershipStart::First, at(0));
    owner.set_limit(&organisation(), limit(1.0, 2.0), at(100));
    let (call, _) = grantee("a").admission_request(&organisation(), 50, at(100));
    let answer = owner
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
    let mut owner = owner(1, OwnershipStart::First, at(0));
    let (call, _) = grantee("a").admission_request(&organisation(), 100, at(0));
    let call = QuotaRequest {
        renew: false,
        ..call
    };
    assert_eq!(owner.handle(&call, at(0)).unwrap().admitted, 100);
    owner.set_limits([], at(10));
    let refusal = owner.handle(&call, at(10)).unwrap_err();
    assert!(matches!(refusal, QuotaRefusal::UnknownOrganisation { .. }));
    owner.set_limit(&organisation(), limit(100.0, 100.0), at(60));
    assert!(owner.handle(&call, at(60)).unwrap().admitted <= 5);
}

/// Guards against a share that is used after its lease, counted from the send time of the renewal.
#[test]
fn share_ends_with_its_lease() {
    let mut owner = owner(1, OwnershipStart::First, at(0));
    let mut a = grantee("a");
    let (call, sent) = renewal(&mut a, 50, at(0));
    let answer = owner.handle(&call, at(1_000)).unwrap();
    a.on_answer(&sent, &answer, at(2_000));
    assert_eq!(
        a.admit(&organisation(), at(7_999)),
        LocalAdmission::Admitted
    );
    assert_eq!(a.admit(&organisation(), at(8_000)), LocalAdmission::NoToken);
    // The owner counts the lease plus 10% from the arrival of the renewal.
    assert!(
        owner
            .status(&organisation(), at(9_799))
            .unwrap()
            .granted_rate
            > 0.0
    );
    assert_eq!(
        owner
            .status(&organisation(), at(9_800))
            .unwrap()
            .granted_rate,
        0.0
    );
}

/// Guards against an idle organisation that causes messages and uses memory without end.
#[test]
fn idle_organisation_is_removed() {
    let mut owner = owner(1, OwnershipStart::First, at(0));
    let mut a = grantee("a");
    renew(&mut a, &mut owner, 50, 0);
    let mut last = 0;
    for ms in (500..60_000).step_by(500) {
        for (call, sent) in a.renewals(at(ms)) {
            let answer = owner.handle(&call, at(ms)).unwrap();
            a.on_answer(&sent, &answer, at(ms));
            last = ms;
        }
    }
    assert!(last < 30_000, "still renewed after {last} ms");
    assert_eq!(
        owner.status(&organisation(), at(60_000)).unwrap().grantees,
        0
    );
}

/// Guards against shares so small that they can never admit a request.
#[test]
fn small_burst_stays_with_the_owner() {
    let mut owner = owner(1, OwnershipStart::First, at(0));
    owner.set_limit(&organisation(), limit(10.0, 1.5), at(0));
    let answer = renew(&mut grantee("a"), &mut owner, 50, 0);
    assert_eq!(answer.share, None);
}

/// Guards against tokens of a share that other instances cannot use while no owner acts, and
/// against a peer that admits more requests than its share has tokens, or admits any after the
/// lease.
#[test]
fn peer_admits_from_its_share() {
    let mut owner = owner(1, OwnershipStart::First, at(0));
    let (mut holder, mut requester) = (grantee("a"), grantee("b"));
    renew(&mut holder, &mut owner, 50, 0);
    let held = holder.share(&organisation(), at(10)).unwrap().tokens;
    let call = requester.peer_request(&organisation(), 1_000);
    let answer = holder.answer_peer(&call, at(10));
    assert_eq!(f64::from(answer.admitted), held.floor());
    assert!(answer.admitted > 0 && answer.share.is_none());
    assert_eq!(holder.answer_peer(&call, at(10)).admitted, 0);
    assert_eq!(holder.answer_peer(&call, at(8_000)).admitted, 0);
    assert_eq!(requester.answer_peer(&call, at(10)).admitted, 0);
}

/// Guards against requests that try peers without tokens first although another peer has some, and
/// against messages to all peers for each request above the rate.
#[test]
fn peers_are_tried_from_the_last_admitting_one_on() {
    let mut requester = grantee("b");
    let peers = ["a", "b", "c", "d"].map(|name| InstanceId::try_from(name).unwrap());
    let order = |requester: &mut QuotaGrantee, ms| -> Vec<String> {
        let order = requester.peers_to_try(&organisation(), &peers, at(ms));
        order.iter().map(|peer| peer.as_str().to_owned()).collect()
    };
    assert_eq!(order(&mut requester, 0), ["c", "d", "a"]);
    requester.on_peer_admitted(&organisation(), &peers[3], at(0));
    assert_eq!(order(&mut requester, 0), ["d", "a", "c"]);
    requester.on_peers_empty(&organisation(), at(0));
    assert!(order(&mut requester, 99).is_empty());
    assert_eq!(order(&mut requester, 100), ["d", "a", "c"]);
}

/// Guards against requests that wait for a lost owner although peers can admit them.
#[test]
fn failed_owner_is_tried_last() {
    let mut requester = grantee("b");
    assert!(requester.tries_owner_first(&organisation(), at(0)));
    requester.on_owner_failed(&organisation(), at(0));
    assert!(!requester.tries_owner_first(&organisation(), at(499)));
    assert!(requester.tries_owner_first(&organisation(), at(500)));
}

/// Guards against a share that is lost together with the owner, although other grantees could use
/// it.
#[test]
fn owner_grants_nothing_to_its_own_instance_among_many() {
    let mut owner = owner(1, OwnershipStart::First, at(0));
    owner.set_limit(&organisation(), limit(100.0, 200.0), at(0));
    let mut grantees = ["a", "b", "c", "d"].map(grantee);
    owner.set_own(Incarnation {
        instance: "a".try_into().unwrap(),
        started: 1,
    });
    for ms in (0..5_000).step_by(500) {
        for grantee in &mut grantees {
            renew(grantee, &mut owner, 10, ms);
        }
    }
    let rates = grantees.map(|grantee| rate(&grantee, 4_500));
    assert_eq!(rates[0], 0.0);
    assert!(rates[1..].iter().all(|rate| *rate > 25.0));
}
