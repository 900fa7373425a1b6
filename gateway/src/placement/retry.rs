//! Time after which a rejected caller should return.

use std::time::Duration;

/// Returns the time after which a rejected caller should retry.
///
/// `running` requests occupy a slot for `occupied_for` each; `excess` of them have no slot yet.
pub fn retry_after(running: u32, excess: u32, occupied_for: Duration) -> Duration {
    let freed_after = occupied_for.as_secs_f64() / f64::from(running.max(1));
    let wait = freed_after * (f64::from(excess) + 1.0);
    Duration::from_secs_f64(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Shortest retry time in seconds; a caller that retries sooner finds the same load.
const MIN_RETRY_AFTER: f64 = 0.2;
/// Longest retry time in seconds; load peaks last about two seconds.
const MAX_RETRY_AFTER: f64 = 1.5;
