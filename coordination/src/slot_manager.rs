//! Batch slots of one backend server, managed by the owner of its engine group.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use limpetweir_state::{
    Epoch,
    GroupId,
    Timestamp, //
};
use strum::Display;

use crate::attempt::AttemptId;
use crate::timing::{
    BACKEND_COOLDOWN,
    HEARTBEAT_INTERVAL, //
};

/// Number of heartbeat intervals after which the reported online load includes the request that
/// caused a preemption.
const PREEMPT_HEARTBEATS: u32 = 2;

/// Capacity of a backend server for batch work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Number of slots that batch work leaves free for new online requests.
    pub reserve: u32,
    /// Number of items that may be queued in addition to the running ones.
    pub queue: u32,
}

/// Action that the caller must take for an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Send the item to the backend server.
    Start(AttemptId),
    /// Cancel the item's stream; its end must be reported with [`SlotManager::on_end`].
    Cancel(AttemptId),
    /// Return the item to its owner; it did not run.
    Return(AttemptId),
}

/// Reason for which an item was rejected; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotRefusal {
    /// The manager is full, or the backend server is in the cooldown after a failure.
    Busy,
    /// The job group has an owner with a later epoch.
    OldEpoch,
}

/// Manages the batch items on one backend server.
///
/// After each call, at most `slots - reserve - online` items run, not counting those being
/// cancelled.
#[derive(Clone, Debug)]
pub struct SlotManager {
    limits: SlotLimits,
    own_online: u32,
    peers_online: u32,
    /// Time until which each preemption counts as an online request.
    preemptions: VecDeque<Timestamp>,
    /// Running items, oldest first.
    running: Vec<AttemptId>,
    /// Cancelled items that still occupy a slot.
    stopping: BTreeSet<AttemptId>,
    queue: VecDeque<AttemptId>,
    /// Highest known epoch of each job group.
    epochs: BTreeMap<GroupId, Epoch>,
    cooldown_until: Timestamp,
}

impl SlotManager {
    /// Creates the manager of a backend server without batch items.
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            own_online: 0,
            peers_online: 0,
            preemptions: VecDeque::new(),
            running: Vec::new(),
            stopping: BTreeSet::new(),
            queue: VecDeque::new(),
            epochs: BTreeMap::new(),
            cooldown_until: Timestamp::default(),
        }
    }

    /// Returns the number of items that occupy a slot.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.stopping.len()
    }

    /// Returns the number of queued items.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Changes the capacity.
    pub fn set_limits(&mut self, now: Timestamp, limits: SlotLimits) -> Vec<SlotAction> {
        self.limits = limits;
        self.rebalance(now)
    }

    /// Accepts an item from the owner of its job group; a repeated offer has no effect.
    pub fn offer(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
    ) -> Result<Vec<SlotAction>, SlotRefusal> {
        let known = self.epochs.get(&attempt.group);
        if known.is_some_and(|&known| attempt.epoch < known) {
            return Err(SlotRefusal::OldEpoch);
        }
        if self.holds(attempt) {
            return Ok(Vec::new());
        }
        let mut actions = self.on_epoch(now, attempt.group, attempt.epoch);
        let limit = self.batch_limit(now);
        let bound = limit + self.limits.queue as usize;
        let accepted = self.running.len() + self.queue.len();
        let full = limit == 0 || accepted >= bound || now < self.cooldown_until;
        if full && actions.is_empty() {
            return Err(SlotRefusal::Busy);
        }
        if full {
            // A rejection would lose the actions for items of the old epoch.
            actions.push(SlotAction::Return(attempt));
            return Ok(actions);
        }
        self.queue.push_back(attempt);
        actions.extend(self.rebalance(now));
        Ok(actions)
    }

    fn holds(&self, attempt: AttemptId) -> bool {
        self.running.contains(&attempt)
            || self.stopping.contains(&attempt)
            || self.queue.contains(&attempt)
    }

    /// Records that `group` is owned under `epoch`, and stops items of older epochs.
    pub fn on_epoch(&mut self, now: Timestamp, group: GroupId, epoch: Epoch) -> Vec<SlotAction> {
        let known = self.epochs.entry(group).or_insert(epoch);
        if *known >= epoch {
            return Vec::new();
        }
        *known = epoch;
        self.remove_where(now, |attempt| {
            attempt.group == group && attempt.epoch < epoch
        })
    }

    /// Stops one item at the request of its owner.
    pub fn stop(&mut self, now: Timestamp, attempt: AttemptId) -> Vec<SlotAction> {
        self.remove_where(now, |other| *other == attempt)
    }

    /// Stops all items, because this instance no longer manages the backend server.
    pub fn close(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.remove_where(now, |_| true)
    }

    fn remove_where(
        &mut self,
        now: Timestamp,
        selected: impl Fn(&AttemptId) -> bool,
    ) -> Vec<SlotAction> {
        let queued = self.queue.iter().copied().filter(&selected);
        let running = self.running.iter().copied().filter(&selected);
        let mut actions: Vec<SlotAction> = queued.map(SlotAction::Return).collect();
        actions.extend(running.map(SlotAction::Cancel));
        self.queue.retain(|attempt| !selected(attempt));
        let stopped = self.running.extract_if(.., |attempt| selected(attempt));
        self.stopping.extend(stopped);
        actions.extend(self.rebalance(now));
        actions
    }

    /// Sets the number of online requests that this instance has in flight for the backend server.
    pub fn set_own_online(&mut self, now: Timestamp, count: u32) -> Vec<SlotAction> {
        self.own_online = count;
        self.rebalance(now)
    }

    /// Sets the number of online requests that peers report in flight for the backend server.
    pub fn set_peers_online(&mut self, now: Timestamp, count: u32) -> Vec<SlotAction> {
        self.peers_online = count;
        self.rebalance(now)
    }

    /// Preempts batch work for an online request of a peer that its heartbeats do not report yet.
    pub fn on_preempt(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.preemptions
            .push_back(now + HEARTBEAT_INTERVAL * PREEMPT_HEARTBEATS);
        self.rebalance(now)
    }

    /// Records that the stream of an item ended, for any reason.
    pub fn on_end(&mut self, now: Timestamp, attempt: AttemptId) -> Vec<SlotAction> {
        self.running.retain(|other| *other != attempt);
        self.stopping.remove(&attempt);
        self.rebalance(now)
    }

    /// Records a failure of the backend server; the ends of its streams are reported individually.
    pub fn on_backend_failure(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.cooldown_until = now + BACKEND_COOLDOWN;
        self.queue.drain(..).map(SlotAction::Return).collect()
    }

    /// Starts and stops items according to the time `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.rebalance(now)
    }

    /// Returns the number of batch items that may run in addition to the online requests.
    fn batch_limit(&self, now: Timestamp) -> usize {
        let preemptions = self
            .preemptions
            .iter()
            .filter(|&&until| now < until)
            .count();
        let online = self.own_online.saturating_add(self.peers_online) as usize + preemptions;
        let usable = self.limits.slots.saturating_sub(self.limits.reserve) as usize;
        usable.saturating_sub(online)
    }

    /// Cancels the youngest items above the limit and starts queued items below it.
    ///
    /// If the limit is 0, the queued items are returned, so that another backend server can run
    /// them.
    fn rebalance(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.preemptions.retain(|&until| now < until);
        let limit = self.batch_limit(now);
        let mut actions = Vec::new();
        while self.running.len() > limit
            && let Some(youngest) = self.running.pop()
        {
            self.stopping.insert(youngest);
            actions.push(SlotAction::Cancel(youngest));
        }
        if limit == 0 {
            actions.extend(self.queue.drain(..).map(SlotAction::Return));
        }
        while self.in_flight() < limit
            && now >= self.cooldown_until
            && let Some(next) = self.queue.pop_front()
        {
            self.running.push(next);
            actions.push(SlotAction::Start(next));
        }
        actions
    }
}
