//! Which instance answers a call about jobs.

use limpetweir_gateway::{
    CallKind,
    Currency,
    Position,
    better_peers,
    runners, //
};
use limpetweir_state::Timestamp;
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

/// Replays the store turning a third of the instances away for nine seconds: this one has read up
/// to 4 when others go on to 60. Guards against an instance that denies results which another one
/// has shown a second ago, and that refuses jobs which others can take.
#[rstest]
#[case::read(CallKind::Read)]
#[case::end(CallKind::End)]
#[case::submit(CallKind::Submit)]
fn calls_go_to_the_peer_that_has_read_most(#[case] kind: CallKind) {
    let mut currency = Currency::default();
    currency.heard(60, 4, at(0));
    currency.lost = true;
    let peers = [
        ("a", position(9, false)),
        ("b", position(58, true)),
        ("c", position(60, true)),
    ];
    assert_eq!(
        better_peers(Some(4), &currency, kind, peers, at(10)),
        ["c", "b"]
    );
}

/// Guards against an instance that answers from old records because it has not noticed yet that its
/// reads no longer end.
#[test]
fn an_instance_that_is_behind_passes_reads_on() {
    let mut currency = Currency::default();
    let peers = [("b", position(60, true))];
    let read = |currency: &Currency, now| {
        let peers = better_peers(Some(4), currency, CallKind::Read, peers, now);
        peers.len()
    };
    currency.heard(60, 4, at(1_000));
    assert_eq!(read(&currency, at(1_100)), 0, "a read is about to end");
    currency.heard(61, 4, at(1_250));
    assert_eq!(read(&currency, at(1_400)), 1);
    currency.advanced(60);
    assert_eq!(read(&currency, at(1_400)), 1);
    currency.advanced(61);
    assert_eq!(read(&currency, at(1_400)), 0);
}

/// Guards against calls that are passed around while the store answers no instance.
#[test]
fn without_a_better_peer_calls_are_answered_here() {
    let mut currency = Currency::default();
    currency.lost = true;
    let lost = [("b", position(60, false))];
    let older = [("b", position(3, true))];
    let read = |peers| better_peers(Some(4), &currency, CallKind::Read, peers, at(0));
    assert!(read(lost).is_empty());
    assert!(read(older).is_empty());
}

/// Guards against an instance that denies jobs while it still lists them.
#[test]
fn an_instance_that_has_read_nothing_passes_calls_on() {
    let peers = [("b", position(0, true))];
    let better = better_peers(None, &Currency::default(), CallKind::Read, peers, at(0));
    assert_eq!(better, ["b"]);
}

/// Replays the store turning holders away. Guards against items that wait at an instance which cannot
/// write their results, and against items that nobody runs because the store answers no instance.
#[test]
fn holders_that_the_store_answers_run_the_items() {
    let holders = [("a", Some(true)), ("b", Some(false)), ("c", None)];
    assert_eq!(runners(&holders), ["a", "c"]);
    let lost = [("a", Some(false)), ("b", Some(false))];
    assert_eq!(runners(&lost), ["a", "b"]);
}

/// Guards against a read that is repeated for every report, and one that is not repeated for the next
/// record.
#[test]
fn a_read_is_repeated_once_for_each_offset() {
    let mut currency = Currency::default();
    currency.heard(60, 4, at(0));
    assert!(!currency.wakes(at(50)), "the store wakes most reads");
    assert!(currency.wakes(at(100)));
    currency.heard(60, 4, at(110));
    assert!(!currency.wakes(at(200)));
    currency.heard(61, 4, at(210));
    assert!(currency.wakes(at(220)));
    currency.advanced(61);
    assert!(!currency.wakes(at(400)));
    currency.heard(70, 61, at(500));
    currency.lost = true;
    assert!(!currency.wakes(at(600)), "the store does not answer");
}
