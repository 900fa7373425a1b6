//! Parsing of arguments, exit codes for usage errors, and checks of documents.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod support;

use std::time::Duration;

use jiff::Timestamp;
use limpetweir::args::{
    Base,
    command, //
};
use limpetweir::span::{
    Deadline,
    parse_duration, //
};
use rstest::rstest;
use support::{
    EXAMPLE,
    KEY,
    file,
    run,
    tool, //
};

/// Guards against conflicting names and other errors in the definition of the arguments.
#[test]
fn the_argument_definition_is_consistent() {
    command().debug_assert();
}

/// Guards against a base that is parsed wrongly, or accepted when it is invalid.
#[rstest]
#[case("current", Some(Base::Current))]
#[case("7", Some(Base::Version(7)))]
#[case("-1", None)]
#[case("latest", None)]
fn a_base_is_a_version_or_current(#[case] text: &str, #[case] expected: Option<Base>) {
    let base = format!("--base={text}");
    let args = ["limpetweir", "config", "publish", "file", &base];
    let parsed = command().try_get_matches_from(args);
    let base = parsed.ok().map(|matches| {
        let (_, matches) = matches.subcommand().unwrap();
        let (_, matches) = matches.subcommand().unwrap();
        *matches.get_one::<Base>("base").unwrap()
    });
    assert_eq!(base, expected);
}

/// Guards against durations that are parsed with a different unit, or accepted without one.
#[rstest]
#[case("500ms", Some(500))]
#[case("30s", Some(30_000))]
#[case("1h30m", Some(5_400_000))]
#[case("2d", Some(172_800_000))]
#[case("30", None)]
#[case("0s", None)]
#[case("-5s", None)]
fn durations_have_units(#[case] text: &str, #[case] ms: Option<u64>) {
    assert_eq!(parse_duration(text).ok(), ms.map(Duration::from_millis));
}

/// Guards against deadlines that are parsed as a different time, or accepted although they have
/// passed.
#[test]
fn deadlines_are_durations_or_times() {
    let now: Timestamp = "2026-03-01T12:00:00Z".parse().unwrap();
    let seconds = |text: &str| text.parse::<Deadline>().unwrap().seconds_from(now);
    assert_eq!(seconds("2h"), Some(7200));
    assert_eq!(seconds("2026-03-01T13:00:00Z"), Some(3600));
    assert_eq!(seconds("2026-03-01T14:00:00+01:00"), Some(3600));
    assert_eq!(seconds("2026-03-01T11:59:59Z"), None);
    assert_eq!(seconds("500ms"), None);
    assert!("2026-03-01 13:00".parse::<Deadline>().is_err());
}

/// Guards against usage errors with the exit code of a rejected operation or of success.
#[rstest]
#[case(&[])]
#[case(&["unknown"])]
#[case(&["config"])]
#[case(&["config", "publish", "file"])]
#[case(&["config", "show"])]
#[case(&["config", "show", "--admin", "127.0.0.1:1"])]
#[case(&["config", "show", "--admin", "localhost:1"])]
#[case(&["addresses", "--address", "127.0.0.1:1"])]
#[case(&["job", "status", "a/b"])]
#[case(&["job", "results", "0-a", "--page", "0"])]
#[case(&["key", "create", "an organisation"])]
#[case(&["explain", "--admin", "127.0.0.1:1"])]
#[case(&["explain", "--model", "m", "--admin", "127.0.0.1:1"])]
#[case(&["addresses", "--timeout", "5"])]
#[case(&["completions", "cmd"])]
#[case(&["addresses", "--key", "secret"])]
fn wrong_usage_exits_with_2(#[case] args: &[&str]) {
    let ran = run(args);
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(ran.out.is_empty(), "{ran:?}");
    assert!(!ran.err.is_empty(), "{ran:?}");
}

/// Guards against help and version output with the exit code of a failure.
#[rstest]
#[case("--help", "LIMPETWEIR_OPERATOR_KEY")]
#[case("--version", "limpetweir ")]
fn help_and_version_succeed(#[case] arg: &str, #[case] part: &str) {
    let ran = run(&[arg]);
    assert_eq!(ran.code, 0);
    assert!(ran.out.contains(part), "{ran:?}");
}

/// Guards against shell completions that lack subcommands.
#[rstest]
#[case("bash")]
#[case("fish")]
#[case("zsh")]
fn completions_contain_the_commands(#[case] shell: &str) {
    let ran = run(&["completions", shell]);
    assert_eq!(ran.code, 0);
    assert!(ran.out.contains("withdraw"), "{}", ran.out);
}

/// Guards against an error message that contains the contents of an invalid key file.
#[test]
fn an_invalid_key_is_rejected_without_being_printed() {
    let path = file("faulty-key", "secret key\n");
    let args = [
        "config",
        "show",
        "--admin",
        "127.0.0.1:1",
        "--key-file",
        &path,
    ];
    let ran: support::ToolRun = tool(&args)
        .env("LIMPETWEIR_OPERATOR_KEY", KEY)
        .output()
        .unwrap()
        .into();
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(!ran.err.contains("secret"), "{ran:?}");
}

/// Guards against a valid document that is reported as invalid.
#[test]
fn a_valid_document_passes_the_check() {
    let path = file("valid.toml", EXAMPLE);
    let ran = run(&["config", "check", &path]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.contains("organisations: 2"), "{ran:?}");
}

/// Guards against faults that are not reported, or are reported without their file and line.
#[test]
fn every_fault_of_a_document_is_reported() {
    let faulty = EXAMPLE.replacen("rate = 200.0", "rate = -1.0", 1).replacen(
        "address = \"127.0.0.1:9001\"",
        "address = \"host\"",
        1,
    );
    let line = |part: &str| 1 + faulty.lines().position(|l| l.starts_with(part)).unwrap();
    let path = file("faulty.toml", &faulty);
    let ran = run(&["config", "check", &path]);
    assert_eq!(ran.code, 1, "{ran:?}");
    let rate = format!("{path}:{}: organisation.rate:", line("rate = -1.0"));
    let address = format!("{path}:{}: backend.address:", line("address = \"host\""));
    let faults: Vec<&str> = ran.err.lines().collect();
    assert_eq!(faults.len(), 2, "{ran:?}");
    assert!(faults[0].starts_with(&rate), "{ran:?}");
    assert!(faults[1].starts_with(&address), "{ran:?}");
    let ran = run(&["config", "check", &path, "--json"]);
    assert_eq!(ran.code, 1);
    assert_eq!(ran.json()["valid"], false);
    assert_eq!(ran.json()["faults"].as_array().unwrap().len(), 2);
}

/// Guards against a missing file with the exit code of a usage error or of success.
#[test]
fn a_missing_file_is_a_failure() {
    let ran = run(&["config", "check", "/nonexistent/file.toml"]);
    assert_eq!(ran.code, 1);
    assert!(ran.err.contains("/nonexistent/file.toml"), "{ran:?}");
}
