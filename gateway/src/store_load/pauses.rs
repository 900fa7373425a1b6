//! Pauses behind failed calls.

use std::time::Duration;

use super::target::{
    Access,
    CallTarget, //
};
use crate::platform::Topic;

/// Pauses behind the calls about a target that fail one after the other. Each is twice as long as the one before.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    first: Duration,
    max: Duration,
}

/// Reads. Instances must read soon after the end of an outage, and a rejected read costs the store little.
const READ: Pauses = Pauses {
    first: Duration::from_millis(300),
    max: Duration::from_secs(1),
};

/// Appends of the jobs, which callers wait for.
const APPEND: Pauses = Pauses {
    first: Duration::from_millis(200),
    max: Duration::from_secs(1),
};

/// Appends to the partition of the instances, which all instances share and nobody waits for. Half of the
/// first pause is longer than the time between two reads, which show whether the append was executed.
const SHARED_APPEND: Pauses = Pauses {
    first: Duration::from_millis(1_600),
    max: Duration::from_millis(6_400),
};

/// Part of a pause that is not spread at random.
const FIXED_PART: f64 = 0.5;

/// Returns the pause behind the last of `failures` failed calls in a row; `spread` is a random number from 0
/// to 1, so that instances which have failed together do not call together again.
pub(super) fn pause(target: CallTarget, failures: u32, spread: f64) -> Duration {
    let pauses = match (target.topic, target.access) {
        (_, Access::Read) => READ,
        (Topic::Instances, Access::Append) => SHARED_APPEND,
        (_, Access::Append) => APPEND,
    };
    let doublings = failures.saturating_sub(1).min(u32::BITS - 1);
    let pause = pauses.first.saturating_mul(1 << doublings).min(pauses.max);
    pause.mul_f64(FIXED_PART + (1.0 - FIXED_PART) * spread.clamp(0.0, 1.0))
}
