//! Rejected submissions and requests for jobs that do not exist.

use limpetweir_protocol::http::MAX_JOB_ITEMS;
use serde_json::{
    Value,
    json, //
};

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    error_code,
    items,
    job_body, //
};

fn body_with(field: &str, value: Value) -> Value {
    let mut body = job_body(&items(1, 4, None));
    body[field] = value;
    body
}

fn many_items(count: usize) -> Value {
    let item = |at| json!({ "id": format!("{at}"), "prompt": "p", "max_tokens": 1 });
    Value::from((0..count).map(item).collect::<Vec<_>>())
}

/// Guards against invalid input that is accepted, that is rejected without its cause, or that
/// consumes its idempotency key.
#[test]
fn invalid_input_is_rejected_with_its_cause() {
    let fleet = Fleet::start(Setup {
        instances: 2,
        engines: 1,
        ..Setup::named("inputs")
    });
    let item =
        |prompt: String, tokens| json!([{ "id": "a", "prompt": prompt, "max_tokens": tokens }]);
    let twice = json!([
        { "id": "a", "prompt": "p", "max_tokens": 1 },
        { "id": "a", "prompt": "q", "max_tokens": 1 },
    ]);
    let cases = [
        (json!({ "service": "chat" }), 400, "invalid_body"),
        (body_with("unknown", json!(1)), 400, "invalid_body"),
        (body_with("deadline_s", json!(-5)), 400, "invalid_body"),
        (body_with("deadline_s", json!(0)), 400, "invalid_deadline"),
        (body_with("items", json!([])), 400, "no_items"),
        (
            body_with("items", many_items(MAX_JOB_ITEMS + 1)),
            413,
            "too_many_items",
        ),
        (
            body_with("items", item("p".to_owned(), 0)),
            400,
            "invalid_max_tokens",
        ),
        (
            body_with("items", item("p".repeat(2 << 20), 1)),
            413,
            "item_too_large",
        ),
        (body_with("items", twice), 400, "duplicate_item_id"),
        (body_with("service", json!("none")), 404, "unknown_service"),
        (body_with("model", json!("none")), 404, "unknown_model"),
    ];
    for (body, status, code) in cases {
        let response = fleet.submit_body(0, "same-key", &body);
        assert_eq!(error_code(&response, status, "not-run"), code);
    }
    let response = fleet.post_job(1, "same-key", b"{\"service\": ".to_vec());
    assert_eq!(error_code(&response, 400, "not-run"), "invalid_body");
    let response = fleet.post_job(1, "", Vec::new());
    let code = error_code(&response, 400, "not-run");
    assert_eq!(code, "idempotency_key_required");

    let missing = "0-00000000000000000000000000000000";
    for (method, path, status, code) in [
        ("GET", format!("/v1/jobs/{missing}"), 404, "unknown_job"),
        ("GET", "/v1/jobs/no-job".to_owned(), 404, "unknown_job"),
        (
            "GET",
            format!("/v1/jobs/{missing}/results"),
            404,
            "unknown_job",
        ),
        (
            "GET",
            format!("/v1/jobs/{missing}/results?limit=0"),
            400,
            "invalid_query",
        ),
        (
            "POST",
            format!("/v1/jobs/{missing}/cancel"),
            404,
            "unknown_job",
        ),
        ("DELETE", format!("/v1/jobs/{missing}"), 404, "not_found"),
    ] {
        let response = fleet.call(0, method, &path, KEY, &[], Vec::new()).unwrap();
        assert_eq!(error_code(&response, status, "not-run"), code, "{path}");
    }
    let response = fleet.call(
        0,
        "GET",
        &format!("/v1/jobs/{missing}"),
        "wrong",
        &[],
        Vec::new(),
    );
    assert_eq!(response.unwrap().status, 401);

    let good = items(2, 4, None);
    let job = fleet.submit(0, "same-key", &good);
    fleet.check_complete(1, &job, &good);
}
