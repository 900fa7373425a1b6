//! JSON bodies of the HTTP interfaces, as specified in section 7 of the design page.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use limpetweir_protocol::http::{
    ErrorBody,
    ItemOutcome,
    ItemResult,
    ItemUsage,
    JobRequest,
    JobRequestError,
    ListResponse,
    MemberState,
    RawJobRequest,
    ReadResponse, //
};
use limpetweir_state::{
    Offset,
    Verdict, //
};
use serde_json::{
    Value,
    json, //
};

/// Guards against a change of the wire format of log records.
#[test]
fn log_records_are_encoded_as_base64() {
    let body = json!({"first": 1, "next": 3, "records": [{"offset": 2, "data": "AP8="}]});
    let response: ReadResponse = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(response.records[0].offset, Offset(2));
    assert_eq!(response.records[0].data, [0, 255]);
    assert_eq!(serde_json::to_value(&response).unwrap(), body);
    let broken = json!({"first": 0, "next": 1, "records": [{"offset": 0, "data": "?"}]});
    serde_json::from_value::<ReadResponse>(broken).unwrap_err();
}

/// Guards against a change of the wire format of the list.
#[test]
fn list_body_has_instances_and_backends() {
    let body = json!({
        "instances": [{"name": "a", "zone": "z", "public": "127.0.0.1:1", "peer": "127.0.0.1:2",
            "state": "live"}],
        "backends": [{"name": "e1", "state": "leaving"}],
    });
    let response: ListResponse = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(response.backends[0].state, MemberState::Leaving);
    assert_eq!(serde_json::to_value(&response).unwrap(), body);
}

/// Guards against an error body without its verdict or retry time.
#[test]
fn error_body_has_verdict_and_retry_time() {
    let body = ErrorBody::new(429, "rate_limited", "too many", Verdict::NotRun);
    let body = serde_json::to_value(body.retry_after_ms(Some(250))).unwrap();
    let expected = json!({"error": {
        "code": "rate_limited", "message": "too many", "type": "rate_limit_error",
        "verdict": "not-run", "retry_after_ms": 250,
    }});
    assert_eq!(body, expected);
}

/// Guards against results with an outcome that callers cannot parse.
#[test]
fn item_results_have_a_flat_outcome() {
    let result = ItemResult {
        index: 7,
        id: "x".to_owned(),
        outcome: ItemOutcome::Completed {
            text: "t".to_owned(),
            usage: ItemUsage::default(),
        },
    };
    let body = serde_json::to_value(&result).unwrap();
    assert_eq!(body["outcome"], "completed");
    assert_eq!(serde_json::from_value::<ItemResult>(body).unwrap(), result);
}

fn job(deadline_s: u64, items: Value) -> Result<JobRequest, JobRequestError> {
    let body = json!({"service": "s", "model": "m", "deadline_s": deadline_s, "items": items});
    JobRequest::try_from(serde_json::from_value::<RawJobRequest>(body).unwrap())
}

/// Guards against accepted jobs that cannot be completed.
#[test]
fn invalid_job_requests_are_rejected() {
    let item = |id: &str, tokens: u32| json!({"id": id, "prompt": "p", "max_tokens": tokens});
    assert!(job(60, json!([item("a", 1), item("b", 1)])).is_ok());
    let count = job(60, json!([])).unwrap_err();
    assert_eq!(count, JobRequestError::Count { count: 0 });
    let deadline = job(0, json!([item("a", 1)])).unwrap_err();
    assert_eq!(deadline, JobRequestError::Deadline { seconds: 0 });
    let tokens = job(60, json!([item("a", 0)])).unwrap_err();
    assert!(matches!(tokens, JobRequestError::NoTokens { .. }));
    let twice = job(60, json!([item("a", 1), item("a", 1)])).unwrap_err();
    assert!(matches!(twice, JobRequestError::DuplicateId { .. }));
}
