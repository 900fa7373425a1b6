//! Crashes under one request that comes again: what is enough to hold it back, and for how long.

use std::time::Duration;

use limpetweir_gateway::{
    CrashKey,
    ItemTurn,
    PartKey,
    Quarantine, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Sends of a request that the whole fleet may make after its third crash, over all time.
const MAX_SENDS: usize = 3;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn deadly() -> PartKey {
    PartKey::identity(0xdead << 32)
}

/// Records a crash of a server of its own at `ms` under a run with these keys.
fn crash(quarantine: &mut Quarantine, ms: u64, keys: &[PartKey]) {
    let server = format!("i-{ms}");
    quarantine.crashed(CrashKey(ms), &server, "one", keys, at(ms), at(ms));
}

fn is_held(quarantine: &Quarantine, ms: u64) -> bool {
    quarantine.hold(&[deadly()], at(ms)).is_some()
}

/// Guards against evidence of one request that is thinned out because its crashes lie close together,
/// or forgotten because they lie far apart.
#[rstest]
#[case::close(10)]
#[case::apart(SECOND_MS)]
#[case::slow(20 * MINUTE_MS)]
fn two_servers_are_enough(#[case] between_ms: u64) {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, SECOND_MS, &[deadly()]);
    assert!(!is_held(&quarantine, SECOND_MS));
    let second = SECOND_MS + between_ms;
    crash(&mut quarantine, second, &[deadly()]);
    assert!(is_held(&quarantine, second));
}

/// Guards against a request that comes every twenty minutes while servers crash for other reasons too:
/// these crashes were all that was remembered.
#[test]
fn ordinary_crashes_do_not_push_out_a_repeated_request() {
    let mut quarantine = Quarantine::default();
    let step = 20 * MINUTE_MS;
    for n in 0..3 {
        let began = SECOND_MS + n * step;
        crash(&mut quarantine, began, &[deadly()]);
        for other in 1..=200 {
            let ms = began + other * 5 * SECOND_MS;
            let sound = PartKey::identity((n * 1_000 + other) << 32);
            crash(&mut quarantine, ms, &[sound]);
        }
    }
    assert!(is_held(&quarantine, 3 * step));
}

/// Guards against a case that is probed for as long as it lasts: each probe ends a server.
#[test]
fn a_case_is_probed_three_times_in_all() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &[deadly()]);
    }
    let mut sends = 0;
    for second in 2..48 * 3_600 {
        let ms = second * SECOND_MS;
        let hold = quarantine.hold(&[deadly()], at(ms));
        if hold.expect("still held").probe_due {
            let probe = quarantine.after_probe(&[deadly()], at(ms));
            quarantine.probed(&probe.expect("a case"), at(ms));
            crash(&mut quarantine, ms + 100, &[deadly()]);
            sends += 1;
        }
    }
    assert!((1..=MAX_SENDS).contains(&sends), "{sends} probes");
    assert!(is_held(&quarantine, 48 * HOUR_MS));
}

/// A request that is held back for good by mistake is not missed for long. Guards against a case whose
/// callers are told to come back at a time that means nothing.
#[test]
fn a_case_without_probes_states_the_longest_pause() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, &[deadly()]);
    crash(&mut quarantine, 1_200, &[deadly()]);
    crash(&mut quarantine, 1_400, &[deadly()]);
    let mut now = 2_000;
    for _ in 0..MAX_SENDS {
        let hold = quarantine.hold(&[deadly()], at(now)).expect("held");
        now += u64::try_from(hold.case.probe_in.as_millis()).expect("milliseconds");
        let probe = quarantine.after_probe(&[deadly()], at(now));
        quarantine.probed(&probe.expect("a case"), at(now));
    }
    let hold = quarantine.hold(&[deadly()], at(now + HOUR_MS));
    let hold = hold.expect("held");
    assert!(!hold.probe_due);
    assert!(hold.case.probe_in >= Duration::from_secs(600));
}

/// A server crashes after the run of a blamed request on it was ended. Guards against sound requests on
/// it that are blamed in its place.
#[test]
fn a_server_that_crashes_after_a_withdrawn_run_counts_against_its_request() {
    let mut quarantine = Quarantine::default();
    let sound = PartKey::identity(0x50 << 32);
    crash(&mut quarantine, 1_000, &[deadly()]);
    crash(&mut quarantine, 1_100, &[deadly()]);
    for ms in [1_150, 1_160] {
        quarantine.withdrawn(CrashKey(ms), &[deadly()], at(1_110));
        crash(&mut quarantine, ms, &[sound]);
    }
    assert!(quarantine.hold(&[sound], at(1_200)).is_none());
    let case = quarantine.cases(at(1_200)).next().expect("a case");
    assert_eq!(case.crashes, 4);
    quarantine.withdrawn(CrashKey(9_000), &[deadly()], at(7_000));
    crash(&mut quarantine, 9_000, &[sound]);
    let case = quarantine.cases(at(9_000)).next().expect("a case");
    assert_eq!(case.crashes, 4);
}

/// Guards against an item that ends one server after the other in quick succession, and against one that
/// is left lying: it waits for 15 seconds at most.
#[test]
fn an_item_runs_again_after_growing_pauses() {
    let mut quarantine = Quarantine::default();
    let item = [deadly(), PartKey(1)];
    let mut now = 1_000;
    for expected_ms in [200, 1_000, 4_000, 8_000, 15_000, 15_000] {
        crash(&mut quarantine, now, &item);
        let turn = |ms| quarantine.item_turn(&item, at(ms));
        assert_eq!(turn(now + expected_ms.max(2_001) - 2_001), ItemTurn::Later);
        let later = now + expected_ms.max(2_000);
        assert!(
            matches!(turn(later), ItemTurn::WithLease(_)),
            "{expected_ms}"
        );
        now = later;
    }
    quarantine.began(&item, at(now));
    assert_eq!(quarantine.item_turn(&item, at(now)), ItemTurn::Free);
}

/// Guards against an item that waits because a request of a caller with the same parts is held back.
#[test]
fn no_case_of_a_request_concerns_an_item() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_100] {
        crash(&mut quarantine, ms, &[deadly(), PartKey(1), PartKey(2)]);
    }
    let item = [PartKey::identity(0x17e << 32), PartKey(1), PartKey(2)];
    assert_eq!(quarantine.item_turn(&item, at(1_101)), ItemTurn::Free);
}

/// Guards against a request that writes output before it crashes servers, which cleared it each time, and
/// against a sound one that is held back because it met two crashes in the middle of its response.
#[test]
fn crashes_after_some_output_count_until_a_response_is_whole() {
    let mut quarantine = Quarantine::default();
    let keys = [deadly(), deadly().late()];
    for (n, ms) in [1_000, 2_000, 3_000].into_iter().enumerate() {
        assert!(quarantine.hold(&keys, at(ms)).is_none(), "{n}");
        quarantine.began(&keys[..1], at(ms));
        crash(&mut quarantine, ms + 100, &keys[1..]);
    }
    assert!(quarantine.hold(&keys, at(3_200)).is_some());
    quarantine.began(&keys[..1], at(3_300));
    assert!(quarantine.hold(&keys, at(3_400)).is_some());
    quarantine.began(&keys, at(3_500));
    assert!(quarantine.hold(&keys, at(3_600)).is_none());
}

/// Guards against items of several jobs with the same part that end one server each in quick succession.
#[test]
fn items_of_one_case_run_two_seconds_apart() {
    let mut quarantine = Quarantine::default();
    let item = |n: u64| [PartKey::identity(n << 32), PartKey(0xdead)];
    for (n, ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        crash(&mut quarantine, ms, &item(n));
    }
    assert_eq!(quarantine.item_turn(&item(4), at(3_300)), ItemTurn::Later);
    let lease = ItemTurn::WithLease(PartKey(0xdead));
    assert_eq!(quarantine.item_turn(&item(4), at(3_400)), lease);
}
