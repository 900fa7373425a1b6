//! Polling of conditions with a timeout.

use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use super::error::{
    FleetError,
    TimedOutSnafu, //
};

/// Interval between checks of a condition.
const POLL: Duration = Duration::from_millis(10);

/// Waits until `condition` returns a value.
///
/// # Errors
///
/// Returns an error that contains `what` if there is no value within `bound`.
pub fn wait_for<T>(
    what: &str,
    bound: Duration,
    mut condition: impl FnMut() -> Option<T>,
) -> Result<T, FleetError> {
    let deadline = Instant::now() + bound;
    loop {
        if let Some(value) = condition() {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return TimedOutSnafu { what, bound }.fail();
        }
        thread::sleep(POLL);
    }
}

/// Waits until `check` returns true.
///
/// # Errors
///
/// Returns an error that contains `what` if it does not return true within `bound`.
pub fn eventually(
    what: &str,
    bound: Duration,
    mut check: impl FnMut() -> bool,
) -> Result<(), FleetError> {
    wait_for(what, bound, || check().then_some(()))
}
