//! Tests of requests that are rejected before anything runs, and of instances that do not serve.

use limpetweir_standins::client::{
    self,
    Exchange, //
};
use limpetweir_standins::fleet::Instance;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    bearer,
    completion,
    error_code,
    lone_instance, //
};
use crate::raw::Connection;

/// Guards against malformed requests that reach an engine or end without a clear error.
#[test]
fn malformed_bodies_are_refused() {
    let fleet = Fleet::start(Setup::SMALL);
    let bodies = [
        ("/v1/completions", "".to_owned()),
        ("/v1/completions", "{".to_owned()),
        ("/v1/completions", "[]".to_owned()),
        ("/v1/completions", json!({ "prompt": "x" }).to_string()),
        ("/v1/completions", json!({ "model": "reef-1" }).to_string()),
        (
            "/v1/completions",
            json!({ "model": "reef-1", "prompt": [] }).to_string(),
        ),
        (
            "/v1/completions",
            json!({ "model": "reef-1", "prompt": "x", "stream": 3 }).to_string(),
        ),
        (
            "/v1/chat/completions",
            json!({ "model": "reef-1", "messages": [] }).to_string(),
        ),
        (
            "/v1/chat/completions",
            json!({ "model": "reef-1", "messages": "x" }).to_string(),
        ),
    ];
    let authorization = bearer(KEY);
    for (path, body) in bodies {
        let headers = [("authorization", authorization.as_str())];
        let response = fleet.send_bytes(0, "POST", path, body.into_bytes(), &headers);
        assert_eq!(error_code(&response, 400, "not-run"), "invalid_body");
    }
    assert!(fleet.engine_records(0).is_empty());
}

/// Guards against bodies that make the instance use unbounded memory.
#[rstest]
#[case("/v1/completions")]
#[case("/services/tanks/salinity-orders")]
fn oversized_bodies_are_refused(#[case] path: &str) {
    let fleet = Fleet::start(Setup::SMALL);
    let mut connection = Connection::open(&fleet.public(0));
    // The content length alone causes the rejection, after which the connection is closed; writing
    // more of the body could therefore fail.
    connection.write_part("POST", path, KEY, (8 << 20) + 1, "");
    let (status, body) = connection.read();
    assert_eq!(status, 413, "{body}");
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["error"]["code"], "body_too_large");
    assert_eq!(body["error"]["verdict"], "not-run");
    assert!(fleet.engine_records(0).is_empty() && fleet.plain_records(0).is_empty());
}

/// Guards against unknown names that are reported as server failures.
#[test]
fn unknown_names_are_refused() {
    let fleet = Fleet::start(Setup::SMALL);
    let mut body = completion("tide", 4, false);
    body["model"] = json!("reef-2");
    let response = fleet.send("POST", "/v1/completions", &body, KEY);
    assert_eq!(error_code(&response, 404, "not-run"), "unknown_model");
    // Engines accept requests through the completion interface only.
    for path in ["/services/unknown/x", "/services/chat/record", "/services/"] {
        let response = fleet.send("GET", path, &Value::Null, KEY);
        assert_eq!(error_code(&response, 404, "not-run"), "unknown_service");
    }
    let response = fleet.send("GET", "/v1/completions", &Value::Null, KEY);
    assert_eq!(error_code(&response, 405, "not-run"), "method_not_allowed");
    assert!(fleet.engine_records(0).is_empty());
}

/// Guards against an engine's rejection that is reported as a server failure.
#[test]
fn a_rejection_by_the_engine_is_forwarded() {
    let fleet = Fleet::start(Setup::SMALL);
    let response = fleet.complete("tide", 0, false);
    assert_eq!(
        error_code(&response, 400, "may-have-run"),
        "refused_by_engine"
    );
    assert!(response.text().contains("max_tokens must be at least 1"));
}

/// Guards against an instance that accepts requests without a current configuration.
#[test]
fn an_instance_that_does_not_serve_refuses_requests() {
    let instance = lone_instance();
    let authorization = bearer(KEY);
    let calls = [
        ("POST", "/v1/completions"),
        ("GET", "/v1/models"),
        ("GET", "/v1/addresses"),
        ("GET", "/services/notices/tanks/t1"),
    ];
    for (method, path) in calls {
        let response = client::send(Exchange {
            address: &instance.addresses().public,
            method,
            path,
            headers: &[("authorization", &authorization)],
            body: Vec::new(),
        })
        .unwrap();
        assert_eq!(error_code(&response, 503, "not-run"), "not_serving");
        assert!(response.header("retry-after").is_some());
    }
}
