//! Tests of plain service calls.

use limpetweir_standins::client::{
    self,
    Exchange, //
};
use limpetweir_standins::plain::PlainControl;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    error_code, //
};

const TWO_PLAINS: Setup = Setup {
    plains: 2,
    ..Setup::SMALL
};

const ORDERS: &str = "/services/tanks/salinity-orders";

fn order() -> Value {
    json!({ "tank": "t1", "grams_per_litre": 35.0 })
}

/// Returns how many calls with a method all servers together received and executed.
fn calls(fleet: &Fleet, method: &str) -> (usize, usize) {
    let records = (0..fleet.plains.len()).flat_map(|n| fleet.plain_records(n));
    let calls: Vec<_> = records.filter(|call| call.method == method).collect();
    let executed = calls.iter().filter(|call| call.executed).count();
    (calls.len(), executed)
}

fn control(fleet: &Fleet, control: &PlainControl) {
    for n in 0..fleet.plains.len() {
        fleet.control_plain(n, control);
    }
}

/// Guards against open services that require a key, and against calls whose path or body is lost.
#[test]
fn calls_reach_open_and_keyed_services() {
    let fleet = Fleet::start(Setup::SMALL);
    let reading = json!({ "litres": 12.5 });
    let response = fleet.send("PUT", "/services/tanks/tanks/t1", &reading, KEY);
    assert_eq!(response.status, 200, "{}", response.text());
    let response = fleet.send("GET", "/services/tanks/tanks/t1", &Value::Null, KEY);
    let body: Value = response.json().unwrap();
    assert_eq!(body["litres"], 12.5);
    let body = reading.to_string().into_bytes();
    let path = "/services/notices/tanks/t2";
    let response = fleet.send_bytes(0, "PUT", path, body, &[]);
    assert_eq!(response.status, 200, "{}", response.text());
    let response = client::send(Exchange {
        address: &fleet.public(0),
        method: "GET",
        path,
        ..Exchange::default()
    });
    assert_eq!(response.unwrap().status, 200);
}

/// Guards against a second run of a call that must not be repeated, and against the verdict "not
/// run" for a call that may have run.
#[rstest]
#[case::cut_after(PlainControl { cut_after: Some(1), ..PlainControl::default() }, 1)]
#[case::cut_before(PlainControl { cut_before: Some(1), ..PlainControl::default() }, 0)]
#[case::crossed(PlainControl { omit_attempt_id: Some(1), ..PlainControl::default() }, 1)]
fn a_call_that_may_have_run_is_not_repeated(#[case] fault: PlainControl, #[case] executed: usize) {
    let fleet = Fleet::start(TWO_PLAINS);
    control(&fleet, &fault);
    let response = fleet.send("POST", ORDERS, &order(), KEY);
    assert_eq!(error_code(&response, 502, "may-have-run"), "backend_failed");
    assert_eq!(calls(&fleet, "POST"), (1, executed));
}

/// Guards against a call that is repeated, or whose response is replaced, after the server ran it
/// and sent an error.
#[test]
fn a_failure_after_execution_is_forwarded() {
    let fleet = Fleet::start(TWO_PLAINS);
    control(
        &fleet,
        &PlainControl {
            fail_after: Some(1),
            ..PlainControl::default()
        },
    );
    let response = fleet.send("POST", ORDERS, &order(), KEY);
    assert_eq!(response.status, 500);
    assert_eq!(
        response.header("x-limpetweir-verdict"),
        Some("may-have-run")
    );
    assert_eq!(calls(&fleet, "POST"), (1, 1));
}

/// Guards against an error for a call that one server rejected without running it although another
/// server is available.
#[test]
fn a_rejected_call_is_sent_to_another_server() {
    let fleet = Fleet::start(TWO_PLAINS);
    let fault = PlainControl {
        fail_before: Some(1),
        ..PlainControl::default()
    };
    fleet.control_plain(0, &fault);
    // Without a prompt, the choice between idle servers is random.
    for _ in 0..100 {
        let response = fleet.send("POST", ORDERS, &order(), KEY);
        assert_eq!(response.status, 201, "{}", response.text());
        if calls(&fleet, "POST").0 > calls(&fleet, "POST").1 {
            break;
        }
    }
    let (received, executed) = calls(&fleet, "POST");
    assert_eq!(received, executed + 1);
}

/// Guards against the verdict "not run" for a call that a server ran.
#[test]
fn a_call_rejected_by_each_server_did_not_run() {
    let fleet = Fleet::start(TWO_PLAINS);
    control(
        &fleet,
        &PlainControl {
            fail_before: Some(5),
            ..PlainControl::default()
        },
    );
    let response = fleet.send("POST", ORDERS, &order(), KEY);
    assert_eq!(error_code(&response, 503, "not-run"), "backend_busy");
    assert_eq!(calls(&fleet, "POST").1, 0);
}

/// Guards against the verdict "not run" for an idempotent call that ran at one server before another
/// one rejected it.
#[test]
fn the_verdict_covers_all_attempts() {
    let fleet = Fleet::start(TWO_PLAINS);
    let explained = fleet.explain(0, "organisation=reef&service=tanks");
    let first = usize::from(explained["choice"]["backend"] == "p1");
    let cut = PlainControl {
        cut_after: Some(1),
        ..PlainControl::default()
    };
    fleet.control_plain(first, &cut);
    let rejecting = PlainControl {
        fail_before: Some(1),
        ..PlainControl::default()
    };
    fleet.control_plain(1 - first, &rejecting);
    let reading = json!({ "litres": 1.0 });
    let response = fleet.send("PUT", "/services/tanks/tanks/t1", &reading, KEY);
    assert_eq!(error_code(&response, 503, "may-have-run"), "backend_busy");
    assert_eq!(calls(&fleet, "PUT"), (2, 1));
}

/// Guards against an error for an idempotent call whose response was lost.
#[test]
fn an_idempotent_call_is_repeated_at_another_server() {
    let fleet = Fleet::start(TWO_PLAINS);
    fleet.control_plain(
        0,
        &PlainControl {
            cut_after: Some(1),
            ..PlainControl::default()
        },
    );
    let reading = json!({ "litres": 1.0 });
    for _ in 0..100 {
        let response = fleet.send("PUT", "/services/tanks/tanks/t1", &reading, KEY);
        assert_eq!(response.status, 200, "{}", response.text());
        if !fleet.plain_records(0).is_empty() {
            return;
        }
    }
    panic!("no call reached the first server");
}
