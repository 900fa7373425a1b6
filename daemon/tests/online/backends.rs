//! Tests of backend server selection, discovery, explanations and metrics.

use limpetweir_standins::engine::{
    EngineControl,
    RequestOutcome, //
};
use limpetweir_standins::list::{
    Backend,
    ListControl,
    ServerState, //
};
use rstest::rstest;
use serde_json::Value;

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    error_code, //
};

const QUERY: &str = "organisation=reef&model=reef-1";

const TWO_ENGINES: Setup = Setup {
    engines: 2,
    ..Setup::SMALL
};

fn mark_leaving(fleet: &Fleet, names: &[&str]) {
    let leaving = |name: &&str| Backend {
        name: (*name).to_owned(),
        state: ServerState::Leaving,
    };
    fleet.control_list(&ListControl {
        backends: names.iter().map(leaving).collect(),
        ..ListControl::default()
    });
    fleet.await_explained(0, QUERY, |explained| {
        let considered = explained["considered"].as_array().unwrap();
        let leaving = considered.iter().filter(|c| c["exclusion"] == "leaving");
        leaving.count() == names.len()
    });
}

/// Guards against new requests to a backend server that is listed as leaving.
#[test]
fn a_leaving_engine_gets_nothing_new() {
    let fleet = Fleet::start(TWO_ENGINES);
    mark_leaving(&fleet, &["e0"]);
    for n in 0..20 {
        assert_eq!(
            fleet.complete(&format!("prompt {n}"), 2, n % 2 == 0).status,
            200
        );
    }
    assert!(fleet.engine_records(0).is_empty());
    assert_eq!(fleet.engine_records(1).len(), 20);
    mark_leaving(&fleet, &["e0", "e1"]);
    let response = fleet.complete("tide", 2, false);
    assert_eq!(error_code(&response, 503, "not-run"), "no_backend");
    assert!(response.header("retry-after").is_some());
    assert_eq!(fleet.engine_records(1).len(), 20);
}

/// Guards against the verdict "not run" for a request that an engine ran.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn a_request_rejected_by_its_engine_did_not_run(#[case] stream: bool) {
    let fleet = Fleet::start(Setup::SMALL);
    let fault = EngineControl {
        fail_before: Some(1),
        ..EngineControl::default()
    };
    fleet.control_engine(0, &fault);
    let response = fleet.complete("tide", 4, stream);
    assert_eq!(error_code(&response, 503, "not-run"), "backend_busy");
    let records = fleet.engine_records(0);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].outcome, RequestOutcome::Rejected);
    assert_eq!(records[0].generated, 0);
}

/// Guards against the verdict "not run" for a request that failed while it ran.
#[test]
fn a_request_that_failed_while_it_ran_may_have_run() {
    let fleet = Fleet::start(Setup::SMALL);
    let response = fleet.complete("[[poison]]", 4, false);
    assert_eq!(error_code(&response, 502, "may-have-run"), "backend_failed");
}

/// Guards against a request that fails because its engine terminated before receiving it, and
/// against a further request to an engine that is known to have failed.
#[test]
fn a_killed_engine_is_avoided() {
    let mut fleet = Fleet::start(TWO_ENGINES);
    let first = fleet.engine_for("tide");
    fleet.engines[first].kill().unwrap();
    assert_eq!(fleet.complete("tide", 2, false).status, 200);
    let explained = fleet.explain(0, QUERY);
    assert_eq!(explained["considered"][first]["exclusion"], "silent");
    assert_eq!(fleet.engine_records(1 - first).len(), 1);
}

/// Guards against an error without the verdict "not run" or without `Retry-After` when the only
/// engine has terminated.
#[test]
fn a_request_without_any_engine_did_not_run() {
    let mut fleet = Fleet::start(Setup::SMALL);
    fleet.engines[0].kill().unwrap();
    for _ in 0..2 {
        let response = fleet.complete("tide", 2, true);
        error_code(&response, 503, "not-run");
        assert!(response.header("retry-after").is_some());
    }
}

/// Guards against explanations that differ from the actual routing decision.
#[test]
fn an_explanation_names_the_chosen_engine() {
    let fleet = Fleet::start(TWO_ENGINES);
    let chosen = fleet.engine_for("estuary");
    let explained = fleet.explain(0, &format!("{QUERY}&prompt=estuary"));
    assert_eq!(explained["choice"]["affinity"], "used");
    assert_eq!(explained["considered"][0]["free"], 8);
    assert_eq!(fleet.complete("estuary", 2, false).status, 200);
    assert_eq!(fleet.engine_records(chosen).len(), 1);
    let code = |query| fleet.explain(0, query)["error"]["code"].clone();
    assert_eq!(
        code("organisation=none&model=reef-1"),
        "unknown_organisation"
    );
    assert_eq!(
        code("organisation=gulf&model=reef-1"),
        "service_not_allowed"
    );
    assert_eq!(code("organisation=reef&model=none"), "unknown_model");
    assert_eq!(code("model=reef-1"), "invalid_query");
}

/// Guards against metrics that do not count the outcomes of online requests.
#[test]
fn metrics_count_outcomes_attempts_and_refusals() {
    let fleet = Fleet::start(Setup::SMALL);
    fleet.complete("tide", 2, false);
    fleet.complete("tide", 2, true);
    fleet.send("GET", "/v1/models", &Value::Null, "wrong");
    let text = fleet.metrics();
    let has = |name: &str, label: &str, value: &str| {
        let matches = |line: &str| {
            line.starts_with(name) && line.contains(label) && line.ends_with(&format!(" {value}"))
        };
        assert!(text.lines().any(matches), "{name} {label} {value}: {text}");
    };
    has("limpetweir_online_requests_total", "complete", "2");
    has("limpetweir_online_requests_total", "refused", "1");
    has("limpetweir_online_attempts_total", "answered", "2");
    has("limpetweir_online_refusals_total", "invalid_key", "1");
    has("limpetweir_online_added_seconds_count", "", "2");
}

/// Guards against discovery that omits instances or ignores the caller's zone.
#[test]
fn discovery_lists_the_instances_with_the_callers_zone_first() {
    let fleet = Fleet::start(Setup {
        instances: 3,
        ..Setup::SMALL
    });
    for zone in ["z1", "z2", "z3"] {
        let path = format!("/v1/addresses?zone={zone}");
        let response: Value = fleet.send("GET", &path, &Value::Null, KEY).json().unwrap();
        let addresses = response["addresses"].as_array().unwrap();
        assert_eq!(addresses.len(), 3, "{response}");
        assert_eq!(addresses[0]["zone"], zone);
        assert_eq!(response["ttl_ms"], 1000);
    }
    let response = fleet.send("GET", "/v1/addresses?zone=%20", &Value::Null, KEY);
    assert_eq!(error_code(&response, 400, "not-run"), "invalid_zone");
}
