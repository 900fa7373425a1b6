//! Choice of the engine for a batch item by its free slots.

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

/// Time for which an engine is not offered another item of a model of which it took none.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Batch items of this instance's job groups at the engines.
#[derive(Debug, Default)]
pub(super) struct Uses {
    backends: Mutex<HashMap<BackendId, Use>>,
}

#[derive(Clone, Debug, Default)]
struct Use {
    items: u32,
    /// End of the pause of each model of which an item was not taken.
    ///
    /// By model, so that items of a model that is still being loaded do not hold back others.
    busy_until: BTreeMap<ModelId, Timestamp>,
}

impl Uses {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Use>> {
        let backends = self.backends.lock();
        backends.unwrap_or_else(PoisonError::into_inner)
    }
}

/// An engine with its batch manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Manager {
    /// The engine.
    pub(super) backend: BackendId,
    /// Instance that manages its batch slots.
    pub(super) instance: InstanceId,
    /// Epoch under which it does.
    pub(super) epoch: Epoch,
}

/// An item that counts as running on an engine until this is dropped.
#[derive(Debug)]
pub(super) struct Place {
    node: Arc<Node>,
    /// Engine and manager.
    pub(super) manager: Manager,
    model: ModelId,
    /// Estimated free slots before the item.
    pub(super) free: u32,
}

impl Place {
    /// Keeps further items of the model away from the engine for a moment.
    pub(super) fn mark_busy(&self) {
        let until = self.node.clock.now() + BUSY_PAUSE;
        let mut uses = self.node.batch.uses.lock();
        let entry = uses.entry(self.manager.backend.clone()).or_default();
        entry.busy_until.insert(self.model.clone(), until);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut uses = self.node.batch.uses.lock();
        if let Some(entry) = uses.get_mut(&self.manager.backend) {
            entry.items = entry.items.saturating_sub(1);
        }
    }
}

/// Engines with room for batch items at one moment.
pub(super) struct Engines {
    current: CurrentConfig,
    engines: Vec<Room>,
}

/// Room on one engine.
struct Room {
    manager: Manager,
    /// Places that batch items may still take, at least one.
    free: u32,
    /// Models of which the engine is offered no item at the moment.
    busy: Vec<ModelId>,
}

impl Engines {
    /// Looks at all engines; `None` without a configuration.
    pub(super) fn look(node: &Node) -> Option<Self> {
        let now = node.clock.now();
        let current = node.control.current()?;
        let engines = current.configuration.backends();
        let engines = engines.filter_map(|backend| room(node, now, backend));
        let engines = engines.collect();
        Some(Self { current, engines })
    }

    fn candidates(&self, spec: &JobSpec) -> impl Iterator<Item = (usize, &Room)> {
        let service = self.current.configuration.service(&spec.service);
        let service = service.filter(|service| service.runs_model(spec.model.as_str()));
        self.engines.iter().enumerate().filter(move |(_, engine)| {
            let id = &engine.manager.backend;
            let runs = service.is_some_and(|service| service.backends.contains(id));
            runs && !engine.busy.contains(&spec.model)
        })
    }

    /// Returns whether an item of a job could be placed.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        self.candidates(spec).next().is_some()
    }

    /// Takes a place on the engine with the most free slots.
    pub(super) fn take(&mut self, node: &Arc<Node>, spec: &JobSpec) -> Option<Place> {
        let best = self.candidates(spec).max_by_key(|(_, room)| room.free);
        let (index, _) = best?;
        let room = &mut self.engines[index];
        let place = Place {
            node: node.clone(),
            manager: room.manager.clone(),
            model: spec.model.clone(),
            free: room.free,
        };
        let mut uses = node.batch.uses.lock();
        uses.entry(room.manager.backend.clone()).or_default().items += 1;
        drop(uses);
        room.free -= 1;
        if room.free == 0 {
            self.engines.swap_remove(index);
        }
        Some(place)
    }
}

/// Returns the room for batch items on an engine, if there is any.
fn room(node: &Node, now: Timestamp, backend: &Backend) -> Option<Room> {
    if node.control.backend_state(&backend.id) != Some(ListState::Live) {
        return None;
    }
    let group = engine_group(&backend.id, node.settings.groups);
    let owner = node.control.owner(now, group)?;
    let limits = slots::limits(backend);
    let online = slots::all_online(node, now, backend);
    let usable = limits.slots.saturating_sub(limits.reserve);
    let usable = usable.saturating_sub(online);
    let used = node.batch.uses.lock().get(&backend.id).cloned();
    let used = used.unwrap_or_default();
    let free = (usable + limits.queue).saturating_sub(used.items);
    if usable == 0 || free == 0 {
        return None;
    }
    let paused = used
        .busy_until
        .into_iter()
        .filter(|(_, until)| now < *until);
    Some(Room {
        manager: Manager {
            backend: backend.id.clone(),
            instance: owner.instance,
            epoch: owner.epoch,
        },
        free,
        busy: paused.map(|(model, _)| model).collect(),
    })
}

/// Returns once another instance, or the same under another epoch, manages the engine.
pub(super) async fn manager_lost(node: &Node, manager: &Manager) {
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
