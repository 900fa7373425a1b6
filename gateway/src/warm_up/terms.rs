//! What the configuration and backend servers state about cold servers, brought into range.

use std::time::Duration;

use crate::checked::excerpt;

/// Longest time for which a statement makes a server cold. Servers of the platform take 3 s; a longer
/// time would keep a warm server at its cold rate.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Largest rate of cold servers in requests per second; the work of a decision grows with it.
pub const MAX_COLD_RATE: f64 = 1_000.0;

/// Smallest rate of cold servers in requests per second: a request in ten seconds. Waiting times that
/// follow from it are finite.
pub const MIN_COLD_RATE: f64 = 0.1;

/// How the servers of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time from the start of a server for which it is cold.
    pub duration: Duration,
    /// Requests per second that a cold server takes from all instances together, from
    /// [`MIN_COLD_RATE`] to [`MAX_COLD_RATE`].
    pub rate: f64,
}

impl WarmUp {
    /// Returns the terms with the nearest values in range, `None` for no limit, and whether a value
    /// was out of range.
    pub fn nearest(duration_s: f64, rate: f64) -> (Option<Self>, bool) {
        let (duration_s, long) = in_range(duration_s, MAX_COLD_TIME.as_secs_f64());
        let (rate, high) = in_range(rate, MAX_COLD_RATE);
        let terms = (rate > 0.0).then_some(Self {
            duration: Duration::from_secs_f64(duration_s),
            rate: rate.max(MIN_COLD_RATE),
        });
        let low = rate > 0.0 && rate < MIN_COLD_RATE;
        (terms, long || high || low)
    }
}

/// A stated time for which a server stays cold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdTime {
    /// The time, at most [`MAX_COLD_TIME`].
    pub remaining: Duration,
    /// The stated value, if it was out of range or no number.
    pub invalid: Option<String>,
}

impl ColdTime {
    /// Parses a decimal number of milliseconds. Text that is no number states nothing.
    pub fn parse_ms(text: &str) -> Self {
        let number = text.trim().parse().unwrap_or(f64::NAN);
        let (ms, changed) = in_range(number, MAX_COLD_TIME.as_secs_f64() * 1_000.0);
        Self {
            remaining: Duration::from_secs_f64(ms / 1_000.0),
            invalid: changed.then(|| excerpt(text)),
        }
    }
}

/// Returns the number from 0 to `max` that is nearest to `value`, 0 for no number, and whether it
/// differs.
fn in_range(value: f64, max: f64) -> (f64, bool) {
    if value.is_nan() {
        return (0.0, true);
    }
    (value.clamp(0.0, max), !(0.0..=max).contains(&value))
}
