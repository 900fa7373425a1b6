//! Choice of the instance that handles a call about jobs.

use hyper::StatusCode;
use limpetweir_gateway::{
    CallKind,
    PartitionFreshness,
    Position,
    forward_targets,
    runners, //
};
use limpetweir_state::{
    Timestamp,
    Verdict, //
};
use rstest::rstest;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn position(next: u64, reads: bool) -> Position {
    Position {
        partition: 3,
        next,
        reads,
    }
}

/// Replays the store rejecting the calls of a third of the instances for nine seconds: this one has
/// read up to offset 4 while others have read up to 60. Guards against an instance that answers
/// without results which another one returned a second ago, and that rejects jobs which others can
/// accept.
#[rstest]
#[case::read(CallKind::Read)]
#[case::end(CallKind::End)]
#[case::submit(CallKind::Submit)]
fn calls_go_to_the_peer_that_has_read_most(#[case] kind: CallKind) {
    let mut freshness = PartitionFreshness::default();
    freshness.peer_advanced(60, 4, at(0));
    freshness.lost = true;
    let peers = [
        ("a", position(9, false)),
        ("b", position(58, true)),
        ("c", position(60, true)),
    ];
    assert_eq!(
        forward_targets(Some(4), &freshness, kind, peers, at(10)),
        ["c", "b"]
    );
}

/// Guards against an instance that answers from old records before it has detected that its reads
/// no longer return.
#[test]
fn an_instance_that_is_behind_forwards_reads() {
    let mut freshness = PartitionFreshness::default();
    let peers = [("b", position(60, true))];
    let read = |freshness: &PartitionFreshness, now| {
        let peers = forward_targets(Some(4), freshness, CallKind::Read, peers, now);
        peers.len()
    };
    freshness.peer_advanced(60, 4, at(1_000));
    assert_eq!(read(&freshness, at(1_100)), 0, "a read is about to end");
    freshness.peer_advanced(61, 4, at(1_250));
    assert_eq!(read(&freshness, at(1_400)), 1);
    freshness.advanced(60);
    assert_eq!(read(&freshness, at(1_400)), 1);
    freshness.advanced(61);
    assert_eq!(read(&freshness, at(1_400)), 0);
}

/// Guards against calls that are forwarded repeatedly while the store responds to no instance.
#[test]
fn without_a_target_calls_are_answered_locally() {
    let mut freshness = PartitionFreshness::default();
    freshness.lost = true;
    let lost = [("b", position(60, false))];
    let older = [("b", position(3, true))];
    let read = |peers| forward_targets(Some(4), &freshness, CallKind::Read, peers, at(0));
    assert!(read(lost).is_empty());
    assert!(read(older).is_empty());
}

/// Guards against an instance that responds that a job does not exist while it still lists the jobs.
#[test]
fn an_instance_without_a_position_forwards_calls() {
    let peers = [("b", position(0, true))];
    let targets = forward_targets(
        None,
        &PartitionFreshness::default(),
        CallKind::Read,
        peers,
        at(0),
    );
    assert_eq!(targets, ["b"]);
}

/// Replays the store rejecting the calls of replicas. Guards against items that wait at an instance
/// which cannot write their results, and against items that no instance runs because the store
/// answers none.
#[test]
fn replicas_with_store_access_run_the_items() {
    let replicas = [("a", Some(true)), ("b", Some(false)), ("c", None)];
    assert_eq!(runners(&replicas), ["a", "c"]);
    let lost = [("a", Some(false)), ("b", Some(false))];
    assert_eq!(runners(&lost), ["a", "b"]);
}

/// Guards against a read that is repeated for every report, and against one that is not repeated
/// for the next record.
#[test]
fn a_read_is_repeated_once_for_each_own_offset() {
    let mut freshness = PartitionFreshness::default();
    freshness.peer_advanced(60, 4, at(0));
    assert!(
        !freshness.should_repeat_read(4, at(50)),
        "the store wakes most reads"
    );
    assert!(freshness.should_repeat_read(4, at(100)));
    freshness.peer_advanced(60, 4, at(110));
    assert!(!freshness.should_repeat_read(4, at(200)));
    freshness.advanced(60);
    freshness.peer_advanced(61, 60, at(210));
    assert!(freshness.should_repeat_read(60, at(300)));
    freshness.advanced(61);
    assert!(!freshness.should_repeat_read(61, at(400)));
    freshness.peer_advanced(70, 61, at(500));
    freshness.lost = true;
    assert!(
        !freshness.should_repeat_read(61, at(600)),
        "the store does not answer"
    );
}

/// Replays an instance that reads a backlog of megabytes while peers read on by thirty records a
/// second. Guards against a transfer that is interrupted and begun again for every record, so that
/// the store spends its bandwidth on reads that nobody waits for.
#[test]
fn a_repeated_read_is_not_interrupted_while_peers_read_on() {
    let mut freshness = PartitionFreshness::default();
    let mut repeated = 0;
    for n in 0..90 {
        let now = at(n * 33);
        freshness.peer_advanced(60 + n, 4, now);
        repeated += u32::from(freshness.should_repeat_read(4, now));
    }
    assert_eq!(repeated, 1);
}

/// Replays the second page of a backlog: the first one has been read, and the peers are ahead all the
/// while. Guards against a read that is interrupted as soon as it begins, so that the store transfers
/// every page twice.
#[test]
fn the_read_of_the_next_page_is_not_interrupted_at_once() {
    let mut freshness = PartitionFreshness::default();
    freshness.peer_advanced(60, 4, at(0));
    assert!(freshness.should_repeat_read(4, at(100)));
    freshness.advanced(30);
    assert!(
        !freshness.should_repeat_read(30, at(120)),
        "the read from 30 has not had the time that a read is given"
    );
}

/// A replica is lost after it has ended a job, and the next one refuses the call. Guards against a 503
/// that promises that a call has no effect which it may have.
#[rstest]
#[case::end_sent(CallKind::End, Verdict::MayHaveRun, true)]
#[case::end_done(CallKind::End, Verdict::Ran, true)]
#[case::end_not_sent(CallKind::End, Verdict::NotRun, false)]
#[case::submission(CallKind::Submit, Verdict::MayHaveRun, true)]
#[case::read(CallKind::Read, Verdict::Ran, false)]
fn a_refusal_after_a_lost_call_is_no_promise(
    #[case] kind: CallKind,
    #[case] verdict: Verdict,
    #[case] expected: bool,
) {
    assert_eq!(kind.may_have_effect(verdict), expected);
}

/// A submission is lost at one replica, and another one answers it. Guards against a refusal that promises
/// that the job does not run although the first replica may have accepted it.
#[rstest]
#[case::accepted(CallKind::Submit, StatusCode::ACCEPTED, true)]
#[case::over_limit(CallKind::Submit, StatusCode::TOO_MANY_REQUESTS, false)]
#[case::invalid(CallKind::Submit, StatusCode::BAD_REQUEST, false)]
#[case::end(CallKind::End, StatusCode::NOT_FOUND, true)]
fn only_an_acceptance_settles_a_lost_submission(
    #[case] kind: CallKind,
    #[case] status: StatusCode,
    #[case] expected: bool,
) {
    assert_eq!(kind.is_final_after_loss(status), expected);
}

/// Guards against a scheduler that reports do not wake although it is to repeat a read of the jobs.
#[test]
fn a_peer_is_ahead_until_this_instance_has_read_as_much() {
    let mut freshness = PartitionFreshness::default();
    assert!(!freshness.is_peer_ahead());
    freshness.peer_advanced(4, 4, at(0));
    assert!(!freshness.is_peer_ahead());
    freshness.peer_advanced(6, 4, at(10));
    assert!(freshness.is_peer_ahead());
    assert!(freshness.should_repeat_read(4, at(90)));
    freshness.advanced(6);
    assert!(!freshness.is_peer_ahead());
}
