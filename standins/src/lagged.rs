//! A value whose changes become visible to readers after a lag.

use std::{
    collections::VecDeque,
    time::Duration, //
};

/// The visible version of a value and the later versions.
#[derive(Debug, Clone)]
pub(crate) struct Lagged<T> {
    /// Versions that are not yet visible, oldest first.
    versions: VecDeque<(Duration, T)>,
    current: T,
    lag: Duration,
}

impl<T: Clone> Lagged<T> {
    /// Returns a value that is visible immediately; later versions become visible after `lag`.
    pub(crate) fn new(current: T, lag: Duration) -> Self {
        Self {
            versions: VecDeque::new(),
            current,
            lag,
        }
    }

    /// Changes the lag for versions that are not yet visible.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the newest version, visible or not.
    pub(crate) fn newest(&self) -> &T {
        self.versions
            .back()
            .map_or(&self.current, |(_, value)| value)
    }

    /// Adds a version.
    pub(crate) fn push(&mut self, now: Duration, value: T) {
        self.promote_due(now);
        self.versions.push_back((now, value));
    }

    /// Returns the version that is visible at `now`.
    pub(crate) fn visible(&mut self, now: Duration) -> &T {
        self.promote_due(now);
        &self.current
    }

    /// Makes the versions visible whose lag has passed.
    fn promote_due(&mut self, now: Duration) {
        while self
            .versions
            .front()
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            if let Some((_, value)) = self.versions.pop_front() {
                self.current = value;
            }
        }
    }
}
