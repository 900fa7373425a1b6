//! Retries follow verdicts and the time that an instance names.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use limpetweir::retry::{
    Attempt,
    Failure,
    decide, //
};
use limpetweir_protocol::http::ErrorBody;
use limpetweir_state::Verdict;
use rstest::rstest;

const ATTEMPT: Attempt = Attempt {
    idempotent: false,
    tries: 1,
    addresses: 3,
    remaining: Duration::from_secs(30),
    jitter: 1.0,
};

fn refused(status: u16, verdict: Verdict, retry_after: Option<Duration>) -> Failure {
    Failure::Refused {
        status,
        error: ErrorBody::new(status, "code", "message", verdict).error,
        retry_after,
    }
}

fn silent(verdict: Verdict) -> Failure {
    Failure::NoAnswer {
        addr: "127.0.0.1:1".parse().unwrap(),
        verdict,
        cause: "no answer".to_owned(),
    }
}

/// Guards against a request that is run twice although that has a further effect.
#[rstest]
#[case(Verdict::NotRun, false, true)]
#[case(Verdict::NotRun, true, true)]
#[case(Verdict::MayHaveRun, false, false)]
#[case(Verdict::MayHaveRun, true, true)]
#[case(Verdict::Ran, true, false)]
fn the_verdict_decides(#[case] verdict: Verdict, #[case] idempotent: bool, #[case] again: bool) {
    let attempt = Attempt {
        idempotent,
        ..ATTEMPT
    };
    assert_eq!(decide(&silent(verdict), &attempt).is_some(), again);
    let refused = refused(503, verdict, None);
    assert_eq!(decide(&refused, &attempt).is_some(), again);
}

/// Guards against repeating a request that every instance refuses for itself.
#[rstest]
#[case(400)]
#[case(401)]
#[case(403)]
#[case(404)]
#[case(409)]
#[case(413)]
fn a_faulty_request_is_not_repeated(#[case] status: u16) {
    assert_eq!(
        decide(&refused(status, Verdict::NotRun, None), &ATTEMPT),
        None
    );
}

/// Guards against a retry before the time that the instance named.
#[rstest]
#[case(429, false)]
#[case(503, true)]
fn the_named_time_is_kept(#[case] status: u16, #[case] next_address: bool) {
    let after = Duration::from_millis(700);
    let retry = decide(&refused(status, Verdict::NotRun, Some(after)), &ATTEMPT).unwrap();
    assert_eq!(retry.wait, after);
    assert_eq!(retry.next_address, next_address);
}

/// Guards against a wait that ends after the caller's deadline.
#[test]
fn no_retry_ends_after_the_deadline() {
    let failure = refused(503, Verdict::NotRun, Some(Duration::from_secs(31)));
    assert_eq!(decide(&failure, &ATTEMPT), None);
}

/// Guards against a wait while another address may answer, and against a busy loop when none does.
#[test]
fn addresses_are_tried_at_once_and_rounds_back_off() {
    let waits: Vec<u64> = (1..=9)
        .map(|tries| {
            let attempt = Attempt { tries, ..ATTEMPT };
            let retry = decide(&silent(Verdict::NotRun), &attempt).unwrap();
            assert!(retry.next_address);
            u64::try_from(retry.wait.as_millis()).unwrap()
        })
        .collect();
    assert_eq!(waits, [0, 0, 100, 0, 0, 200, 0, 0, 400]);
}

/// Guards against a wait that grows without bound or has no spread.
#[test]
fn the_back_off_is_bounded_and_spread() {
    let attempt = Attempt {
        tries: u32::MAX,
        addresses: 1,
        ..ATTEMPT
    };
    let longest = decide(&silent(Verdict::NotRun), &attempt).unwrap();
    assert_eq!(longest.wait, Duration::from_secs(5));
    let attempt = Attempt {
        jitter: 0.0,
        ..attempt
    };
    let shortest = decide(&silent(Verdict::NotRun), &attempt).unwrap();
    assert_eq!(shortest.wait, Duration::from_millis(2500));
}
