//! Texts: records of instances and cases, limits, event streams and settings.

use limpetweir_gateway::{
    CaseRecord,
    InstanceRecord,
    Settings,
    Splitter,
    StatedLimit, //
};
use proptest::prelude::*;

use super::bytes::{
    fuzz,
    mutated, //
};

/// Numbers and addresses that a decoder may handle badly.
const VALUES: [&str; 14] = [
    "0",
    "-1",
    "1e999",
    "-1e999",
    "nan",
    "inf",
    "5e-324",
    "1e308",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "0.0.0.0",
    "255.255.255.255",
    "::",
];

/// Returns the text with one of its fields replaced, or any mutation of it.
fn odd_text(
    valid: &'static [&'static str],
    separators: &'static str,
) -> impl Strategy<Value = Vec<u8>> {
    let texts: Vec<Vec<u8>> = valid.iter().map(|text| text.as_bytes().to_vec()).collect();
    let replaced = (
        prop::sample::select(valid),
        any::<prop::sample::Index>(),
        prop::sample::select(&VALUES[..]),
    );
    let replaced = replaced.prop_map(move |(text, at, value)| {
        let mut fields: Vec<&str> = text.split_inclusive(|c| separators.contains(c)).collect();
        let at = at.index(fields.len());
        let end = fields[at]
            .chars()
            .last()
            .filter(|c| separators.contains(*c));
        let value = format!("{value}{}", end.map_or_else(String::new, String::from));
        fields[at] = &value;
        fields.concat().into_bytes()
    });
    prop_oneof![3 => replaced, 1 => mutated(texts)]
}

/// Guards against a record of an instance that stops the others, or that is logged at full length.
#[test]
fn records_of_instances_are_in_range_or_errors() {
    let valid = &["10.1.0.21 500 zone-a", "fd00::1 1000 zone b"];
    fuzz(
        0x6c77_0204,
        odd_text(valid, " "),
        |bytes| match String::from_utf8_lossy(&bytes).parse::<InstanceRecord>() {
            Ok(record) => {
                assert!(record.capacity <= 1_000_000 && record.zone.len() <= 200);
                assert!(!record.addr.is_unspecified() && !record.addr.is_multicast());
            }
            Err(err) => assert!(err.to_string().len() < 1_000),
        },
    );
}

/// Guards against the same in a record of a case.
#[test]
fn records_of_cases_are_in_range_or_errors() {
    let valid = &["a1,b2 3 1 59000 61000", "de 4 0 0 0"];
    fuzz(
        0x6c77_0205,
        odd_text(valid, " ,"),
        |bytes| match CaseRecord::parse(&String::from_utf8_lossy(&bytes), 60_000) {
            Ok(case) => {
                assert!((1..=64).contains(&case.parts.len()) && case.probes <= 1_000);
                assert!(case.probe_in.as_secs() <= 3_600);
            }
            Err(err) => assert!(err.to_string().len() < 1_000),
        },
    );
}

/// Guards against a limit that is not a finite rate.
#[test]
fn stated_limits_are_in_range_or_invalid() {
    fuzz(
        0x6c77_0206,
        odd_text(&["2.5", "1e3", " 4 "], " "),
        |bytes| match StatedLimit::parse(&bytes) {
            StatedLimit::Rate(rate) => assert!((0.0..=1e6).contains(&rate)),
            StatedLimit::Invalid(text) => assert!(text.chars().count() <= 160),
            StatedLimit::Unlimited => panic!("a value was given"),
        },
    );
}

/// Guards against an event stream that stops an instance, and against a buffer without a bound.
#[test]
fn event_streams_of_any_bytes_are_split_or_invalid() {
    let valid = &[
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\ndata: c\n\n: note\n\n",
        "data: x",
    ];
    let pieces = prop::collection::vec(odd_text(valid, " \n"), 1..6);
    fuzz(0x6c77_0207, pieces, |pieces| {
        let mut splitter = Splitter::default();
        for piece in &pieces {
            let Ok(events) = splitter.push(piece) else {
                return;
            };
            assert!(events.len() <= piece.len());
            assert!(events.iter().filter_map(|e| e.id).all(|id| id <= 1 << 53));
        }
    });
}

const SETTINGS: &str = r#"
name = "gateway-1"
zone = "a"
address = "10.0.0.1"
seeds = ["10.0.0.2:1", "10.0.0.3:1"]
[machine]
cpu_share = 0.5
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
[quota]
window_s = 5
"#;

/// Guards against settings that end the process while they are read, which a running instance does
/// after each change of the file.
#[test]
fn settings_of_any_text_are_in_range_or_errors() {
    let mut loaded = 0;
    fuzz(0x6c77_0208, odd_text(&[SETTINGS], "=\n"), |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(settings) = Settings::load("file", &text) {
            loaded += 1;
            assert!((1..=1_024).contains(&settings.store.partitions));
            assert!(settings.result_retention.as_secs() <= 367 * 24 * 3_600);
        }
    });
    assert!(loaded > 0);
}
