//! `config check` as a process: forms of documents, exit codes, output and differences.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod support;

use std::fs;
use std::io::Write;
use std::process::Stdio;

use rstest::rstest;
use serde_json::json;
use support::{
    EXAMPLE,
    Reply,
    Stub,
    ToolRun,
    file,
    path,
    run,
    run_at,
    tool, //
};

const PLATFORM: &str = r#"{"version": 1,
"routes": [{"name": "r", "host": "h", "pathPrefix": "/", "kind": "safe", "timeoutMs": 500, "service": "s"}],
"services": [{"name": "s", "engine": {"slots": 8}}],
"tenants": [{"name": "t", "apiKeys": ["secret-key"], "requestsPerS": 40, "burst": 9}]}"#;

fn check(args: &[&str]) -> ToolRun {
    run(&[&["config", "check"], args].concat())
}

/// Guards against a form that is not detected, and against exit codes that do not tell warnings from errors.
#[rstest]
#[case::valid("valid.json", PLATFORM, 0, "routes: 1", "")]
#[case::any_name("valid", PLATFORM, 0, "routes: 1", "")]
#[case::warning("warning.json", &PLATFORM.replace("9}", "0}"), 1, "valid", ":4: tenants[0].burst: warning: ")]
#[case::code("code.json", &PLATFORM.replace("9}", "0}"), 1, "valid", "[rate-without-burst]")]
#[case::error("error.json", &PLATFORM.replace("500", "-1"), 2, "", ":2: routes[0].timeoutMs: -1 is not accepted")]
#[case::truncated("truncated", &PLATFORM[..200], 2, "", ":4: document: EOF while parsing")]
#[case::no_object(
    "array.json",
    "[]",
    2,
    "",
    ":1: document: a list is not accepted: use an object"
)]
#[case::empty("empty.json", "", 2, "", ":1: document: EOF")]
#[case::product("valid.toml", EXAMPLE, 0, "backend servers: 3", "")]
#[case::product_syntax("syntax.toml", "[", 1, "", ":1: document: ")]
#[case::product_warning("unused", &EXAMPLE.replace(", \"quotes\"]", "]"), 1, "valid", ": service.id: warning: \"quotes\"")]
#[case::product_keys("keys", &EXAMPLE.replace(&EXAMPLE[EXAMPLE.rfind("[[organisation.key]]").unwrap()..EXAMPLE.find("# A service of").unwrap()], ""), 1, "valid", "[organisation-without-key]")]
fn exit_codes_tell_warnings_from_errors(
    #[case] name: &str,
    #[case] text: &str,
    #[case] code: i32,
    #[case] out: &str,
    #[case] err: &str,
) {
    let path = file(&format!("check-{name}"), text);
    let ran = check(&[&path]);
    assert_eq!(ran.code, code, "{ran:?}");
    assert!(ran.out.contains(out) && ran.err.contains(err), "{ran:?}");
    assert_eq!(
        (ran.out.is_empty(), ran.err.is_empty()),
        (out.is_empty(), err.is_empty()),
        "{ran:?}"
    );
    assert!(
        ran.err.lines().all(|line| line.starts_with(&path)),
        "{ran:?}"
    );
    assert!(!ran.err.contains("secret-key"), "{ran:?}");
}

/// Guards against bytes of another encoding without a position, and a missing file with the code of
/// warnings.
#[test]
fn a_file_that_cannot_be_read_is_an_error() {
    let path = path("check-latin1.json");
    fs::write(&path, b"{\"version\": 1,\n\"later\": \"\xe4\"}").unwrap();
    let ran = check(&[&path, "--json"]);
    assert_eq!(ran.code, 2, "{ran:?}");
    let finding = &ran.json()["findings"][0];
    let expected = json!({"code": "not-utf8", "severity": "error", "line": 2, "column": 11,
        "place": "document", "message": "not UTF-8: use UTF-8"});
    assert_eq!(*finding, expected);
    let ran = check(&["/nonexistent/file.json"]);
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(ran.err.contains("/nonexistent/file.json"), "{ran:?}");
}

/// Guards against a document from standard input whose form is not detected.
#[test]
fn standard_input_is_checked() {
    let mut tool = tool(&["config", "check", "-"]);
    let tool = tool
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = tool.spawn().unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(PLATFORM.as_bytes())
        .unwrap();
    let ran: ToolRun = child.wait_with_output().unwrap().into();
    assert_eq!(ran.code, 0, "{ran:?}");
}

/// Guards against differences that are not printed, that change the exit code, or that show keys.
#[test]
fn differences_are_no_findings() {
    let before = file("check-before.json", PLATFORM);
    let text = PLATFORM
        .replace("500", "600")
        .replace("secret-key", "secret-kez");
    let after = file("check-after.json", &text);
    let ran = check(&[&after, "--against", &before]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let expected = "route \"r\" changed\n  timeoutMs: 500 -> 600\norganisation \"t\" changed\n  \
        apiKeys: \"secr...\" -> (absent)\n  apiKeys: (absent) -> \"secr...\"\n";
    assert!(ran.out.ends_with(expected), "{ran:?}");
    let ran = check(&[&after, "--against", &before, "--servers", "1", "--json"]);
    let report = ran.json();
    assert_eq!(
        (ran.code, &report["valid"], &report["form"]),
        (0, &json!(true), &json!("platform"))
    );
    let expected = json!({"kind": "route", "name": "r", "change": "changed",
        "fields": [{"field": "timeoutMs", "before": 500, "after": 600}]});
    assert_eq!(report["differences"][0], expected);
    let ran = check(&[&before, "--against", &after, "--servers", "0"]);
    assert_eq!(ran.code, 2, "{ran:?}");
}

/// Guards against a document with errors that is compared as if it were valid.
#[test]
fn the_other_document_is_checked_too() {
    let valid = file("check-against-valid.json", PLATFORM);
    let faulty = file("check-against-faulty.json", &PLATFORM.replace("500", "-1"));
    let ran = check(&[&valid, "--against", &faulty]);
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(
        ran.err.starts_with(&faulty) && ran.out.is_empty(),
        "{ran:?}"
    );
}

/// Guards against differences of the product's document that depend on positions, and against a
/// comparison with something else than the version in force.
#[test]
fn a_document_is_compared_with_the_version_in_force() {
    let stub = Stub::start(|_, _| Reply::text(200, EXAMPLE).header("x-limpetweir-version", "7"));
    let after = EXAMPLE
        .replace("slots = 32", "slots = 64")
        .replace("[\"chat\", \"quotes\"]", "[\"quotes\", \"chat\"]");
    let after = file("check-current.toml", &after);
    let ran = run_at(&stub, &["config", "check", &after, "--against", "current"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(
        ran.out
            .ends_with("\nbackend \"quotes-1\" changed\n  slots: 32 -> 64\n"),
        "{ran:?}"
    );
    let before = file("check-former.toml", EXAMPLE);
    let ran = check(&[&after, "--against", &before, "--json"]);
    assert_eq!(ran.json()["differences"][0]["name"], "quotes-1");
}

/// Guards against options that have no meaning for a form and are ignored.
#[rstest]
#[case(PLATFORM, &["--against", "current"])]
#[case(EXAMPLE, &["--servers", "3"])]
fn options_of_the_other_form_are_refused(#[case] text: &str, #[case] args: &[&str]) {
    let path = file(&format!("check-option-{}", args.len() + text.len()), text);
    let ran = check(&[&[path.as_str()], args].concat());
    assert_eq!(ran.code, 2, "{ran:?}");
    let other = if text == PLATFORM { EXAMPLE } else { PLATFORM };
    let other = file(&format!("check-form-{}", text.len()), other);
    let ran = check(&[&path, "--against", &other]);
    assert!(ran.code == 2 && ran.err.contains("same form"), "{ran:?}");
}
