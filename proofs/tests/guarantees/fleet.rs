//! Runs several instances with fake platform services in virtual time, checked by the oracle.

use std::collections::BTreeMap;

use limpetweir_coordination::*;
use limpetweir_state::*;

use crate::batch::{Engine, organisation};
use crate::log::Stream;
use crate::network::{JobCall, Network};
use crate::node::{
    Ack,
    ENGINES,
    JOB_GROUPS,
    Node,
    World,
    engine_name,
    groups, //
};
use crate::oracle::{ObservedProcess, Oracle};

pub(crate) const STEP_MS: u64 = 50;
/// Time between two checks of the results, and between two attempts of a caller.
const OBSERVE_INTERVAL_MS: u64 = 500;
/// Time for which callers can still reach an instance after its graceful stop is complete.
const DRAIN_MS: u64 = 5_000;

/// Requests of a caller for one idempotency key, and which of them were acknowledged.
#[derive(Default)]
struct JobRequest {
    items: u32,
    submitted: bool,
    cancel: bool,
    cancelled: bool,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    pub(crate) world: World,
    pub(crate) oracle: Oracle,
    /// Whether the next instance that sends an acknowledgement is killed just after it.
    pub(crate) kill_on_ack: bool,
    requests: BTreeMap<String, JobRequest>,
    stop_completed_at: BTreeMap<usize, u64>,
    /// Counter that selects the instance of the next caller retry.
    next_instance: usize,
}

impl Fleet {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut world = World::default();
        world.condition.delay_ms = STEP_MS;
        world.jobs = (0..JOB_GROUPS).map(|_| Stream::default()).collect();
        world.engines = (0..ENGINES).map(|_| Engine::default()).collect();
        let nodes: Vec<_> = (0..count).map(|index| Node::new(index, 1, 0)).collect();
        let names = nodes.iter().map(|node| node.own.instance.clone());
        world.list = names.map(|name| (name, ListState::Live)).collect();
        Self {
            now: 0,
            nodes,
            network: Network::new(seed),
            world,
            oracle: Oracle::default(),
            kill_on_ack: false,
            requests: BTreeMap::new(),
            stop_completed_at: BTreeMap::new(),
            next_instance: 0,
        }
    }

    /// Returns a fleet with one accepted publication and an acting owner of every group.
    pub(crate) fn settled(count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(count, seed);
        fleet.run(2_000);
        fleet.publish(0, "first", 0, "k1 k2");
        fleet.run(10_000);
        assert!(fleet.oracle.is_accepted("first"));
        for group in groups() {
            assert_eq!(
                fleet.acting_owners(group).len(),
                1,
                "{group} does not have exactly one acting owner"
            );
        }
        fleet
    }

    pub(crate) fn acting_owners(&self, group: GroupId) -> Vec<usize> {
        let acts =
            |&i: &usize| self.nodes[i].is_running() && self.nodes[i].may_act(group).is_some();
        (0..self.nodes.len()).filter(acts).collect()
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let (now, condition) = (self.now, self.world.condition);
        self.world.config.step(now, condition);
        self.world.claims.step(now, condition);
        for stream in &mut self.world.jobs {
            stream.step(now, condition);
        }
        let nodes = &self.nodes;
        let is_running = |own: &Incarnation| nodes.iter().any(|n| !n.terminated && n.own == *own);
        for engine in &mut self.world.engines {
            engine.step(now, is_running);
        }
        for (from, to, message) in self.network.arrivals(now) {
            if !self.nodes[to].terminated {
                self.nodes[to].inbox.push((from, message));
            }
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_running() {
                self.step_node(index);
            }
        }
        self.check();
        if now % OBSERVE_INTERVAL_MS == 0 {
            self.retry_calls();
            self.observe_outcomes();
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].step(now, &mut self.world);
        let node = &mut self.nodes[index];
        for (to, message) in node.outbox.drain(..) {
            self.network.send(now, index, to, message);
        }
        let acks: Vec<_> = node.acks.drain(..).collect();
        let starts = self.world.engines.iter_mut().map(|e| &mut e.starts);
        for (job, item) in starts.flat_map(std::mem::take) {
            self.oracle.started(now, &job, item);
        }
        if !acks.is_empty() && std::mem::take(&mut self.kill_on_ack) {
            self.nodes[index].terminated = true;
            self.world.condition.down = true;
        }
        for ack in acks {
            self.on_ack(ack);
        }
        self.finish_leaving(index);
    }

    fn finish_leaving(&mut self, index: usize) {
        if self.nodes[index].is_stop_complete() {
            let since = *self.stop_completed_at.entry(index).or_insert(self.now);
            if self.now >= since + DRAIN_MS {
                self.nodes[index].terminated = true;
            }
        }
    }

    fn on_ack(&mut self, ack: Ack) {
        match &ack {
            Ack::Submitted(key, job, body) => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.submitted = true;
                    self.oracle.submitted(key, job, request.items, *body);
                }
            }
            Ack::Conflict(key, body) => self.oracle.conflict(key, *body),
            Ack::Cancelled(key, job) => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.cancelled = true;
                }
                self.oracle.cancelled(job);
            }
            Ack::Accepted(id, version) => self.oracle.accepted(self.now, id, *version),
            Ack::Rejected(id) => self.oracle.rejected(id),
        }
    }

    fn check(&mut self) {
        let running = self.nodes.iter().filter(|node| node.is_running());
        let observe = |node: &Node| ObservedProcess {
            name: node.own.to_string(),
            serves: node.mode() != ServingMode::Nothing,
            version: node.freshness.version().0,
            document: document(node),
            acts_for: groups()
                .filter(|&group| node.may_act(group).is_some())
                .map(|group| group.to_string())
                .collect(),
        };
        let processes: Vec<_> = running.map(observe).collect();
        self.oracle.check(self.now, &processes);
    }

    /// Retries the callers' unacknowledged requests, at a different instance each time.
    fn retry_calls(&mut self) {
        self.next_instance += 1;
        let at = self.next_instance % self.nodes.len();
        if !self.nodes[at].is_running() {
            return;
        }
        let node = &mut self.nodes[at];
        for (key, request) in &self.requests {
            let key = key.clone();
            if !request.submitted {
                node.on_job_call(JobCall::Submit(key, request.items, 1), false);
            } else if request.cancel && !request.cancelled {
                node.on_job_call(JobCall::Cancel(key), false);
            }
        }
    }

    /// Passes every outcome that any instance would return to the oracle.
    fn observe_outcomes(&mut self) {
        let running = self.nodes.iter().filter(|node| node.is_running());
        let folds = running.flat_map(|n| n.jobs.iter().filter_map(|c| c.replica.fold()));
        for (id, job) in folds.flat_map(Jobs::iter) {
            for item in job.results(0, job.len()).items {
                let outcome = match item.status {
                    ItemStatus::Finished { text, .. } => format!("finished: {text}"),
                    ItemStatus::Failed { message, .. } => format!("failed: {message}"),
                    ItemStatus::Open | ItemStatus::Cancelled => continue,
                };
                self.oracle.outcome(id.as_str(), item.index, &outcome);
            }
        }
    }

    /// Heals all failures, runs until all work can have ended, and checks the final state.
    pub(crate) fn finish(&mut self) {
        self.heal();
        self.run(60_000);
        for (key, request) in &self.requests {
            assert!(request.submitted, "{key} was never acknowledged");
            assert!(
                !request.cancel || request.cancelled,
                "{key} was never cancelled"
            );
        }
        for group in groups() {
            assert_eq!(
                self.acting_owners(group).len(),
                1,
                "{group} does not have exactly one acting owner"
            );
        }
        for node in self.nodes.iter().filter(|node| node.is_running()) {
            let folds = node
                .jobs
                .iter()
                .map(|c| c.replica.fold().expect("replica without a gap"));
            let usage: Vec<_> = folds.map(|f| f.usage_of(&organisation())).collect();
            let items = usage.iter().map(|u| u.items).sum();
            let tokens = usage.iter().map(|u| u.prompt_tokens + u.completion_tokens);
            self.oracle.finish(items, tokens.sum());
        }
    }

    pub(crate) fn heal(&mut self) {
        self.kill_on_ack = false;
        self.network.partitioned.clear();
        self.network.loss = 0;
        self.network.max_delay_ms = 0;
        self.world.condition = Default::default();
        self.world.condition.delay_ms = STEP_MS;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.paused = false;
            node.log_reachable = true;
            node.online.clear();
            if node.terminated || node.leaving {
                self.restart(index);
            }
        }
    }

    /// Replaces the process of an instance with a new one.
    pub(crate) fn restart(&mut self, index: usize) {
        let started = self.nodes[index].own.started + 1;
        let log_reachable = self.nodes[index].log_reachable;
        self.nodes[index] = Node::new(index, started, self.now);
        self.nodes[index].log_reachable = log_reachable;
        self.stop_completed_at.remove(&index);
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            self.network.partition_both(index, other);
        }
    }

    pub(crate) fn submit(&mut self, at: usize, key: &str, items: u32, digest: u8) {
        if digest == 1 {
            let request = self.requests.entry(key.to_owned());
            request.or_insert(JobRequest {
                items,
                ..JobRequest::default()
            });
        }
        if self.nodes[at].is_running()
            && let Some(request) = self.requests.get(key)
            && (digest == 1 || request.submitted)
        {
            let call = JobCall::Submit(key.to_owned(), request.items, digest);
            self.nodes[at].on_job_call(call, false);
        }
    }

    pub(crate) fn cancel(&mut self, key: &str) {
        if let Some(request) = self.requests.get_mut(key) {
            request.cancel = true;
        }
    }

    pub(crate) fn publish(&mut self, at: usize, id: &str, base: u64, document: &str) {
        if self.nodes[at].is_running() {
            self.oracle.publication_sent(id, base);
            self.nodes[at].publish(id, base, document);
        }
    }

    pub(crate) fn set_online(&mut self, at: usize, engine: usize, count: u32) {
        self.nodes[at].online.insert(engine_name(engine), count);
    }

    pub(crate) fn trim(&mut self) {
        self.world.config.trim();
        self.world.claims.trim();
        for stream in &mut self.world.jobs {
            stream.trim();
        }
    }

    /// Returns how many items of a caller's job have an outcome, at the instance that has the most.
    pub(crate) fn outcomes_of(&self, key: &str) -> usize {
        let count = |node: &Node| {
            let folds = node.jobs.iter().filter_map(|c| c.replica.fold());
            let jobs = folds
                .flat_map(Jobs::iter)
                .filter(|(_, job)| job.key() == key);
            let ended = jobs.map(|(_, job)| job.progress().finished + job.progress().failed);
            ended.sum::<u32>() as usize
        };
        self.nodes.iter().map(count).max().unwrap_or(0)
    }

    pub(crate) fn acked_cancel(&self, key: &str) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.cancelled)
    }

    pub(crate) fn acked_submit(&self, key: &str) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.submitted)
    }
}

pub(crate) fn document(node: &Node) -> String {
    let fold = node.config.replica.fold();
    let document = fold.and_then(Publications::document);
    document.unwrap_or_default().to_owned()
}
