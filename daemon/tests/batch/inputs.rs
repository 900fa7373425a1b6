//! Submissions that are not accepted, and calls for jobs that do not exist.

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

fn with(field: &str, value: Value) -> Value {
    let mut body = job_body(&items(1, 4, None));
    body[field] = value;
    body
}

fn many(count: usize) -> Value {
    let item = |at| json!({ "id": format!("{at}"), "prompt": "p", "max_tokens": 1 });
    Value::from((0..count).map(item).collect::<Vec<_>>())
}

/// Guards against bad input that is accepted, that is answered without its cause, or that uses up
/// its idempotency key.
#[test]
fn bad_input_is_refused_with_its_cause() {
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
        (with("unknown", json!(1)), 400, "invalid_body"),
        (with("deadline_s", json!(-5)), 400, "invalid_body"),
        (with("deadline_s", json!(0)), 400, "invalid_deadline"),
        (with("items", json!([])), 400, "no_items"),
        (
            with("items", many(MAX_JOB_ITEMS + 1)),
            413,
            "too_many_items",
        ),
        (
            with("items", item("p".to_owned(), 0)),
            400,
            "invalid_max_tokens",
        ),
        (
            with("items", item("p".repeat(2 << 20), 1)),
            413,
            "item_too_large",
        ),
        (with("items", twice), 400, "duplicate_item_id"),
        (with("service", json!("none")), 404, "unknown_service"),
        (with("model", json!("none")), 404, "unknown_model"),
    ];
    for (body, status, code) in cases {
        let answer = fleet.submit_body(0, "same-key", &body);
        assert_eq!(error_code(&answer, status, "not-run"), code);
    }
    let answer = fleet.post_job(1, "same-key", b"{\"service\": ".to_vec());
    assert_eq!(error_code(&answer, 400, "not-run"), "invalid_body");
    let answer = fleet.post_job(1, "", Vec::new());
    let code = error_code(&answer, 400, "not-run");
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
        let answer = fleet.call(0, method, &path, KEY, &[], Vec::new()).unwrap();
        assert_eq!(error_code(&answer, status, "not-run"), code, "{path}");
    }
    let answer = fleet.call(
        0,
        "GET",
        &format!("/v1/jobs/{missing}"),
        "wrong",
        &[],
        Vec::new(),
    );
    assert_eq!(answer.unwrap().status, 401);

    let good = items(2, 4, None);
    let job = fleet.submit(0, "same-key", &good);
    fleet.check_complete(1, &job, &good);
}
