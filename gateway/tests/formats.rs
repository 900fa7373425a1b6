//! Event streams, settings and routes.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_gateway::{
    Configuration,
    ConfigurationParts,
    InstanceRecord,
    InvalidEventStream,
    Route,
    RouteKind,
    Settings,
    Splitter, //
};
use rstest::rstest;

/// Guards against a record of another program, or one without a zone, that is accepted as an
/// instance.
#[rstest]
#[case("10.1.0.21 500 alfold-a", Some(("alfold-a", 500)))]
#[case("10.1.0.21 500 zone with spaces", Some(("zone with spaces", 500)))]
#[case("10.1.0.21", None)]
#[case("10.1.0.21 500 ", None)]
#[case("10.1.0.21 many alfold-a", None)]
#[case("frontend-1 500 alfold-a", None)]
fn records_of_instances_are_checked(#[case] text: &str, #[case] expected: Option<(&str, u32)>) {
    let record: Result<InstanceRecord, _> = text.parse();
    let read = record.as_ref().ok().map(|r| (r.zone.as_str(), r.capacity));
    assert_eq!(read, expected);
    if let Ok(record) = record {
        assert_eq!(record.to_string(), text);
    }
}

/// Guards against a record that takes long to parse: leading zeros do not change a number.
#[test]
fn the_record_of_an_instance_is_short() {
    let padded = |zeros: usize| format!("10.1.0.21 {}500 zone", "0".repeat(zeros));
    assert!(padded(100).parse::<InstanceRecord>().is_ok());
    assert!(padded(2_000).parse::<InstanceRecord>().is_err());
}

/// Guards against events that are split or joined at the boundaries of network reads.
#[rstest]
#[case(1)]
#[case(7)]
#[case(1_000)]
fn events_do_not_depend_on_reads(#[case] len: usize) {
    let stream = b"id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n: note\n\n";
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in stream.chunks(len) {
        events.extend(splitter.push(piece).expect("events"));
    }
    assert!(!splitter.is_partial());
    let seen: Vec<_> = events.iter().map(|e| (e.id, e.data.as_str())).collect();
    assert_eq!(seen, [(Some(1), "a\nb"), (Some(2), "c"), (None, "")]);
    let raw: Vec<u8> = events.iter().flat_map(|e| e.raw.to_vec()).collect();
    assert_eq!(raw, stream);
}

/// Guards against a number after which the next one overflows.
#[rstest]
#[case("9007199254740992", Some(1 << 53))]
#[case("9007199254740993", None)]
#[case("18446744073709551615", None)]
#[case("-1", None)]
fn numbers_of_events_have_a_range(#[case] text: &str, #[case] id: Option<u64>) {
    let stream = format!("id: {text}\ndata: a\n\n");
    let events = Splitter::default().push(stream.as_bytes());
    assert_eq!(events.expect("events")[0].id, id);
}

/// Guards against a stream that ends within an event and counts as complete.
#[test]
fn a_partial_event_is_detected() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n").map(|e| e.len()), Ok(0));
    assert!(splitter.is_partial());
}

/// Guards against unbounded memory use, and against bytes that are not valid UTF-8.
#[test]
fn invalid_bytes_are_rejected() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(&vec![b'x'; 2 << 20]), Err(InvalidEventStream));
    let mut splitter = Splitter::default();
    assert_eq!(
        splitter.push(b"data: \xff\xfe\n\n"),
        Err(InvalidEventStream)
    );
}

const SETTINGS: &str = r#"
name = "gateway-1"
zone = "a"
address = "10.0.0.1"
seeds = ["10.0.0.2:1", "10.0.0.3:1"]
[machine]
cpu_share = 0.5
cores = 1
[listen]
public = "10.0.0.1:80"
readiness = "10.0.0.1:81"
directory = "10.0.0.1:82"
metrics_port = 83
peer_port = 84
address_lifetime_s = 2
[store]
address = "10.0.0.9:90"
partitions = 8
record_bytes = 262144
call_bytes = 2097152
[stop]
grace_s = 8
[jobs]
result_retention_s = 120
[future]
field = 1
"#;

/// Guards against a failed start with the settings of a later platform version.
#[test]
fn unknown_fields_are_ignored() {
    let settings = Settings::load("file", SETTINGS).expect("settings");
    assert_eq!(settings.name, "gateway-1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.capacity, 500);
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert_eq!(settings.metrics.port(), 83);
}

/// Guards against a file that keeps a running instance from its requests while it is parsed.
#[test]
fn a_long_file_is_rejected() {
    let text = SETTINGS.to_owned() + &"#".repeat(64 << 10);
    let err = Settings::load("file", &text).expect_err("a long file");
    assert!(err.to_string().contains("length"), "{err}");
}

/// Guards against an invalid value that is detected only while serving, and against errors that do
/// not name the field.
#[rstest]
#[case("name = \"gateway-1\"", "name = \"\"", "name")]
#[case("cpu_share = 0.5", "cpu_share = 0", "machine.cpu_share")]
#[case("name = \"gateway-1\"", "name = \"a\\nb\"", "name")]
#[case("zone = \"a\"", "zone = \"a\\nb\"", "zone")]
#[case("address = \"10.0.0.1\"", "address = \"0.0.0.0\"", "address")]
#[case("10.0.0.1:80", "0.0.0.0:80", "listen.public")]
#[case("10.0.0.9:90", "10.0.0.9:0", "store.address")]
#[case("[jobs]", "[quota]\nwindow_s = 0\n[jobs]", "quota.window_s")]
#[case("[jobs]", "[quota]\novershoot = -1\n[jobs]", "quota.overshoot")]
#[case(
    "[jobs]",
    "[placement]\nspread_stale_load = 1\n[jobs]",
    "spread_stale_load"
)]
#[case("partitions = 8", "partitions = 0", "store.partitions")]
#[case("record_bytes = 262144", "record_bytes = 12", "store.record_bytes")]
#[case("grace_s = 8", "grace_s = 0", "stop.grace_s")]
#[case(
    "address_lifetime_s = 2",
    "address_lifetime_s = 0",
    "listen.address_lifetime_s"
)]
#[case("partitions = 8", "partitions = 4294967295", "store.partitions")]
#[case(
    "address_lifetime_s = 2",
    "address_lifetime_s = 9223372036854775807",
    "listen.address_lifetime_s"
)]
#[case(
    "result_retention_s = 120",
    "result_retention_s = 9223372036854775807",
    "jobs.result_retention_s"
)]
#[case("peer_port = 84", "peer_port = \"x\"", "peer_port")]
#[case("[future]", "[log]\nlevel = \"loud\"\n[future]", "log.level")]
fn bad_settings_name_their_field(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let text = SETTINGS.replace(from, to);
    let err = Settings::load("file", &text).expect_err("a wrong value");
    let message = err.to_string();
    assert!(
        message.contains("file") && message.contains(field),
        "{message}"
    );
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        attempts: 2,
        public: false,
        resumable: false,
        services: vec![("one".to_owned(), 9), ("two".to_owned(), 1)],
        batch: None,
    }
}

/// Guards against a request that is routed to a shorter prefix or to a route of another host.
#[rstest]
#[case("h", "/a/1", Some("short"))]
#[case("h", "/a/b/1", Some("long"))]
#[case("other", "/a/b/1", Some("other"))]
#[case("h", "/c/1", None)]
#[case("none", "/a/1", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let config = Configuration::from(ConfigurationParts {
        version: 1,
        routes: vec![
            route("short", "h", "/a/"),
            route("long", "h", "/a/b/"),
            route("other", "other", "/a/"),
        ],
        services: HashMap::new(),
        organisations: Vec::new(),
        limits: None,
    });
    let found = config.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

/// Guards against a distribution of requests that does not follow the weights.
#[test]
fn weights_divide_requests_between_services() {
    let route = route("r", "h", "/a/");
    let two = (0..100)
        .filter(|draw| route.service(*draw) == "two")
        .count();
    assert_eq!(two, 10);
}
