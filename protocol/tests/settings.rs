//! Loading of settings and the messages for invalid settings.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use limpetweir_protocol::settings::{
    LogLevel,
    Override,
    Settings, //
};
use rstest::rstest;

const VALID: &str = r#"name = "a1"
zone = "zone-1"

[listen]
public = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"

[platform]
log = "127.0.0.1:7001"
list = "127.0.0.1:7002"

[operator]
key_digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

[runtime]
threads = 4

[timing]
list_poll_ms = 200
"#;

fn load(text: &str, overrides: &[&str]) -> Result<Settings, String> {
    let overrides: Result<Vec<Override>, _> = overrides.iter().map(|o| o.parse()).collect();
    let overrides = overrides.map_err(|err| err.to_string())?;
    Settings::load("lw.toml", text, &overrides).map_err(|err| err.to_string())
}

/// Guards against defaults that differ from the design page.
#[test]
fn reads_a_file_and_fills_in_defaults() {
    let settings = load(VALID, &[]).unwrap();
    assert_eq!(settings.name.as_str(), "a1");
    assert_eq!(settings.threads, 4);
    assert_eq!(settings.groups, 16);
    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!(settings.timing.list_poll, Duration::from_millis(200));
    assert_eq!(settings.timing.long_poll, Duration::from_secs(1));
    assert_eq!(
        settings.timing.quota_request_timeout,
        Duration::from_millis(100)
    );
    assert_eq!(settings.timing.discovery_ttl, Duration::from_secs(5));
    assert_eq!(settings.timing.drain_limit, Duration::from_secs(60));
    assert_eq!(settings.timing.plain_silence, Duration::from_secs(60));
    assert!(settings.operator_key.to_hex().starts_with("0123"));
}

/// Guards against an override that has no effect or that drops other fields of its section.
#[test]
fn overrides_replace_single_fields() {
    let overrides = [
        "runtime.threads=8",
        "name=b2",
        "advertise.public=10.0.0.1:80",
        "runtime.log_level=\"debug\"",
    ];
    let settings = load(VALID, &overrides).unwrap();
    assert_eq!(settings.threads, 8);
    assert_eq!(settings.name.as_str(), "b2");
    assert_eq!(
        settings.advertise_public,
        Some("10.0.0.1:80".parse().unwrap())
    );
    assert_eq!(settings.log_level, LogLevel::Debug);
    assert_eq!(settings.timing.list_poll, Duration::from_millis(200));
}

/// Guards against a message that does not locate the fault for the operator.
#[rstest]
#[case(
    "name = \"a1\"",
    "name = \"a 1\"",
    "lw.toml:1: name: \"a 1\" is not accepted",
    "1 to 64 of"
)]
#[case(
    "zone = \"zone-1\"\n",
    "",
    "lw.toml:19: zone: the field is missing",
    "1 to 64 of"
)]
#[case(
    "public = \"127.0.0.1:0\"",
    "public = \"host\"",
    "lw.toml:5: listen.public: \"host\"",
    "127.0.0.1:8080"
)]
#[case(
    "127.0.0.1:7001",
    "127.0.0.1:0",
    "lw.toml:10: platform.log:",
    "port above 0"
)]
#[case(
    "0123456789abcdef\"",
    "xyz\"",
    "lw.toml:14: operator.key_digest:",
    "64 hexadecimal digits"
)]
#[case(
    "threads = 4",
    "threads = 0",
    "lw.toml:17: runtime.threads: 0",
    "from 1 to 256"
)]
#[case(
    "threads = 4",
    "threads = \"4\"",
    "lw.toml:17: runtime.threads:",
    "expected i64"
)]
#[case(
    "threads = 4",
    "thread = 4",
    "lw.toml:17: runtime.thread:",
    "expected one of `threads`"
)]
#[case(
    "threads = 4",
    "log_level = \"loud\"",
    "lw.toml:17: runtime.log_level:",
    "error, warn, info"
)]
#[case("threads = 4", "threads = ", "lw.toml:17:", "expected")]
#[case(
    "list_poll_ms = 200",
    "discovery_ttl_ms = 58500",
    "lw.toml:20: timing.drain_limit_ms: 60000",
    "above timing.discovery_ttl_ms plus the heartbeat timeout (60000)"
)]
#[case(
    "list_poll_ms = 200",
    "long_poll_ms = -1",
    "lw.toml:20: timing.long_poll_ms: -1",
    "from 1 to 86400000"
)]
fn error_has_file_line_field_and_valid_values(
    #[case] from: &str,
    #[case] to: &str,
    #[case] location: &str,
    #[case] accepted: &str,
) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID);
    let message = load(&text, &[]).unwrap_err();
    assert!(message.starts_with(location), "{message}");
    assert!(message.contains(accepted), "{message}");
}

/// Guards against a fault of an override that is reported as a fault of the file.
#[rstest]
#[case("threads", "--set threads: expected key=value")]
#[case("=4", "--set =4: expected key=value")]
#[case("runtime.thread=4", "--set runtime.thread: unknown field `thread`")]
#[case("runtime.threads=many", "--set runtime.threads: invalid type")]
#[case(
    "runtime.threads=0",
    "--set runtime.threads: runtime.threads: 0 is not accepted"
)]
#[case("name.first=a", "--set name.first: name is a single value")]
fn error_has_the_override(#[case] change: &str, #[case] start: &str) {
    let message = load(VALID, &[change]).unwrap_err();
    assert!(message.starts_with(start), "{message}");
}

/// Guards against logging an operator key that was set in place of its digest by mistake.
#[test]
fn rejected_digest_is_not_printed() {
    let message = load(VALID, &["operator.key_digest=secret-key"]).unwrap_err();
    assert!(message.contains("64 hexadecimal digits"), "{message}");
    assert!(!message.contains("secret-key"), "{message}");
}

/// Guards against a documented example that is rejected or has other defaults.
#[test]
fn documented_example_has_the_defaults() {
    let page = include_str!("../../docs/settings.md");
    let (_, rest) = page.split_once("```toml\n").unwrap();
    let (example, _) = rest.split_once("```").unwrap();
    let documented = load(example, &[]).unwrap();
    let (required, _) = example.split_once("[runtime]").unwrap();
    assert_eq!(documented, load(required, &[]).unwrap());
}
