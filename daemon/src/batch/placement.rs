//! Choice of the engine for a batch item by its free slots.

use std::collections::HashMap;
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
    Timestamp, //
};

use super::{
    engine_group,
    slots, //
};
use crate::control::Current;
use crate::node::Node;

/// Time for which an engine whose manager took no item is not offered another one.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Batch items of this instance's job groups at the engines.
#[derive(Debug, Default)]
pub(super) struct Uses {
    backends: Mutex<HashMap<BackendId, Use>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    items: u32,
    busy_until: Timestamp,
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
    /// Estimated free slots before the item.
    pub(super) free: u32,
}

impl Place {
    /// Keeps further items away from the engine for a moment.
    pub(super) fn mark_busy(&self) {
        let until = self.node.clock.now() + BUSY_PAUSE;
        let mut uses = self.node.batch.uses.lock();
        let entry = uses.entry(self.manager.backend.clone()).or_default();
        entry.busy_until = until;
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
    current: Current,
    /// Only engines with at least one free place.
    free: Vec<(Manager, u32)>,
}

impl Engines {
    /// Looks at all engines; `None` without a configuration.
    pub(super) fn look(node: &Node) -> Option<Self> {
        let now = node.clock.now();
        let current = node.control.current()?;
        let engines = current.configuration.backends();
        let free = engines.filter_map(|backend| room(node, now, backend));
        let free = free.collect();
        Some(Self { current, free })
    }

    fn candidates(&self, spec: &JobSpec) -> impl Iterator<Item = (usize, &(Manager, u32))> {
        let service = self.current.configuration.service(&spec.service);
        let service = service.filter(|service| service.runs_model(spec.model.as_str()));
        self.free.iter().enumerate().filter(move |(_, engine)| {
            service.is_some_and(|service| service.backends.contains(&engine.0.backend))
        })
    }

    /// Returns whether an item of a job could be placed.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        self.candidates(spec).next().is_some()
    }

    /// Takes a place on the engine with the most free slots.
    pub(super) fn take(&mut self, node: &Arc<Node>, spec: &JobSpec) -> Option<Place> {
        let (index, _) = self.candidates(spec).max_by_key(|(_, (_, free))| *free)?;
        let (manager, free) = &mut self.free[index];
        let place = Place {
            node: node.clone(),
            manager: manager.clone(),
            free: *free,
        };
        let mut uses = node.batch.uses.lock();
        uses.entry(manager.backend.clone()).or_default().items += 1;
        drop(uses);
        *free -= 1;
        if *free == 0 {
            self.free.swap_remove(index);
        }
        Some(place)
    }
}

/// Returns the manager of an engine and the places that batch items may still take there.
fn room(node: &Node, now: Timestamp, backend: &Backend) -> Option<(Manager, u32)> {
    if node.control.backend_state(&backend.id) != Some(ListState::Live) {
        return None;
    }
    let group = engine_group(&backend.id, node.settings.groups);
    let owner = node.control.owner(now, group)?;
    let limits = slots::limits(backend);
    let online = slots::all_online(node, now, backend);
    let usable = limits.slots.saturating_sub(limits.reserve);
    let usable = usable.saturating_sub(online);
    let used = node.batch.uses.lock().get(&backend.id).copied();
    let used = used.unwrap_or_default();
    if usable == 0 || now < used.busy_until {
        return None;
    }
    let free = (usable + limits.queue).saturating_sub(used.items);
    let manager = Manager {
        backend: backend.id.clone(),
        instance: owner.instance,
        epoch: owner.epoch,
    };
    (free > 0).then_some((manager, free))
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
