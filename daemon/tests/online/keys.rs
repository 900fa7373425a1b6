//! Tests of keys: access to services, revocation, and that keys do not leave the instance.

use std::sync::{
    Mutex,
    Once, //
};

use limpetweir_standins::client::Received;
use log::{
    LevelFilter,
    Log,
    Metadata,
    Record, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::fleet::{Fleet, KEY, OTHER_KEY, Setup, bearer, completion, error_code};
use crate::raw::{
    Capture,
    Connection, //
};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static START: Once = Once::new();

struct Collector;

impl Log for Collector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Collects every log line of the test process.
fn collect_log() {
    START.call_once(|| {
        log::set_logger(&Collector).unwrap();
        log::set_max_level(LevelFilter::Trace);
    });
}

/// Guards against requests that run without a valid key.
#[rstest]
#[case::none(&[])]
#[case::unknown(&["Bearer wrong"])]
#[case::empty(&["Bearer "])]
#[case::another_scheme(&["Basic a2V5LW9mLXRoZS1yZWVmLW9yZ2FuaXNhdGlvbg=="])]
#[case::no_scheme(&["key-of-the-reef-organisation"])]
#[case::two(&["Bearer key-of-the-reef-organisation", "Bearer key-of-the-reef-organisation"])]
fn a_request_without_a_valid_key_is_refused(#[case] values: &[&str]) {
    let fleet = Fleet::start(Setup::SMALL);
    let headers: Vec<_> = values.iter().map(|v| ("authorization", *v)).collect();
    let body = completion("tide", 4, false).to_string().into_bytes();
    let calls = [
        ("POST", "/v1/completions", body),
        ("GET", "/v1/models", Vec::new()),
        ("GET", "/v1/addresses", Vec::new()),
        ("GET", "/services/tanks/tanks/t1", Vec::new()),
        ("GET", "/services/unknown/x", Vec::new()),
    ];
    for (method, path, body) in calls {
        let response = fleet.send_bytes(0, method, path, body, &headers);
        error_code(&response, 401, "not-run");
    }
    assert!(fleet.engine_records(0).is_empty() && fleet.plain_records(0).is_empty());
}

/// Guards against an organisation that uses services without access to them.
#[test]
fn an_organisation_without_access_is_refused() {
    let fleet = Fleet::start(Setup::SMALL);
    let body = completion("tide", 4, false);
    let response = fleet.send("POST", "/v1/completions", &body, OTHER_KEY);
    assert_eq!(error_code(&response, 403, "not-run"), "service_not_allowed");
    let response = fleet.send("GET", "/services/tanks/tanks/t1", &Value::Null, OTHER_KEY);
    assert_eq!(error_code(&response, 403, "not-run"), "service_not_allowed");
    assert!(fleet.engine_records(0).is_empty() && fleet.plain_records(0).is_empty());
    let models = |key| -> Value {
        let response: Received = fleet.send("GET", "/v1/models", &Value::Null, key);
        response.json().unwrap()
    };
    assert_eq!(models(KEY)["data"][0]["id"], "reef-1");
    assert_eq!(models(OTHER_KEY)["data"], json!([]));
}

/// Guards against a revoked key that is still accepted on a connection from before the revocation.
#[test]
fn a_revoked_key_is_refused_on_an_open_connection() {
    let mut fleet = Fleet::start(Setup::SMALL);
    let mut connection = Connection::open(&fleet.public(0));
    connection.write("GET", "/v1/models", KEY, "");
    assert_eq!(connection.read().0, 200);
    let document = fleet.document(&[("k2", "another-key")]);
    fleet.publish(&document);
    let body = completion("tide", 4, false).to_string();
    connection.write("POST", "/v1/completions", KEY, &body);
    let (status, body) = connection.read();
    assert_eq!(status, 401, "{body}");
    connection.write("GET", "/v1/models", "another-key", "");
    assert_eq!(connection.read().0, 200);
    assert!(fleet.engine_records(0).is_empty());
}

/// Guards against a key that is accepted although it was revoked while the body was sent.
#[test]
fn a_key_revoked_during_the_body_is_refused() {
    let mut fleet = Fleet::start(Setup::SMALL);
    let mut connection = Connection::open(&fleet.public(0));
    let body = completion("tide", 4, false).to_string();
    let (head, tail) = body.split_at(5);
    connection.write_part("POST", "/v1/completions", KEY, body.len(), head);
    let document = fleet.document(&[("k2", "another-key")]);
    fleet.publish(&document);
    connection.write_rest(tail);
    assert_eq!(connection.read().0, 401);
    assert!(fleet.engine_records(0).is_empty());
}

/// Guards against keys in requests to backend servers, in log lines and in error messages.
#[test]
fn the_key_goes_no_further() {
    collect_log();
    let mut fleet = Fleet::start(Setup::SMALL);
    let capture = Capture::start();
    let keyed = "kind = \"plain\"\naccess = \"keyed\"\nidempotent = []";
    let document = fleet
        .document_for(&["chat", "tanks", "capture"], &[("k1", KEY)])
        .service("capture", keyed, 'c', [&capture.address]);
    fleet.publish(&document);
    let bearer = bearer(KEY);
    let headers = [
        ("authorization", bearer.as_str()),
        ("proxy-authorization", bearer.as_str()),
        ("connection", "x-secret"),
        ("x-secret", KEY),
        ("te", "trailers"),
        ("x-kept", "kept"),
    ];
    let path = "/services/capture/a/b?c=d";
    let response = fleet.send_bytes(0, "POST", path, b"body".to_vec(), &headers);
    assert_eq!((response.status, response.text().as_str()), (200, "ok"));
    assert_eq!(response.header("x-private"), None);
    assert_eq!(response.header("x-public"), Some("2"));
    let captured = capture.captured();
    assert!(captured.starts_with("POST /a/b?c=d HTTP/1.1"), "{captured}");
    assert!(captured.contains("x-kept: kept") && captured.ends_with("body"));
    for absent in [KEY, "authorization", "x-secret", "\nte:"] {
        assert!(!captured.contains(absent), "{captured}");
    }
    let completion = fleet.complete("tide", 4, true);
    assert_eq!(completion.status, 200);
    let records = serde_json::to_string(&fleet.engine_records(0)).unwrap();
    assert!(!records.contains(KEY) && !records.contains("authorization"));
    let wrong = format!("{KEY}-wrong");
    let refused = fleet.send("GET", "/v1/models", &Value::Null, &wrong);
    assert!(!refused.text().contains(KEY));
    let lines = LINES.lock().unwrap();
    assert!(lines.iter().any(|line| line.contains("LW1401")));
    assert!(!lines.iter().any(|line| line.contains(KEY)));
}
