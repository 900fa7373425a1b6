//! Requests that were sent to one backend server within the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use limpetweir_state::Timestamp;

/// Requests of all instances, by the time at which this instance sent them or heard of them.
#[derive(Debug, Default)]
pub(crate) struct SendLog(VecDeque<(Timestamp, u64)>);

/// The requests of one window of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WindowCount {
    pub(crate) requests: u64,
    /// Time since the last request left the window.
    pub(crate) freed_for: Duration,
}

impl SendLog {
    /// Adds `count` requests; those of twice the time `window` ago are forgotten.
    pub(crate) fn add(&mut self, count: u64, window: Duration, now: Timestamp) {
        while let Some((at, _)) = self.0.front()
            && now.since(*at) > window * 2
        {
            self.0.pop_front();
        }
        self.0.push_back((now, count));
    }

    /// Counts the requests of the time `window` before `now`.
    pub(crate) fn count(&self, window: Duration, now: Timestamp) -> WindowCount {
        let begin = self.0.partition_point(|(at, _)| now.since(*at) >= window);
        let counts = self.0.iter().skip(begin).map(|(_, count)| *count);
        let requests = counts.fold(0, u64::saturating_add);
        let last = begin.checked_sub(1).and_then(|n| self.0.get(n));
        WindowCount {
            requests,
            freed_for: last.map_or(window, |(at, _)| now.since(*at) - window),
        }
    }
}
