//! Decisions about store calls that peers make, without a network.

use hyper::body::Bytes;
use limpetweir_gateway::{
    Attempts,
    JobsAnswer,
    JobsCall,
    Page,
    Record,
    RecordRange,
    RelayGate,
    RelayPeer,
    StoreAccess,
    StoreError,
    Way,
    ways, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn text() -> String {
    "cause".to_owned()
}

fn unknown() -> StoreError {
    StoreError::Unknown { reason: text() }
}

fn not_done() -> StoreError {
    StoreError::NotDone { reason: text() }
}

fn refused() -> StoreError {
    StoreError::Refused { reason: text() }
}

fn failed() -> StoreError {
    StoreError::Failed { reason: text() }
}

/// What the callers may conclude from an outcome.
#[derive(Debug, PartialEq, Eq)]
enum Promise {
    Done,
    /// It has no effect and never will.
    NotDone,
    Unknown,
}

fn promise(outcome: &Result<u64, StoreError>) -> Promise {
    match outcome {
        Ok(_) => Promise::Done,
        Err(StoreError::Unknown { .. } | StoreError::Failed { .. }) => Promise::Unknown,
        Err(_) => Promise::NotDone,
    }
}

/// Two attempts at an append end one after the other. Guards against an outcome that promises "not
/// done" although one of them may have been executed.
#[rstest]
#[case::rejected_then_done(Err(not_done()), Ok(7), Promise::Done)]
#[case::rejected_twice(Err(not_done()), Err(not_done()), Promise::NotDone)]
#[case::rejected_then_grown(Err(not_done()), Err(StoreError::OffsetMismatch), Promise::NotDone)]
#[case::rejected_then_refused(Err(not_done()), Err(refused()), Promise::NotDone)]
#[case::rejected_then_lost(Err(not_done()), Err(unknown()), Promise::Unknown)]
#[case::lost_then_done(Err(unknown()), Ok(7), Promise::Done)]
#[case::lost_then_grown(Err(unknown()), Err(StoreError::OffsetMismatch), Promise::Unknown)]
#[case::lost_then_refused(Err(unknown()), Err(refused()), Promise::Unknown)]
#[case::lost_then_rejected(Err(unknown()), Err(not_done()), Promise::Unknown)]
#[case::failed_then_rejected(Err(failed()), Err(not_done()), Promise::Unknown)]
fn outcomes_of_two_attempts(
    #[case] first: Result<u64, StoreError>,
    #[case] second: Result<u64, StoreError>,
    #[case] expected: Promise,
) {
    let mut attempts = Attempts::default();
    attempts.started();
    assert_eq!(attempts.ended(first), None);
    attempts.started();
    let outcome = attempts.ended(second);
    let outcome = outcome.unwrap_or_else(|| Err(attempts.all_ended()));
    assert_eq!(promise(&outcome), expected, "{outcome:?}");
}

/// The first attempt is still running when the second one ends. Guards against "not done" while the first
/// one may be executed.
#[rstest]
#[case::done(Ok(7), Some(Promise::Done))]
#[case::grown(Err(StoreError::OffsetMismatch), Some(Promise::Unknown))]
#[case::refused(Err(refused()), Some(Promise::Unknown))]
#[case::rejected(Err(not_done()), None)]
#[case::lost(Err(unknown()), None)]
fn an_attempt_ends_beside_another(
    #[case] second: Result<u64, StoreError>,
    #[case] expected: Option<Promise>,
) {
    let mut attempts = Attempts::default();
    attempts.started();
    attempts.started();
    let outcome = attempts.ended(second);
    assert_eq!(outcome.as_ref().map(promise), expected, "{outcome:?}");
}

fn peer(name: &str, has_access: bool) -> RelayPeer<'_> {
    RelayPeer {
        name,
        same_zone: false,
        has_access,
        has_failed: false,
    }
}

/// The store turns instances away. Guards against calls through peers that it turns away too, against
/// calls that all go through the same peer, and against peers in other zones or ones that have just
/// failed before better ones.
#[test]
fn peers_are_spread_and_ranked() {
    let names: Vec<String> = (0..20).map(|n| format!("i-{n}")).collect();
    let mut peers: Vec<RelayPeer<'_>> = names.iter().map(|name| peer(name, true)).collect();
    peers[3].has_access = false;
    let first = |me: &str, peers: &[RelayPeer<'_>]| match ways(me, true, peers).first() {
        Some(Way::Peer(name)) => name.to_string(),
        other => panic!("{other:?}"),
    };
    let mut chosen: Vec<String> = (0..30).map(|n| first(&format!("me-{n}"), &peers)).collect();
    chosen.sort();
    chosen.dedup();
    assert!(chosen.len() >= 10, "{chosen:?}");
    assert!(!chosen.contains(&"i-3".to_owned()));
    peers[5].same_zone = true;
    assert_eq!(first("me", &peers), "i-5");
    peers[5].has_failed = true;
    assert_ne!(first("me", &peers), "i-5");
    let all = ways("me", true, &peers);
    assert_eq!(all.last(), Some(&Way::Direct));
    assert_eq!(ways("me", false, &peers).first(), Some(&Way::Direct));
}

/// Guards against calls that are multiplied when the store answers hardly any instance.
#[test]
fn calls_are_direct_if_few_peers_have_access() {
    let peers = [
        peer("a", true),
        peer("b", false),
        peer("c", false),
        peer("d", false),
        peer("e", false),
    ];
    assert_eq!(ways("me", true, &peers), [Way::Direct]);
    assert_eq!(ways("me", true, &peers[..4]).len(), 2);
    assert_eq!(ways("me", true, &[]), [Way::Direct]);
}

/// Guards against an instance that stays with its peers once the store answers it, or that makes calls
/// for peers while the store turns it away or is silent to it.
#[test]
fn access_follows_the_own_calls() {
    let mut access = StoreAccess::default();
    assert!(!access.answers(at(0)));
    assert!(!access.call_ended(true, at(0), at(0)));
    assert!(access.answers(at(1_000)));
    assert!(!access.answers(at(2_000)), "no answer for two seconds");
    assert!(!access.call_ended(false, at(2_000), at(2_000)));
    assert!(!access.is_turned_away(), "one failed call");
    assert!(access.call_ended(false, at(2_100), at(2_100)));
    assert!(access.is_turned_away());
    assert!(!access.answers(at(2_100)));
    // A read that waited at the store since before the first failure.
    assert!(!access.call_ended(true, at(1_500), at(2_200)));
    assert!(access.is_turned_away());
    assert!(access.call_ended(true, at(2_400), at(2_400)));
    assert!(access.answers(at(2_400)) && !access.is_turned_away());
    assert!(access.call_overtaken(at(2_500)), "silence to one call");
    access.peer_failed("a", at(2_400));
    assert!(access.has_failed("a", at(3_000)) && !access.has_failed("a", at(3_500)));
}

/// A store that is slow to all instances. Guards against every call being made several times for as long
/// as it is slow.
#[test]
fn overlapping_attempts_without_gain_end() {
    let mut access = StoreAccess::default();
    let mut overlaps = 0;
    for _ in 0..100 {
        overlaps += u32::from(access.take_overlap());
        access.succeeded(1, false);
    }
    assert_eq!(overlaps, 4);
    for _ in 0..100 {
        access.succeeded(0, false);
    }
    for _ in 0..100 {
        assert!(access.take_overlap(), "those that gain go on");
        access.succeeded(1, true);
    }
}

/// Guards against any number of calls of peers at once, in number and bytes.
#[test]
fn calls_of_peers_are_bounded() {
    let gate = RelayGate::new(32 << 20);
    let admitted: Vec<_> = (0..100).filter_map(|_| gate.admit(1)).collect();
    assert_eq!(admitted.len(), 16);
    drop(admitted);
    let admitted: Vec<_> = (0..16).filter_map(|_| gate.admit(4 << 20)).collect();
    // An eighth is kept for small calls.
    assert_eq!(admitted.len(), 7);
    drop(admitted);
    assert!(gate.admit(1).is_some());
}

fn record() -> Record {
    Record {
        key: "j/job".to_owned(),
        value: Bytes::from_static(b"value"),
    }
}

fn calls() -> [JobsCall; 3] {
    let partition = 1;
    let records = vec![record()];
    [
        JobsCall::Append {
            partition,
            at: 7,
            records,
        },
        JobsCall::Read { partition, from: 7 },
        JobsCall::List {
            partition,
            after: Some("r/".to_owned()),
        },
    ]
}

fn answers() -> [JobsAnswer; 3] {
    [
        JobsAnswer::Appended(8),
        JobsAnswer::Range(RecordRange {
            from: 7,
            end: 9,
            records: vec![Some(record()), None],
        }),
        JobsAnswer::Page(Page {
            records: vec![(7, record())],
            next: None,
            end: 9,
        }),
    ]
}

/// Guards against calls and outcomes that change on the way, against an answer to another call, and
/// against a panic on any bytes.
#[test]
fn messages_arrive_as_sent_or_not_at_all() {
    for (n, call) in calls().iter().enumerate() {
        let bytes = call.encode();
        assert_eq!(JobsCall::decode(&bytes).as_ref(), Ok(call));
        for (m, answer) in answers().iter().enumerate() {
            let outcome = Ok(answer.clone());
            let bytes = JobsCall::encode_outcome(&outcome);
            let decoded = call.decode_outcome(&bytes);
            match n == m {
                true => assert_eq!(decoded, Ok(outcome)),
                false => assert!(decoded.is_err()),
            }
        }
        for len in 0..bytes.len() {
            assert!(JobsCall::decode(&bytes[..len]).is_err());
            let mut changed = bytes.to_vec();
            changed[len] ^= 0xff;
            let _ = JobsCall::decode(&changed);
            let _ = call.decode_outcome(&changed);
        }
    }
    let errors = [
        StoreError::OffsetMismatch,
        unknown(),
        not_done(),
        refused(),
        failed(),
    ];
    for err in errors {
        let outcome = Err(err);
        let bytes = JobsCall::encode_outcome(&outcome);
        assert_eq!(calls()[0].decode_outcome(&bytes), Ok(outcome));
    }
    let far = JobsCall::Read {
        partition: 0,
        from: u64::MAX,
    };
    assert!(JobsCall::decode(&far.encode()).is_err());
}
