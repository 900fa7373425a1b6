//! Parses durations and deadlines given as arguments.

use std::str::FromStr;
use std::time::Duration;

use jiff::{
    SpanRelativeTo,
    Timestamp, //
};

/// Parses a positive duration such as `500ms`, `30s`, `1h30m` or `2d`; a day has 24 hours.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || format!("{text:?} is not accepted: use a duration such as 30s, 1h30m or 2d");
    let span = jiff::Span::from_str(text).map_err(|_| invalid())?;
    let days = SpanRelativeTo::days_are_24_hours();
    let duration = span.to_duration(days).map_err(|_| invalid())?;
    let duration = Duration::try_from(duration).map_err(|_| invalid())?;
    if duration.is_zero() {
        return Err(invalid());
    }
    Ok(duration)
}

/// The time at which the results of a job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// Duration after the submission.
    In(Duration),
    /// Absolute time.
    At(Timestamp),
}

impl FromStr for Deadline {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Ok(duration) = parse_duration(text) {
            return Ok(Self::In(duration));
        }
        let time = Timestamp::from_str(text).map_err(|_| {
            format!(
                "{text:?} is not accepted: use a duration such as 2h or a time such as \
                 2026-01-31T18:00:00Z"
            )
        })?;
        Ok(Self::At(time))
    }
}

impl Deadline {
    /// Returns the whole seconds from `now` to the deadline, or `None` if fewer than one remains.
    pub fn seconds_from(self, now: Timestamp) -> Option<u64> {
        let seconds = match self {
            Self::In(duration) => duration.as_secs(),
            Self::At(time) => u64::try_from(time.duration_since(now).as_secs()).ok()?,
        };
        (seconds > 0).then_some(seconds)
    }
}
