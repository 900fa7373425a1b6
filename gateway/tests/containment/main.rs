//! Replay of copies of one request that crashes backend servers, in virtual time, with the decisions of
//! the product.

mod model;

use model::{
    Copies,
    Fleet,
    Outcome, //
};
use rstest::rstest;

/// Number of replays, each with its own seed.
const SEEDS: u64 = 3;

/// Maximum number of instances of a fleet.
const MAX_INSTANCES: usize = 40;

/// Time between two arrivals of copies in milliseconds.
const PAUSE_MS: u64 = 50;

fn play(fleet: Fleet, at_once: usize) -> Vec<Outcome> {
    let copies = Copies {
        at_once,
        pause_ms: PAUSE_MS,
    };
    (1..=SEEDS)
        .map(|seed| model::play(fleet, copies, seed))
        .collect()
}

/// Load pattern: copies of a request that crashes servers reach all instances for some seconds, one or
/// sixteen at once, while copies of a sound one do too, whose server crashes once by itself. Guards
/// against a request that ends most servers of a service, and against sound copies that wait for long or
/// are refused. Prints the rows of the table in docs/measurements.md.
#[rstest]
fn one_request_ends_few_servers(
    #[values(9, 32, 128)] servers: u32,
    #[values(1, 16)] at_once: usize,
    #[values(3, 50, 1_000)] news_ms: u64,
) {
    let fleet = Fleet {
        servers,
        instances: (servers as usize + 2).min(MAX_INSTANCES),
        news_ms,
    };
    let outcomes = play(fleet, at_once);
    let most = outcomes.iter().map(|o| o.ended).max().unwrap_or(0);
    let mean = f64::from(outcomes.iter().map(|o| o.ended).sum::<u32>()) / SEEDS as f64;
    let waited: u32 = outcomes.iter().map(|o| o.waited).sum();
    let longest = outcomes
        .iter()
        .map(|o| o.longest_wait_ms)
        .max()
        .unwrap_or(0);
    let refused: u32 = outcomes.iter().map(|o| o.refused).sum();
    let sound: u32 = outcomes.iter().map(|o| o.sound).sum();
    println!(
        "| {servers} | {at_once} | {news_ms} | {mean:.1} | {most} | {waited} of {sound} | {longest} | {refused} |"
    );
    // Before news can arrive, each copy may end one more server.
    let unknown = (model::RUN_MS + news_ms).div_ceil(PAUSE_MS) * at_once as u64;
    assert!(
        u64::from(most) <= 4.max(unknown.min(u64::from(servers))),
        "{most} servers ended"
    );
    if news_ms <= 50 {
        assert!(most <= 4, "{most} servers ended");
        assert_eq!(refused, 0, "sound copies refused");
        assert!(longest <= 500, "a sound copy waited for {longest} ms");
    }
}
