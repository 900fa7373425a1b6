//! Tests of the log service stand-in.

#![allow(
    clippy::unwrap_used,
    reason = "a helper that fails has to fail its test"
)]

use std::time::Duration;

use hyper::body::Bytes;
use limpetweir_standins::{
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
    log::{
        AppendError,
        LogConfig,
        LogControl,
        LogStore,
        Outage,
        TrimTo,
        Trimmed, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

fn start(args: &[&str]) -> Process {
    Launch::standin("log").unwrap().args(args).spawn().unwrap()
}

fn control(log: &Process, change: &LogControl) {
    fleet::control(log, change).unwrap();
}

fn append(log: &Process, data: &str) -> Result<Received, ClientError> {
    client::send(Exchange {
        address: log.address(),
        method: "POST",
        path: "/streams/config/records",
        body: data.into(),
        ..Exchange::default()
    })
}

fn read(log: &Process, query: &str) -> Received {
    client::get(log.address(), &format!("/streams/config/records?{query}")).unwrap()
}

fn offsets(response: &Received) -> Vec<u64> {
    let body: Value = response.json().unwrap();
    let records = body["records"].as_array().unwrap();
    records
        .iter()
        .map(|record| record["offset"].as_u64().unwrap())
        .collect()
}

/// Guards against records that are modified, reordered or have wrong offsets.
#[test]
fn appended_records_are_read_in_order() {
    let log = start(&[]);
    for (offset, data) in ["a", "b", "c"].into_iter().enumerate() {
        let body: Value = append(&log, data).unwrap().json().unwrap();
        assert_eq!(body, json!({ "offset": offset }));
    }
    let body: Value = read(&log, "from=1&limit=10").json().unwrap();
    let expected = json!({
        "first": 0,
        "next": 3,
        "records": [{ "offset": 1, "data": "Yg==" }, { "offset": 2, "data": "Yw==" }],
    });
    assert_eq!(body, expected);
}

/// Guards against a long poll that misses an append and waits until its timeout.
#[test]
fn long_poll_returns_with_the_append() {
    let log = start(&[]);
    let address = log.address().to_owned();
    let poll = std::thread::spawn(move || {
        client::get(&address, "/streams/config/records?from=0&wait_ms=60000").unwrap()
    });
    append(&log, "a").unwrap();
    assert_eq!(offsets(&poll.join().unwrap()), [0]);
}

/// Guards against a lost response whose record is lost too, which would hide faults of resends.
#[test]
fn lost_answer_is_still_appended() {
    let log = start(&[]);
    control(
        &log,
        &LogControl {
            lose_answers: Some(1),
            ..LogControl::default()
        },
    );
    assert!(append(&log, "a").is_err(), "the response must be withheld");
    assert_eq!(append(&log, "b").unwrap().status, 200);
    assert_eq!(offsets(&read(&log, "from=0")), [0, 1]);
}

/// Guards against reads of trimmed records that do not return an error.
#[test]
fn trimmed_offset_answers_410_with_the_retained_range() {
    let log = start(&["--retain-records", "3"]);
    for data in ["a", "b", "c", "d", "e"] {
        append(&log, data).unwrap();
    }
    let response = read(&log, "from=1");
    assert_eq!(response.status, 410);
    assert_eq!(
        response.json::<Value>().unwrap(),
        json!({ "first": 2, "next": 5 })
    );
    assert_eq!(offsets(&read(&log, "from=2")), [2, 3, 4]);

    let trim = TrimTo {
        stream: "config".into(),
        before: 4,
    };
    control(
        &log,
        &LogControl {
            trim: Some(trim),
            ..LogControl::default()
        },
    );
    assert_eq!(read(&log, "from=3").status, 410);
    assert_eq!(offsets(&read(&log, "from=4")), [4]);
}

/// Guards against retention by age that trims too early, too late or never.
#[test]
fn records_are_trimmed_by_age() {
    let second = Duration::from_secs(1);
    let cfg = LogConfig {
        retain_age: 10 * second,
        ..LogConfig::default()
    };
    let mut store = LogStore::new(&cfg);
    store
        .append(Duration::ZERO, "s", Bytes::from_static(b"a"))
        .unwrap();
    store
        .append(5 * second, "s", Bytes::from_static(b"b"))
        .unwrap();
    assert_eq!(
        store.read(10 * second, "s", 0, 10).unwrap().records.len(),
        2
    );
    let trimmed = store.read(11 * second, "s", 0, 10);
    assert_eq!(trimmed, Err(Trimmed { first: 1, next: 2 }));
    let empty = store.read(16 * second, "s", 2, 10).unwrap();
    assert_eq!((empty.first, empty.next), (2, 2));
}

/// Guards against a stand-in that accepts more appends than the platform.
#[test]
fn append_bound_answers_429() {
    let log = start(&["--appends-per-s", "0", "--append-burst", "2"]);
    assert_eq!(append(&log, "a").unwrap().status, 200);
    assert_eq!(append(&log, "b").unwrap().status, 200);
    let response = append(&log, "c").unwrap();
    assert_eq!(response.status, 429);
    assert!(response.header("retry-after").is_some());
    assert_eq!(offsets(&read(&log, "from=0")), [0, 1]);
}

/// Guards against an append rate limit that differs from the configured one.
#[test]
fn append_bound_refills_at_its_rate() {
    let cfg = LogConfig {
        appends_per_s: 10.0,
        append_burst: 1.0,
        ..LogConfig::default()
    };
    let mut store = LogStore::new(&cfg);
    let data = Bytes::from_static(b"a");
    let tenth = Duration::from_millis(100);
    store.append(Duration::ZERO, "s", data.clone()).unwrap();
    assert_eq!(
        store.append(Duration::ZERO, "s", data.clone()),
        Err(AppendError::OverBound(tenth))
    );
    assert_eq!(store.append(tenth, "s", data), Ok(1));
}

/// Guards against an outage in which appends still take effect.
#[test]
fn outage_answers_503_without_effect() {
    let log = start(&[]);
    control(
        &log,
        &LogControl {
            outage: Some(Outage::Reject),
            ..LogControl::default()
        },
    );
    assert_eq!(append(&log, "a").unwrap().status, 503);
    assert_eq!(read(&log, "from=0").status, 503);
    control(
        &log,
        &LogControl {
            outage: Some(Outage::Off),
            ..LogControl::default()
        },
    );
    assert!(offsets(&read(&log, "from=0")).is_empty());
}

/// Guards against ignoring a misspelt field of a control body, which would void a test.
#[test]
fn unknown_control_field_is_rejected() {
    let log = start(&[]);
    let response = client::post(log.address(), "/control", &json!({ "outtage": "off" })).unwrap();
    assert_eq!(response.status, 400);
}
