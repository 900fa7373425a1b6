//! Tests of the plain service and the weight store.

#![allow(
    clippy::unwrap_used,
    reason = "a helper that fails has to fail its test"
)]

use limpetweir_standins::{
    ATTEMPT_ID,
    client::{
        self,
        ClientError,
        Exchange,
        Received, //
    },
    fleet,
    harness::{
        Launch,
        Process, //
    },
    plain::{
        CallOutcome,
        CallRecord,
        PlainControl, //
    },
    weights, //
};
use serde_json::{
    Value,
    json, //
};

fn start() -> Process {
    Launch::standin("plain").unwrap().spawn().unwrap()
}

fn control(plain: &Process, change: &PlainControl) {
    fleet::control(plain, change).unwrap();
}

fn salinity_order(plain: &Process, attempt_id: &str) -> Result<Received, ClientError> {
    client::send(Exchange {
        address: plain.address(),
        method: "POST",
        path: "/salinity-orders",
        headers: &[(ATTEMPT_ID, attempt_id)],
        body: json!({ "tank": "t1", "grams_per_litre": 35.0 })
            .to_string()
            .into_bytes(),
    })
}

fn orders(plain: &Process) -> usize {
    let response = client::get(plain.address(), "/salinity-orders").unwrap();
    response.json::<Value>().unwrap()["orders"]
        .as_array()
        .unwrap()
        .len()
}

fn records(plain: &Process) -> Vec<CallRecord> {
    fleet::records(plain, "calls").unwrap()
}

/// Guards against a repeated reading that has a further effect.
#[test]
fn reading_is_idempotent() {
    let plain = start();
    let put = || {
        client::send(Exchange {
            address: plain.address(),
            method: "PUT",
            path: "/tanks/t1",
            body: b"{\"litres\": 12.5}".to_vec(),
            ..Exchange::default()
        })
    };
    assert_eq!(
        client::get(plain.address(), "/tanks/t1").unwrap().status,
        404
    );
    assert_eq!(put().unwrap().status, 200);
    assert_eq!(put().unwrap().status, 200);
    let body: Value = client::get(plain.address(), "/tanks/t1")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(body, json!({ "tank": "t1", "litres": 12.5 }));
}

/// Guards against a repeated order without effect, which would hide a second execution.
#[test]
fn each_order_takes_effect() {
    let plain = start();
    assert_eq!(salinity_order(&plain, "a").unwrap().status, 201);
    assert_eq!(salinity_order(&plain, "a").unwrap().status, 201);
    assert_eq!(orders(&plain), 2);
}

/// Guards against a record that differs from the executed calls.
#[test]
fn record_says_what_was_executed() {
    let plain = start();
    let faults = PlainControl {
        fail_before: Some(1),
        fail_after: Some(1),
        cut_before: Some(1),
        cut_after: Some(1),
        ..PlainControl::default()
    };
    control(&plain, &faults);
    let rejected = salinity_order(&plain, "a").unwrap();
    assert_eq!(rejected.status, 503);
    assert!(rejected.header("retry-after").is_some());
    assert_eq!(salinity_order(&plain, "b").unwrap().status, 500);
    assert!(salinity_order(&plain, "c").is_err());
    assert!(salinity_order(&plain, "d").is_err());
    assert_eq!(
        salinity_order(&plain, "e").unwrap().header(ATTEMPT_ID),
        Some("e")
    );
    let seen: Vec<_> = records(&plain)
        .into_iter()
        .map(|record| (record.attempt_id.unwrap(), record.executed, record.outcome))
        .collect();
    let expected = [
        ("a".to_owned(), false, CallOutcome::FailedBefore),
        ("b".to_owned(), true, CallOutcome::FailedAfter),
        ("c".to_owned(), false, CallOutcome::CutBefore),
        ("d".to_owned(), true, CallOutcome::CutAfter),
        ("e".to_owned(), true, CallOutcome::Answered),
    ];
    assert_eq!(seen, expected);
    assert_eq!(orders(&plain), 3);
}

/// Guards against a crossed response that cannot be detected by its attempt id.
#[test]
fn crossed_answer_is_the_previous_one() {
    let plain = start();
    salinity_order(&plain, "a").unwrap();
    control(
        &plain,
        &PlainControl {
            cross: Some(1),
            ..PlainControl::default()
        },
    );
    let crossed = salinity_order(&plain, "b").unwrap();
    assert_eq!(crossed.header(ATTEMPT_ID), Some("a"));
    assert_eq!(crossed.json::<Value>().unwrap()["order"], 0);
}

/// Guards against a weight store without a rate limit.
#[test]
fn weight_reads_are_limited() {
    let args = [
        "--weight",
        "reef-1=100",
        "--reads-per-s",
        "0",
        "--read-burst",
        "1",
    ];
    let store = Launch::standin("weights")
        .unwrap()
        .args(args)
        .spawn()
        .unwrap();
    assert_eq!(
        client::get(store.address(), "/weights/other")
            .unwrap()
            .status,
        404
    );
    let read = client::get(store.address(), "/weights/reef-1").unwrap();
    assert_eq!(read.body, weights::content("reef-1", 100));
    let limited = client::get(store.address(), "/weights/reef-1").unwrap();
    assert_eq!(limited.status, 429);
    assert!(limited.header("retry-after").is_some());
}
