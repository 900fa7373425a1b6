//! Jobs, online requests and discovery against stub instances.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod support;

use std::fs;
use std::net::SocketAddr;

use limpetweir_state::Verdict;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    KEY,
    ReceivedRequest,
    Reply,
    Stub,
    ToolRun,
    closed_address,
    dropping_address,
    file,
    path,
    run_at,
    tool, //
};

const ITEMS: &str = "{\"id\": \"a\", \"prompt\": \"p\", \"max_tokens\": 1}\n";

const STREAM: &str = "data: {\"choices\":[{\"text\":\"one \"}]}\n\n\
    data: {\"choices\":[{\"text\":\"two\"}]}\n\ndata: [DONE]\n\n";

fn job_status(state: &str, completed: u32) -> Value {
    json!({
        "id": "0-a", "state": state, "service": "chat", "model": "small",
        "deadline": 1_800_000_000_000_u64, "items": 3, "completed": completed, "failed": 0,
        "usage": {"prompt_tokens": 5, "completion_tokens": 6},
    })
}

fn addresses(list: &[SocketAddr], ttl_ms: u64) -> Reply {
    let list: Vec<Value> = list
        .iter()
        .map(|addr| json!({"instance": "a", "zone": "z", "address": addr}))
        .collect();
    Reply::json(200, &json!({"addresses": list, "ttl_ms": ttl_ms}))
}

fn no_discovery() -> Reply {
    Reply::error(404, "not_found", Verdict::NotRun, None)
}

fn accept_job(request: &ReceivedRequest, _: usize) -> Reply {
    match request.target.as_str() {
        "POST /v1/jobs" => Reply::json(200, &json!({"id": "0-a", "items": 1})),
        _ => no_discovery(),
    }
}

fn submit(addresses: &str, file: &str, more: &[&str]) -> ToolRun {
    let mut args = vec![
        "job",
        "submit",
        file,
        "--service",
        "chat",
        "--model",
        "small",
    ];
    args.extend(["--deadline", "2h", "--address", addresses]);
    args.extend(more);
    tool(&args)
        .env("LIMPETWEIR_KEY", KEY)
        .output()
        .unwrap()
        .into()
}

/// Guards against a submission without an idempotency key, and a generated key that is not printed.
#[rstest]
#[case(&["--idempotency-key", "mine"], Some("mine"))]
#[case(&[], None)]
fn a_job_is_submitted_with_its_idempotency_key(#[case] more: &[&str], #[case] given: Option<&str>) {
    let stub = Stub::start(accept_job);
    let file = file("submit.jsonl", ITEMS);
    let ran = submit(&stub.addr.to_string(), &file, more);
    assert_eq!((ran.code, ran.out.as_str()), (0, "0-a\n"), "{ran:?}");
    let sent = stub.received("POST");
    assert_eq!(sent.len(), 1);
    let key = sent[0].header("idempotency-key");
    assert!(given.is_none_or(|given| given == key));
    assert!(
        ran.err.contains(&format!("idempotency key {key}")),
        "{ran:?}"
    );
    assert_eq!(sent[0].header("authorization"), format!("Bearer {KEY}"));
    let body: Value = serde_json::from_str(&sent[0].body).unwrap();
    let expected = json!({
        "service": "chat", "model": "small", "deadline_s": 7200,
        "items": [{"id": "a", "prompt": "p", "max_tokens": 1}],
    });
    assert_eq!(body, expected);
}

/// Guards against invalid items that are sent to the fleet, or reported without their lines.
#[test]
fn invalid_items_are_not_sent() {
    let stub = Stub::start(accept_job);
    let file = file("submit-faulty.jsonl", &format!("{ITEMS}{{}}\n{ITEMS}"));
    let ran = submit(&stub.addr.to_string(), &file, &[]);
    assert_eq!(ran.code, 1, "{ran:?}");
    let lines: Vec<&str> = ran.err.lines().collect();
    assert!(
        lines[0].starts_with(&format!("{file}:2: missing field")),
        "{ran:?}"
    );
    assert!(
        lines[1].starts_with(&format!("{file}:3: the id \"a\"")),
        "{ran:?}"
    );
    assert!(stub.received("").is_empty());
}

/// Guards against a second job when the response to the first submission is lost.
#[test]
fn a_submission_is_retried_with_the_same_key() {
    let stub = Stub::start(|request, earlier| match request.target.as_str() {
        "POST /v1/jobs" if earlier == 0 => Reply::truncated("{"),
        "POST /v1/jobs" if earlier == 1 => {
            Reply::error(503, "log_outage", Verdict::NotRun, Some(20))
        }
        _ => accept_job(request, earlier),
    });
    let file = file("submit-lost.jsonl", ITEMS);
    let ran = submit(&stub.addr.to_string(), &file, &[]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let sent = stub.received("POST");
    assert_eq!(sent.len(), 3);
    let keys = sent.iter().map(|r| r.header("idempotency-key"));
    assert!(
        keys.clone()
            .all(|key| key == sent[0].header("idempotency-key"))
    );
    assert_eq!(keys.count(), 3);
}

/// Guards against an unanswered submission that the caller cannot repeat safely, for lack of its
/// key.
#[test]
fn an_unanswered_submission_reports_its_key() {
    let addr = dropping_address().to_string();
    let file = file("submit-unknown.jsonl", ITEMS);
    let ran = submit(
        &addr,
        &file,
        &["--idempotency-key", "mine", "--timeout", "2s"],
    );
    assert_eq!(ran.code, 1, "{ran:?}");
    let again = "--idempotency-key mine --deadline 7200s";
    assert!(ran.err.contains(again), "{ran:?}");
}

/// Guards against a submission that is reported as not run because its last attempt was refused,
/// although an earlier one may have been accepted.
#[rstest]
#[case::retry_past_the_timeout(503, Some(3_600_000))]
#[case::refused_for_good(400, None)]
fn a_refused_repetition_of_an_unanswered_submission_reports_its_key(
    #[case] status: u16,
    #[case] retry_after_ms: Option<u64>,
) {
    let stub = Stub::start(move |request, earlier| match request.target.as_str() {
        "POST /v1/jobs" if earlier == 0 => Reply::truncated("{"),
        "POST /v1/jobs" => Reply::error(status, "refused", Verdict::NotRun, retry_after_ms),
        _ => no_discovery(),
    });
    let file = file("submit-refused-again.jsonl", ITEMS);
    let addr = stub.addr.to_string();
    let ran = submit(&addr, &file, &["--idempotency-key", "mine"]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert_eq!(stub.received("POST").len(), 2);
    let again = "--idempotency-key mine --deadline 7200s";
    assert!(ran.err.contains(again), "{ran:?}");
}

/// Guards against a single failing instance that makes the tool fail.
#[rstest]
#[case(closed_address())]
#[case(dropping_address())]
fn another_address_is_tried(#[case] failing: SocketAddr) {
    let stub = Stub::start(accept_job);
    let file = file("submit-fallback.jsonl", ITEMS);
    let ran = submit(&format!("{failing},{}", stub.addr), &file, &[]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(stub.received("POST /v1/jobs").len(), 1);
}

/// Guards against discovery responses that are not used, or requested again before they expire.
#[test]
fn discovery_responses_are_used_for_their_time_to_live() {
    let target = Stub::start(|_, earlier| {
        let state = if earlier == 0 { "running" } else { "completed" };
        Reply::json(200, &job_status(state, 3))
    });
    let found = [closed_address(), target.addr];
    let entry = Stub::start(move |_, _| addresses(&found, 60_000));
    let ran = run_at(&entry, &["job", "watch", "0-a", "--zone", "zone 1"]);
    assert_eq!(ran.code, 2, "{ran:?}");
    let ran = run_at(&entry, &["job", "watch", "0-a", "--zone", "zone-1"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(
        ran.out.contains("state              completed\n"),
        "{ran:?}"
    );
    let requests = entry.received("");
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert_eq!(requests[0].target, "GET /v1/addresses?zone=zone-1");
    assert_eq!(target.received("GET /v1/jobs/0-a").len(), 2);
}

/// Guards against an expired discovery response that stays in use.
#[test]
fn expired_discovery_responses_are_replaced() {
    let target = Stub::start(|_, earlier| {
        let state = if earlier == 0 { "running" } else { "completed" };
        Reply::json(200, &job_status(state, 3))
    });
    let found = [target.addr];
    let entry = Stub::start(move |_, _| addresses(&found, 1));
    let ran = run_at(&entry, &["job", "watch", "0-a"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    // The target's response to the second discovery request has no addresses, so the tool also
    // sends it to the entry.
    assert!(entry.received("GET /v1/addresses").len() >= 2);
}

/// Guards against a cancelled job with the exit code of success.
#[test]
fn watching_a_cancelled_job_fails() {
    let stub = Stub::start(|request, _| match request.target.as_str() {
        "GET /v1/jobs/0-a" => Reply::json(200, &job_status("cancelled", 1)),
        _ => no_discovery(),
    });
    let ran = run_at(&stub, &["job", "watch", "0-a", "--json"]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert_eq!(ran.json()["state"], "cancelled");
}

/// Guards against a cancellation that is not sent.
#[test]
fn a_job_is_cancelled() {
    let stub = Stub::start(|request, _| match request.target.as_str() {
        "POST /v1/jobs/0-a/cancel" => Reply::json(200, &job_status("cancelled", 1)),
        _ => no_discovery(),
    });
    let ran = run_at(&stub, &["job", "cancel", "0-a"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.contains("cancelled"), "{ran:?}");
}

fn results(request: &ReceivedRequest, state: &str, next: [Option<u32>; 2]) -> Reply {
    let page = |index: u32, next: Option<u32>| {
        let usage = json!({"prompt_tokens": 1, "completion_tokens": 1});
        let result = json!({
            "index": index, "id": format!("i{index}"), "outcome": "completed",
            "text": "t", "usage": usage,
        });
        Reply::json(
            200,
            &json!({"id": "0-a", "results": [result], "next": next}),
        )
    };
    match request.target.as_str() {
        "GET /v1/jobs/0-a" => Reply::json(200, &job_status(state, 2)),
        "GET /v1/jobs/0-a/results?from=0&limit=1" => page(0, next[0]),
        "GET /v1/jobs/0-a/results?from=1&limit=1" => page(1, next[1]),
        _ => no_discovery(),
    }
}

/// Guards against output that contains only the first page of results.
#[test]
fn all_pages_of_results_are_read() {
    let stub = Stub::start(|request, _| results(request, "completed", [Some(1), None]));
    let args = ["job", "results", "0-a", "--page", "1"];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 0, "{ran:?}");
    let lines: Vec<Value> = ran
        .out
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[1]["id"], "i1");
    let path = path("results.jsonl");
    let mut args = args.to_vec();
    args.extend(["--output", &path]);
    assert_eq!(run_at(&stub, &args).code, 0);
    assert_eq!(fs::read_to_string(&path).unwrap(), ran.out);
}

/// Guards against partial results of a running job that are printed without a notice.
#[test]
fn results_of_a_running_job_are_marked() {
    let stub = Stub::start(|request, _| results(request, "running", [Some(1), None]));
    let ran = run_at(&stub, &["job", "results", "0-a", "--page", "1"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(ran.out.lines().count(), 2);
    assert!(ran.err.contains("still running"), "{ran:?}");
}

/// Guards against an endless loop over pages that do not advance.
#[test]
fn pages_that_do_not_advance_are_a_failure() {
    let stub = Stub::start(|request, _| results(request, "completed", [Some(1), Some(1)]));
    let ran = run_at(&stub, &["job", "results", "0-a", "--page", "1"]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains("begins at 1"), "{ran:?}");
}

/// Guards against a partial file of results under the final name.
#[test]
fn a_failed_read_leaves_no_file_of_results() {
    let stub = Stub::start(|request, _| results(request, "completed", [Some(2), None]));
    let path = path("results-failed.jsonl");
    let args = ["job", "results", "0-a", "--page", "1", "--output", &path];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(!fs::exists(&path).unwrap());
}

/// Guards against a response that is printed out of order or not requested as a stream.
#[test]
fn a_streamed_response_is_printed() {
    let stub = Stub::start(|request, _| match request.target.as_str() {
        "POST /v1/completions" => Reply::text(200, STREAM),
        _ => no_discovery(),
    });
    let ran = run_at(&stub, &["complete", "hello", "--model", "small"]);
    assert_eq!((ran.code, ran.out.as_str()), (0, "one two\n"), "{ran:?}");
    let body: Value = serde_json::from_str(&stub.received("POST")[0].body).unwrap();
    let expected = json!({
        "model": "small", "prompt": "hello", "max_tokens": 256, "stream": true,
    });
    assert_eq!(body, expected);
}

/// Guards against an interrupted stream that is reported as success.
#[rstest]
#[case("data: {\"choices\":[{\"text\":\"one\"}]}\n\n", "end marker")]
#[case(
    "data: {\"error\":{\"code\":\"c\",\"message\":\"engine lost\",\"type\":\"server_error\",\
     \"verdict\":\"may-have-run\"}}\n\n",
    "engine lost"
)]
#[case("event: error\ndata: broken\n\n", "broken")]
fn an_interrupted_stream_is_a_failure(#[case] stream: &'static str, #[case] cause: &str) {
    let stub = Stub::start(move |request, _| match request.target.as_str() {
        "POST /v1/chat/completions" => Reply::text(200, stream),
        _ => no_discovery(),
    });
    let ran = run_at(&stub, &["complete", "hello", "--model", "small", "--chat"]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains(cause), "{ran:?}");
    assert_eq!(stub.received("POST").len(), 1);
}

fn complete(addresses: &str) -> ToolRun {
    let args = [
        "complete",
        "hello",
        "--model",
        "small",
        "--address",
        addresses,
    ];
    let output = tool(&args).env("LIMPETWEIR_KEY", KEY).output();
    output.unwrap().into()
}

/// Guards against an online request that may run twice.
#[test]
fn a_request_that_may_have_run_is_not_sent_elsewhere() {
    let stub = Stub::start(|request, _| match request.target.as_str() {
        "POST /v1/completions" => Reply::text(200, STREAM),
        _ => no_discovery(),
    });
    let lost = dropping_address();
    let ran = complete(&format!("{lost},{}", stub.addr));
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains("may-have-run"), "{ran:?}");
    assert!(stub.received("POST").is_empty());
    let closed = closed_address();
    let ran = complete(&format!("{closed},{}", stub.addr));
    assert_eq!(ran.code, 0, "{ran:?}");
}

/// Guards against a missing retry after a rejection with a retry time.
#[test]
fn a_rejected_request_is_retried_after_the_requested_time() {
    let stub = Stub::start(|request, earlier| match request.target.as_str() {
        "POST /v1/completions" if earlier == 0 => {
            Reply::error(429, "rate_limited", Verdict::NotRun, Some(20))
        }
        "POST /v1/completions" => Reply::text(200, STREAM),
        _ => no_discovery(),
    });
    let ran = complete(&stub.addr.to_string());
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(stub.received("POST").len(), 2);
}

/// Guards against a wait for a retry that would start after the timeout.
#[test]
fn a_retry_time_past_the_timeout_fails_immediately() {
    let stub = Stub::start(|request, _| match request.target.as_str() {
        "POST /v1/completions" => Reply::text(503, "")
            .header("retry-after", "3600")
            .header("x-limpetweir-verdict", "not-run"),
        _ => no_discovery(),
    });
    let ran = complete(&stub.addr.to_string());
    assert_eq!(ran.code, 1, "{ran:?}");
    assert_eq!(stub.received("POST").len(), 1);
}

/// Guards against addresses that differ from those in the response.
#[test]
fn addresses_are_printed() {
    let found: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let stub = Stub::start(move |_, _| addresses(&[found], 5000));
    let args = ["addresses", "--address", &stub.addr.to_string(), "--json"];
    let output = tool(&args).env("LIMPETWEIR_KEY", KEY).output();
    let ran: ToolRun = output.unwrap().into();
    assert_eq!(
        ran.json()["addresses"][0]["address"],
        "127.0.0.1:9",
        "{ran:?}"
    );
    assert_eq!(stub.received("").len(), 1);
}
