//! Decisions about background tasks.

use std::time::Duration;

use limpetweir_gateway::{
    Pulse,
    RestartBackoff,
    StallTimer,
    steps_back, //
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against restarts in a tight loop, against pauses that grow without a limit, and against
/// pauses that stay long after a calm time.
#[test]
fn pauses_between_restarts_grow_to_a_limit_and_start_anew() {
    let mut backoff = RestartBackoff::default();
    let pauses: Vec<Duration> = (0..10).map(|_| backoff.pause(SECOND)).collect();
    assert_eq!(pauses[0], Duration::from_millis(100));
    assert_eq!(pauses[1], Duration::from_millis(200));
    assert!(pauses.is_sorted());
    assert!(pauses[9] >= SECOND && pauses[9] <= 10 * SECOND);
    assert_eq!(backoff.pause(600 * SECOND), pauses[0]);
}

/// Guards against a task that stands still and is not noticed, and against one that is idle or has
/// made a step and counts as standing still.
#[test]
fn only_a_task_without_a_step_ages() {
    let mut timer = StallTimer::default();
    let looks = [
        (Pulse::Steps(1), 0),
        (Pulse::Steps(1), 1),
        (Pulse::Steps(1), 2),
        (Pulse::Steps(2), 0),
        (Pulse::Steps(2), 1),
        (Pulse::Idle, 0),
        (Pulse::Idle, 0),
        (Pulse::Steps(2), 0),
        (Pulse::Steps(2), 1),
    ];
    for (pulse, age) in looks {
        assert_eq!(timer.observe(pulse, SECOND), age * SECOND, "{pulse:?}");
    }
}

/// Guards against a fleet that takes itself out because the same task stops at every instance, and
/// against a few instances that get all callers.
#[rstest]
#[case::one_of_two(1, 1, true)]
#[case::one_of_many(9, 1, true)]
#[case::half(4, 4, true)]
#[case::most(3, 5, false)]
#[case::all(0, 8, false)]
#[case::the_only_instance(0, 1, false)]
fn a_stalled_instance_steps_back_while_enough_others_are_sound(
    #[case] sound: usize,
    #[case] stalled: usize,
    #[case] expected: bool,
) {
    assert_eq!(steps_back(sound, stalled), expected);
}
