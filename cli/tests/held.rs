//! The state of what a gateway holds back, and its release.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod support;

use rstest::rstest;
use support::{
    Reply,
    Stub,
    run, //
};

const CASE: &str = "parts=fd1d5588914a5a7d crashes=2 probes=3";

/// Guards against an operator who cannot see or end what holds a request back with one command.
#[rstest]
#[case::listed(&[], "GET /held-parts", CASE, CASE)]
#[case::nothing(&[], "GET /held-parts", "", "no request is held back")]
#[case::released(
    &["--release", "fd1d5588914a5a7d"],
    "DELETE /held-parts/fd1d5588914a5a7d",
    "it is served again",
    "it is served again"
)]
fn held_requests_are_shown_and_released(
    #[case] args: &[&str],
    #[case] target: &str,
    #[case] body: &'static str,
    #[case] printed: &str,
) {
    let stub = Stub::start(move |_, _| Reply::text(200, body));
    let addr = stub.addr.to_string();
    let args = [&["held", "--admin", &addr], args].concat();
    let result = run(&args);
    assert_eq!(result.code, 0, "{result:?}");
    assert_eq!(result.out.trim(), printed);
    assert_eq!(stub.received(target).len(), 1);
}

/// Guards against a release that seems to have worked, and against a key that is sent unchecked.
#[test]
fn an_unknown_key_is_an_error() {
    let stub = Stub::start(|_, _| Reply::text(404, "no request is held back because of it"));
    let addr = stub.addr.to_string();
    let result = run(&["held", "--admin", &addr, "--release", "77"]);
    assert_eq!(result.code, 1, "{result:?}");
    assert_eq!(stub.received("DELETE /held-parts/77").len(), 1);
    let result = run(&["held", "--admin", &addr, "--release", "../x"]);
    assert_eq!(result.code, 2, "{result:?}");
    assert_eq!(stub.received("").len(), 1);
}
