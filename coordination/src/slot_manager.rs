//! Batch slots of one backend server, as managed by the owner of its engine group.

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

/// Heartbeats after which a request to yield is contained in the reported online load.
const YIELD_HEARTBEATS: u32 = 2;

/// Capacity of a backend server for batch work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Slots that batch work leaves free for online requests to come.
    pub reserve: u32,
    /// Items that may wait beyond those that run.
    pub queue: u32,
}

/// What the caller must do with an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Send the item to the backend server.
    Start(AttemptId),
    /// Cancel the item's stream; its end must be reported.
    Cancel(AttemptId),
    /// Give the item back to its owner; it did not run.
    Return(AttemptId),
}

/// Why an item was not taken; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotRefusal {
    /// The manager holds enough items, or the backend server is silent.
    Busy,
    /// A later owner of the job group is known.
    OldEpoch,
}

/// Batch items on one backend server.
///
/// After each call, the running items that are not being cancelled fit into
/// `slots - reserve - online`.
#[derive(Clone, Debug)]
pub struct SlotManager {
    limits: SlotLimits,
    own_online: u32,
    peers_online: u32,
    /// When each request to yield stops to count as an online request.
    yields: VecDeque<Timestamp>,
    /// Oldest first.
    running: Vec<AttemptId>,
    /// Cancelled items that still occupy a slot.
    stopping: BTreeSet<AttemptId>,
    queue: VecDeque<AttemptId>,
    /// Highest known epoch of each job group.
    epochs: BTreeMap<GroupId, Epoch>,
    silent_until: Timestamp,
}

impl SlotManager {
    /// Creates the manager of a backend server without batch items.
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            own_online: 0,
            peers_online: 0,
            yields: VecDeque::new(),
            running: Vec::new(),
            stopping: BTreeSet::new(),
            queue: VecDeque::new(),
            epochs: BTreeMap::new(),
            silent_until: Timestamp::default(),
        }
    }

    /// Returns the number of items that occupy a slot.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.stopping.len()
    }

    /// Returns the number of items that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Changes the capacity.
    pub fn set_limits(&mut self, now: Timestamp, limits: SlotLimits) -> Vec<SlotAction> {
        self.limits = limits;
        self.rebalance(now)
    }

    /// Takes an item from the owner of its job group; a repeated offer has no effect.
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
        let held = self.running.len() + self.queue.len();
        let full = limit == 0 || held >= bound || now < self.silent_until;
        if full && actions.is_empty() {
            return Err(SlotRefusal::Busy);
        }
        if full {
            // The actions for items of the old epoch must not be lost with a refusal.
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

    /// Records that `group` is owned under `epoch`; items of older epochs are stopped.
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

    /// Stops one item on behalf of its owner.
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
        unwanted: impl Fn(&AttemptId) -> bool,
    ) -> Vec<SlotAction> {
        let queued = self.queue.iter().copied().filter(&unwanted);
        let running = self.running.iter().copied().filter(&unwanted);
        let mut actions: Vec<SlotAction> = queued.map(SlotAction::Return).collect();
        actions.extend(running.map(SlotAction::Cancel));
        self.queue.retain(|attempt| !unwanted(attempt));
        let stopped = self.running.extract_if(.., |attempt| unwanted(attempt));
        self.stopping.extend(stopped);
        actions.extend(self.rebalance(now));
        actions
    }

    /// Records the online requests that this instance has in flight for the backend server.
    pub fn set_own_online(&mut self, now: Timestamp, count: u32) -> Vec<SlotAction> {
        self.own_online = count;
        self.rebalance(now)
    }

    /// Records the online requests that peers report in flight for the backend server.
    pub fn set_peers_online(&mut self, now: Timestamp, count: u32) -> Vec<SlotAction> {
        self.peers_online = count;
        self.rebalance(now)
    }

    /// Frees a slot for an online request of a peer that its heartbeats do not report yet.
    pub fn on_preempt(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.yields
            .push_back(now + HEARTBEAT_INTERVAL * YIELD_HEARTBEATS);
        self.rebalance(now)
    }

    /// Records that a stream ended, whatever its end.
    pub fn on_end(&mut self, now: Timestamp, attempt: AttemptId) -> Vec<SlotAction> {
        self.running.retain(|other| *other != attempt);
        self.stopping.remove(&attempt);
        self.rebalance(now)
    }

    /// Records a failure of the backend server; the ends of its streams are reported one by one.
    pub fn on_backend_failure(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.silent_until = now + BACKEND_COOLDOWN;
        self.queue.drain(..).map(SlotAction::Return).collect()
    }

    /// Starts and stops items as the passing of time requires.
    pub fn tick(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.rebalance(now)
    }

    /// Returns how many batch items may run beside the online requests.
    fn batch_limit(&self, now: Timestamp) -> usize {
        let yields = self.yields.iter().filter(|&&until| now < until).count();
        let online = self.own_online.saturating_add(self.peers_online) as usize + yields;
        let usable = self.limits.slots.saturating_sub(self.limits.reserve) as usize;
        usable.saturating_sub(online)
    }

    /// Cancels the youngest items beyond the limit and starts waiting ones below it.
    ///
    /// Without any slot the waiting items are returned, so that another backend server can run
    /// them.
    fn rebalance(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.yields.retain(|&until| now < until);
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
            && now >= self.silent_until
            && let Some(next) = self.queue.pop_front()
        {
            self.running.push(next);
            actions.push(SlotAction::Start(next));
        }
        actions
    }
}
