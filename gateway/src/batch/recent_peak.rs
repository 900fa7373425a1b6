//! Largest number of online requests on each server within a recent time.
//!
//! Load pattern: the online requests of a server vary around their mean within fractions of a second.
//! A slot that is idle for a moment is needed again before an item that starts there has ended.

use std::collections::{
    HashMap,
    VecDeque, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;

/// Time within which observations count as one, so that few are kept.
const RESOLUTION: Duration = Duration::from_millis(50);

/// Largest of the values that were observed within a window of time.
#[derive(Debug, Default)]
struct RecentPeak {
    /// Observations with their times: times ascend, values descend.
    observed: VecDeque<(Timestamp, u32)>,
}

impl RecentPeak {
    fn observe(&mut self, value: u32, window: Duration, now: Timestamp) {
        while self.observed.back().is_some_and(|(_, last)| *last <= value) {
            self.observed.pop_back();
        }
        let newest = self.observed.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now.since(at) >= RESOLUTION) {
            self.observed.push_back((now, value));
        }
        let expired = |(at, _): &(Timestamp, u32)| now.since(*at) > window;
        while self.observed.len() > 1 && self.observed.front().is_some_and(expired) {
            self.observed.pop_front();
        }
    }

    fn value(&self) -> u32 {
        self.observed.front().map_or(0, |(_, peak)| *peak)
    }
}

/// Recent peaks of the servers that may be used.
#[derive(Debug, Default)]
pub(super) struct OnlinePeaks {
    /// Peaks with the time since which each server has been usable.
    servers: HashMap<BackendKey, (Timestamp, RecentPeak)>,
}

impl OnlinePeaks {
    /// Adds the present number of online requests of all usable servers; the others are forgotten.
    pub(super) fn observe(
        &mut self,
        online: &HashMap<BackendKey, u32>,
        window: Duration,
        now: Timestamp,
    ) {
        self.servers.retain(|key, _| online.contains_key(key));
        for (key, online) in online {
            let (_, peak) = self
                .servers
                .entry(*key)
                .or_insert((now, RecentPeak::default()));
            peak.observe(*online, window, now);
        }
    }

    /// Returns the peak of `backend` within `window`, or `None` if it has not been usable that long.
    pub(super) fn peak(
        &self,
        backend: BackendKey,
        window: Duration,
        now: Timestamp,
    ) -> Option<u32> {
        let (since, peak) = self.servers.get(&backend)?;
        (now.since(*since) >= window).then(|| peak.value())
    }
}
