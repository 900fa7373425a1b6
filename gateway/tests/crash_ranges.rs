//! Ranges of the numbers and texts in what instances tell each other about crashes.

use std::collections::BTreeSet;
use std::time::Duration;

use limpetweir_gateway::{
    Case,
    CaseRecord,
    Crash,
    CrashKey,
    CrashNews,
    PartKey,
    Quarantine, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(60_000);

/// Largest number of cases that an instance keeps.
const MAX_CASES: u64 = 32;

fn case(part: u64) -> Case {
    Case {
        parts: BTreeSet::from([PartKey(part)]),
        crashes: 3,
        servers: vec!["i-1@one".to_owned()],
        age: Duration::from_secs(1),
        probes: 0,
        probe_in: Duration::from_secs(2),
    }
}

fn crash(key: u64, age_ms: u64, suspects: Vec<PartKey>) -> Crash {
    Crash {
        key: CrashKey(key),
        server: "i-1".to_owned(),
        seen_by: "one".to_owned(),
        age: Duration::from_millis(age_ms),
        suspects,
    }
}

/// Guards against an endless loop: a message with as many cases as are kept, and with crashes before
/// them from which others follow, each of which takes the place of the one before.
#[test]
fn more_cases_than_are_kept_do_not_replace_each_other_endlessly() {
    let suspects = [vec![PartKey(0xa1)], vec![PartKey(0xb1)]];
    let crashes = (0..6).map(|n| crash(n, 20_000 - n * 1_000, suspects[n as usize / 3].clone()));
    let news = CrashNews {
        crashes: crashes.collect(),
        cleared: Vec::new(),
        cases: (1..=MAX_CASES).map(case).collect(),
    };
    let mut quarantine = Quarantine::default();
    let changes = quarantine.merge(&news, NOW);
    assert!(changes.len() <= 3 * MAX_CASES as usize, "{}", changes.len());
    assert!(quarantine.cases(NOW).count() <= MAX_CASES as usize);
}

/// Guards against a case that no probe ever ends, and against counts that overflow with the next one.
#[test]
fn numbers_of_a_case_are_clamped() {
    let largest = Case {
        crashes: u32::MAX,
        probes: u32::MAX,
        probe_in: Duration::MAX,
        age: Duration::from_secs(1),
        ..case(1)
    };
    let news = CrashNews {
        cases: vec![largest],
        ..CrashNews::default()
    };
    let news = CrashNews::decode(&news.encode()).expect("a message");
    let text = format!("1 {0} {0} 59000 {0}", u64::MAX);
    let stored = CaseRecord::parse(&text, 60_000).expect("a case");
    for case in [&news.cases[0], &stored] {
        let numbers = (case.crashes, case.probes, case.probe_in.as_secs());
        assert_eq!(numbers, (1_000_000, 1_000, 3_600));
    }
    let mut quarantine = Quarantine::default();
    quarantine.merge(&news, NOW);
    let probe = quarantine.after_probe(&[PartKey(1)], NOW).expect("a case");
    assert_eq!(probe.probes, 1_001);
}

/// Guards against texts and lists that fill the memory of all instances, as cases are kept for a day.
#[rstest]
#[case::server(CrashNews { crashes: vec![Crash { server: "i".repeat(201), ..crash(1, 1, Vec::new()) }], ..CrashNews::default() })]
#[case::instance(CrashNews { crashes: vec![Crash { seen_by: "a\nb".to_owned(), ..crash(1, 1, Vec::new()) }], ..CrashNews::default() })]
#[case::suspects(CrashNews { crashes: vec![crash(1, 1, (0..65).map(PartKey).collect())], ..CrashNews::default() })]
#[case::parts(CrashNews { cases: vec![Case { parts: (0..65).map(PartKey).collect(), ..case(1) }], ..CrashNews::default() })]
#[case::server_of_a_case(CrashNews { cases: vec![Case { servers: vec!["i".repeat(500)], ..case(1) }], ..CrashNews::default() })]
fn texts_and_lists_of_a_message_are_short(#[case] news: CrashNews) {
    assert_eq!(CrashNews::decode(&news.encode()), None);
}

/// Guards against a record that takes long to parse or to log.
#[test]
fn the_record_of_a_case_is_short() {
    let parts: Vec<String> = (0..65).map(|n| n.to_string()).collect();
    let many = format!("{} 3 0 0 0", parts.join(","));
    assert!(CaseRecord::parse(&many, 0).is_err());
    // Leading zeros do not change a number.
    let padded = |zeros: usize| format!("1 {}3 0 0 0", "0".repeat(zeros));
    assert!(CaseRecord::parse(&padded(100), 0).is_ok());
    assert!(CaseRecord::parse(&padded(10_000), 0).is_err());
    let long = "1,".repeat(1 << 19);
    let err = CaseRecord::parse(&long, 0).expect_err("a long record");
    assert!(err.to_string().len() < 400);
}
