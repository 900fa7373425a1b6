//! Polls conditions with a timeout.

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
/// Returns an error that contains `what` if there is no value within `timeout`.
pub fn wait_for<T>(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> Option<T>,
) -> Result<T, FleetError> {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = condition() {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return TimedOutSnafu { what, timeout }.fail();
        }
        thread::sleep(POLL);
    }
}

/// Waits until `check` returns true.
///
/// # Errors
///
/// Returns an error that contains `what` if it does not return true within `timeout`.
pub fn eventually(
    what: &str,
    timeout: Duration,
    mut check: impl FnMut() -> bool,
) -> Result<(), FleetError> {
    wait_for(what, timeout, || check().then_some(()))
}
