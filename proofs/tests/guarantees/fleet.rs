//! Several instances with the fakes around them, driven in virtual time under the oracle.

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
use crate::oracle::{Oracle, Process};

pub(crate) const STEP_MS: u64 = 50;
/// Time between two looks at the results, and between two tries of a caller.
const LOOK_MS: u64 = 500;
/// Time for which an instance that left stays reachable for callers.
const DRAIN_MS: u64 = 5_000;

/// What a caller wants for one idempotency key.
#[derive(Default)]
struct Wish {
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
    /// Kills the next instance that acknowledges something.
    pub(crate) kill_on_ack: bool,
    wishes: BTreeMap<String, Wish>,
    left_at: BTreeMap<usize, u64>,
    /// Instance that the next call of a caller reaches.
    turn: usize,
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
            wishes: BTreeMap::new(),
            left_at: BTreeMap::new(),
            turn: 0,
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
            assert_eq!(fleet.acting(group).len(), 1, "{group} has an acting owner");
        }
        fleet
    }

    pub(crate) fn acting(&self, group: GroupId) -> Vec<usize> {
        let acts = |&i: &usize| self.nodes[i].runs() && self.nodes[i].may_act(group).is_some();
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
        let alive = |own: &Incarnation| nodes.iter().any(|n| !n.dead && n.own == *own);
        for engine in &mut self.world.engines {
            engine.step(now, alive);
        }
        for (from, to, message) in self.network.arrivals(now) {
            if !self.nodes[to].dead {
                self.nodes[to].inbox.push((from, message));
            }
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].runs() {
                self.step_node(index);
            }
        }
        self.check();
        if now % LOOK_MS == 0 {
            self.retry_calls();
            self.look();
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
            self.nodes[index].dead = true;
            self.world.condition.down = true;
        }
        for ack in acks {
            self.on_ack(ack);
        }
        self.finish_leaving(index);
    }

    fn finish_leaving(&mut self, index: usize) {
        if self.nodes[index].has_left() {
            let since = *self.left_at.entry(index).or_insert(self.now);
            if self.now >= since + DRAIN_MS {
                self.nodes[index].dead = true;
            }
        }
    }

    fn on_ack(&mut self, ack: Ack) {
        match &ack {
            Ack::Submitted(key, job, body) => {
                if let Some(wish) = self.wishes.get_mut(key) {
                    wish.submitted = true;
                    self.oracle.submitted(key, job, wish.items, *body);
                }
            }
            Ack::Conflict(key, body) => self.oracle.conflict(key, *body),
            Ack::Cancelled(key, job) => {
                if let Some(wish) = self.wishes.get_mut(key) {
                    wish.cancelled = true;
                }
                self.oracle.cancelled(job);
            }
            Ack::Accepted(id, version) => self.oracle.accepted(self.now, id, *version),
            Ack::Refused(id) => self.oracle.refused(id),
        }
    }

    fn check(&mut self) {
        let running = self.nodes.iter().filter(|node| node.runs());
        let show = |node: &Node| Process {
            name: node.own.to_string(),
            serves: node.mode() != ServingMode::Nothing,
            version: node.freshness.version().0,
            document: document(node),
            acts_for: groups()
                .filter(|&group| node.may_act(group).is_some())
                .map(|group| group.to_string())
                .collect(),
        };
        let processes: Vec<_> = running.map(show).collect();
        self.oracle.check(self.now, &processes);
    }

    /// Lets callers repeat what was not acknowledged, at another instance each time.
    fn retry_calls(&mut self) {
        self.turn += 1;
        let at = self.turn % self.nodes.len();
        if !self.nodes[at].runs() {
            return;
        }
        let node = &mut self.nodes[at];
        for (key, wish) in &self.wishes {
            let key = key.clone();
            if !wish.submitted {
                node.on_job_call(JobCall::Submit(key, wish.items, 1), false);
            } else if wish.cancel && !wish.cancelled {
                node.on_job_call(JobCall::Cancel(key), false);
            }
        }
    }

    /// Shows the oracle every outcome that every instance would return.
    fn look(&mut self) {
        let running = self.nodes.iter().filter(|node| node.runs());
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

    /// Runs until everything can have ended, and checks what is left.
    pub(crate) fn finish(&mut self) {
        self.heal();
        self.run(60_000);
        for (key, wish) in &self.wishes {
            assert!(wish.submitted, "{key} was never acknowledged");
            assert!(!wish.cancel || wish.cancelled, "{key} was never cancelled");
        }
        for group in groups() {
            assert_eq!(self.acting(group).len(), 1, "{group} has an acting owner");
        }
        for node in self.nodes.iter().filter(|node| node.runs()) {
            let folds = node.jobs.iter().map(|c| c.replica.fold().expect("no gap"));
            let usage: Vec<_> = folds.map(|f| f.usage_of(&organisation())).collect();
            let items = usage.iter().map(|u| u.items).sum();
            let tokens = usage.iter().map(|u| u.prompt_tokens + u.completion_tokens);
            self.oracle.finish(items, tokens.sum());
        }
    }

    pub(crate) fn heal(&mut self) {
        self.kill_on_ack = false;
        self.network.cut.clear();
        self.network.loss = 0;
        self.network.max_delay_ms = 0;
        self.world.condition = Default::default();
        self.world.condition.delay_ms = STEP_MS;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.paused = false;
            node.log_reachable = true;
            node.online.clear();
            if node.dead || node.leaving {
                self.restart(index);
            }
        }
    }

    /// Replaces the process of an instance by a new one.
    pub(crate) fn restart(&mut self, index: usize) {
        let started = self.nodes[index].own.started + 1;
        let log_reachable = self.nodes[index].log_reachable;
        self.nodes[index] = Node::new(index, started, self.now);
        self.nodes[index].log_reachable = log_reachable;
        self.left_at.remove(&index);
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            self.network.cut_both(index, other);
        }
    }

    pub(crate) fn submit(&mut self, at: usize, key: &str, items: u32, digest: u8) {
        if digest == 1 {
            let wish = self.wishes.entry(key.to_owned());
            wish.or_insert(Wish {
                items,
                ..Wish::default()
            });
        }
        if self.nodes[at].runs()
            && let Some(wish) = self.wishes.get(key)
            && (digest == 1 || wish.submitted)
        {
            let call = JobCall::Submit(key.to_owned(), wish.items, digest);
            self.nodes[at].on_job_call(call, false);
        }
    }

    pub(crate) fn cancel(&mut self, key: &str) {
        if let Some(wish) = self.wishes.get_mut(key) {
            wish.cancel = true;
        }
    }

    pub(crate) fn publish(&mut self, at: usize, id: &str, base: u64, document: &str) {
        if self.nodes[at].runs() {
            self.oracle.offered(id, base);
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

    /// Returns how many items of a caller's job have an outcome at the best informed instance.
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
        self.wishes.get(key).is_some_and(|wish| wish.cancelled)
    }

    pub(crate) fn acked_submit(&self, key: &str) -> bool {
        self.wishes.get(key).is_some_and(|wish| wish.submitted)
    }
}

pub(crate) fn document(node: &Node) -> String {
    let fold = node.config.replica.fold();
    let document = fold.and_then(Publications::document);
    document.unwrap_or_default().to_owned()
}
