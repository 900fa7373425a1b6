//! How late a refused caller may return.
//!
//! Load pattern: a peak of some seconds. A caller that returns within it takes the slot of a request that
//! would still be in time, whose caller is refused then and returns as well; soon nearly all responses
//! are late.

use std::time::Duration;

/// Longest time after which a caller returns; most peaks of load are over by then.
const MAX_RETURN_TIME: Duration = Duration::from_secs(3);

/// Part of the time left to a caller after which it returns at the latest. The rest is for its response.
const RETURN_PART: f64 = 0.6;

/// Part of the slots that get free over which returning callers are spread. The rest is left to new
/// requests.
pub const RETURN_SHARE: f64 = 0.25;

/// Returns the longest time after which a caller with the time `remaining` until its deadline should return.
pub fn longest_return(remaining: Duration) -> Duration {
    remaining.mul_f64(RETURN_PART).min(MAX_RETURN_TIME)
}
