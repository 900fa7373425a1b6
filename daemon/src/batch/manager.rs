//! Batch managers of the engines that this instance acts for.

use std::collections::{
    HashMap,
    VecDeque, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use futures_lite::FutureExt;
use limpetweir_coordination::{
    AttemptId,
    MayAct,
    SlotAction,
    SlotManager, //
};
use limpetweir_protocol::peer::{
    ItemReply,
    RunItem, //
};
use limpetweir_state::{
    Backend,
    BackendId,
    GroupId,
    Timestamp,
    Verdict, //
};
use limpetweir_transport::sleep;

use super::engine::{
    Output,
    StreamEnd,
    stream_item, //
};
use super::{
    engine_group,
    slots, //
};
use crate::event;
use crate::events::{
    BATCH_BACKEND_FAILED,
    BATCH_ITEM_CANCELLED,
    BATCH_ITEM_STARTED, //
};
use crate::node::Node;
use crate::sharded::Sharded;

/// Shards of the managers; an instance acts for a few engines.
const MANAGER_SHARDS: usize = 16;

/// Pause between two checks of the leases and of the online load.
const TICK: Duration = Duration::from_millis(50);

/// Stops that are kept for an item whose `RunItem` arrives after its `CancelItem`.
const KEPT_STOPS: usize = 4_096;

/// The batch managers of an instance.
#[derive(Debug)]
pub(super) struct Managers {
    shards: Sharded<HashMap<BackendId, Manager>>,
    /// Stopped attempts, oldest first; locked after a shard.
    stops: Mutex<VecDeque<AttemptId>>,
}

/// The batch manager of one engine.
#[derive(Debug)]
struct Manager {
    slots: SlotManager,
    /// Contains exactly the attempts that `slots` holds.
    items: HashMap<AttemptId, Held>,
}

/// An item at its manager.
#[derive(Debug)]
struct Held {
    signals: Sender<Signal>,
    /// Closed when the item has ended.
    ended: Receiver<()>,
}

/// What the manager tells an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Start,
    Cancel,
    Return,
}

impl Managers {
    pub(super) fn new() -> Self {
        Self {
            shards: Sharded::new(MANAGER_SHARDS, |_| HashMap::new()),
            stops: Mutex::default(),
        }
    }

    fn stops(&self) -> MutexGuard<'_, VecDeque<AttemptId>> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Manager {
    fn new(backend: &Backend) -> Self {
        Self {
            slots: SlotManager::new(slots::limits(backend)),
            items: HashMap::new(),
        }
    }

    /// Passes the decisions of the slot manager on to the items.
    fn deliver(&mut self, actions: Vec<SlotAction>) {
        for action in actions {
            let (attempt, signal) = match action {
                SlotAction::Start(attempt) => (attempt, Signal::Start),
                SlotAction::Cancel(attempt) => (attempt, Signal::Cancel),
                SlotAction::Return(attempt) => (attempt, Signal::Return),
            };
            if let Some(held) = self.items.get(&attempt) {
                // The channel is unbounded, and an item that is gone reports its end itself.
                let _ = held.signals.try_send(signal);
            }
        }
    }

    /// Job groups of the held items.
    fn groups(&self) -> Vec<GroupId> {
        let mut groups: Vec<GroupId> = self.items.keys().map(|attempt| attempt.group).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }
}

/// Removes an item from its manager when its call ends, also when the caller is gone.
struct Ticket<'a> {
    node: &'a Node,
    backend: &'a BackendId,
    attempt: AttemptId,
    signals: Receiver<Signal>,
    /// Closes the receivers of [`Held::ended`].
    _ended: Sender<()>,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut shard = self.node.batch.managers.shards.of_key(self.backend);
        if let Some(manager) = shard.get_mut(self.backend) {
            manager.items.remove(&self.attempt);
            let actions = manager.slots.on_end(now, self.attempt);
            manager.deliver(actions);
        }
    }
}

/// Returns whether this instance may send batch items to `backend`.
fn may_manage(node: &Node, now: Timestamp, backend: &BackendId) -> bool {
    let group = engine_group(backend, node.settings.groups);
    matches!(node.control.may_act(now, group), MayAct::Yes(_))
}

/// Runs an item on an engine whose batch manager is this instance; answers when it has ended.
pub(crate) async fn run_item(node: &Arc<Node>, item: RunItem) -> ItemReply {
    let current = node.control.current();
    let backend = current
        .as_ref()
        .and_then(|current| current.configuration.backend(&item.backend));
    let (Ok(attempt), Some(backend)) = (item.attempt.parse::<AttemptId>(), backend) else {
        return busy(item.attempt);
    };
    let Some(ticket) = offer(node, backend, attempt) else {
        return busy(item.attempt);
    };
    if ticket.signals.recv().await != Ok(Signal::Start) {
        return busy(item.attempt);
    }
    event!(
        BATCH_ITEM_STARTED,
        "attempt={attempt} backend={} resume_tokens={}",
        backend.id,
        item.resume_tokens
    );
    run(node, backend, item, &ticket).await
}

fn offer<'a>(node: &'a Node, backend: &'a Backend, attempt: AttemptId) -> Option<Ticket<'a>> {
    let now = node.clock.now();
    if !may_manage(node, now, &backend.id) {
        return None;
    }
    let managers = &node.batch.managers;
    let mut shard = managers.shards.of_key(&backend.id);
    let manager = shard
        .entry(backend.id.clone())
        .or_insert_with(|| Manager::new(backend));
    // Checked under the lock under which a stop looks for the item.
    if manager.items.contains_key(&attempt) || managers.stops().contains(&attempt) {
        return None;
    }
    refresh(node, now, backend, manager);
    let actions = manager.slots.offer(now, attempt).ok()?;
    let (signals_tx, signals) = async_channel::unbounded();
    let (ended_tx, ended) = async_channel::bounded(1);
    let held = Held {
        signals: signals_tx,
        ended,
    };
    manager.items.insert(attempt, held);
    manager.deliver(actions);
    Some(Ticket {
        node,
        backend: &backend.id,
        attempt,
        signals,
        _ended: ended_tx,
    })
}

async fn run(node: &Node, backend: &Backend, item: RunItem, ticket: &Ticket<'_>) -> ItemReply {
    let mut output = Output {
        text: item.resume_text.clone(),
        tokens: item.resume_tokens,
    };
    let streamed = async {
        let end = stream_item(&node.client, backend.address, &item, &mut output).await;
        Some(end)
    };
    let cancelled = async {
        // Every further signal to a started item is a cancel.
        let _ = ticket.signals.recv().await;
        None
    };
    // A stream that has ended counts as such, also if a cancel arrived.
    let end = streamed.or(cancelled).await;
    let attempt = item.attempt;
    let (text, tokens) = (output.text, output.tokens);
    match end {
        None => {
            node.batch.metrics.cancelled();
            event!(BATCH_ITEM_CANCELLED, "attempt={attempt} tokens={tokens}");
            ItemReply::Yielded {
                attempt,
                text,
                tokens,
            }
        }
        Some(StreamEnd::Finished { prompt_tokens }) => ItemReply::Finished {
            attempt,
            text,
            prompt_tokens,
            completion_tokens: tokens,
        },
        Some(StreamEnd::NotTaken) => ItemReply::Busy { attempt },
        Some(StreamEnd::Failed {
            message,
            item_fault,
        }) => ItemReply::Failed {
            attempt,
            message,
            item_fault,
        },
        Some(StreamEnd::Broken { message, verdict }) => {
            on_backend_failure(node, &backend.id, &message);
            if verdict == Verdict::NotRun || tokens > item.resume_tokens {
                // Each further try makes progress, so an item cannot break streams for ever.
                return ItemReply::Yielded {
                    attempt,
                    text,
                    tokens,
                };
            }
            ItemReply::Failed {
                attempt,
                message,
                item_fault: false,
            }
        }
    }
}

fn on_backend_failure(node: &Node, backend: &BackendId, message: &str) {
    event!(BATCH_BACKEND_FAILED, "backend={backend} cause={message:?}");
    let now = node.clock.now();
    let mut shard = node.batch.managers.shards.of_key(backend);
    if let Some(manager) = shard.get_mut(backend) {
        let actions = manager.slots.on_backend_failure(now);
        manager.deliver(actions);
    }
}

fn busy(attempt: String) -> ItemReply {
    ItemReply::Busy { attempt }
}

/// Stops an attempt and returns once it has ended; one that arrives later does not start.
pub(crate) async fn cancel_item(node: &Arc<Node>, attempt: &str) {
    let Ok(attempt) = attempt.parse::<AttemptId>() else {
        return;
    };
    let managers = &node.batch.managers;
    {
        let mut stops = managers.stops();
        stops.push_back(attempt);
        if stops.len() > KEPT_STOPS {
            stops.pop_front();
        }
    }
    let now = node.clock.now();
    let mut ended = None;
    for mut shard in managers.shards.iter() {
        for manager in shard.values_mut() {
            if let Some(held) = manager.items.get(&attempt) {
                ended = Some(held.ended.clone());
                let actions = manager.slots.stop(now, attempt);
                manager.deliver(actions);
            }
        }
    }
    if let Some(ended) = ended {
        let _ = ended.recv().await;
    }
}

/// Frees a slot of an engine for an online request of another instance.
pub(crate) fn on_preempt(node: &Node, backend: &BackendId) {
    let now = node.clock.now();
    let mut shard = node.batch.managers.shards.of_key(backend);
    if let Some(manager) = shard.get_mut(backend) {
        let actions = manager.slots.on_preempt(now);
        manager.deliver(actions);
    }
}

/// Brings the manager of an engine up to date at once after this instance's online load changed.
pub(crate) fn on_online_change(node: &Node, backend: &Backend) {
    let now = node.clock.now();
    let count = slots::own_online(node, backend);
    let mut shard = node.batch.managers.shards.of_key(&backend.id);
    if let Some(manager) = shard.get_mut(&backend.id) {
        let actions = manager.slots.set_own_online(now, count);
        manager.deliver(actions);
    }
}

/// Takes over capacity, online load and the owners of the job groups.
fn refresh(node: &Node, now: Timestamp, backend: &Backend, manager: &mut Manager) {
    let id = &backend.id;
    let mut actions = manager.slots.set_limits(now, slots::limits(backend));
    let own = slots::own_online(node, backend);
    actions.extend(manager.slots.set_own_online(now, own));
    let peers = node.control.online_at_peers(now, id);
    actions.extend(manager.slots.set_peers_online(now, peers));
    for group in manager.groups() {
        if let Some(owner) = node.control.owner(now, group) {
            actions.extend(manager.slots.on_epoch(now, group, owner.epoch));
        }
    }
    manager.deliver(actions);
}

/// Returns whether no engine of an engine group holds batch items.
pub(super) fn is_idle(node: &Node, group: GroupId) -> bool {
    let groups = node.settings.groups;
    node.batch.managers.shards.iter().all(|shard| {
        let mut of_group = shard
            .iter()
            .filter(|(backend, _)| engine_group(backend, groups) == group);
        of_group.all(|(_, manager)| manager.items.is_empty())
    })
}

/// Keeps the managers up to date, and stops all items of an engine that this instance lost.
pub(super) async fn keep_managers(node: Arc<Node>) {
    loop {
        sleep(TICK).await;
        let Some(current) = node.control.current() else {
            continue;
        };
        let now = node.clock.now();
        for mut shard in node.batch.managers.shards.iter() {
            for (id, manager) in shard.iter_mut() {
                let backend = current.configuration.backend(id);
                match backend.filter(|_| may_manage(&node, now, id)) {
                    Some(backend) => refresh(&node, now, backend, manager),
                    None => {
                        let actions = manager.slots.close(now);
                        manager.deliver(actions);
                    }
                }
            }
        }
    }
}
