//! Detection of slow backend servers.

use std::time::Duration;

use limpetweir_gateway::{
    BackendKey,
    PaceMeter,
    Speeds, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

fn measured(gaps: &[u64], at: u64) -> Speeds {
    let mut speeds = Speeds::default();
    for (n, gap) in (0..).zip(gaps) {
        let gap = Duration::from_millis(*gap);
        for step in 0..10 {
            speeds.record(BackendKey(n), gap, Timestamp::from_millis(at + step));
        }
    }
    speeds
}

/// Guards against a server that is several times slower and does not count as slow, and against
/// usual differences that do.
#[test]
fn a_slow_server_is_detected() {
    let speeds = measured(&[20, 24, 22, 110], 0);
    let now = Timestamp::from_millis(100);
    assert!(speeds.compare(now).of(BackendKey(3)) > 4.0);
    assert!(speeds.compare(now).of(BackendKey(1)) < 1.5);
    assert_eq!(speeds.compare(now).of(BackendKey(9)), 1.0);
}

/// Guards against a server that is avoided forever because no run there can measure its recovery.
#[test]
fn measurements_expire() {
    let speeds = measured(&[20, 24, 22, 110], 0);
    let later = Timestamp::from_millis(3_200);
    assert_eq!(speeds.compare(later).of(BackendKey(3)), 1.0);
}

/// Guards against a comparison of too few servers.
#[test]
fn two_servers_are_not_compared() {
    let speeds = measured(&[20, 110], 0);
    assert_eq!(
        speeds
            .compare(Timestamp::from_millis(100))
            .of(BackendKey(1)),
        1.0
    );
}

/// Guards against servers that count as slow for seconds after a silence, and against slow ones that
/// do not.
#[rstest]
#[case::steady(&[20; 9], 20)]
#[case::silent_once(&[20, 20, 20, 1_000, 20, 20, 20, 20, 20], 20)]
#[case::slow(&[110; 9], 110)]
fn one_silence_does_not_make_a_server_slow(#[case] gaps: &[u64], #[case] mean: u64) {
    let mut pace = PaceMeter::default();
    let mut at = 0;
    let mut measured = Vec::new();
    for gap in gaps {
        at += gap;
        measured.extend(pace.event(Timestamp::from_millis(at)));
    }
    assert_eq!(measured, [Duration::from_millis(mean)]);
}
