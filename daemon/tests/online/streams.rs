//! Tests of streamed and whole responses, broken streams and callers that disconnect.

use limpetweir_standins::client::{
    self,
    Exchange, //
};
use limpetweir_standins::engine::text::Text;
use limpetweir_standins::engine::{
    AfterTokens,
    EngineControl,
    RequestOutcome, //
};
use limpetweir_standins::fleet::{
    chunks,
    is_done,
    streamed_text, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::fleet::{
    Fleet,
    KEY,
    MODEL,
    Setup,
    bearer,
    completion,
    error_code, //
};
use crate::raw::Connection;

const TWO_ENGINES: Setup = Setup {
    engines: 2,
    ..Setup::SMALL
};

fn expected(prompt: &str, tokens: usize) -> String {
    Text::new(MODEL, prompt).range(0, tokens)
}

/// Guards against responses whose form or text differs from the engine's.
#[test]
fn whole_and_streamed_answers_are_complete() {
    let fleet = Fleet::start(Setup::SMALL);
    let whole = fleet.complete("tide table", 12, false);
    assert_eq!(whole.status, 200, "{}", whole.text());
    assert_eq!(whole.header("content-type"), Some("application/json"));
    let body: Value = whole.json().unwrap();
    assert_eq!(body["choices"][0]["text"], expected("tide table", 12));
    assert_eq!(body["usage"]["completion_tokens"], 12);
    let streamed = fleet.complete("tide table", 12, true);
    assert_eq!(streamed.status, 200, "{}", streamed.text());
    assert_eq!(streamed.header("content-type"), Some("text/event-stream"));
    assert_eq!(
        streamed_text(&streamed).unwrap(),
        expected("tide table", 12)
    );
    assert!(is_done(&streamed).unwrap() && streamed.complete);
}

/// Guards against chat requests that are forwarded as plain completions.
#[test]
fn chat_answers_are_complete() {
    let fleet = Fleet::start(Setup::SMALL);
    let body = |stream| {
        json!({ "model": MODEL, "max_tokens": 9, "stream": stream,
            "messages": [{ "role": "user", "content": "when is high tide" }] })
    };
    let prompt = "user: when is high tide\n";
    let whole = fleet.send("POST", "/v1/chat/completions", &body(false), KEY);
    let whole: Value = whole.json().unwrap();
    assert_eq!(
        whole["choices"][0]["message"]["content"],
        expected(prompt, 9)
    );
    let streamed = fleet.send("POST", "/v1/chat/completions", &body(true), KEY);
    assert_eq!(streamed_text(&streamed).unwrap(), expected(prompt, 9));
    assert!(is_done(&streamed).unwrap());
}

fn cut() -> EngineControl {
    EngineControl {
        cut: Some(FIVE),
        ..EngineControl::default()
    }
}

fn end_early() -> EngineControl {
    EngineControl {
        end_early: Some(FIVE),
        ..EngineControl::default()
    }
}

fn fail_after() -> EngineControl {
    EngineControl {
        fail_after: Some(FIVE),
        ..EngineControl::default()
    }
}

const FIVE: AfterTokens = AfterTokens {
    count: 1,
    tokens: 5,
};

/// Guards against lost or repeated tokens when another engine continues a stream, and against a
/// usage that includes only the last engine's tokens.
#[rstest]
#[case::cut(cut())]
#[case::end_early(end_early())]
#[case::fail_after(fail_after())]
fn a_broken_stream_is_resumed_exactly(#[case] fault: EngineControl) {
    let fleet = Fleet::start(TWO_ENGINES);
    let first = fleet.engine_for("salinity");
    fleet.control_engine(first, &fault);
    let mut body = completion("salinity", 20, true);
    body["stream_options"] = json!({ "include_usage": true });
    let response = fleet.send("POST", "/v1/completions", &body, KEY);
    assert_eq!(streamed_text(&response).unwrap(), expected("salinity", 20));
    assert!(is_done(&response).unwrap() && response.complete);
    let records = fleet.engine_records(1 - first);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].resume_tokens, 5);
    let chunks = chunks(&response).unwrap();
    assert!(chunks.iter().all(|chunk| chunk["id"] == chunks[0]["id"]));
    let finishes = chunks
        .iter()
        .filter(|chunk| chunk["choices"][0]["finish_reason"].is_string());
    assert_eq!(finishes.count(), 1);
    let usage = &chunks.last().unwrap()["usage"];
    assert_eq!(usage["completion_tokens"], 20);
}

/// Guards against a role that is repeated when another engine continues a chat stream.
#[test]
fn a_resumed_chat_has_one_role() {
    let fleet = Fleet::start(TWO_ENGINES);
    for engine in 0..2 {
        fleet.control_engine(engine, &cut());
    }
    let body = json!({ "model": MODEL, "max_tokens": 5, "stream": true,
        "messages": [{ "role": "user", "content": "reef" }] });
    let response = fleet.send("POST", "/v1/chat/completions", &body, KEY);
    let roles = chunks(&response)
        .unwrap()
        .into_iter()
        .filter(|chunk| chunk["choices"][0]["delta"]["role"].is_string());
    assert_eq!(roles.count(), 1);
}

/// Guards against a broken stream that looks complete when no other engine can continue it.
#[rstest]
#[case::cut(cut())]
#[case::end_early(end_early())]
#[case::fail_after(fail_after())]
fn a_broken_stream_without_another_engine_ends_with_an_error(#[case] fault: EngineControl) {
    let fleet = Fleet::start(Setup::SMALL);
    fleet.control_engine(0, &fault);
    let response = fleet.complete("salinity", 20, true);
    assert!(!is_done(&response).unwrap());
    assert!(
        streamed_text(&response)
            .unwrap()
            .starts_with(&expected("salinity", 5))
    );
    let chunks = chunks(&response).unwrap();
    let error = &chunks.last().unwrap()["error"];
    assert_eq!(error["code"], "stream_broken");
    assert_eq!(error["verdict"], "may-have-run");
}

/// Guards against a stream that is cut without an error when its engine is lost before the first event.
#[rstest]
#[case::resumed(2)]
#[case::not_resumed(1)]
fn a_stream_lost_before_its_first_event_ends_explicitly(#[case] engines: usize) {
    let fleet = Fleet::start(Setup {
        engines,
        ..Setup::SMALL
    });
    let before_first = EngineControl {
        cut: Some(AfterTokens {
            count: 1,
            tokens: 0,
        }),
        ..EngineControl::default()
    };
    fleet.control_engine(fleet.engine_for("salinity"), &before_first);
    let response = fleet.complete("salinity", 20, true);
    assert!(response.complete);
    if engines > 1 {
        assert_eq!(streamed_text(&response).unwrap(), expected("salinity", 20));
        assert!(is_done(&response).unwrap());
        return;
    }
    let chunks = chunks(&response).unwrap();
    assert_eq!(chunks.len(), 1, "{chunks:?}");
    assert_eq!(chunks[0]["error"]["code"], "stream_broken");
    assert_eq!(chunks[0]["error"]["verdict"], "may-have-run");
}

/// Guards against a response that is returned to a request other than its own.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn a_crossed_answer_is_dropped(#[case] stream: bool) {
    let fleet = Fleet::start(Setup::SMALL);
    assert_eq!(fleet.complete("first", 8, stream).status, 200);
    fleet.control_engine(
        0,
        &EngineControl {
            cross: Some(1),
            ..EngineControl::default()
        },
    );
    let response = fleet.complete("second", 8, stream);
    assert!(fleet.engine_records(0)[1].crossed);
    assert_eq!(error_code(&response, 502, "may-have-run"), "backend_failed");
}

/// Guards against a response without an attempt id that is accepted, and against an error for a
/// request that another engine can run.
#[test]
fn an_answer_without_id_is_replaced_by_another_engine() {
    let fleet = Fleet::start(TWO_ENGINES);
    let first = fleet.engine_for("gauge");
    fleet.control_engine(
        first,
        &EngineControl {
            omit_attempt_id: Some(1),
            ..EngineControl::default()
        },
    );
    let response = fleet.complete("gauge", 8, false);
    let body: Value = response.json().unwrap();
    assert_eq!(body["choices"][0]["text"], expected("gauge", 8));
    assert_eq!(fleet.engine_records(1 - first).len(), 1);
}

/// Guards against an error for a whole response that was interrupted although it can be retried.
#[test]
fn a_cut_whole_answer_is_repeated_elsewhere() {
    let fleet = Fleet::start(TWO_ENGINES);
    let first = fleet.engine_for("weir");
    fleet.control_engine(first, &cut());
    let response = fleet.complete("weir", 8, false);
    assert_eq!(response.status, 200, "{}", response.text());
    let body: Value = response.json().unwrap();
    assert_eq!(body["choices"][0]["text"], expected("weir", 8));
}

/// Guards against engines that continue to generate after the caller of a stream disconnected.
#[test]
fn a_stream_is_cancelled_when_its_caller_leaves() {
    let fleet = Fleet::start(Setup::SMALL);
    let received = client::send_until(
        Exchange {
            address: &fleet.public(0),
            method: "POST",
            path: "/v1/completions",
            headers: &[("authorization", &bearer(KEY))],
            body: completion(&long_prompt(), 1_000, true)
                .to_string()
                .into_bytes(),
        },
        |body| !body.is_empty(),
    )
    .unwrap();
    assert!(!received.complete);
    fleet.await_outcome(0, RequestOutcome::Cancelled);
}

/// Returns a prompt whose response is so long that the caller can disconnect before its end.
fn long_prompt() -> String {
    let prompts = (0..).map(|n| format!("long {n}"));
    let mut long = prompts.filter(|prompt| Text::new(MODEL, prompt).natural_length() > 800);
    long.next().unwrap()
}

/// Guards against engines that continue to generate after a caller disconnected before the whole
/// response or the first token.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn a_waiting_request_is_cancelled_when_its_caller_leaves(#[case] stream: bool) {
    let fleet = Fleet::start(Setup::SMALL);
    let stall = EngineControl {
        stall: Some(true),
        ..EngineControl::default()
    };
    fleet.control_engine(0, &stall);
    let mut connection = Connection::open(&fleet.public(0));
    let body = completion("stalled", 8, stream).to_string();
    connection.write("POST", "/v1/completions", KEY, &body);
    fleet.await_outcome(0, RequestOutcome::Running);
    drop(connection);
    fleet.await_outcome(0, RequestOutcome::Cancelled);
}
