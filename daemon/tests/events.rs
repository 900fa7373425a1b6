//! Checks the numbered log events in the sources against their catalogue.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Adds the four-digit numbers that follow `marker` in `text`.
fn collect(text: &str, marker: &str, numbers: &mut BTreeSet<String>) {
    for (at, _) in text.match_indices(marker) {
        let digits: String = text[at + marker.len()..].chars().take(4).collect();
        if digits.len() == 4 && digits.chars().all(|c| c.is_ascii_digit()) {
            numbers.insert(digits);
        }
    }
}

fn collect_sources(dir: &Path, numbers: &mut BTreeSet<String>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, numbers);
        } else {
            let text = fs::read_to_string(&path).unwrap();
            collect(&text, "LW", numbers);
            collect(&text, "Event::new(", numbers);
        }
    }
}

/// Guards against events that are missing in the catalogue, and against entries of removed events.
#[test]
fn the_catalogue_is_complete() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut used = BTreeSet::new();
    collect_sources(&root.join("daemon/src"), &mut used);
    collect_sources(&root.join("transport/src"), &mut used);
    collect_sources(&root.join("gateway/src"), &mut used);
    collect_sources(&root.join("cli/src"), &mut used);
    let catalogue = fs::read_to_string(root.join("docs/events.md")).unwrap();
    let mut listed = BTreeSet::new();
    collect(&catalogue, "| LW", &mut listed);
    assert_eq!(used, listed);
}

/// Guards against a number that two events share, which makes their log lines ambiguous.
#[test]
fn a_number_stands_for_one_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let catalogue = fs::read_to_string(root.join("docs/events.md")).unwrap();
    let events = fs::read_to_string(root.join("daemon/src/events.rs")).unwrap();
    let lines = fs::read_to_string(root.join("gateway/src/serve/lines.rs")).unwrap();
    for (text, marker) in [
        (catalogue, "| LW"),
        (events, "Event::new("),
        (lines, "Event::new("),
    ] {
        let mut numbers = BTreeSet::new();
        for (at, _) in text.match_indices(marker) {
            let number = &text[at + marker.len()..][..4];
            assert!(numbers.insert(number.to_owned()), "{number} is used twice");
        }
    }
}
