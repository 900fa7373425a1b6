//! Members as one instance sees them.

use std::time::Duration;

use limpetweir_coordination::timing::HEARTBEAT_TIMEOUT;
use limpetweir_coordination::{
    HeartbeatOutcome,
    ListState,
    Membership,
    Presence,
    Report, //
};
use limpetweir_state::{
    BackendId,
    Timestamp, //
};
use rstest::rstest;

use crate::fleet::{
    incarnation,
    instance,
    live,
    report, //
};

const START: Timestamp = Timestamp::from_millis(1_000);

fn members(listed: &[&str]) -> Membership {
    let mut members = Membership::new(incarnation("a", 1), START);
    members.set_list(START, live(listed));
    members
}

/// Guards against a majority that is exactly half, or that exists before the list was read.
#[rstest]
#[case::alone_of_one(&["a"], &[], true)]
#[case::one_of_two(&["a", "b"], &[], false)]
#[case::two_of_three(&["a", "b", "c"], &["b"], true)]
#[case::two_of_four(&["a", "b", "c", "d"], &["b"], false)]
#[case::unlisted_peer(&["a", "b", "c"], &["x"], false)]
#[case::unlisted_self(&["b", "c"], &["b"], true)]
#[case::unlisted_self_alone(&["b"], &[], false)]
#[case::empty_list(&[], &[], false)]
fn majority_of_the_listed(#[case] listed: &[&str], #[case] heard: &[&str], #[case] majority: bool) {
    let mut members = members(listed);
    for name in heard {
        members.on_heartbeat(START, report(incarnation(name, 1), 1, &["a"]));
    }
    assert_eq!(members.reaches_majority(START), majority);
}

#[test]
fn no_majority_before_the_first_list() {
    let mut members = Membership::new(incarnation("a", 1), START);
    members.on_heartbeat(START, report(incarnation("b", 1), 1, &["a"]));
    assert!(!members.reaches_majority(START));
}

/// Guards against counting peers that this instance hears but that do not hear it.
#[test]
fn a_one_way_partition_is_no_contact() {
    let mut members = members(&["a", "b", "c"]);
    members.on_heartbeat(START, report(incarnation("b", 1), 1, &["c"]));
    members.on_heartbeat(START, report(incarnation("c", 1), 1, &["b"]));
    assert_eq!(members.reachable_reports(START).count(), 2);
    assert!(!members.reaches_majority(START));
}

/// Guards against a late heartbeat of a replaced incarnation that revives it.
#[test]
fn a_later_start_replaces_an_incarnation() {
    let mut members = members(&["a", "b"]);
    let (old, new) = (incarnation("b", 1), incarnation("b", 2));
    let first = members.on_heartbeat(START, report(old.clone(), 7, &["a"]));
    assert_eq!(first, HeartbeatOutcome::NewIncarnation);
    let second = members.on_heartbeat(START, report(new.clone(), 1, &["a"]));
    assert_eq!(second, HeartbeatOutcome::NewIncarnation);
    let late = members.on_heartbeat(START, report(old.clone(), 8, &["a"]));
    assert_eq!(late, HeartbeatOutcome::Stale);
    assert_eq!(members.presence(START, &old), Presence::Replaced);
    assert_eq!(members.presence(START, &new), Presence::Present);
}

/// Guards against a repeated heartbeat that keeps a dead peer from becoming silent.
#[test]
fn a_repeated_heartbeat_does_not_extend_presence() {
    let mut members = members(&["a", "b"]);
    let b = incarnation("b", 1);
    members.on_heartbeat(START, report(b.clone(), 1, &["a"]));
    let later = START + HEARTBEAT_TIMEOUT;
    let repeated = members.on_heartbeat(later, report(b.clone(), 1, &["a"]));
    assert_eq!(repeated, HeartbeatOutcome::Stale);
    assert_eq!(members.presence(later, &b), Presence::Unreachable);
}

/// Guards against taking peers for silent before they had the time to connect.
#[test]
fn a_peer_is_not_silent_just_after_the_own_start() {
    let members = members(&["a", "b"]);
    let b = incarnation("b", 1);
    let almost = START + HEARTBEAT_TIMEOUT - Duration::from_millis(1);
    assert_eq!(members.presence(almost, &b), Presence::Present);
    let later = START + HEARTBEAT_TIMEOUT;
    assert_eq!(members.presence(later, &b), Presence::Unreachable);
    let unlisted = members.presence(later, &incarnation("x", 1));
    assert_eq!(unlisted, Presence::Absent);
}

/// Guards against counting the online requests of instances that are gone.
#[test]
fn online_load_counts_heard_peers_only() {
    let mut members = members(&["a", "b", "c"]);
    let backend = BackendId::try_from("e1").unwrap();
    let later = START + Duration::from_secs(1);
    for (at, name, count) in [(START, "b", 3), (later, "c", 4)] {
        let mut report = report(incarnation(name, 1), 1, &["a"]);
        report.online.insert(backend.clone(), count);
        members.on_heartbeat(at, report);
    }
    assert_eq!(members.online_at_peers(later, &backend), 7);
    let after_b = START + HEARTBEAT_TIMEOUT;
    assert_eq!(members.online_at_peers(after_b, &backend), 4);
}

/// Guards against a preferred owner that cannot claim, which leaves its groups without an owner.
#[rstest]
#[case::able(|_: &mut Report| (), true)]
#[case::leaving(|r: &mut Report| r.leaving = true, false)]
#[case::not_serving(|r: &mut Report| r.serving = false, false)]
#[case::log_unread(|r: &mut Report| r.log_age = None, false)]
#[case::minority(|r: &mut Report| r.reachable.clear(), false)]
#[case::does_not_hear_us(
    |r: &mut Report| { r.reachable.remove(&instance("a")); },
    false
)]
fn only_instances_that_can_claim_are_candidates(
    #[case] change: fn(&mut Report),
    #[case] able: bool,
) {
    let mut members = members(&["a", "b", "c"]);
    let mut report = report(incarnation("b", 1), 1, &["a", "c"]);
    change(&mut report);
    members.on_heartbeat(START, report);
    assert_eq!(
        members.eligible_peers(START).contains_key(&instance("b")),
        able
    );
}

/// Guards against sending callers to instances that are leaving, silent or not yet serving.
#[test]
fn serving_peers_are_heard_live_and_not_leaving() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut members = members(&names);
    let later = START + HEARTBEAT_TIMEOUT;
    members.on_heartbeat(START, report(incarnation("b", 1), 1, &["a"]));
    let mut leaving = report(incarnation("c", 1), 1, &["a"]);
    leaving.leaving = true;
    members.on_heartbeat(later, leaving);
    let mut starting = report(incarnation("d", 1), 1, &["a"]);
    starting.serving = false;
    members.on_heartbeat(later, starting);
    members.on_heartbeat(later, report(incarnation("e", 1), 1, &["a"]));
    members.on_heartbeat(later, report(incarnation("f", 1), 1, &["a"]));
    let mut list = live(&names);
    list.insert(instance("f"), ListState::Leaving);
    members.set_list(later, list);
    let serving: Vec<_> = members.serving_peers(later).collect();
    assert_eq!(serving, [&instance("e")]);
}
