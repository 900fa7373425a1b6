//! Attribution of crashes to parts of prompts.

use std::time::Duration;

use limpetweir_gateway::{
    Case,
    CaseChange,
    CaseRecord,
    Crash,
    CrashKey,
    CrashNews,
    PartKey,
    Quarantine,
    Report, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const FIRST: PartKey = PartKey(0xf1);
const SESSION: PartKey = PartKey(0x5e);
const DEADLY: PartKey = PartKey(0xde);
const OTHER: PartKey = PartKey(0x07);

/// Largest payload of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Requests with a deadly part that the whole fleet may send after the fifth crash.
const MAX_PROBES: usize = 3;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records a crash of a server of its own at `ms` under a run with `parts`.
fn crash(quarantine: &mut Quarantine, ms: u64, parts: &[PartKey]) -> Vec<CaseChange> {
    let server = format!("i-{ms}");
    quarantine.crashed(CrashKey(ms), &server, "one", parts, at(ms), at(ms))
}

/// Returns a quarantine with a case of the deadly part, opened at 1,400 ms.
fn with_case() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &[DEADLY]);
    }
    assert!(quarantine.has_cases());
    quarantine
}

fn is_held(quarantine: &Quarantine, parts: &[PartKey], ms: u64) -> bool {
    quarantine.hold(parts, at(ms)).is_some()
}

/// Guards against a part that crashes one server after the other, and against sound parts of the
/// same requests that are held back with it.
#[test]
fn a_part_without_output_between_crashes_is_held_back() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        assert!(!is_held(&quarantine, &[FIRST, SESSION, DEADLY], ms));
        quarantine.began(&[FIRST], at(ms - 50));
        crash(&mut quarantine, ms, &[FIRST, SESSION, DEADLY]);
    }
    quarantine.began(&[FIRST, SESSION], at(1_500));
    assert!(is_held(&quarantine, &[FIRST, DEADLY], 1_600));
    assert!(is_held(&quarantine, &[OTHER, DEADLY], 1_600));
    assert!(!is_held(&quarantine, &[FIRST, SESSION], 1_600));
}

/// Guards against parts that are held back because many servers fail at the same moment, as after
/// a loss of power.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut quarantine = Quarantine::default();
    for ms in 1_000..1_010 {
        crash(&mut quarantine, ms, &[FIRST]);
    }
    assert!(!quarantine.has_cases());
}

/// Guards against a part that is held back although requests with it were served between crashes.
#[rstest]
#[case::before_all(900, true)]
#[case::after_the_first(1_100, false)]
#[case::after_the_second(1_300, false)]
#[case::after_the_case(1_450, false)]
fn output_clears_a_part_of_the_crashes_before(#[case] output_ms: u64, #[case] held: bool) {
    let mut quarantine = Quarantine::default();
    let mut events: Vec<u64> = vec![1_000, 1_200, 1_400, output_ms];
    events.sort_unstable();
    for ms in events {
        if ms == output_ms {
            quarantine.began(&[FIRST], at(ms));
        } else {
            crash(&mut quarantine, ms, &[FIRST]);
        }
    }
    assert_eq!(is_held(&quarantine, &[FIRST], 1_500), held);
}

/// Guards against a sound part that is held back because it always came with the deadly one, and
/// against a deadly part that goes on with other parts.
#[test]
fn parts_that_cannot_be_told_apart_are_held_back_together() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &[SESSION, DEADLY]);
    }
    assert!(is_held(&quarantine, &[FIRST, SESSION, DEADLY], 1_500));
    assert!(!is_held(&quarantine, &[SESSION], 1_500));
    assert!(!is_held(&quarantine, &[OTHER, DEADLY], 1_500));
    // The next crash shows which one it is.
    crash(&mut quarantine, 1_600, &[OTHER, DEADLY]);
    assert!(is_held(&quarantine, &[FIRST, DEADLY], 1_700));
    assert!(!is_held(&quarantine, &[SESSION], 1_700));
}

/// An unrelated crash with only the sound part of a case seems to blame that part. Guards against
/// the deadly one going on once the mistake is found.
#[test]
fn a_wrong_narrower_case_does_not_release_the_deadly_part() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &[SESSION, DEADLY]);
    }
    crash(&mut quarantine, 1_600, &[SESSION]);
    assert!(is_held(&quarantine, &[SESSION, DEADLY], 1_700));
    quarantine.began(&[SESSION], at(1_800));
    assert!(!is_held(&quarantine, &[SESSION], 1_900));
    assert!(is_held(&quarantine, &[SESSION, DEADLY], 1_900));
    assert!(is_held(&quarantine, &[DEADLY], 1_900));
}

/// Guards against parts in common use that are blamed for crashes which a case explains, while no
/// server is left that could show that they are sound.
#[test]
fn crashes_that_a_case_explains_blame_no_other_part() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, &[DEADLY]);
    for ms in [1_200, 1_400, 1_600, 1_800, 2_000] {
        crash(&mut quarantine, ms, &[DEADLY, FIRST]);
    }
    assert!(is_held(&quarantine, &[DEADLY], 2_100));
    assert!(!is_held(&quarantine, &[FIRST], 2_100));
}

/// Five crashes are seen by five instances, and a part is cleared at yet another one. Guards
/// against knowledge that stays where it arises.
#[test]
fn crashes_and_output_at_different_instances_count_together() {
    let mut instances: Vec<Quarantine> = Vec::new();
    instances.resize_with(4, Quarantine::default);
    for (n, crashed_at) in [1_000, 1_200, 1_400].into_iter().enumerate() {
        crash(&mut instances[n], crashed_at, &[FIRST, DEADLY]);
        let news = instances[n].news(at(crashed_at + 5));
        for (other, instance) in instances.iter_mut().enumerate() {
            if other != n {
                instance.merge(&news, at(crashed_at + 5));
            }
        }
        // All clocks began at other times.
        if crashed_at == 1_000 {
            instances[3].began(&[FIRST], at(1_100));
        }
    }
    let held = |instances: &[Quarantine], parts: &[PartKey]| {
        let held = instances.iter().filter(|q| is_held(q, parts, 1_500));
        held.count()
    };
    assert_eq!(held(&instances, &[DEADLY, FIRST]), 4);
    let news = instances[3].news(at(1_500));
    assert!(news.cleared.iter().any(|cleared| cleared.part == FIRST));
    for instance in &mut instances[..3] {
        instance.merge(&news, at(1_500));
    }
    assert_eq!(held(&instances, &[DEADLY]), 4);
    assert_eq!(held(&instances, &[FIRST]), 0);
}

/// Guards against a sound part that is blamed by the third crash, because no instance tells the
/// others of its output while only two are known.
#[test]
fn output_is_told_before_a_part_is_blamed() {
    let mut seeing = Quarantine::default();
    let mut serving = Quarantine::default();
    for ms in [1_000, 1_200] {
        crash(&mut seeing, ms, &[FIRST]);
        serving.merge(&seeing.news(at(ms + 5)), at(ms + 5));
    }
    serving.began(&[FIRST], at(1_250));
    let news = serving.news(at(1_300));
    assert_eq!(news.cleared.len(), 1);
    seeing.merge(&news, at(1_300));
    crash(&mut seeing, 1_400, &[FIRST]);
    assert!(!seeing.has_cases());
    // One crash needs no such message.
    serving.merge(&seeing.news(at(1_405)), at(1_405));
    serving.began(&[FIRST], at(3_000));
    assert!(serving.news(at(3_001)).is_empty());
}

/// Guards against a case that ends only where a request has shown that its part is sound again.
#[test]
fn output_closes_a_case_at_all_instances() {
    let mut one = with_case();
    let mut two = Quarantine::default();
    two.merge(&one.digest(at(1_500)), at(1_500));
    assert!(is_held(&two, &[DEADLY], 1_500));
    let changes = two.began(&[DEADLY], at(2_000));
    assert!(matches!(changes[..], [CaseChange::Closed(_)]));
    one.merge(&two.news(at(2_010)), at(2_010));
    assert!(!one.has_cases());
    // An instance that has missed it does not open the case again elsewhere.
    let outdated = with_case().digest(at(5_000));
    two.merge(&outdated, at(5_000));
    one.merge(&outdated, at(5_000));
    assert!(!one.has_cases() && !two.has_cases());
    // It is told again, as it goes on holding the part back.
    assert_eq!(two.news(at(5_000)).cleared.len(), 1);
}

/// An instance starts while a case is open. Guards against ages that are cut at the start of its
/// process: the case was ignored there, and the instance crashed three more servers.
#[test]
fn a_started_instance_adopts_what_happened_before() {
    let known = with_case();
    let mut started = Quarantine::default();
    let changes = started.merge(&known.digest(at(61_400)), at(20));
    assert!(matches!(changes[..], [CaseChange::Opened(_)]));
    assert!(is_held(&started, &[DEADLY], 30));
    let case = started.cases(at(30)).next().expect("a case");
    assert!(case.age > ms(60_000), "{case:?}");
}

/// Guards against more probes than the fleet may send, and against a part that is never tried
/// again.
#[test]
fn probes_become_rarer_until_one_succeeds() {
    let mut quarantine = with_case();
    assert!(
        !quarantine
            .hold(&[DEADLY], at(2_000))
            .expect("held")
            .probe_due
    );
    let mut probes = Vec::new();
    for time in (1_400..61_400).step_by(100) {
        let hold = quarantine.hold(&[DEADLY], at(time)).expect("held");
        if hold.probe_due {
            let claimed = quarantine.after_probe(&[DEADLY], at(time));
            quarantine.probed(&claimed.expect("a case"), at(time));
            crash(&mut quarantine, time + 50, &[DEADLY]);
            probes.push(time);
        }
    }
    assert!(
        !probes.is_empty() && probes.len() <= MAX_PROBES,
        "{probes:?}"
    );
    let closed = quarantine.began(&[DEADLY], at(70_000));
    assert!(matches!(closed[..], [CaseChange::Closed(_)]));
    assert!(!is_held(&quarantine, &[DEADLY], 70_001));
}

/// An instance reads the record of its claim before the response to it. Guards against a probe that
/// counts twice: the next one would come after 250 s instead of 50 s.
#[test]
fn a_claim_that_is_read_first_counts_once() {
    let mut quarantine = with_case();
    let claimed = quarantine.after_probe(&[DEADLY], at(4_000));
    let claimed = claimed.expect("a case");
    let news = CrashNews {
        cases: vec![claimed.clone()],
        ..CrashNews::default()
    };
    quarantine.merge(&news, at(4_005));
    quarantine.probed(&claimed, at(4_006));
    let case = quarantine.cases(at(4_010)).next().expect("a case");
    assert_eq!(case.probes, 1);
    assert!(case.probe_in <= ms(50_000), "{case:?}");
}

/// Guards against a probe with the parts of two cases, which shows nothing about either.
#[test]
fn a_request_with_the_parts_of_two_cases_is_no_probe() {
    let mut quarantine = with_case();
    for ms in [2_000, 2_200, 2_400] {
        crash(&mut quarantine, ms, &[OTHER]);
    }
    let due = |parts: &[PartKey]| {
        let hold = quarantine.hold(parts, at(20_000)).expect("held");
        hold.probe_due
    };
    assert!(due(&[OTHER]));
    assert!(due(&[DEADLY, FIRST]));
    assert!(!due(&[OTHER, DEADLY]));
}

/// Guards against a caller whose invented parts displace what is known, or fill the memory.
#[test]
fn invented_parts_displace_no_case_and_no_datagram_is_too_large() {
    let mut quarantine = with_case();
    for n in 0..80_u64 {
        let invented: Vec<PartKey> = (0..1_000).map(|part| PartKey((n << 32) | part)).collect();
        quarantine.began(&invented, at(2_000 + n));
        for run in 0..10 {
            let parts: Vec<PartKey> = invented.iter().skip(run * 100).copied().collect();
            let key = CrashKey(10_000 + n);
            quarantine.crashed(
                key,
                &format!("i-{n}"),
                "one",
                &parts,
                at(2_000 + n),
                at(2_000 + n),
            );
        }
        quarantine.began(&invented, at(2_001 + n));
    }
    assert!(is_held(&quarantine, &[DEADLY], 3_000));
    assert!(quarantine.cases(at(3_000)).count() <= 32);
    let digest = quarantine.digest(at(3_000)).encode();
    assert!(digest.len() <= MAX_DATAGRAM_BYTES, "{} bytes", digest.len());
    let news = quarantine.news(at(3_000)).encode();
    assert!(news.len() <= MAX_DATAGRAM_BYTES, "{} bytes", news.len());
}

/// Guards against memory that grows with each crash.
#[test]
fn the_oldest_crashes_are_forgotten() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, &[DEADLY]);
    crash(&mut quarantine, 1_200, &[DEADLY]);
    for n in 0..70 {
        crash(&mut quarantine, 2_000 + n * 200, &[PartKey(0x1000 + n)]);
    }
    crash(&mut quarantine, 20_000, &[DEADLY]);
    assert!(!quarantine.has_cases());
}

/// Other instances tell of more cases than are kept. Guards against an update that never ends,
/// because each case that is opened displaces another one whose crashes are known.
#[test]
fn more_cases_than_are_kept_do_not_stop_an_instance() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &[DEADLY]);
    }
    let case = |n: u64| Case {
        parts: [PartKey(0x1000 + n)].into(),
        crashes: 3,
        servers: Vec::new(),
        age: ms(100),
        probes: 0,
        probe_in: ms(1_000),
    };
    let news = CrashNews {
        cases: (0..40).map(case).collect(),
        ..CrashNews::default()
    };
    quarantine.merge(&news, at(2_000));
    for ms in [2_100, 2_300, 2_500] {
        crash(&mut quarantine, ms, &[OTHER]);
    }
    assert!(quarantine.cases(at(2_600)).count() <= 32);
    assert!(is_held(&quarantine, &[OTHER], 2_600));
}

/// Guards against messages that lose a field, and against builds that take one kind of datagram for
/// the other.
#[test]
fn messages_survive_their_encoding() {
    let mut quarantine = with_case();
    quarantine.merge(
        &CrashNews {
            crashes: vec![Crash {
                key: CrashKey(7),
                server: "i-7".to_owned(),
                seen_by: "two".to_owned(),
                age: ms(30),
                suspects: vec![FIRST, OTHER],
            }],
            ..CrashNews::default()
        },
        at(1_500),
    );
    quarantine.began(&[OTHER], at(1_600));
    let digest = quarantine.digest(at(1_700));
    let bytes = digest.encode();
    assert_eq!(CrashNews::decode(&bytes), Some(digest));
    assert_eq!(Report::decode(&bytes), None);
    for damaged in [&bytes[1..], &bytes[..bytes.len() / 2], b"", b"\x51"] {
        assert_eq!(CrashNews::decode(damaged), None);
    }
}

/// Guards against a record of a case that is read as another one, and against an instance that
/// takes it for the record of an instance.
#[test]
fn a_case_survives_its_record() {
    let case = Case {
        parts: [DEADLY, SESSION].into(),
        crashes: 4,
        servers: Vec::new(),
        age: ms(5_000),
        probes: 1,
        probe_in: ms(8_000),
    };
    let record = CaseRecord {
        case: case.clone(),
        unix_ms: 1_000_000,
    };
    let read = CaseRecord::parse(&record.to_string(), 1_003_000).expect("a case");
    assert_eq!(read.age, ms(8_000));
    assert_eq!(read.probe_in, ms(5_000));
    assert_eq!(
        (read.parts, read.crashes, read.probes),
        (case.parts.clone(), 4, 1)
    );
    assert!(CaseRecord::has_key(&CaseRecord::key(&case)));
    assert!(!CaseRecord::has_key("frontend-1"));
    for damaged in ["", "de", "de 1 2 3", "xyz 1 2 3 4", "de one 2 3 4"] {
        assert!(CaseRecord::parse(damaged, 0).is_err(), "{damaged}");
    }
}
