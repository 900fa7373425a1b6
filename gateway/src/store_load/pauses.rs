//! Pauses behind failed calls.

use std::time::Duration;

use super::target::{
    Access,
    CallTarget, //
};
use crate::backoff::Backoff;
use crate::platform::Topic;

/// Reads. Instances must read soon after the end of an outage, and a rejected read costs the store little.
const READ: Backoff = Backoff {
    first: Duration::from_millis(300),
    max: Duration::from_secs(1),
};

/// Appends of the jobs, which callers wait for.
const APPEND: Backoff = Backoff {
    first: Duration::from_millis(200),
    max: Duration::from_secs(1),
};

/// Appends to the partition of the instances, which all instances share and nobody waits for. Half of the
/// first pause is longer than the time between two reads, which show whether the append was executed.
const SHARED_APPEND: Backoff = Backoff {
    first: Duration::from_millis(1_600),
    max: Duration::from_millis(6_400),
};

/// Returns the pause behind the last of `failures` failed calls in a row; `spread` is a random number from 0
/// to 1.
pub(super) fn pause(target: CallTarget, failures: u32, spread: f64) -> Duration {
    let backoff = match (target.topic, target.access) {
        (_, Access::Read) => READ,
        (Topic::Instances, Access::Append) => SHARED_APPEND,
        (_, Access::Append) => APPEND,
    };
    backoff.pause(failures, spread)
}
