//! Selection of the engine for a batch item by free slots.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use limpetweir_coordination::{
    JobSpec,
    ListState, //
};
use limpetweir_state::{
    Backend,
    BackendId,
    Epoch,
    InstanceId,
    ModelId,
    Timestamp, //
};

use super::{
    engine_group,
    slots, //
};
use crate::control::CurrentConfig;
use crate::node::Node;

/// Time during which an engine is offered no item of a model after it did not accept one.
const BUSY_BACKOFF: Duration = Duration::from_millis(100);

/// Batch items that the job groups of this instance have placed on each engine.
#[derive(Debug, Default)]
pub(super) struct EngineLoads {
    backends: Mutex<HashMap<BackendId, EngineLoad>>,
}

#[derive(Clone, Debug, Default)]
struct EngineLoad {
    items: u32,
    /// End of the backoff of each model of which an item was not accepted.
    ///
    /// Tracked by model, so that a model that is still being loaded does not block other models.
    busy_until: BTreeMap<ModelId, Timestamp>,
}

impl EngineLoads {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, EngineLoad>> {
        let backends = self.backends.lock();
        backends.unwrap_or_else(PoisonError::into_inner)
    }
}

/// An engine and its batch manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ManagerRef {
    /// The engine.
    pub(super) backend: BackendId,
    /// Instance that manages its batch slots.
    pub(super) instance: InstanceId,
    /// Epoch under which the instance manages the engine.
    pub(super) epoch: Epoch,
}

/// Counts an item as running on an engine until it is dropped.
#[derive(Debug)]
pub(super) struct Placement {
    node: Arc<Node>,
    /// Engine and its batch manager.
    pub(super) manager: ManagerRef,
    model: ModelId,
    /// Estimated free slots before this item was placed.
    pub(super) free: u32,
}

impl Placement {
    /// Offers the engine no further items of the model for [`BUSY_BACKOFF`].
    pub(super) fn mark_busy(&self) {
        let until = self.node.clock.now() + BUSY_BACKOFF;
        let mut engine_loads = self.node.batch.engine_loads.lock();
        let entry = engine_loads
            .entry(self.manager.backend.clone())
            .or_default();
        entry.busy_until.insert(self.model.clone(), until);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let mut engine_loads = self.node.batch.engine_loads.lock();
        if let Some(entry) = engine_loads.get_mut(&self.manager.backend) {
            entry.items = entry.items.saturating_sub(1);
        }
    }
}

/// Engines with free capacity for batch items at one point in time.
pub(super) struct AvailableEngines {
    current: CurrentConfig,
    engines: Vec<Candidate>,
}

/// Free capacity of one engine.
struct Candidate {
    manager: ManagerRef,
    /// Further batch items that the engine may be sent; at least one.
    free: u32,
    /// Models in backoff, of which the engine is offered no items.
    busy: Vec<ModelId>,
}

impl AvailableEngines {
    /// Determines the free capacity of all engines; `None` without a configuration.
    pub(super) fn find(node: &Node) -> Option<Self> {
        let now = node.clock.now();
        let current = node.control.current()?;
        let engines = current.configuration.backends();
        let engines = engines.filter_map(|backend| candidate(node, now, backend));
        let engines = engines.collect();
        Some(Self { current, engines })
    }

    fn candidates(&self, spec: &JobSpec) -> impl Iterator<Item = (usize, &Candidate)> {
        let service = self.current.configuration.service(&spec.service);
        let service = service.filter(|service| service.runs_model(spec.model.as_str()));
        self.engines.iter().enumerate().filter(move |(_, engine)| {
            let id = &engine.manager.backend;
            let runs = service.is_some_and(|service| service.backends.contains(id));
            runs && !engine.busy.contains(&spec.model)
        })
    }

    /// Returns whether an item of a job could be placed.
    pub(super) fn can_place(&self, spec: &JobSpec) -> bool {
        self.candidates(spec).next().is_some()
    }

    /// Places an item on the engine with the most free slots.
    pub(super) fn place_on_best(&mut self, node: &Arc<Node>, spec: &JobSpec) -> Option<Placement> {
        let best = self
            .candidates(spec)
            .max_by_key(|(_, candidate)| candidate.free);
        let (index, _) = best?;
        let candidate = &mut self.engines[index];
        let placement = Placement {
            node: node.clone(),
            manager: candidate.manager.clone(),
            model: spec.model.clone(),
            free: candidate.free,
        };
        let mut engine_loads = node.batch.engine_loads.lock();
        engine_loads
            .entry(candidate.manager.backend.clone())
            .or_default()
            .items += 1;
        drop(engine_loads);
        candidate.free -= 1;
        if candidate.free == 0 {
            self.engines.swap_remove(index);
        }
        Some(placement)
    }
}

/// Returns the free capacity for batch items on an engine, if there is any.
fn candidate(node: &Node, now: Timestamp, backend: &Backend) -> Option<Candidate> {
    if node.control.backend_state(&backend.id) != Some(ListState::Live) {
        return None;
    }
    let group = engine_group(&backend.id, node.settings.groups);
    let owner = node.control.owner(now, group)?;
    let limits = slots::limits(backend);
    let online = slots::all_online(node, now, backend);
    let usable = limits.slots.saturating_sub(limits.reserve);
    let usable = usable.saturating_sub(online);
    let used = node.batch.engine_loads.lock().get(&backend.id).cloned();
    let used = used.unwrap_or_default();
    let free = (usable + limits.queue).saturating_sub(used.items);
    if usable == 0 || free == 0 {
        return None;
    }
    let paused = used
        .busy_until
        .into_iter()
        .filter(|(_, until)| now < *until);
    Some(Candidate {
        manager: ManagerRef {
            backend: backend.id.clone(),
            instance: owner.instance,
            epoch: owner.epoch,
        },
        free,
        busy: paused.map(|(model, _)| model).collect(),
    })
}

/// Waits until the engine is managed by another instance, or by the same one under another epoch.
pub(super) async fn wait_until_manager_lost(node: &Node, manager: &ManagerRef) {
    let group = engine_group(&manager.backend, node.settings.groups);
    loop {
        let changes = node.control.changes();
        let owner = node.control.owner(node.clock.now(), group);
        let same = owner.is_some_and(|owner| {
            owner.instance == manager.instance && owner.epoch == manager.epoch
        });
        if !same {
            return;
        }
        changes.await;
    }
}
