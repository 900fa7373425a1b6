//! Batch managers of the engines that this instance manages.

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

/// Number of manager shards; an instance manages only a few engines.
const MANAGER_SHARDS: usize = 16;

/// Interval between checks of the leases and of the online load.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of stopped attempts that are kept, to reject a `RunItem` that arrives after its
/// `CancelItem`.
const MAX_STOPPED_ATTEMPTS: usize = 4_096;

/// The batch managers of an instance.
#[derive(Debug)]
pub(super) struct Managers {
    shards: Sharded<HashMap<BackendId, Manager>>,
    /// Stopped attempts, oldest first; locked after a shard.
    stopped_attempts: Mutex<VecDeque<AttemptId>>,
}

/// The batch manager of one engine.
#[derive(Debug)]
struct Manager {
    slots: SlotManager,
    /// Contains exactly the attempts in `slots`.
    items: HashMap<AttemptId, ItemHandle>,
}

/// An item that is running or queued at its manager.
#[derive(Debug)]
struct ItemHandle {
    signals: Sender<Signal>,
    /// Closed when the item has ended.
    ended: Receiver<()>,
}

/// Signal of a manager to the [`run_item`] call of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Start,
    /// Cancels the running item.
    Cancel,
    /// Returns the queued item to its job group without running it.
    Return,
}

impl Managers {
    pub(super) fn new() -> Self {
        Self {
            shards: Sharded::new(MANAGER_SHARDS, |_| HashMap::new()),
            stopped_attempts: Mutex::default(),
        }
    }

    fn stopped_attempts(&self) -> MutexGuard<'_, VecDeque<AttemptId>> {
        self.stopped_attempts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Manager {
    fn new(backend: &Backend) -> Self {
        Self {
            slots: SlotManager::new(slots::limits(backend)),
            items: HashMap::new(),
        }
    }

    /// Sends the decisions of the slot manager to the items.
    fn send_signals(&mut self, actions: Vec<SlotAction>) {
        for action in actions {
            let (attempt, signal) = match action {
                SlotAction::Start(attempt) => (attempt, Signal::Start),
                SlotAction::Cancel(attempt) => (attempt, Signal::Cancel),
                SlotAction::Return(attempt) => (attempt, Signal::Return),
            };
            if let Some(item) = self.items.get(&attempt) {
                // The channel is unbounded, so this fails only if the call of the item has ended;
                // its guard then removes the item.
                let _ = item.signals.try_send(signal);
            }
        }
    }

    /// Returns the job groups of the items.
    fn groups(&self) -> Vec<GroupId> {
        let mut groups: Vec<GroupId> = self.items.keys().map(|attempt| attempt.group).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }
}

/// Removes an item from its manager when its call ends, including when the caller disconnects.
struct ItemGuard<'a> {
    node: &'a Node,
    backend: &'a BackendId,
    attempt: AttemptId,
    signals: Receiver<Signal>,
    /// Closes the receivers of [`ItemHandle::ended`].
    _ended: Sender<()>,
}

impl Drop for ItemGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut shard = self.node.batch.managers.shards.of_key(self.backend);
        if let Some(manager) = shard.get_mut(self.backend) {
            manager.items.remove(&self.attempt);
            let actions = manager.slots.on_end(now, self.attempt);
            manager.send_signals(actions);
        }
    }
}

/// Returns whether this instance may send batch items to `backend`.
fn may_manage(node: &Node, now: Timestamp, backend: &BackendId) -> bool {
    let group = engine_group(backend, node.settings.groups);
    matches!(node.control.may_act(now, group), MayAct::Yes(_))
}

/// Runs an item on an engine whose batch manager is this instance and replies when it has ended.
pub(crate) async fn run_item(node: &Arc<Node>, item: RunItem) -> ItemReply {
    let current = node.control.current();
    let backend = current
        .as_ref()
        .and_then(|current| current.configuration.backend(&item.backend));
    let (Ok(attempt), Some(backend)) = (item.attempt.parse::<AttemptId>(), backend) else {
        return busy_reply(item.attempt);
    };
    let Some(guard) = offer(node, backend, attempt) else {
        return busy_reply(item.attempt);
    };
    if guard.signals.recv().await != Ok(Signal::Start) {
        return busy_reply(item.attempt);
    }
    event!(
        BATCH_ITEM_STARTED,
        "attempt={attempt} backend={} resume_tokens={}",
        backend.id,
        item.resume_tokens
    );
    run(node, backend, item, &guard).await
}

fn offer<'a>(node: &'a Node, backend: &'a Backend, attempt: AttemptId) -> Option<ItemGuard<'a>> {
    let now = node.clock.now();
    if !may_manage(node, now, &backend.id) {
        return None;
    }
    let managers = &node.batch.managers;
    let mut shard = managers.shards.of_key(&backend.id);
    let manager = shard
        .entry(backend.id.clone())
        .or_insert_with(|| Manager::new(backend));
    // Checked under the shard lock under which `cancel_item` searches, so that no stop is missed.
    if manager.items.contains_key(&attempt) || managers.stopped_attempts().contains(&attempt) {
        return None;
    }
    refresh(node, now, backend, manager);
    let actions = manager.slots.offer(now, attempt).ok()?;
    let (signals_tx, signals) = async_channel::unbounded();
    let (ended_tx, ended) = async_channel::bounded(1);
    let item = ItemHandle {
        signals: signals_tx,
        ended,
    };
    manager.items.insert(attempt, item);
    manager.send_signals(actions);
    Some(ItemGuard {
        node,
        backend: &backend.id,
        attempt,
        signals,
        _ended: ended_tx,
    })
}

async fn run(node: &Node, backend: &Backend, item: RunItem, guard: &ItemGuard<'_>) -> ItemReply {
    let mut output = Output {
        text: item.resume_text.clone(),
        tokens: item.resume_tokens,
    };
    let streamed = async {
        let end = stream_item(&node.client, backend.address, &item, &mut output).await;
        Some(end)
    };
    let cancelled = async {
        // Any further signal to a started item is a cancel.
        let _ = guard.signals.recv().await;
        None
    };
    // A stream that has ended counts as ended even if a cancel arrived as well.
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
        Some(StreamEnd::NotAccepted) => ItemReply::Busy { attempt },
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
                // Each retry makes progress, so an item cannot break streams indefinitely.
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
        manager.send_signals(actions);
    }
}

fn busy_reply(attempt: String) -> ItemReply {
    ItemReply::Busy { attempt }
}

/// Stops an attempt and returns once it has ended; an attempt that arrives later does not start.
pub(crate) async fn cancel_item(node: &Arc<Node>, attempt: &str) {
    let Ok(attempt) = attempt.parse::<AttemptId>() else {
        return;
    };
    let managers = &node.batch.managers;
    {
        let mut stopped_attempts = managers.stopped_attempts();
        stopped_attempts.push_back(attempt);
        if stopped_attempts.len() > MAX_STOPPED_ATTEMPTS {
            stopped_attempts.pop_front();
        }
    }
    let now = node.clock.now();
    let mut ended = None;
    for mut shard in managers.shards.iter() {
        for manager in shard.values_mut() {
            if let Some(item) = manager.items.get(&attempt) {
                ended = Some(item.ended.clone());
                let actions = manager.slots.stop(now, attempt);
                manager.send_signals(actions);
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
        manager.send_signals(actions);
    }
}

/// Updates the manager of an engine immediately after this instance's online load changed.
pub(crate) fn on_online_change(node: &Node, backend: &Backend) {
    let now = node.clock.now();
    let count = slots::own_online(node, backend);
    let mut shard = node.batch.managers.shards.of_key(&backend.id);
    if let Some(manager) = shard.get_mut(&backend.id) {
        let actions = manager.slots.set_own_online(now, count);
        manager.send_signals(actions);
    }
}

/// Updates a manager with the current capacity, online load and owners of the job groups.
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
    manager.send_signals(actions);
}

/// Returns whether no manager of an engine group has batch items.
pub(super) fn is_idle(node: &Node, group: GroupId) -> bool {
    let groups = node.settings.groups;
    node.batch.managers.shards.iter().all(|shard| {
        let mut of_group = shard
            .iter()
            .filter(|(backend, _)| engine_group(backend, groups) == group);
        of_group.all(|(_, manager)| manager.items.is_empty())
    })
}

/// Refreshes the managers periodically and stops all items of engines that this instance no longer
/// manages.
pub(super) async fn maintain_managers(node: Arc<Node>) {
    loop {
        sleep(REFRESH_INTERVAL).await;
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
                        manager.send_signals(actions);
                    }
                }
            }
        }
    }
}
