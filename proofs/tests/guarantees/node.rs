//! One instance: the pure control-plane code, connected as docs/design.md describes.

use std::collections::{BTreeMap, BTreeSet};

use limpetweir_coordination::timing::*;
use limpetweir_coordination::*;
use limpetweir_state::*;

use crate::batch::{Engine, Manager, Owner};
use crate::log::{Condition, LogAccess, Stream, StreamClient, StreamUpdate};
use crate::network::{JobCall, Message};

pub(crate) const JOB_GROUPS: u16 = 2;
pub(crate) const ENGINES: u16 = 2;

/// Clock rates of the instances; docs/design.md allows a difference of 10%.
const CLOCK_RATES: [f64; 5] = [1.0, 0.96, 1.05, 0.98, 1.02];

/// Everything outside the instances except the network between them.
#[derive(Default)]
pub(crate) struct World {
    pub(crate) config: Stream<Publish>,
    pub(crate) claims: Stream<ClaimRecord>,
    pub(crate) jobs: Vec<Stream<JobRecord>>,
    pub(crate) condition: Condition,
    pub(crate) engines: Vec<Engine>,
    pub(crate) list: BTreeMap<InstanceId, ListState>,
}

/// A response that an instance sends to a caller or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ack {
    /// Key, job and body.
    Submitted(String, String, u8),
    /// Key and body.
    Conflict(String, u8),
    /// Key and job.
    Cancelled(String, String),
    /// Publication and version.
    Accepted(String, u64),
    /// Publication.
    Rejected(String),
}

pub(crate) struct Node {
    pub(crate) index: usize,
    pub(crate) own: Incarnation,
    pub(crate) members: Membership,
    pub(crate) ownership: Ownership,
    pub(crate) freshness: Freshness,
    pub(crate) config: StreamClient<Publications>,
    pub(crate) claims: StreamClient<Claims>,
    pub(crate) jobs: Vec<StreamClient<Jobs>>,
    pub(crate) owners: Vec<Option<Owner>>,
    pub(crate) managers: Vec<Manager>,
    pub(crate) paused: bool,
    /// The process has terminated: it was killed, or its drain after a graceful stop has ended.
    pub(crate) terminated: bool,
    pub(crate) leaving: bool,
    pub(crate) log_reachable: bool,
    /// Online requests in flight for each engine.
    pub(crate) online: BTreeMap<BackendId, u32>,
    pub(crate) inbox: Vec<(usize, Message)>,
    pub(crate) outbox: Vec<(usize, Message)>,
    pub(crate) acks: Vec<Ack>,
    pub(crate) releasing: Option<(GroupId, Epoch)>,
    publishing: BTreeMap<Ticket, PublicationId>,
    accepted: Vec<(PublicationId, Version)>,
    read_log_at: Option<Timestamp>,
    sequence: u64,
    next_heartbeat: u64,
    pub(crate) clock: Timestamp,
}

fn group_id(kind: GroupKind, index: usize) -> GroupId {
    let index = u16::try_from(index).expect("group index fits in u16");
    GroupId { kind, index }
}

pub(crate) fn job_group_id(index: usize) -> GroupId {
    group_id(GroupKind::Jobs, index)
}

pub(crate) fn engine_group_id(index: usize) -> GroupId {
    group_id(GroupKind::Engine, index)
}

pub(crate) fn groups() -> impl Iterator<Item = GroupId> {
    let jobs = (0..usize::from(JOB_GROUPS)).map(job_group_id);
    jobs.chain((0..usize::from(ENGINES)).map(engine_group_id))
}

pub(crate) fn engine_name(index: usize) -> BackendId {
    BackendId::try_from(format!("engine-{index}")).expect("valid name")
}

fn clock_at(index: usize, now: u64) -> Timestamp {
    let own = now as f64 * CLOCK_RATES[index % CLOCK_RATES.len()];
    Timestamp::from_millis(1_000 * (index as u64 + 1) + own as u64)
}

impl Node {
    pub(crate) fn new(index: usize, started: u64, now: u64) -> Self {
        let instance = InstanceId::try_from(format!("i{index}")).expect("valid name");
        let own = Incarnation { instance, started };
        let clock = clock_at(index, now);
        // The offset keeps instances from reading and sending heartbeats at the same time.
        let first = now + 50 * index as u64;
        let jobs = (0..JOB_GROUPS).map(|_| StreamClient::new(own.clone(), first));
        Self {
            index,
            members: Membership::new(own.clone(), clock),
            ownership: Ownership::new(clock),
            freshness: Freshness::new(clock),
            config: StreamClient::new(own.clone(), first),
            claims: StreamClient::new(own.clone(), first),
            jobs: jobs.collect(),
            owners: (0..JOB_GROUPS).map(|_| None).collect(),
            managers: (0..ENGINES).map(|_| Manager::default()).collect(),
            paused: false,
            terminated: false,
            leaving: false,
            log_reachable: true,
            online: BTreeMap::new(),
            inbox: Vec::new(),
            outbox: Vec::new(),
            acks: Vec::new(),
            releasing: None,
            publishing: BTreeMap::new(),
            accepted: Vec::new(),
            read_log_at: None,
            sequence: 0,
            next_heartbeat: first,
            clock,
            own,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        !self.paused && !self.terminated
    }

    pub(crate) fn mode(&self) -> ServingMode {
        self.freshness.mode(self.clock, &self.members)
    }

    pub(crate) fn may_act(&self, group: GroupId) -> Option<Epoch> {
        match self.ownership.may_act(self.clock, group, &self.members) {
            MayAct::Yes(epoch) => Some(epoch),
            _ => None,
        }
    }

    /// Returns the index of a group's holder and the epoch, from this instance's claims replica.
    pub(crate) fn holder(&self, group: GroupId) -> Option<(usize, Epoch)> {
        let claim = self.claims.replica.fold()?.get(group)?;
        let index = claim.holder.instance.as_str()[1..].parse().ok()?;
        (!claim.released).then_some((index, claim.epoch))
    }

    pub(crate) fn step(&mut self, now: u64, world: &mut World) {
        self.clock = clock_at(self.index, now);
        for (from, message) in std::mem::take(&mut self.inbox) {
            self.on_message(now, from, message, world);
        }
        self.read_config(now, world);
        self.read_claims(now, world);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL.as_millis() as u64;
            self.heartbeat_tick(now, world);
        }
        self.step_owners(now, world);
        self.step_managers(now, world);
        self.acknowledge_publications();
    }

    fn on_message(&mut self, now: u64, from: usize, message: Message, world: &mut World) {
        match message {
            Message::Heartbeat(report) => {
                self.members.on_heartbeat(self.clock, report);
            }
            Message::FetchConfig => {
                if let Ok(Some(snapshot)) = self.config.replica.snapshot() {
                    self.outbox.push((from, Message::Config(snapshot)));
                }
            }
            Message::Config(snapshot) => {
                let adopted = self.config.replica.adopt(&snapshot);
                if matches!(adopted, Ok(AdoptOutcome::Adopted { .. })) {
                    let last = self.config.replica.last_sequence(&self.own).unwrap_or(0);
                    self.config.writer.on_caught_up(last);
                }
                self.record_version();
            }
            Message::Job(call) => self.on_job_call(call, true),
            Message::Run(item) => self.on_run(from, item, world, now),
            Message::Stop(item) => self.on_stop(from, item, world, now),
            Message::Ended(attempt, end) => self.on_ended(attempt, end),
        }
    }

    fn record_version(&mut self) {
        if let Some(fold) = self.config.replica.fold() {
            self.freshness.on_version(fold.version());
        }
    }

    pub(crate) fn log_access(&self, now: u64, world: &World) -> LogAccess {
        LogAccess {
            now,
            clock: self.clock,
            condition: world.condition,
            reachable: self.log_reachable,
        }
    }

    fn read_config(&mut self, now: u64, world: &mut World) {
        let log_access = self.log_access(now, world);
        let publishing = &mut self.publishing;
        let mut decided = Vec::new();
        let on_update = |update: StreamUpdate<'_, Publications>| {
            if let StreamUpdate::Event(
                _,
                Some(ticket),
                PublishEvent::Decided(result) | PublishEvent::Repeated(result),
            ) = update
                && let Some(id) = publishing.remove(&ticket)
            {
                decided.push((id, result));
            }
        };
        let confirmed = self
            .config
            .step(log_access, &mut world.config, &self.own, on_update);
        self.record_version();
        if let (Some(sent_at), Some(fold)) = (confirmed, self.config.replica.fold()) {
            self.freshness.on_confirmed_read(sent_at, fold.version());
        }
        for (id, result) in decided {
            match result {
                PublishResult::Accepted(version) => self.accepted.push((id, version)),
                PublishResult::Conflict(_) => self.acks.push(Ack::Rejected(id.into())),
            }
        }
    }

    /// Acknowledges the publications whose version may be acknowledged.
    fn acknowledge_publications(&mut self) {
        let (clock, members, freshness) = (self.clock, &self.members, &self.freshness);
        let due = |(_, version): &mut (PublicationId, Version)| {
            freshness.may_acknowledge(clock, members, *version)
        };
        for (id, version) in self.accepted.extract_if(.., due) {
            self.acks.push(Ack::Accepted(id.into(), version.0));
        }
    }

    fn read_claims(&mut self, now: u64, world: &mut World) {
        let log_access = self.log_access(now, world);
        let (ownership, own, clock) = (&mut self.ownership, &self.own, self.clock);
        let on_update = |update: StreamUpdate<'_, Claims>| match update {
            StreamUpdate::Event(fold, _, event) => ownership.on_event(clock, own, fold, &event),
            StreamUpdate::Recovered(fold, _) => ownership.load(clock, own, fold),
        };
        let confirmed = self
            .claims
            .step(log_access, &mut world.claims, own, on_update);
        if let Some(sent_at) = confirmed {
            self.ownership.on_confirmed_read(sent_at);
            self.read_log_at = self.read_log_at.max(Some(sent_at));
        }
    }

    fn heartbeat_tick(&mut self, now: u64, world: &mut World) {
        let clock = self.clock;
        self.members.set_list(clock, world.list.clone());
        self.freshness.tick(clock, &self.members);
        self.ownership.tick(clock, &self.members);
        let serving = self.mode() != ServingMode::Nothing;
        self.sequence += 1;
        let report = Report {
            incarnation: self.own.clone(),
            sequence: self.sequence,
            leaving: self.leaving,
            serving,
            config_version: self.freshness.version(),
            log_age: self.read_log_at.map(|at| clock.since(at)),
            reachable: self.members.reachable_peers(clock),
            owns: self.ownership.holds(),
            online: self.online.clone(),
        };
        let peers = (0..world.list.len()).filter(|&peer| peer != self.index);
        let heartbeats = peers.map(|peer| (peer, Message::Heartbeat(report.clone())));
        self.outbox.extend(heartbeats);
        let fetch = match self.freshness.start(clock, &self.members) {
            StartStep::Fetch { peer, .. } => Some(peer),
            StartStep::Serve => {
                let newer = self.freshness.fetch(clock, &self.members);
                newer.map(|(peer, _)| peer)
            }
            StartStep::Wait => None,
        };
        if let Some(peer) = fetch {
            let peer = peer.as_str()[1..].parse().expect("index of an instance");
            self.outbox.push((peer, Message::FetchConfig));
        }
        self.claim_and_release(serving);
        self.write_snapshots(now);
    }

    fn claim_and_release(&mut self, serving: bool) {
        let (clock, members) = (self.clock, &self.members);
        if self.releasing.is_none() {
            self.releasing = self.ownership.next_release(clock, members, self.leaving);
        }
        let serving = serving && !self.leaving;
        let claims = &mut self.claims.writer;
        for group in self
            .ownership
            .claims_to_make(clock, groups(), members, serving)
        {
            let holder = self.own.clone();
            let lease = OWNER_LEASE;
            let record = ClaimRecord::Claim {
                group,
                holder,
                lease,
            };
            if claims.push(EntryBody::Data(record)).is_err() {
                self.ownership.on_claim_abandoned(group);
            }
        }
    }

    /// Appends the release record of the group that is being released; its work has ended.
    pub(crate) fn finish_release(&mut self) {
        if let Some((group, epoch)) = self.releasing.take() {
            let record = ClaimRecord::Release { group, epoch };
            let pushed = self.claims.writer.push(EntryBody::Data(record));
            pushed.expect("writer queue is not full: one release at a time");
        }
    }

    fn write_snapshots(&mut self, now: u64) {
        let first: BTreeSet<_> = self.members.serving_peers(self.clock).collect();
        let first = first.into_iter().next();
        if self.mode() == ServingMode::All && first.is_none_or(|id| self.own.instance < *id) {
            self.config.write_snapshot(now);
            self.claims.write_snapshot(now);
        }
        for index in 0..self.jobs.len() {
            if self.may_act(job_group_id(index)).is_some() {
                self.jobs[index].write_snapshot(now);
            }
        }
    }

    /// Handles a publication sent by an operator.
    pub(crate) fn publish(&mut self, id: &str, base: u64, document: &str) {
        if self
            .freshness
            .may_publish(self.clock, &self.members)
            .is_err()
        {
            return;
        }
        let id = PublicationId::try_from(id).expect("valid id");
        let record = Publish {
            id: id.clone(),
            base: Version(base),
            document: document.to_owned(),
        };
        if let Ok(ticket) = self.config.writer.push(EntryBody::Data(record)) {
            self.publishing.insert(ticket, id);
        }
    }

    /// Handles a call from a caller, or one forwarded by an instance that does not own the group.
    pub(crate) fn on_job_call(&mut self, call: JobCall, forwarded: bool) {
        if self.mode() != ServingMode::All {
            return;
        }
        let group = job_group(&crate::batch::organisation(), call.key(), JOB_GROUPS);
        if self.may_act(group).is_some() {
            self.start_call(usize::from(group.index), call);
        } else if let Some((holder, _)) = self.holder(group).filter(|_| !forwarded) {
            self.outbox.push((holder, Message::Job(call)));
        }
    }

    /// Returns whether a graceful stop is complete: no group is held and no claim record is queued.
    pub(crate) fn is_stop_complete(&self) -> bool {
        self.leaving && self.ownership.holds().is_empty() && self.claims.writer.is_empty()
    }

    pub(crate) fn online_load(&self, engine: usize) -> u32 {
        self.online.get(&engine_name(engine)).copied().unwrap_or(0)
    }
}
