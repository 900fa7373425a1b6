//! Instances with links, a list and a log, all in virtual time.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use limpetweir_coordination::timing::{
    HEARTBEAT_INTERVAL,
    OWNER_LEASE, //
};
use limpetweir_coordination::{
    Freshness,
    ListState,
    MayAct,
    Membership,
    Ownership,
    Report,
    ServingMode, //
};
use limpetweir_state::{
    ClaimRecord,
    Claims,
    Fold,
    GroupId,
    GroupKind,
    Incarnation,
    InstanceId,
    Offset,
    Timestamp,
    Version, //
};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(50);

/// Steps between two heartbeats.
const STEPS_PER_BEAT: u128 = HEARTBEAT_INTERVAL.as_millis() / STEP.as_millis();

pub(crate) fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).expect("accepted name")
}

pub(crate) fn incarnation(name: &str, started: u64) -> Incarnation {
    Incarnation {
        instance: instance(name),
        started,
    }
}

pub(crate) fn group(index: u16) -> GroupId {
    GroupId {
        kind: GroupKind::Jobs,
        index,
    }
}

/// A claim of `group` by `holder` with the default lease.
pub(crate) fn claim(group: GroupId, holder: &Incarnation) -> ClaimRecord {
    ClaimRecord::Claim {
        group,
        holder: holder.clone(),
        lease: OWNER_LEASE,
    }
}

/// A report of a serving instance that reads the log and hears `hears`.
pub(crate) fn report(from: Incarnation, sequence: u64, hears: &[&str]) -> Report {
    Report {
        incarnation: from,
        sequence,
        leaving: false,
        serving: true,
        config_version: Version(1),
        log_age: Some(Duration::ZERO),
        reachable: hears.iter().map(|name| instance(name)).collect(),
        owns: BTreeMap::new(),
        online: BTreeMap::new(),
    }
}

/// A list on which all `names` are live.
pub(crate) fn live(names: &[&str]) -> BTreeMap<InstanceId, ListState> {
    let entry = |name: &&str| (instance(name), ListState::Live);
    names.iter().map(entry).collect()
}

pub(crate) struct Node {
    pub(crate) own: Incarnation,
    pub(crate) members: Membership,
    pub(crate) ownership: Ownership,
    pub(crate) freshness: Freshness,
    pub(crate) paused: bool,
    pub(crate) dead: bool,
    pub(crate) log_reachable: bool,
    pub(crate) leaving: bool,
    sequence: u64,
    read: usize,
    pub(crate) claims: Claims,
    inbox: Vec<Report>,
    confirmed_at: Option<Timestamp>,
}

impl Node {
    fn new(now: Timestamp, own: Incarnation) -> Self {
        Self {
            members: Membership::new(own.clone(), now),
            ownership: Ownership::new(now),
            freshness: Freshness::new(now),
            paused: false,
            dead: false,
            log_reachable: true,
            leaving: false,
            sequence: 0,
            read: 0,
            claims: Claims::default(),
            inbox: Vec::new(),
            confirmed_at: None,
            own,
        }
    }

    fn runs(&self) -> bool {
        !self.paused && !self.dead
    }

    pub(crate) fn mode(&self, now: Timestamp) -> ServingMode {
        self.freshness.mode(now, &self.members)
    }

    pub(crate) fn acts(&self, now: Timestamp, group: GroupId) -> bool {
        let may_act = self.ownership.may_act(now, group, &self.members);
        self.runs() && matches!(may_act, MayAct::Yes(_))
    }

    fn report(&mut self, now: Timestamp) -> Report {
        self.sequence += 1;
        Report {
            incarnation: self.own.clone(),
            sequence: self.sequence,
            leaving: self.leaving,
            serving: self.mode(now) != ServingMode::Nothing,
            config_version: self.freshness.version(),
            log_age: self.confirmed_at.map(|at| now.since(at)),
            reachable: self.members.reachable_peers(now),
            owns: self.ownership.holds(),
            online: BTreeMap::new(),
        }
    }
}

pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    pub(crate) nodes: Vec<Node>,
    /// Links that lose everything, as (sender, receiver).
    pub(crate) cut: BTreeSet<(usize, usize)>,
    pub(crate) log_down: bool,
    pub(crate) config: Version,
    /// Time between an append and its effect.
    pub(crate) append_delay: Duration,
    pub(crate) groups: Vec<GroupId>,
    log: Vec<ClaimRecord>,
    in_flight: Vec<(Timestamp, ClaimRecord)>,
}

impl Fleet {
    pub(crate) fn new(count: usize, groups: u16) -> Self {
        let now = Timestamp::from_millis(1_000);
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            log_down: false,
            config: Version(1),
            append_delay: Duration::ZERO,
            groups: (0..groups).map(group).collect(),
            log: Vec::new(),
            in_flight: Vec::new(),
        };
        for i in 0..count {
            let own = incarnation(&format!("i{i}"), 1);
            fleet.nodes.push(Node::new(now, own));
        }
        fleet.publish_list();
        fleet
    }

    /// A fleet that has run until each group has an acting owner.
    pub(crate) fn settled(count: usize, groups: u16) -> Self {
        let mut fleet = Self::new(count, groups);
        fleet.run(Duration::from_secs(10));
        for &group in &fleet.groups {
            assert_eq!(fleet.acting(group).len(), 1, "{group} has one acting owner");
        }
        fleet
    }

    fn publish_list(&mut self) {
        let names = self.nodes.iter().map(|node| node.own.instance.clone());
        let list: BTreeMap<_, _> = names.map(|id| (id, ListState::Live)).collect();
        for node in &mut self.nodes {
            node.members.set_list(self.now, list.clone());
        }
    }

    /// Replaces the process of node `i` by a new one under the same name.
    pub(crate) fn restart(&mut self, i: usize) {
        let mut own = self.nodes[i].own.clone();
        own.started += 1;
        let log_reachable = self.nodes[i].log_reachable;
        self.nodes[i] = Node::new(self.now, own);
        self.nodes[i].log_reachable = log_reachable;
        self.publish_list();
    }

    /// Cuts both directions between `i` and every other node.
    pub(crate) fn isolate(&mut self, i: usize) {
        for j in 0..self.nodes.len() {
            self.cut.insert((i, j));
            self.cut.insert((j, i));
        }
    }

    /// Nodes that may act for `group` now.
    pub(crate) fn acting(&self, group: GroupId) -> Vec<usize> {
        let acts = |&i: &usize| self.nodes[i].acts(self.now, group);
        (0..self.nodes.len()).filter(acts).collect()
    }

    pub(crate) fn mode(&self, i: usize) -> ServingMode {
        self.nodes[i].mode(self.now)
    }

    /// Runs for `time`, and checks at each step that no group has two acting owners.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut steps = 0;
        while self.now < end {
            self.now = self.now + STEP;
            self.check();
            self.deliver();
            self.apply_appends();
            steps += 1;
            let beat = steps % STEPS_PER_BEAT == 0;
            for i in 0..self.nodes.len() {
                if self.nodes[i].runs() && beat {
                    self.beat(i);
                }
            }
            self.check();
        }
    }

    fn check(&self) {
        for &group in &self.groups {
            let acting = self.acting(group);
            assert!(
                acting.len() <= 1,
                "{acting:?} act for {group} at {:?}",
                self.now
            );
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| node.runs()) {
            for report in std::mem::take(&mut node.inbox) {
                node.members.on_heartbeat(now, report);
            }
        }
    }

    fn apply_appends(&mut self) {
        if self.log_down {
            return;
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = later;
        self.log.extend(due.into_iter().map(|(_, record)| record));
    }

    fn beat(&mut self, i: usize) {
        let now = self.now;
        let read_log = !self.log_down && self.nodes[i].log_reachable;
        if read_log {
            self.read_log(i);
        }
        let node = &mut self.nodes[i];
        node.freshness.tick(now, &node.members);
        node.ownership.tick(now, &node.members);
        let report = node.report(now);
        let serving = report.serving && !node.leaving;
        let members = &node.members;
        let mut appended = Vec::new();
        if let Some((group, epoch)) = node.ownership.next_release(now, members, node.leaving) {
            appended.push(ClaimRecord::Release { group, epoch });
        }
        let groups = self.groups.iter().copied();
        for group in node.ownership.claims_to_make(now, groups, members, serving) {
            appended.push(claim(group, &node.own));
        }
        let effect = now + self.append_delay;
        let in_flight = appended.into_iter().map(|record| (effect, record));
        self.in_flight.extend(in_flight);
        for j in 0..self.nodes.len() {
            let receiver = &mut self.nodes[j];
            if i != j && !receiver.dead && !self.cut.contains(&(i, j)) {
                receiver.inbox.push(report.clone());
            }
        }
    }

    fn read_log(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        while node.read < self.log.len() {
            let record = self.log[node.read].clone();
            let event = node.claims.apply(Offset(node.read as u64), record);
            node.ownership
                .on_event(now, &node.own, &node.claims, &event);
            node.read += 1;
        }
        node.ownership.on_confirmed_read(now);
        node.freshness.on_confirmed_read(now, self.config);
        node.confirmed_at = Some(now);
    }
}
