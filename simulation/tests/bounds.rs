//! Tests of the bounds of what any schedule earns.

use std::time::Duration;

use limpetweir_simulation::{
    BoundOptions,
    Bounds,
    Plan,
    bounds, //
};
use proptest::prelude::{
    ProptestConfig,
    any,
    prop_assert,
    proptest, //
};
use proptest::test_runner::RngSeed;
use rstest::rstest;

mod support;

use support::PLAN;

fn bounds_of(text: &str, seed: u64) -> Bounds {
    let plan = Plan::try_from(text).expect("the plan is accepted");
    let options = BoundOptions {
        seed,
        window: Duration::from_secs(5),
        within_limits: false,
    };
    bounds(&plan, &options)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against an upper estimate that leaves out work that servers can do, or a schedule that
    // does more work than they can.
    #[test]
    fn no_schedule_earns_more_than_the_upper_estimate(
        seed in any::<u64>(),
        burst in 0.2_f64..8.0,
        slow in 1.0_f64..20.0,
        slots in 1_u32..9,
        servers in 1_u32..6,
        slope in 0.0_f64..2.0,
        cached in 0_u32..400,
    ) {
        let text = PLAN.replace("factor = 3.0\nfrom_s = 4.0", &format!("factor = {burst}\nfrom_s = 1.0"))
            .replace("factor = 5.0\nfrom_s = 3.0", &format!("factor = {slow}\nfrom_s = 3.0"))
            .replace("count = 4\nslots = 4", &format!("count = {servers}\nslots = {slots}"))
            .replace("running = 0.05", &format!("running = {slope}"))
            .replace("max = 600 }", &format!("max = 600 }}\ncached_tokens = {cached}"));
        let bounds = bounds_of(&text, seed);
        let parts = bounds.classes.iter().chain(&bounds.windows);
        for part in parts.chain([&bounds.day]) {
            prop_assert!(part.lower >= 0.0);
            prop_assert!(part.lower <= part.upper * (1.0 + 1e-9), "{part:?}");
            prop_assert!(part.upper <= part.owed * (1.0 + 1e-9), "{part:?}");
        }
        prop_assert!(bounds.windows.iter().map(|w| w.requests).sum::<usize>() == bounds.day.requests);
        prop_assert!(bounds.classes.iter().map(|c| c.requests).sum::<usize>() == bounds.day.requests);
    }
}

// Guards against a schedule that leaves worth on servers that have room for all requests.
#[test]
fn servers_with_room_earn_nearly_all() {
    let text = PLAN.split("[[load]]").next().expect("the plan has loads");
    let bounds = bounds_of(&text.replace("count = 4", "count = 20"), 1);
    assert!(
        bounds.day.lower > 0.99 * bounds.day.owed,
        "{:?}",
        bounds.day
    );
}

/// Requests that all need the same work, on one server with one slot: 1 ms to read the prompt and
/// 100 steps of 1 ms, so 101 ms.
const EVEN: &str = r#"
day = { length_s = 20.0, finish_s = 0.0 }
instances = { count = 1, caller_delay_ms = 0, server_delay_ms = 0 }
organisation = [{ name = "north", share = 1 }]

[[class]]
name = "chat"
priority = 0
kind = "stream"
rate = [[0.0, 50.0]]
target_ms = 400
pause_ms = 100
deadline_ms = 1000
worth = 1.0
late_worth = 0.1
prompt_tokens = { mean = 10 }
output_events = { mean = 10 }
tokens_per_event = 10

[[servers]]
name = "engines"
count = 1
slots = 1
queue = 0
step_ms = 1
prompt_tokens_per_ms = 10
memory_tokens = 1000
"#;

// Guards against bounds that do not follow from the capacity: 20 s hold 198 requests of 101 ms;
// slow servers do less, more slots do more.
#[rstest]
#[case("", "", 198.0)]
#[case(
    "memory_tokens",
    "slow = [{ share = 1, factor = 3, from_s = 0, to_s = 15 }]\nmemory_tokens",
    99.0
)]
#[case("slots = 1", "slots = 2", 392.0)]
fn even_requests_are_bounded_by_capacity(
    #[case] from: &str,
    #[case] to: &str,
    #[case] served: f64,
) {
    let day = bounds_of(&EVEN.replacen(from, to, 1), 3).day;
    assert!(day.owed > 2.0 * served, "{day:?}");
    assert!(
        (0.97 * served..1.05 * served).contains(&day.upper),
        "{day:?}"
    );
    assert!(
        (0.85 * served..1.01 * served).contains(&day.lower),
        "{day:?}"
    );
}

// Guards against an upper estimate that lets requests on time run long after a short peak: these
// start within 2.4 s, so at most 24 of them run before the peak is over.
#[test]
fn a_short_peak_is_bounded_by_slots() {
    let text = EVEN.replacen("[[0.0, 50.0]]", "[[0.0, 50.0], [2.0, 0.0]]", 1);
    let text = text.replacen(
        "pause_ms = 100\ndeadline_ms = 1000",
        "pause_ms = 900\ndeadline_ms = 9000",
        1,
    );
    let text = text.replacen("late_worth = 0.1", "late_worth = 0.0", 1);
    let day = bounds_of(&text, 3).day;
    assert!((23.0..27.0).contains(&day.upper), "{day:?}");
    assert!((21.0..26.0).contains(&day.lower), "{day:?}");
}
