//! The order in which clients are released, without a network.

use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::http::{
    GRACE_TIME,
    Holder,
    PROGRESS_BYTES,
    Progress,
    STALL_TIME,
    Standing,
    first_to_release, //
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// Returns the index of the holder to release, of those with a standing, the time since their progress in
/// milliseconds, and whether their address is crowded.
fn released(holders: &[(Standing, u32, bool)]) -> Option<usize> {
    let now = Instant::now() + Duration::from_secs(3_600);
    let holders = holders.iter().map(|(standing, ms, is_crowded)| Holder {
        standing: *standing,
        progress: now - MS * *ms,
        is_crowded: *is_crowded,
    });
    first_to_release(holders.enumerate(), now)
}

/// Guards against callers that are cut while others hold connections for nothing.
#[rstest]
#[case::longest_first(&[(Standing::Waiting, 4_000, false), (Standing::Waiting, 5_000, false)], Some(1))]
#[case::idle_before_stalled(&[(Standing::Transferring, 9_000, false), (Standing::Waiting, 3_000, false)], Some(1))]
#[case::stalled_before_fresh(&[(Standing::Waiting, 500, false), (Standing::Transferring, 3_000, false)], Some(1))]
#[case::crowded_address_first(&[(Standing::Waiting, 9_000, false), (Standing::Waiting, 3_000, true)], Some(1))]
#[case::not_the_served(&[(Standing::Served, 60_000, true)], None)]
#[case::not_the_steady(&[(Standing::Transferring, 1_900, true)], None)]
#[case::a_caller_that_reads_nothing(&[(Standing::Reading, 5_000, false)], Some(0))]
#[case::not_one_whose_link_stalls(&[(Standing::Reading, 4_600, true)], None)]
#[case::not_the_new(&[(Standing::Waiting, 50, true)], None)]
fn the_one_that_holds_for_nothing_goes_first(
    #[case] holders: &[(Standing, u32, bool)],
    #[case] expected: Option<usize>,
) {
    assert_eq!(released(holders), expected);
}

/// Guards against clients that are kept for a few bytes now and then, and against slow links that are cut.
#[rstest]
#[case::a_narrow_link(2_000, false)]
#[case::a_few_bytes(30, true)]
fn progress_is_a_rate(#[case] bytes_per_s: usize, #[case] is_released: bool) {
    let began = Instant::now();
    let mut progress = Progress::new(began);
    let mut was_released = false;
    for step in 1..=100_u32 {
        let now = began + MS * 100 * step;
        progress.add(bytes_per_s / 10, now);
        let holder = Holder {
            standing: Standing::Transferring,
            progress: progress.at(),
            is_crowded: false,
        };
        was_released |= first_to_release([((), holder)], now).is_some();
    }
    assert_eq!(was_released, is_released);
    assert!(GRACE_TIME < STALL_TIME && bytes_per_s < 100 * PROGRESS_BYTES);
}
