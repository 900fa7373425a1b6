//! Choice of the items that are stopped.
//!
//! Load pattern: online requests need slots that items occupy. All instances rank the items of a
//! backend server in the same way, so that together they stop exactly as many as needed: late ones
//! first, then those with the latest deadline.

use std::cmp::Reverse;

use serde::Deserialize;

use crate::backend::BackendKey;
use crate::load::Load;
use crate::report::{
    BatchRun,
    ItemKey,
    Report, //
};

/// When items are stopped for online requests, and which slots they leave free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preemption {
    /// As soon as a server has more requests than slots. Items use all slots but a few.
    #[default]
    Immediate,
    /// When the excess has lasted. Items leave the slots free that online requests needed recently.
    Lasting,
}

impl Preemption {
    /// Returns whether the sender of `report` is expected to start items. One that runs items may have
    /// further ones that its last report does not count yet.
    pub fn contends(self, report: &Report) -> bool {
        report.waiting > 0 || (self == Self::Lasting && !report.batch.is_empty())
    }
}

/// Reason for which the run of an item is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StopCause {
    /// Its server has more requests than slots.
    SlotNeeded,
    /// Its server has become slow.
    SlowServer,
    /// Another instance runs the item as well.
    RunsElsewhere,
    /// The item needs no run any more, because its job has ended.
    JobEnded,
}

/// An item of this instance that must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The item.
    pub item: ItemKey,
    /// Why it must stop.
    pub cause: StopCause,
}

/// Returns the items of this instance that must stop: their slots are needed, their server has
/// become slow, or an instance whose name sorts first runs them as well. `excess` is the number of
/// items to stop on a server, and `slow` states whether it is slow.
pub fn choose_preemptions(
    load: &Load,
    me: &str,
    unix_ms: u64,
    excess: impl Fn(BackendKey) -> u32,
    slow: impl Fn(BackendKey) -> bool,
) -> Vec<Stop> {
    let rank = |run: &BatchRun| Reverse((run.due <= unix_ms, run.due, run.item));
    let cause = |own: &BatchRun| {
        if load.peers_running(own.item).any(|peer| peer < me) {
            return Some(StopCause::RunsElsewhere);
        }
        if slow(own.backend) {
            return Some(StopCause::SlowServer);
        }
        let excess = excess(own.backend) as usize;
        if excess == 0 {
            return None;
        }
        let before = load
            .batch_on(own.backend)
            .filter(|run| rank(run) < rank(own));
        (before.count() < excess).then_some(StopCause::SlotNeeded)
    };
    let stops = load.own_batch().filter_map(|own| {
        let item = own.item;
        cause(own).map(|cause| Stop { item, cause })
    });
    stops.collect()
}
