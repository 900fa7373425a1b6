//! Serving modes and publications of a fleet by freshness of the configuration.

use std::time::Duration;

use limpetweir_coordination::{
    Freshness,
    Membership,
    PublicationRefusal,
    ServingMode,
    StartStep, //
};
use limpetweir_state::{
    Timestamp,
    Version, //
};
use rstest::rstest;

use crate::fleet::{
    Fleet,
    incarnation,
    instance,
    live,
    report, //
};

const LIMIT: Duration = Duration::from_secs(3);

/// Guards against a partitioned minority that serves an old configuration or accepts a publication.
#[test]
fn a_minority_without_the_log_serves_nothing() {
    let mut fleet = Fleet::settled(5, 2);
    fleet.isolate(0);
    fleet.nodes[0].log_reachable = false;
    fleet.run(LIMIT);
    assert_eq!(fleet.mode(0), ServingMode::Nothing);
    assert_eq!(fleet.mode(1), ServingMode::All);
}

/// Guards against an accepted version that a majority has not received within one heartbeat.
#[test]
fn a_minority_with_the_log_serves_but_accepts_no_publication() {
    let mut fleet = Fleet::settled(5, 2);
    fleet.isolate(0);
    fleet.run(LIMIT);
    assert_eq!(fleet.mode(0), ServingMode::All);
    let node = &fleet.nodes[0];
    assert_eq!(
        node.freshness.may_publish(fleet.now, &node.members),
        Err(PublicationRefusal::NoMajority)
    );
    let other = &fleet.nodes[1];
    assert_eq!(
        other.freshness.may_publish(fleet.now, &other.members),
        Ok(())
    );
}

/// Guards against rejected online requests during a log outage.
#[test]
fn a_log_outage_leaves_online_requests_running() {
    let mut fleet = Fleet::settled(3, 2);
    fleet.log_down = true;
    fleet.run(Duration::from_secs(60));
    for node in &fleet.nodes {
        assert_eq!(node.mode(fleet.now), ServingMode::OnlineOnly);
        assert_eq!(
            node.freshness.may_publish(fleet.now, &node.members),
            Err(PublicationRefusal::LogUnreachable)
        );
    }
    fleet.log_down = false;
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.mode(0), ServingMode::All);
}

/// Guards against an instance that is partitioned from the log only and serves a version that its
/// peers have replaced.
#[test]
fn a_newer_version_at_a_peer_stops_service_without_the_log() {
    let mut fleet = Fleet::settled(3, 2);
    fleet.nodes[0].log_reachable = false;
    fleet.config = Version(2);
    fleet.run(LIMIT);
    assert_eq!(fleet.mode(0), ServingMode::Nothing);
    let node = &mut fleet.nodes[0];
    let (peer, version) = node.freshness.fetch(fleet.now, &node.members).unwrap();
    assert_eq!(version, Version(2));
    assert_ne!(peer, node.own.instance);
    node.freshness.on_version(version);
    assert_eq!(fleet.mode(0), ServingMode::OnlineOnly);
}

/// Guards against trusting heartbeats that were buffered while the process was paused.
#[test]
fn a_paused_instance_serves_nothing_until_it_reads_the_log() {
    let mut fleet = Fleet::settled(3, 2);
    fleet.log_down = true;
    fleet.run(Duration::from_secs(10));
    fleet.nodes[0].paused = true;
    fleet.run(Duration::from_secs(10));
    fleet.nodes[0].paused = false;
    assert_eq!(fleet.mode(0), ServingMode::Nothing);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.mode(0), ServingMode::Nothing);
    fleet.log_down = false;
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.mode(0), ServingMode::All);
}

/// Guards against a start with too few votes. The starting instance has no state and no vote, and a
/// peer without a configuration has none either.
#[rstest]
#[case::one_of_three(&[("b", 5)], StartStep::Wait)]
#[case::second_peer_empty(&[("b", 5), ("c", 0)], StartStep::Wait)]
#[case::two_of_three(
    &[("b", 4), ("c", 5)],
    StartStep::Fetch { peer: instance("c"), version: Version(5) }
)]
fn a_start_without_the_log(#[case] peers: &[(&str, u64)], #[case] step: StartStep) {
    let now = Timestamp::from_millis(1_000);
    let mut members = Membership::new(incarnation("a", 1), now);
    members.set_list(now, live(&["a", "b", "c"]));
    for &(name, version) in peers {
        let mut report = report(incarnation(name, 1), 1, &["a"]);
        report.config_version = Version(version);
        members.on_heartbeat(now, report);
    }
    let mut freshness = Freshness::new(now);
    assert_eq!(freshness.start(now, &members), step);
    freshness.tick(now, &members);
    assert_eq!(freshness.mode(now, &members), ServingMode::Nothing);
    if let StartStep::Fetch { version, .. } = step {
        freshness.on_version(version);
        freshness.tick(now, &members);
        assert_eq!(freshness.mode(now, &members), ServingMode::OnlineOnly);
    }
}

/// Guards against restarted peers without a configuration that confirm an old version.
#[test]
fn peers_without_a_configuration_confirm_nothing() {
    let mut fleet = Fleet::settled(3, 2);
    fleet.log_down = true;
    fleet.run(Duration::from_secs(5));
    fleet.restart(0);
    fleet.restart(1);
    fleet.run(Duration::from_secs(5));
    for i in 0..3 {
        assert_eq!(fleet.mode(i), ServingMode::Nothing, "instance {i}");
    }
}

/// Guards against an acknowledged version that is lost together with the instance that acknowledged
/// it, because a log outage began before other instances read it.
#[rstest]
#[case::alone(&[1, 1, 1, 1], false)]
#[case::minority(&[2, 1, 1, 1], false)]
#[case::majority(&[2, 2, 1, 1], true)]
#[case::newer(&[3, 2, 1, 1], true)]
fn a_publication_is_acknowledged_once_a_majority_holds_it(
    #[case] versions: &[u64],
    #[case] expected: bool,
) {
    let now = Timestamp::from_millis(10_000);
    let names = ["i0", "i1", "i2", "i3", "i4"];
    let mut members = Membership::new(incarnation("i0", 1), now);
    members.set_list(now, live(&names));
    for (name, &version) in names[1..].iter().zip(versions) {
        let mut report = report(incarnation(name, 1), 1, &["i0"]);
        report.config_version = Version(version);
        members.on_heartbeat(now, report);
    }
    let mut freshness = Freshness::new(now);
    freshness.on_confirmed_read(now, Version(2));
    let may = freshness.may_acknowledge(now, &members, Version(2));
    assert_eq!(may, expected);
}
