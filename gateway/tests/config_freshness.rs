//! Knowledge of whether the configuration in force is the newest one.

use limpetweir_gateway::ConfigFreshness;
use limpetweir_state::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against final refusals by an instance that the store has not answered for so long that a
/// newer version may have to be in force.
#[test]
fn a_version_is_current_only_for_a_short_time_after_a_confirmation() {
    let mut freshness = ConfigFreshness::default();
    assert!(!freshness.is_current(1, at(0)));
    freshness.confirmed(1, at(1_000));
    assert!(freshness.is_current(1, at(1_000)));
    // A waiting read ends after one second.
    assert!(freshness.is_current(1, at(2_100)));
    // A version published just after the confirmation must be in force.
    assert!(!freshness.is_current(1, at(3_000)));
    freshness.confirmed(1, at(3_100));
    assert!(freshness.is_current(1, at(3_100)));
}

/// Guards against final refusals by an instance whose peers have a newer version already.
#[test]
fn a_version_is_outdated_once_a_peer_has_a_newer_one() {
    let mut freshness = ConfigFreshness::default();
    freshness.confirmed(2, at(0));
    freshness.reported(1);
    freshness.reported(2);
    assert!(freshness.is_current(2, at(10)));
    freshness.reported(3);
    freshness.reported(2);
    assert!(!freshness.is_current(2, at(10)));
    // The next read has not returned the version yet.
    freshness.confirmed(2, at(20));
    assert!(!freshness.is_current(2, at(20)));
    assert!(freshness.is_current(3, at(20)));
}

/// Guards against a refusal by a version that was replaced while the request was being handled.
#[test]
fn a_confirmation_does_not_hold_for_an_older_version() {
    let mut freshness = ConfigFreshness::default();
    freshness.confirmed(2, at(0));
    assert!(!freshness.is_current(1, at(0)));
}

/// Guards against log lines with a wrong age.
#[test]
fn the_age_is_that_of_the_last_confirmation() {
    let mut freshness = ConfigFreshness::default();
    assert_eq!(freshness.age(at(5)), None);
    freshness.confirmed(1, at(5));
    freshness.confirmed(1, at(10));
    let age = freshness.age(at(17)).map(|age| age.as_millis());
    assert_eq!(age, Some(7));
}

/// Guards against a confirmation of the version in force by a store whose newest version cannot be
/// read.
#[test]
fn an_unreadable_version_is_newer_than_the_one_in_force() {
    let mut freshness = ConfigFreshness::default();
    freshness.confirmed(2, at(0));
    freshness.unreadable();
    assert!(!freshness.is_current(2, at(10)));
    assert_eq!(freshness.confirmed_at(2), None);
    freshness.confirmed(2, at(20));
    assert!(!freshness.is_current(2, at(30)));
    freshness.readable();
    freshness.confirmed(3, at(40));
    assert!(freshness.is_current(3, at(50)));
}
