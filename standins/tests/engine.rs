//! Tests of the engine stand-in as a process.

#![allow(
    clippy::unwrap_used,
    reason = "a helper that fails has to fail its test"
)]

use std::{
    io::Write,
    net::TcpStream,
    time::Duration, //
};

use limpetweir_standins::{
    ATTEMPT_ID,
    RESUME_TOKENS,
    client::{
        self,
        ClientError,
        Exchange,
        Received, //
    },
    engine::{
        AfterTokens,
        Change,
        EngineControl,
        Order,
        RequestOutcome,
        RequestRecord,
        Role,
        text, //
    },
    fleet::{
        self,
        events,
        is_done,
        streamed_text, //
    },
    harness::{
        Launch,
        Process, //
    }, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

/// Timeout for waiting on another process; reached only by a hanging test.
const WAIT: Duration = Duration::from_secs(30);

fn start(args: &[&str]) -> Process {
    let fast = [
        "--step-base-us",
        "500",
        "--step-per-sequence-us",
        "10",
        "--load-lag-ms",
        "0",
    ];
    Launch::standin("engine")
        .unwrap()
        .args(fast)
        .args(args)
        .spawn()
        .unwrap()
}

fn control(engine: &Process, change: &EngineControl) {
    fleet::control(engine, change).unwrap();
}

fn completion(prompt: &str, max_tokens: usize, stream: bool) -> Value {
    json!({ "model": "reef-1", "prompt": prompt, "max_tokens": max_tokens, "stream": stream })
}

fn send(engine: &Process, body: &Value, headers: &[(&str, &str)]) -> Result<Received, ClientError> {
    client::send(Exchange {
        address: engine.address(),
        method: "POST",
        path: "/v1/completions",
        headers,
        body: body.to_string().into_bytes(),
    })
}

fn whole_text(response: &Received) -> String {
    let body: Value = response.json().unwrap();
    body["choices"][0]["text"].as_str().unwrap().to_owned()
}

fn records(engine: &Process) -> Vec<RequestRecord> {
    fleet::records(engine, "requests").unwrap()
}

/// Waits until the only request has this outcome.
fn await_outcome(engine: &Process, outcome: RequestOutcome) -> RequestRecord {
    let mut last = Vec::new();
    let found = fleet::wait_for("the outcome", WAIT, || {
        last = records(engine);
        let ended = last.len() == 1 && last[0].outcome == outcome;
        ended.then(|| last.remove(0))
    });
    found.unwrap_or_else(|err| panic!("{err}, not {outcome:?}: {last:?}"))
}

/// Guards against different texts in a complete and a streamed response, and a wrong usage.
#[test]
fn stream_and_whole_answer_have_the_same_text() {
    let engine = start(&[]);
    let expected = text::Text::new("reef-1", "tide table").range(0, 12);
    let whole = send(&engine, &completion("tide table", 12, false), &[]).unwrap();
    assert_eq!(whole_text(&whole), expected);
    let body: Value = whole.json().unwrap();
    assert_eq!(body["choices"][0]["finish_reason"], "length");
    assert_eq!(body["usage"]["prompt_tokens"], 3);
    assert_eq!(body["usage"]["completion_tokens"], 12);

    let mut request = completion("tide table", 12, true);
    request["stream_options"] = json!({ "include_usage": true });
    let streamed = send(&engine, &request, &[]).unwrap();
    assert_eq!(streamed.header("content-type"), Some("text/event-stream"));
    assert_eq!(streamed_text(&streamed).unwrap(), expected);
    assert!(streamed.complete && is_done(&streamed).unwrap());
    let events = events(&streamed).unwrap();
    let usage: Value = serde_json::from_str(&events[events.len() - 2]).unwrap();
    assert_eq!(usage["usage"]["completion_tokens"], 12);
}

/// Guards against a chat response in the format of a completion.
#[test]
fn chat_has_the_chat_form() {
    let engine = start(&[]);
    let messages = json!([{ "role": "user", "content": "tide" }]);
    let mut request = json!({ "model": "reef-1", "messages": messages, "max_tokens": 4 });
    let expected = text::Text::new("reef-1", "user: tide\n").range(0, 4);
    let whole = client::post(engine.address(), "/v1/chat/completions", &request).unwrap();
    let body: Value = whole.json().unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], expected);

    request["stream"] = json!(true);
    let streamed = client::post(engine.address(), "/v1/chat/completions", &request).unwrap();
    let first: Value = serde_json::from_str(&events(&streamed).unwrap()[0]).unwrap();
    assert_eq!(first["object"], "chat.completion.chunk");
    assert_eq!(first["choices"][0]["delta"]["role"], "assistant");
    assert!(is_done(&streamed).unwrap());
}

/// Guards against a resumed response that repeats, skips or changes tokens.
#[rstest]
#[case(0)]
#[case(1)]
#[case(9)]
#[case(20)]
fn resumed_answer_continues_exactly(#[case] delivered: usize) {
    let engine = start(&[]);
    let source = text::Text::new("reef-1", "resume");
    let resume = delivered.to_string();
    let headers = [(RESUME_TOKENS, resume.as_str())];
    let whole = send(&engine, &completion("resume", 20, false), &headers).unwrap();
    assert_eq!(
        source.range(0, delivered) + &whole_text(&whole),
        source.range(0, 20)
    );
    let streamed = send(&engine, &completion("resume", 20, true), &headers).unwrap();
    assert_eq!(
        source.range(0, delivered) + &streamed_text(&streamed).unwrap(),
        source.range(0, 20)
    );
    assert!(is_done(&streamed).unwrap());
    assert!(
        records(&engine)
            .iter()
            .all(|record| record.generated == 20 - delivered)
    );
}

/// Guards against a response or a record without the attempt id of the request.
#[test]
fn attempt_id_is_echoed_and_recorded() {
    let engine = start(&[]);
    let headers = [(ATTEMPT_ID, "a-7"), ("x-other", "kept")];
    let response = send(&engine, &completion("p", 2, false), &headers).unwrap();
    assert_eq!(response.header(ATTEMPT_ID), Some("a-7"));
    let record = await_outcome(&engine, RequestOutcome::Completed);
    assert_eq!(record.attempt_id.as_deref(), Some("a-7"));
    assert!(
        record
            .headers
            .contains(&("x-other".to_owned(), "kept".to_owned()))
    );
    assert_eq!(record.content_hash, text::request_hash("reef-1", "p", 2));
}

/// Guards against a stream that continues after its reader disconnected.
#[test]
fn closed_stream_is_cancelled() {
    let engine = start(&["--step-base-us", "300000"]);
    let body = completion("p", 30, true).to_string().into_bytes();
    let exchange = Exchange {
        address: engine.address(),
        method: "POST",
        path: "/v1/completions",
        body,
        ..Exchange::default()
    };
    client::send_until(exchange, |body| !body.is_empty()).unwrap();
    let record = await_outcome(&engine, RequestOutcome::Cancelled);
    assert!(record.generated < 30);
    let load: Value = client::get(engine.address(), "/load")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!((&load["running"], &load["waiting"]), (&json!(0), &json!(0)));
}

/// Guards against a request that continues although its caller disconnected before the response.
#[rstest]
#[case(false)]
#[case(true)]
fn closed_connection_is_cancelled_before_the_first_token(#[case] stream: bool) {
    let engine = start(&[]);
    control(
        &engine,
        &EngineControl {
            stall: Some(true),
            ..EngineControl::default()
        },
    );
    let body = completion("p", 5, stream).to_string();
    let mut connection = TcpStream::connect(engine.address()).unwrap();
    let length = body.len();
    write!(
        connection,
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    await_outcome(&engine, RequestOutcome::Running);
    drop(connection);
    await_outcome(&engine, RequestOutcome::Cancelled);
}

fn once_after(tokens: usize) -> Option<AfterTokens> {
    Some(AfterTokens { count: 1, tokens })
}

/// Guards against an interrupted stream that looks complete, and against a stream without end
/// marker that cannot be distinguished from a complete one.
#[rstest]
#[case::cut(EngineControl { cut: once_after(3), ..EngineControl::default() }, 3, false, RequestOutcome::Cut)]
#[case::end_early(EngineControl { end_early: once_after(9), ..EngineControl::default() }, 9, true, RequestOutcome::EndedEarly)]
fn a_broken_stream_has_no_end_marker(
    #[case] fault: EngineControl,
    #[case] tokens: usize,
    #[case] complete: bool,
    #[case] outcome: RequestOutcome,
) {
    let engine = start(&[]);
    control(&engine, &fault);
    let response = send(&engine, &completion("p", 9, true), &[]).unwrap();
    assert_eq!(response.complete, complete);
    assert!(!is_done(&response).unwrap());
    let expected = text::Text::new("reef-1", "p").range(0, tokens);
    assert_eq!(streamed_text(&response).unwrap(), expected);
    await_outcome(&engine, outcome);
}

/// Guards against faults that affect more requests than their count.
#[test]
fn failures_are_counted() {
    let engine = start(&[]);
    control(
        &engine,
        &EngineControl {
            fail_before: Some(1),
            fail_after: once_after(1),
            ..EngineControl::default()
        },
    );
    let request = completion("p", 3, false);
    let rejected = send(&engine, &request, &[]).unwrap();
    assert_eq!(rejected.status, 503);
    assert!(rejected.header("retry-after").is_some());
    let failed = send(&engine, &request, &[]).unwrap();
    assert_eq!(failed.status, 500);
    assert_eq!(
        failed.json::<Value>().unwrap()["error"]["type"],
        "server_error"
    );
    assert_eq!(send(&engine, &request, &[]).unwrap().status, 200);
    let generated: Vec<usize> = records(&engine)
        .iter()
        .map(|record| record.generated)
        .collect();
    assert_eq!(generated[0], 0);
    assert_eq!(generated[2], 3);
}

/// Guards against a crossed response that cannot be detected by its attempt id.
#[test]
fn crossed_answer_is_that_of_the_previous_request() {
    let engine = start(&[]);
    send(
        &engine,
        &completion("first", 5, false),
        &[(ATTEMPT_ID, "a")],
    )
    .unwrap();
    control(
        &engine,
        &EngineControl {
            cross: Some(1),
            ..EngineControl::default()
        },
    );
    let response = send(
        &engine,
        &completion("second", 5, false),
        &[(ATTEMPT_ID, "b")],
    )
    .unwrap();
    assert_eq!(response.header(ATTEMPT_ID), Some("a"));
    assert_eq!(
        whole_text(&response),
        text::Text::new("reef-1", "first").range(0, 5)
    );
    assert!(records(&engine)[1].crossed);
}

/// Guards against a poison item that succeeds in some attempt.
#[test]
fn poison_always_fails() {
    let engine = start(&[]);
    let prompt = format!("salt {}", text::POISON_MARKER);
    for stream in [false, true, false] {
        assert_eq!(
            send(&engine, &completion(&prompt, 3, stream), &[])
                .unwrap()
                .status,
            500
        );
    }
    let records = records(&engine);
    assert!(
        records
            .iter()
            .all(|record| record.outcome == RequestOutcome::Poisoned)
    );
}

/// Guards against malformed requests that run, and errors in another format.
#[rstest]
#[case(json!({ "model": "reef-1", "prompt": "p", "n": 2 }), 400, "n")]
#[case(json!({ "model": "reef-1" }), 400, "prompt")]
#[case(json!({ "model": "other", "prompt": "p" }), 404, "model")]
#[case(json!({ "model": "reef-1", "prompt": "p", "max_tokens": 40000 }), 400, "prompt")]
fn malformed_request_is_rejected(#[case] request: Value, #[case] status: u16, #[case] param: &str) {
    let engine = start(&[]);
    let response = send(&engine, &request, &[]).unwrap();
    assert_eq!(response.status, status);
    let body: Value = response.json().unwrap();
    assert_eq!(body["error"]["type"], "invalid_request_error");
    assert_eq!(body["error"]["param"], param);
    assert!(body["error"]["message"].is_string());
    await_outcome(&engine, RequestOutcome::Rejected);
}

fn order(engine: &Process, fencing: u64, change: Change) -> u16 {
    let order = Order { change, fencing };
    client::post(engine.address(), "/orders", &order)
        .unwrap()
        .status
}

fn load_model(model: &str, version: &str) -> Change {
    Change::LoadModel {
        model: model.to_owned(),
        version: version.to_owned(),
    }
}

fn load(engine: &Process) -> Value {
    client::get(engine.address(), "/load")
        .unwrap()
        .json()
        .unwrap()
}

/// Guards against an engine that checks fencing numbers but accepts orders of an old manager.
#[test]
fn old_fencing_number_is_rejected() {
    let engine = start(&["--load-time-ms", "0"]);
    let adapter = Change::LoadAdapter {
        model: "reef-1".into(),
        adapter: "brine".into(),
    };
    assert_eq!(order(&engine, 5, load_model("reef-2", "1")), 200);
    assert_eq!(order(&engine, 5, load_model("reef-1", "7")), 200);
    assert_eq!(order(&engine, 6, adapter), 200);
    assert_eq!(
        order(&engine, 6, Change::SetRole { role: Role::Decode }),
        200
    );
    assert_eq!(order(&engine, 4, load_model("reef-1", "6")), 409);
    assert_eq!(
        order(
            &engine,
            5,
            Change::UnloadModel {
                model: "reef-1".into()
            }
        ),
        409
    );
    let load = load(&engine);
    assert_eq!(load["models"], json!({ "reef-1": "7", "reef-2": "1" }));
    assert_eq!(
        load["adapters"],
        json!([{ "model": "reef-1", "adapter": "brine" }])
    );
    assert_eq!(load["role"], "decode");
    assert_eq!(load["fencing"], 6);
    let request = json!({ "model": "reef-1:brine", "prompt": "p", "max_tokens": 2 });
    assert_eq!(send(&engine, &request, &[]).unwrap().status, 200);
}

/// Guards against an engine without fencing check that rejects the order of an old manager.
#[test]
fn old_fencing_number_is_ignored_if_so_configured() {
    let engine = start(&["--load-time-ms", "0", "--ignore-fencing"]);
    assert_eq!(order(&engine, 5, load_model("reef-1", "2")), 200);
    assert_eq!(order(&engine, 4, load_model("reef-1", "1")), 200);
    assert_eq!(load(&engine)["models"], json!({ "reef-1": "1" }));
    let record: Value = client::get(engine.address(), "/record")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(record["orders"][1]["order"]["fencing"], 4);
}

/// Guards against unintended changes of the wire format of orders.
#[test]
fn order_has_the_documented_form() {
    let wire = json!({ "kind": "load-model", "model": "m", "version": "2", "fencing": 3 });
    let order = Order {
        change: load_model("m", "2"),
        fencing: 3,
    };
    assert_eq!(serde_json::to_value(&order).unwrap(), wire);
    assert_eq!(serde_json::from_value::<Order>(wire).unwrap(), order);
}

/// Guards against a model that serves requests before it is loaded.
#[test]
fn model_is_served_only_after_its_load_time() {
    let engine = start(&["--load-time-ms", "3600000"]);
    assert_eq!(order(&engine, 1, load_model("reef-2", "1")), 200);
    assert_eq!(load(&engine)["loading"], true);
    let request = json!({ "model": "reef-2", "prompt": "p" });
    assert_eq!(send(&engine, &request, &[]).unwrap().status, 404);
}

/// Guards against an import without effect, and against an import into another model.
#[test]
fn exported_blocks_are_imported() {
    let (from, to) = (start(&[]), start(&[]));
    let prompt = "x".repeat(200);
    send(&from, &completion(&prompt, 1, false), &[]).unwrap();
    let export = json!({ "model": "reef-1", "prompt": prompt });
    let mut blocks: Value = client::post(from.address(), "/kv/export", &export)
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(blocks["blocks"].as_array().unwrap().len(), 3);
    assert_eq!(
        client::post(to.address(), "/kv/import", &blocks)
            .unwrap()
            .status,
        200
    );
    let response = send(&to, &completion(&prompt, 1, false), &[]).unwrap();
    let usage = &response.json::<Value>().unwrap()["usage"];
    assert_eq!(usage["prompt_tokens_details"]["cached_tokens"], 48);
    blocks["model"] = json!("other");
    assert_eq!(
        client::post(to.address(), "/kv/import", &blocks)
            .unwrap()
            .status,
        409
    );
}

/// Guards against cache events without gaps, which readers must handle.
#[test]
fn cache_events_have_gaps() {
    let engine = start(&["--cache-event-lag-ms", "0", "--cache-event-gap-every", "3"]);
    send(&engine, &completion(&"x".repeat(256), 1, false), &[]).unwrap();
    let body: Value = client::get(engine.address(), "/cache/events?from=1")
        .unwrap()
        .json()
        .unwrap();
    let events = body["events"].as_array().unwrap();
    let numbers: Vec<u64> = events
        .iter()
        .map(|event| event["seq"].as_u64().unwrap())
        .collect();
    assert_eq!(numbers, [1, 2, 4]);
    assert_eq!(body["next"], 5);
    control(
        &engine,
        &EngineControl {
            clear_cache: Some(true),
            ..EngineControl::default()
        },
    );
    let body: Value = client::get(engine.address(), "/cache/events?from=5")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(body["events"][0]["kind"], "removed");
}

/// Guards against a load or cache event that is visible before its lag has passed.
#[test]
fn load_and_cache_events_lag() {
    let engine = start(&[
        "--load-lag-ms",
        "3600000",
        "--cache-event-lag-ms",
        "3600000",
    ]);
    send(&engine, &completion(&"x".repeat(256), 1, false), &[]).unwrap();
    assert_eq!(load(&engine)["cache_blocks"], 0);
    let body: Value = client::get(engine.address(), "/cache/events")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(body["events"], json!([]));
    let now = EngineControl {
        load_lag_ms: Some(0),
        cache_event_lag_ms: Some(0),
        ..EngineControl::default()
    };
    control(&engine, &now);
    assert_eq!(load(&engine)["cache_blocks"], 4);
}
