//! Commands that use the admin interface: `config`, `key` and `explain`.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod support;

use limpetweir_protocol::parse_configuration;
use limpetweir_state::{
    KeyDigest,
    Verdict, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    EXAMPLE,
    KEY,
    ReceivedRequest,
    Reply,
    Stub,
    closed_address,
    dropping_address,
    file,
    run_at,
    run_with,
    tool, //
};

const VERSION: &str = "x-limpetweir-version";

fn status(first: u64, second: Value) -> Value {
    json!({
        "instance": "a", "version": first,
        "instances": [
            {"name": "a", "state": "live", "version": first},
            {"name": "b", "state": "silent", "version": second},
        ],
        "groups": [{"group": "jobs-0", "holder": "a", "epoch": 3}],
    })
}

fn accepted(request: &ReceivedRequest, version: u64) -> Reply {
    let id = id_of(request);
    Reply::json(
        200,
        &json!({"outcome": "accepted", "version": version, "id": id}),
    )
}

fn conflict(request: &ReceivedRequest, version: u64) -> Reply {
    let id = id_of(request);
    Reply::json(
        409,
        &json!({"outcome": "conflict", "version": version, "id": id}),
    )
}

fn id_of(request: &ReceivedRequest) -> &str {
    request.target.split_once("&id=").unwrap().1
}

/// Responds as an instance with the example as version 7, on which a publication creates version 8.
fn admin(request: &ReceivedRequest, earlier: usize) -> Reply {
    match request.target.as_str() {
        "GET /admin/config" => Reply::text(200, EXAMPLE).header(VERSION, "7"),
        // The second instance has the version only from the second status request on.
        "GET /admin/status" if earlier == 0 => Reply::json(200, &status(8, json!(7))),
        "GET /admin/status" => Reply::json(200, &status(8, json!(8))),
        _ => accepted(request, 8),
    }
}

/// Guards against a publication that lacks the operator's key, the base, the identifier or the
/// document, and a command that returns before the version is in force.
#[rstest]
#[case("7")]
#[case("current")]
fn a_publication_is_sent_and_awaited(#[case] base: &str) {
    let stub = Stub::start(admin);
    let file = file(&format!("publish-{base}.toml"), EXAMPLE);
    let ran = run_at(&stub, &["config", "publish", &file, "--base", base]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.contains("version 8 is in force"), "{ran:?}");
    let sent = stub.received("POST");
    assert_eq!(sent.len(), 1);
    assert!(sent[0].target.starts_with("POST /admin/config?base=7&id="));
    assert_eq!(sent[0].header("authorization"), format!("Bearer {KEY}"));
    assert_eq!(sent[0].body, EXAMPLE);
    assert_eq!(stub.received("GET /admin/status").len(), 2);
}

/// Guards against an invalid document that is sent to the fleet.
#[test]
fn an_invalid_document_is_not_sent() {
    let stub = Stub::start(admin);
    let file = file(
        "publish-faulty.toml",
        &EXAMPLE.replace("slots = 32", "slots = 0"),
    );
    let ran = run_at(&stub, &["config", "publish", &file, "--base", "7"]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains("backend.slots"), "{ran:?}");
    assert!(stub.received("").is_empty());
}

/// Guards against a retry after a lost response that creates a second publication.
#[test]
fn a_publication_is_retried_unchanged_after_a_lost_response() {
    let stub = Stub::start(|request, earlier| {
        if request.target.starts_with("POST") && earlier == 0 {
            return Reply::truncated("{\"outcome\":");
        }
        admin(request, earlier)
    });
    let file = file("publish-lost.toml", EXAMPLE);
    let ran = run_at(&stub, &["config", "publish", &file, "--base", "7"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let sent = stub.received("POST");
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0].target, sent[1].target);
}

/// Guards against an unanswered publication that the operator cannot repeat safely, for lack of its
/// identifier.
#[test]
fn an_unanswered_publication_reports_its_identifier() {
    let file = file("publish-unknown.toml", EXAMPLE);
    let args = [
        "config",
        "publish",
        &file,
        "--base",
        "7",
        "--id",
        "my-id",
        "--timeout",
        "2s",
    ];
    let ran = run_with(dropping_address(), &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains("--base 7 --id my-id"), "{ran:?}");
    let ran = run_with(closed_address(), &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(!ran.err.contains("may have been accepted"), "{ran:?}");
}

/// Guards against a publication that is reported as not run because its last attempt was refused,
/// although an earlier one may have been accepted.
#[test]
fn a_refused_repetition_of_an_unanswered_publication_reports_its_identifier() {
    let stub = Stub::start(|_, earlier| match earlier {
        0 => Reply::truncated("{"),
        _ => Reply::error(503, "refused", Verdict::NotRun, Some(3_600_000)),
    });
    let file = file("publish-refused-again.toml", EXAMPLE);
    let args = [
        "config", "publish", &file, "--base", "7", "--id", "my-id", "--json",
    ];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert_eq!(stub.received("POST").len(), 2);
    assert!(ran.err.contains("--base 7 --id my-id"), "{ran:?}");
    let report: Value = serde_json::from_str(ran.err.lines().last().unwrap()).unwrap();
    assert_eq!(report["error"]["verdict"], "may-have-run", "{ran:?}");
}

/// Guards against a conflict that is retried or reported as success.
#[test]
fn a_conflict_is_reported_with_the_current_version() {
    let stub = Stub::start(|request, _| conflict(request, 9));
    let file = file("publish-conflict.toml", EXAMPLE);
    let args = ["config", "publish", &file, "--base", "7", "--json"];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert_eq!(ran.json()["outcome"], "conflict");
    assert!(ran.err.contains("--base 9"), "{ran:?}");
    assert_eq!(stub.received("POST").len(), 1);
}

/// Guards against a report of success while an instance has an older version.
#[rstest]
#[case(json!(7), "b (silent, version 7)")]
#[case(Value::Null, "b (silent, version unknown)")]
fn instances_without_the_version_are_listed(#[case] version: Value, #[case] named: &str) {
    let stub = Stub::start(move |request, _| match request.target.as_str() {
        "GET /admin/status" => Reply::json(200, &status(8, version.clone())),
        _ => accepted(request, 8),
    });
    let file = file("publish-partial.toml", EXAMPLE);
    let args = [
        "config",
        "publish",
        &file,
        "--base",
        "7",
        "--timeout",
        "600ms",
    ];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains(named), "{ran:?}");
}

/// Guards against differences that are missing from the output, and output without differences.
#[test]
fn a_document_is_compared_with_the_one_in_force() {
    let stub = Stub::start(admin);
    let same = file("diff-same.toml", EXAMPLE);
    let ran = run_at(&stub, &["config", "diff", &same]);
    assert_eq!((ran.code, ran.out.as_str()), (0, ""), "{ran:?}");
    let other = EXAMPLE.replace("slots = 32", "slots = 64");
    let other = file("diff-other.toml", &other);
    let ran = run_at(&stub, &["config", "diff", &other]);
    assert_eq!(ran.code, 0);
    assert!(ran.out.contains("\n-slots = 32\n+slots = 64\n"), "{ran:?}");
    assert!(ran.out.starts_with("--- version 7\n"), "{ran:?}");
    let ran = run_at(&stub, &["config", "diff", &other, "--json"]);
    assert_eq!(ran.json()["changed"], true);
}

/// Guards against a document that is printed with changes.
#[test]
fn the_document_and_versions_in_force_are_shown() {
    let stub = Stub::start(admin);
    assert_eq!(run_at(&stub, &["config", "show"]).out, EXAMPLE);
    let shown = run_at(&stub, &["config", "show", "--json"]).json();
    assert_eq!(shown, json!({"version": 7, "document": EXAMPLE}));
    let ran = run_at(&stub, &["config", "status"]);
    assert!(ran.out.contains("b         silent  7\n"), "{}", ran.out);
    let shown = run_at(&stub, &["config", "status", "--json"]).json();
    assert_eq!(shown["groups"][0]["epoch"], 3);
}

/// Guards against a published document that contains the secret of a new key, or lacks its digest.
#[test]
fn a_created_key_is_published_as_its_digest() {
    let stub = Stub::start(admin);
    let ran = run_at(&stub, &["key", "create", "gulf-reef", "--id", "new"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let secret = ran.out.trim();
    assert!(secret.len() >= 64, "{ran:?}");
    let sent = stub.received("POST");
    assert!(!sent[0].body.contains(secret));
    let cfg = parse_configuration(&sent[0].body).unwrap();
    let digest = KeyDigest::of_key(secret.as_bytes());
    let (organisation, key) = cfg.find_key(&digest).unwrap();
    assert_eq!((organisation.as_str(), key.as_str()), ("gulf-reef", "new"));
    assert!(!ran.err.contains(secret), "{ran:?}");
}

/// Guards against a secret in the document that `--file` and `--print` output.
#[rstest]
#[case(true)]
#[case(false)]
fn a_printed_document_has_only_the_digest(#[case] from_file: bool) {
    let stub = Stub::start(admin);
    let path = file("key-print.toml", EXAMPLE);
    let source = if from_file {
        ["--file", &path]
    } else {
        ["--print", "--json"]
    };
    let mut args = vec!["key", "create", "gulf-reef"];
    args.extend(source);
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 0, "{ran:?}");
    let (document, secret) = if from_file {
        (
            ran.out.clone(),
            ran.err.trim().rsplit(' ').next().unwrap().to_owned(),
        )
    } else {
        let shown = ran.json();
        let text = |name: &str| shown[name].as_str().unwrap().to_owned();
        (text("document"), text("secret"))
    };
    assert!(!document.contains(&secret));
    let cfg = parse_configuration(&document).unwrap();
    assert!(
        cfg.find_key(&KeyDigest::of_key(secret.as_bytes()))
            .is_some()
    );
    assert!(stub.received("POST").is_empty());
}

/// Guards against a key change that overwrites the publication of another operator.
#[test]
fn a_key_change_is_repeated_on_the_newer_version() {
    let stub = Stub::start(|request, earlier| match request.target.as_str() {
        "GET /admin/config" if earlier == 0 => Reply::text(200, EXAMPLE).header(VERSION, "7"),
        "GET /admin/config" => {
            let newer = EXAMPLE.replace("slots = 32", "slots = 64");
            Reply::text(200, newer).header(VERSION, "8")
        }
        "GET /admin/status" => Reply::json(200, &status(9, json!(9))),
        target if target.starts_with("POST /admin/config?base=7") => conflict(request, 8),
        _ => accepted(request, 9),
    });
    let ran = run_at(&stub, &["key", "withdraw", "fapapucs", "example-1"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let sent = stub.received("POST");
    assert_eq!(sent.len(), 2);
    assert_ne!(id_of(&sent[0]), id_of(&sent[1]));
    let body = &sent[1].body;
    assert!(body.contains("slots = 64"));
    let cfg = parse_configuration(body).unwrap();
    let digest = KeyDigest::of_key(b"example-key-1");
    assert!(cfg.find_key(&digest).is_none());
}

/// Guards against an unanswered key change that is reported as not carried out.
#[test]
fn an_unanswered_key_change_is_not_reported_as_rejected() {
    let stub = Stub::start(|request, earlier| match request.target.as_str() {
        "GET /admin/config" => admin(request, earlier),
        _ => Reply::truncated("{"),
    });
    let args = [
        "key",
        "create",
        "gulf-reef",
        "--id",
        "new",
        "--timeout",
        "300ms",
    ];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.out.is_empty(), "{ran:?}");
    assert!(
        ran.err.contains("key new of gulf-reef may be changed"),
        "{ran:?}"
    );
}

/// Guards against the withdrawal of an unknown key that is reported as success.
#[test]
fn an_unknown_key_is_not_withdrawn() {
    let stub = Stub::start(admin);
    let ran = run_at(&stub, &["key", "withdraw", "fapapucs", "other"]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains("fapapucs has no key other"), "{ran:?}");
    assert!(stub.received("POST").is_empty());
}

/// Guards against a rejection that is reported without its code and verdict.
#[test]
fn rejections_are_reported_with_code_and_verdict() {
    let stub = Stub::start(|_, _| Reply::error(401, "unknown_key", Verdict::NotRun, None));
    let ran = run_at(&stub, &["config", "show"]);
    assert_eq!(ran.code, 1);
    assert!(
        ran.err.contains("unknown_key, status 401, not-run"),
        "{ran:?}"
    );
    let ran = run_at(&stub, &["config", "show", "--json"]);
    let err: Value = serde_json::from_str(&ran.err).unwrap();
    assert_eq!(err["error"]["code"], "unknown_key");
    assert_eq!(err["error"]["verdict"], "not-run");
    assert_eq!(stub.received("GET").len(), 2);
}

/// Guards against a caller's key that is sent to the admin listener, and an ignored key file.
#[test]
fn a_key_file_takes_precedence_over_the_environment() {
    let stub = Stub::start(admin);
    let key = file("operator-key", "from-file\n");
    let addr = stub.addr.to_string();
    let args = ["config", "show", "--admin", &addr, "--key-file", &key];
    let output = tool(&args).env("LIMPETWEIR_OPERATOR_KEY", KEY).output();
    assert!(output.unwrap().status.success());
    let received = stub.received("GET");
    assert_eq!(received[0].header("authorization"), "Bearer from-file");
    let output = tool(&args[..4]).env("LIMPETWEIR_KEY", KEY).output();
    assert_eq!(output.unwrap().status.code(), Some(2));
}

/// Guards against an explanation of a different request.
#[test]
fn explanations_show_choice_and_reason() {
    let response = json!({
        "instance": "a", "phase": "serving", "config_version": 7, "service": "chat",
        "quota": {"group": "quota-3", "home": "b", "share": null},
        "reason": "engine-2 has the most free slots",
        "choice": {"backend": "engine-2", "free": 9, "full": false, "affinity": "full",
            "same_zone": false, "tied": 1},
        "considered": [
            {"backend": "engine-2", "exclusion": null, "free": 9, "overloaded": false,
             "preferred": false, "same_zone": false},
            {"backend": "engine-1", "exclusion": "leaving", "free": -1, "overloaded": true,
             "preferred": true, "same_zone": true},
        ],
    });
    let sent = response.clone();
    let stub = Stub::start(move |_, _| Reply::json(200, &sent));
    let args = [
        "explain",
        "--model",
        "small",
        "--organisation",
        "o",
        "--prompt",
        "a b&c=ü",
    ];
    let ran = run_at(&stub, &args);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.contains("service chat: engine-2"), "{ran:?}");
    assert!(ran.out.contains("most free slots"), "{ran:?}");
    assert!(ran.out.contains("quota-3 (b): no share"), "{ran:?}");
    assert!(ran.out.contains("leaving"), "{ran:?}");
    let target = &stub.received("GET")[0].target;
    let expected = "model=small&organisation=o&prompt=a%20b%26c%3D%C3%BC";
    assert_eq!(target, &format!("GET /admin/explain?{expected}"));
    let mut args = args.to_vec();
    args.push("--json");
    assert_eq!(run_at(&stub, &args).json(), response);
}
