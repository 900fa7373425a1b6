//! Fetching a newer configuration from a peer.

use std::time::Duration;

use limpetweir_gateway::{
    ConfigFetch,
    ConfigSend,
    ConfigSends, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

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
            fetches += usize::from(fetch.begin(2, 1, at(ms)).is_some());
        }
    }
    assert_eq!(fetches, 1);
}

/// Guards against fetches before the store has had the time to deliver the version.
#[test]
fn the_store_is_given_time_to_deliver() {
    let mut fetch = ConfigFetch::default();
    assert_eq!(fetch.begin(2, 1, at(0)), None);
    assert_eq!(fetch.begin(2, 1, at(200)), None);
    fetch.applied();
    assert_eq!(fetch.begin(2, 2, at(300)), None);
    assert_eq!(
        fetch.begin(3, 2, at(5_000)),
        None,
        "the next version has its own time"
    );
    assert!(fetch.begin(3, 2, at(5_300)).is_some());
}

/// Guards against an instance that keeps an old version after a failed fetch: a version must be in
/// force within two seconds.
#[test]
fn a_failed_fetch_is_repeated() {
    let mut fetch = ConfigFetch::default();
    assert_eq!(fetch.begin(2, 1, at(0)), None);
    let mut fetches = 0;
    for ms in 0..2_000 {
        if fetch.begin(2, 1, at(ms)).is_some() {
            fetches += 1;
            fetch.end(at(ms + 500), 1.0);
        }
    }
    assert_eq!(fetches, 3);
}

/// Guards against an instance that stays without a configuration although peers have one, because
/// the store rejects its calls when it starts.
#[test]
fn the_first_configuration_is_fetched_immediately() {
    let mut fetch = ConfigFetch::default();
    assert!(fetch.begin(2, 0, at(0)).is_some());
}

/// Guards against a failure that slows down the fetch of a later version.
#[test]
fn a_version_that_comes_into_force_ends_the_growth() {
    let ms = Duration::from_millis;
    let mut fetch = ConfigFetch::default();
    for (begin, limit) in [(0, 500), (1_000, 1_000), (3_000, 2_000), (6_000, 2_000)] {
        assert_eq!(fetch.begin(2, 0, at(begin)), Some(ms(limit)));
        fetch.end(at(begin + limit), 1.0);
    }
    assert_eq!(fetch.begin(2, 0, at(8_799)), None);
    assert!(fetch.begin(2, 0, at(8_800)).is_some());
    fetch.applied();
    fetch.end(at(8_900), 1.0);
    assert_eq!(fetch.begin(3, 2, at(9_000)), None);
    assert_eq!(fetch.begin(3, 2, at(9_250)), Some(ms(500)));
}

/// Guards against receivers that hang and keep others from the configuration.
#[test]
fn a_send_that_nobody_waits_for_takes_no_room() {
    let sends = ConfigSends::default();
    let held: Vec<_> = (0..4).map(|_| sends.admit(at(0))).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(sends.admit(at(1_999)).is_none());
    assert!(sends.admit(at(2_000)).is_some());
    drop(held);
    let next: Vec<_> = (0..4).map(|_| sends.admit(at(2_001))).collect();
    assert!(next.iter().all(Option::is_some));
}

/// An instance that fetches the configuration from the only peer that has it.
#[derive(Default)]
struct Fetcher {
    fetch: ConfigFetch,
    /// Transfer in progress: its place at the peer, its end by the time limit, and the bytes that are missing.
    transfer: Option<(ConfigSend, Timestamp, f64)>,
    has_it: bool,
}

/// Largest size of the configuration in bytes.
const CONFIG_BYTES: f64 = 262_144.0;

/// Time in milliseconds within which service is back after the instances have started.
const RECOVERY_MS: u64 = 15_000;

/// All others start without a configuration, which the store has delivered to one instance on a link of `mbps`.
/// Guards against transfers of which none ends because all share the link and are given up and begun again
/// together.
#[rstest]
#[case::small_link(68, 30.0)]
#[case::squeezed_link(28, 10.0)]
fn a_fleet_gets_the_configuration_from_one_peer(#[case] others: usize, #[case] mbps: f64) {
    let bytes_per_ms = mbps * 125.0;
    let mut rng = SmallRng::seed_from_u64(1);
    let sends = ConfigSends::default();
    let mut fleet: Vec<Fetcher> = (0..others).map(|_| Fetcher::default()).collect();
    for ms in 0..RECOVERY_MS {
        let now = at(ms);
        let active = fleet.iter().filter(|f| f.transfer.is_some()).count();
        let share = bytes_per_ms / active.max(1) as f64;
        for fetcher in fleet.iter_mut().filter(|f| !f.has_it) {
            if let Some((_, end, missing)) = &mut fetcher.transfer {
                *missing -= share;
                if *missing <= 0.0 {
                    fetcher.has_it = true;
                    fetcher.fetch.applied();
                } else if now < *end {
                    continue;
                }
                fetcher.transfer = None;
                fetcher.fetch.end(now, rng.random_range(0.0..1.0));
            } else if let Some(limit) = fetcher.fetch.begin(1, 0, now) {
                match sends.admit(now) {
                    Some(send) => fetcher.transfer = Some((send, now + limit, CONFIG_BYTES)),
                    None => fetcher.fetch.end(now, rng.random_range(0.0..1.0)),
                }
            }
        }
    }
    let missing = fleet.iter().filter(|f| !f.has_it).count();
    assert_eq!(missing, 0, "instances have no configuration");
}
