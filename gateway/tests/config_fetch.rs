//! Fetching a newer configuration from a peer.

use limpetweir_gateway::ConfigFetch;
use limpetweir_state::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Replays a change of the configuration in a fleet of 59 instances, which report the new version
/// 200 times per second each before the store delivers it here. Guards against a fetch for every
/// report, which kept some instances busy for ten seconds.
#[test]
fn reports_of_a_large_fleet_start_few_fetches() {
    let mut fetch = ConfigFetch::default();
    let mut fetches = 0;
    for ms in 0..1_000 {
        for _ in 0..12 {
            // No fetch ends during the test.
            fetches += usize::from(fetch.begin(2, 1, at(ms)));
        }
    }
    assert_eq!(fetches, 1);
}

/// Guards against fetches before the store has had the time to deliver the version.
#[test]
fn the_store_is_given_time_to_deliver() {
    let mut fetch = ConfigFetch::default();
    assert!(!fetch.begin(2, 1, at(0)));
    assert!(!fetch.begin(2, 1, at(200)));
    fetch.applied();
    assert!(!fetch.begin(2, 2, at(300)));
    assert!(
        !fetch.begin(3, 2, at(5_000)),
        "the next version has its own time"
    );
    assert!(fetch.begin(3, 2, at(5_300)));
}

/// Guards against an instance that keeps an old version after a failed fetch: a version must be in
/// force within two seconds.
#[test]
fn a_failed_fetch_is_repeated() {
    let mut fetch = ConfigFetch::default();
    assert!(!fetch.begin(2, 1, at(0)));
    let mut fetches = 0;
    for ms in 0..2_000 {
        if fetch.begin(2, 1, at(ms)) {
            fetches += 1;
            fetch.end(at(ms + 500));
        }
    }
    assert_eq!(fetches, 3);
}

/// Guards against an instance that stays without a configuration although peers have one, because
/// the store rejects its calls when it starts.
#[test]
fn the_first_configuration_is_fetched_immediately() {
    let mut fetch = ConfigFetch::default();
    assert!(fetch.begin(2, 0, at(0)));
}
