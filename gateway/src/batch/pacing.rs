//! Start and preemption of items in a large fleet, where reports are some milliseconds to a tenth of
//! a second old.
//!
//! Load pattern: online requests swing fivefold within seconds. Most stops are not due to the swing:
//! items start in slots that another instance fills as well or that are idle for a moment, and are
//! stopped for requests that exceed the slots for less than the delay of reports.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;
use crate::batch::candidate::{
    BatchCandidate,
    WaitingItem, //
};
use crate::batch::openings::Openings;
use crate::batch::overload::Overloads;
use crate::batch::recent_peak::OnlinePeaks;
use crate::batch::starts::{
    Contenders,
    choose_starts_in_turn, //
};
use crate::report::ItemKey;

/// Times of the pacing of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacingTimes {
    /// Time for which a server has more requests than slots before an item is stopped there. It covers
    /// the delay of reports; a longer one saves few stops and lets online requests wait.
    pub stop_after: Duration,
    /// Time for which items leave the slots of a server free that online requests have used. Online
    /// requests run a little longer.
    pub peak_window: Duration,
}

impl Default for PacingTimes {
    fn default() -> Self {
        Self {
            stop_after: Duration::from_millis(20),
            peak_window: Duration::from_millis(500),
        }
    }
}

/// What an instance has observed of the servers, for the start and the preemption of its items.
#[derive(Debug, Default)]
pub struct ItemPacing {
    times: PacingTimes,
    overloads: Overloads,
    peaks: OnlinePeaks,
    openings: Openings,
}

impl ItemPacing {
    /// Creates a pacing with other times than those of the product.
    pub fn new(times: PacingTimes) -> Self {
        Self {
            times,
            ..Self::default()
        }
    }

    /// Returns how many of the present requests in `excess` of the slots of each server have lasted,
    /// so that as many items must stop there. To be called at each decision.
    pub fn excess(
        &mut self,
        mut excess: HashMap<BackendKey, u32>,
        now: Timestamp,
    ) -> HashMap<BackendKey, u32> {
        self.overloads.update(&excess, now);
        for (backend, excess) in &mut excess {
            *excess = self.overloads.lasting(*backend, self.times.stop_after, now);
        }
        excess
    }

    /// Records the online requests of all servers that items may use. To be called at each decision,
    /// also if no item waits.
    pub fn observe(&mut self, online: &HashMap<BackendKey, u32>, now: Timestamp) {
        self.peaks.observe(online, self.times.peak_window, now);
    }

    /// Assigns waiting items to the slots that online requests did not need recently, as
    /// [`choose_starts`](super::choose_starts) does. If any item is urgent, only urgent ones are assigned:
    /// recent peaks are ignored, and [`reserve`](super::reserve) is used in place of `reserve`.
    pub fn choose_starts(
        &mut self,
        waiting: &mut Vec<WaitingItem>,
        candidates: &[BatchCandidate],
        me: &str,
        contenders: Contenders<'_>,
        reserve: impl Fn(u32, u32, bool) -> u32,
        now: Timestamp,
    ) -> Vec<(ItemKey, BackendKey)> {
        let openings = &mut self.openings;
        if waiting.iter().any(|w| w.urgent) {
            waiting.retain(|w| w.urgent);
            let reserve = super::reserve;
            return choose_starts_in_turn(
                waiting, candidates, me, contenders, reserve, openings, now,
            );
        }
        let window = self.times.peak_window;
        let at_peak = candidates.iter().filter_map(|candidate| {
            let mut candidate = *candidate;
            let peak = self.peaks.peak(candidate.key, window, now)?;
            candidate.placed.online = candidate.placed.online.max(peak);
            Some(candidate)
        });
        let at_peak: Vec<BatchCandidate> = at_peak.collect();
        choose_starts_in_turn(waiting, &at_peak, me, contenders, reserve, openings, now)
    }
}
