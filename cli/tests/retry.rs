//! Retry decisions: verdicts, retry times requested by instances, and backoff.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use limpetweir::retry::{
    Failure,
    RetryContext,
    decide, //
};
use limpetweir_protocol::http::ErrorBody;
use limpetweir_state::Verdict;
use rstest::rstest;

const CONTEXT: RetryContext = RetryContext {
    idempotent: false,
    attempts: 1,
    addresses: 3,
    remaining: Duration::from_secs(30),
    jitter: 1.0,
};

fn error_response(status: u16, verdict: Verdict, retry_after: Option<Duration>) -> Failure {
    Failure::ErrorResponse {
        status,
        error: ErrorBody::new(status, "code", "message", verdict).error,
        retry_after,
    }
}

fn no_response(verdict: Verdict) -> Failure {
    Failure::NoResponse {
        addr: "127.0.0.1:1".parse().unwrap(),
        verdict,
        cause: "no answer".to_owned(),
    }
}

/// Guards against a request that may run twice although it is not idempotent.
#[rstest]
#[case(Verdict::NotRun, false, true)]
#[case(Verdict::NotRun, true, true)]
#[case(Verdict::MayHaveRun, false, false)]
#[case(Verdict::MayHaveRun, true, true)]
#[case(Verdict::Ran, true, false)]
fn the_verdict_decides_on_retries(
    #[case] verdict: Verdict,
    #[case] idempotent: bool,
    #[case] retried: bool,
) {
    let context = RetryContext {
        idempotent,
        ..CONTEXT
    };
    assert_eq!(decide(&no_response(verdict), &context).is_some(), retried);
    let error_response = error_response(503, verdict, None);
    assert_eq!(decide(&error_response, &context).is_some(), retried);
}

/// Guards against retries of an invalid request, which every instance rejects.
#[rstest]
#[case(400)]
#[case(401)]
#[case(403)]
#[case(404)]
#[case(409)]
#[case(413)]
fn an_invalid_request_is_not_retried(#[case] status: u16) {
    assert_eq!(
        decide(&error_response(status, Verdict::NotRun, None), &CONTEXT),
        None
    );
}

/// Guards against a retry before the time that the instance requested.
#[rstest]
#[case(429, false)]
#[case(503, true)]
fn the_requested_retry_time_is_respected(#[case] status: u16, #[case] next_address: bool) {
    let after = Duration::from_millis(700);
    let retry = decide(
        &error_response(status, Verdict::NotRun, Some(after)),
        &CONTEXT,
    )
    .unwrap();
    assert_eq!(retry.wait, after);
    assert_eq!(retry.next_address, next_address);
}

/// Guards against a wait that ends after the request's deadline.
#[test]
fn no_retry_ends_after_the_deadline() {
    let failure = error_response(503, Verdict::NotRun, Some(Duration::from_secs(31)));
    assert_eq!(decide(&failure, &CONTEXT), None);
}

/// Guards against a wait while untried addresses remain, and a busy loop when all addresses fail.
#[test]
fn addresses_are_tried_immediately_and_full_passes_back_off() {
    let waits: Vec<u64> = (1..=9)
        .map(|attempts| {
            let context = RetryContext {
                attempts,
                ..CONTEXT
            };
            let retry = decide(&no_response(Verdict::NotRun), &context).unwrap();
            assert!(retry.next_address);
            u64::try_from(retry.wait.as_millis()).unwrap()
        })
        .collect();
    assert_eq!(waits, [0, 0, 100, 0, 0, 200, 0, 0, 400]);
}

/// Guards against a backoff that grows without bound or has no jitter.
#[test]
fn the_backoff_is_bounded_and_jittered() {
    let context = RetryContext {
        attempts: u32::MAX,
        addresses: 1,
        ..CONTEXT
    };
    let longest = decide(&no_response(Verdict::NotRun), &context).unwrap();
    assert_eq!(longest.wait, Duration::from_secs(5));
    let context = RetryContext {
        jitter: 0.0,
        ..context
    };
    let shortest = decide(&no_response(Verdict::NotRun), &context).unwrap();
    assert_eq!(shortest.wait, Duration::from_millis(2500));
}
