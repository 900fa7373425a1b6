//! Batch path: the job interface, the owners of job groups and the batch managers of engines.

mod api;
mod calls;
mod cancel;
mod dispatch;
mod engine;
mod group;
mod manager;
mod metrics;
mod orders;
mod outcome;
mod owner;
mod placement;
mod recording;
mod release;
mod reply;
mod slots;
mod submit;

use limpetweir_state::{
    BackendId,
    GroupId,
    GroupKind, //
};
use opentelemetry::metrics::Meter;

pub(crate) use api::handle;
pub(crate) use calls::handle_job_call;
pub use calls::usage_of;
pub use group::JobGroup;
pub(crate) use manager::{
    cancel_item,
    on_online_change,
    on_preempt,
    run_item, //
};
pub(crate) use owner::start;
pub(crate) use release::flush;
pub(crate) use slots::exceeds_reserve;

use crate::sharded::Sharded;

use manager::Managers;
use metrics::BatchMetrics;
use placement::EngineLoads;

/// State of the batch path.
#[derive(Debug)]
pub struct Batch {
    /// One shard for each job group, at the group's index.
    groups: Sharded<JobGroup>,
    /// Batch managers of the engines that this instance manages.
    managers: Managers,
    /// Batch items that the job groups of this instance have placed on each engine.
    engine_loads: EngineLoads,
    metrics: BatchMetrics,
}

impl Batch {
    pub(crate) fn new(groups: u16, meter: &Meter) -> Self {
        Self {
            groups: Sharded::new(usize::from(groups), |_| JobGroup::default()),
            managers: Managers::new(),
            engine_loads: EngineLoads::default(),
            metrics: BatchMetrics::new(meter),
        }
    }

    /// Returns the job groups, one shard for each.
    pub fn groups(&self) -> &Sharded<JobGroup> {
        &self.groups
    }
}

/// Returns the group whose owner manages the batch slots of `backend`.
fn engine_group(backend: &BackendId, groups: u16) -> GroupId {
    GroupId::of(GroupKind::Engine, backend.as_str().as_bytes(), groups)
}
