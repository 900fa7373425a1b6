//! Model of a fleet in virtual time: backend servers that serve requests in order of arrival,
//! instances that receive each other's reports after a delay, a varying number of online requests,
//! and items of batch jobs.
//!
//! Only the servers, the network and the callers are modelled; the product's code decides which
//! requests and items start, stop or are rejected.

mod faults;
mod items;

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BinaryHeap,
    HashMap,
    VecDeque, //
};
use std::time::Duration;

use limpetweir_gateway::{
    BackendKey,
    BatchCandidate,
    BatchRun,
    Candidate,
    Contenders,
    ItemKey,
    ItemPacing,
    ItemTime,
    Limits,
    Load,
    Permit,
    Placement,
    Report,
    ReturnTimes,
    RunKey,
    StopCause,
    WaitingItem,
    choose_preemptions,
    choose_starts,
    place,
    retry_after, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};

use crate::patterns::{
    Demand,
    Micros,
    Policy,
    Served, //
};
use crate::support::idle_report;
use faults::{
    Fault,
    SLOWNESS, //
};

/// Requests that a server runs concurrently.
const SLOTS: u32 = 8;
/// Time until the first event of a run that starts in a slot.
const PREFILL: Micros = 45_000;
/// Latency of a message.
const MESSAGE: Micros = 1_000;
/// Time in which reports that arrive together are applied before the next decision.
const SETTLE: Micros = 1_000;
/// Time between two periodic checks of an instance's items.
const TICK: Micros = 50_000;
/// Time after which the first event of an online request counts as late.
const OBJECTIVE: Micros = 300_000;
/// Time from the submission of an item to its deadline.
const TARGET: Micros = 18_000_000;
/// Time from the first call of a caller to its deadline.
const DEADLINE: Micros = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Online { request: Request, retry: bool },
    NextOnline,
    NextJob,
    Tick { instance: usize },
    Balance { instance: usize },
    SendReport { instance: usize },
    ReportArrives { from: usize },
    PeerLost { peer: usize },
    RunArrives { run: u64 },
    RunRemoved { run: u64 },
    RunEnds { run: u64 },
    Fault(Fault),
    Loss,
    Return,
}

/// An online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    arrived: Micros,
    events: u64,
}

#[derive(Clone, Copy, Debug)]
enum Work {
    Online(Request),
    Item { key: ItemKey },
}

struct Run {
    server: usize,
    instance: usize,
    work: Work,
    events: u64,
    /// When it got a slot.
    started: Option<Micros>,
    /// When it ends, after it has got a slot.
    ends: Micros,
}

struct Server {
    running: Vec<u64>,
    queue: VecDeque<u64>,
    /// Time between two events of a stream.
    event: Micros,
    is_slow: bool,
    is_down: bool,
    /// When an item last started there, and whether all slots were taken then.
    item_started: Micros,
    was_full: bool,
    /// When an item was last stopped there.
    item_stopped: Option<Micros>,
}

struct Item {
    due: Micros,
    events: u64,
    done: u64,
    run: Option<u64>,
    started: Micros,
    not_before: Micros,
}

#[derive(Default)]
struct Instance {
    name: String,
    load: Load,
    items: BTreeMap<ItemKey, Item>,
    times: ItemTime,
    report_due: bool,
    balance_due: bool,
    is_down: bool,
    pacing: ItemPacing,
    returns: ReturnTimes,
    peers: BTreeMap<usize, PeerItems>,
}

/// What the last report of a peer says about its waiting items.
struct PeerItems {
    contends: bool,
    in_time: bool,
    any_late: bool,
}

impl PeerItems {
    fn new(report: &Report, policy: &Policy) -> Self {
        Self {
            contends: policy.preemption().contends(report),
            in_time: report.waiting_in_time > 0 || report.waiting == 0,
            any_late: report.waiting_in_time < report.waiting,
        }
    }
}

/// The fleet.
pub(crate) struct Model {
    demand: Demand,
    policy: Policy,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    /// Random numbers of the demand, which is the same with all policies.
    arrivals: SmallRng,
    rng: SmallRng,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    reports: HashMap<usize, Report>,
    runs: HashMap<u64, Run>,
    available: bool,
    next_item: u64,
    served: Served,
}

impl Model {
    /// Replays `demand` with `policy` and returns the results.
    pub(crate) fn play(demand: Demand, policy: Policy) -> Served {
        let instance = |n: usize| Instance {
            name: format!("i{n:02}"),
            pacing: policy.pacing(),
            ..Instance::default()
        };
        let mut model = Self {
            demand,
            policy,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            arrivals: SmallRng::seed_from_u64(demand.seed),
            rng: SmallRng::seed_from_u64(!demand.seed),
            servers: (0..demand.servers)
                .map(|n| Server::new(&demand, n))
                .collect(),
            instances: (0..demand.instances).map(instance).collect(),
            reports: HashMap::new(),
            runs: HashMap::new(),
            available: true,
            next_item: 0,
            served: Served::default(),
        };
        model.schedule(1, Event::NextOnline);
        model.schedule(1, Event::NextJob);
        for instance in 0..demand.instances {
            model.schedule(TICK, Event::Tick { instance });
        }
        if let Some(loss) = demand.loss {
            model.schedule(loss, Event::Loss);
        }
        model.plan_faults();
        while let Some(Reverse((time, _, event))) = model.events.pop() {
            model.now = time;
            model.step(event);
            let open = model.instances.iter().any(|i| !i.items.is_empty());
            if time > demand.time && !open && model.runs.is_empty() {
                break;
            }
        }
        model.served
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now / 1_000 + 1)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::NextOnline => self.next_online(),
            Event::NextJob => self.next_job(),
            Event::Online { request, retry } => self.online(request, retry),
            Event::Balance { instance } => self.balance(instance),
            Event::PeerLost { peer } => self.peer_lost(peer),
            Event::Fault(fault) => self.fault(fault),
            Event::Tick { instance } => {
                self.balance(instance);
                self.schedule(TICK, Event::Tick { instance });
            }
            Event::SendReport { instance } => self.send_report(instance),
            Event::ReportArrives { from } => self.apply_reports(from),
            Event::RunArrives { run } => self.run_arrives(run),
            Event::RunRemoved { run } => self.remove_run(run),
            Event::RunEnds { run } => self.run_ends(run),
            Event::Loss => self.fail_all(),
            Event::Return => self.available = true,
        }
    }

    /// Draws the time to the next arrival of a Poisson process with `rate` per second.
    fn interarrival(&mut self, rate: f64) -> Micros {
        let unit: f64 = self.arrivals.random_range(1e-9..1.0);
        (-unit.ln() / rate * 1e6) as Micros + 1
    }

    fn next_online(&mut self) {
        const PERIOD: Micros = 5_200_000;
        const DIP: Micros = 3_000_000;
        if self.now > self.demand.time {
            return;
        }
        let load_factor = if self.now % PERIOD < DIP { 0.378 } else { 1.85 };
        let request = Request {
            arrived: self.now,
            events: self.draw_events(self.demand.online_events),
        };
        let retry = false;
        self.served.online += 1;
        self.schedule(0, Event::Online { request, retry });
        let interarrival = self.interarrival(self.demand.online * load_factor);
        self.schedule(interarrival, Event::NextOnline);
    }

    fn next_job(&mut self) {
        if self.now > self.demand.time {
            return;
        }
        for _ in 0..10 {
            let key = ItemKey(self.next_item);
            self.next_item += 1;
            let owner = self.draw_instance(self.demand.runners);
            let item = Item {
                due: self.now + TARGET,
                events: self.draw_events(self.demand.item_events),
                done: 0,
                run: None,
                started: 0,
                not_before: 0,
            };
            self.instances[owner].items.insert(key, item);
            self.served.items += 1;
        }
        let interarrival = self.interarrival(self.demand.jobs);
        self.schedule(interarrival, Event::NextJob);
    }

    /// Draws one of the first `count` instances that are in service.
    fn draw_instance(&mut self, count: usize) -> usize {
        loop {
            let instance = self.rng.random_range(0..count);
            if !self.instances[instance].is_down {
                return instance;
            }
        }
    }

    /// Draws a number of events between 0.57 and 1.43 of `mean`.
    fn draw_events(&mut self, mean: f64) -> u64 {
        (mean * self.arrivals.random_range(0.57..1.43)) as u64
    }

    fn online(&mut self, request: Request, retry: bool) {
        if !self.available {
            self.schedule(300_000, Event::Online { request, retry });
            return;
        }
        let instance = self.draw_instance(self.instances.len());
        let load = &self.instances[instance].load;
        let mut candidates = Vec::new();
        let up = (0..self.demand.servers).filter(|n| !self.servers[*n as usize].is_down);
        for n in up {
            let is_slow = self.servers[n as usize].is_slow;
            candidates.push(Candidate {
                key: BackendKey(n),
                run: RunKey(0),
                permit: Permit::Unlimited,
                slots: SLOTS,
                placed: load.placed(BackendKey(n)),
                suspect: false,
                tried: false,
                slowness: if is_slow { SLOWNESS } else { 1.0 },
                connected: true,
                local: false,
                other_cell: false,
                in_shard: false,
                draw: self.rng.random(),
            });
        }
        let occupied_for = self.demand.mean_run();
        let objective = Duration::from_micros(OBJECTIVE);
        let queue = (self.policy.refusal.queue)(SLOTS, occupied_for, objective);
        let Placement::Send(key) = place(&candidates, Limits { queue }) else {
            self.rejected(instance, &candidates, request, retry);
            return;
        };
        let now = self.time();
        self.instances[instance].load.online_started(key, now);
        let work = Work::Online(request);
        self.send(key.0 as usize, instance, work, request.events);
        self.report(instance);
        self.balance_soon(instance);
    }

    /// Handles a rejected request; the caller retries once.
    fn rejected(
        &mut self,
        instance: usize,
        candidates: &[Candidate],
        request: Request,
        retry: bool,
    ) {
        if retry {
            self.served.online_failed += 1;
            return;
        }
        let online = candidates.iter().map(|c| c.placed.online);
        let running: u32 = online.clone().map(|n| n.min(SLOTS)).sum();
        let excess = online.map(|n| n.saturating_sub(SLOTS)).sum();
        let occupied_for = self.demand.mean_run();
        let wait = match self.policy.refusal.longest {
            None => retry_after(running, excess, occupied_for),
            Some(longest) => {
                let freed = f64::from(running) / occupied_for.as_secs_f64();
                let rate = self.policy.refusal.share * freed / self.instances.len() as f64;
                let elapsed = self.now - request.arrived;
                let remaining = Duration::from_micros(DEADLINE.saturating_sub(elapsed));
                let now = self.time();
                let returns = &mut self.instances[instance].returns;
                returns.assign(now, rate, longest(remaining))
            }
        };
        let wait = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        let retry = true;
        self.schedule(wait, Event::Online { request, retry });
    }

    fn send(&mut self, server: usize, instance: usize, work: Work, events: u64) -> u64 {
        self.sequence += 1;
        let id = self.sequence;
        let run = Run {
            server,
            instance,
            work,
            events,
            started: None,
            ends: 0,
        };
        self.runs.insert(id, run);
        self.schedule(MESSAGE, Event::RunArrives { run: id });
        id
    }

    fn run_arrives(&mut self, id: u64) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let server = run.server;
        if self.servers[server].is_down {
            self.break_run(id);
            return;
        }
        self.servers[server].queue.push_back(id);
        self.admit(server);
    }

    /// Starts queued runs while there are free slots.
    fn admit(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS as usize {
            let Some(id) = self.servers[server].queue.pop_front() else {
                return;
            };
            self.servers[server].running.push(id);
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            run.started = Some(self.now);
            if let Work::Online(request) = run.work
                && self.now + PREFILL + MESSAGE - request.arrived > OBJECTIVE
            {
                self.served.online_late += 1;
            }
            let duration = PREFILL + run.events * self.servers[server].event;
            run.ends = self.now + duration;
            self.schedule(duration, Event::RunEnds { run: id });
        }
    }

    fn remove_run(&mut self, id: u64) {
        let holds = |s: &Server| s.running.contains(&id) || s.queue.contains(&id);
        if let Some(server) = self.servers.iter().position(holds) {
            let s = &mut self.servers[server];
            s.running.retain(|run| *run != id);
            s.queue.retain(|run| *run != id);
            self.admit(server);
        }
    }

    fn run_ends(&mut self, id: u64) {
        if self.runs.get(&id).is_none_or(|run| run.ends != self.now) {
            return;
        }
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.remove_run(id);
        let now = self.time();
        let instance = &mut self.instances[run.instance];
        match run.work {
            Work::Online(_) => {
                let key = BackendKey(run.server as u32);
                instance.load.online_ended(key, now);
            }
            Work::Item { key } => {
                instance.load.batch_ended(key, now);
                let started = run.started.unwrap_or(self.now);
                let duration = Duration::from_micros(self.now - started);
                if let Some(item) = instance.items.remove(&key) {
                    let events = item.events as usize;
                    instance.times.record(duration, run.events as usize, events);
                    self.served.items_late += u32::from(self.now > item.due);
                }
            }
        }
        self.report(run.instance);
        self.balance_soon(run.instance);
    }

    /// Lets the scheduler of an instance run, once for all changes at about the same time.
    fn balance_soon(&mut self, n: usize) {
        let instance = &mut self.instances[n];
        if !instance.items.is_empty() && !std::mem::replace(&mut instance.balance_due, true) {
            self.schedule(SETTLE, Event::Balance { instance: n });
        }
    }

    fn report(&mut self, instance: usize) {
        if !std::mem::replace(&mut self.instances[instance].report_due, true) {
            self.schedule(self.demand.gather(instance), Event::SendReport { instance });
        }
    }

    fn waiting(&self, instance: usize) -> Vec<WaitingItem> {
        let instance = &self.instances[instance];
        let ready = |i: &Item| i.run.is_none() && i.not_before <= self.now;
        let waiting = instance.items.iter().filter(|(_, i)| ready(i));
        let waiting = waiting.map(|(key, item)| {
            let remaining = instance.times.remaining(item.done as usize).as_micros();
            let end = u128::from(self.now) + remaining;
            WaitingItem {
                item: *key,
                due: item.due / 1_000,
                late: self.policy.late_last && end > u128::from(item.due),
                urgent: end + u128::from(self.policy.urgent) > u128::from(item.due),
                avoid: None,
            }
        });
        waiting.collect()
    }

    fn send_report(&mut self, from: usize) {
        if self.instances[from].is_down {
            return;
        }
        let waiting = self.waiting(from);
        let instance = &mut self.instances[from];
        instance.report_due = false;
        let report = Report {
            online: instance.load.own_online(),
            batch: instance.load.own_batch().copied().collect(),
            waiting: waiting.len() as u32,
            waiting_in_time: waiting.iter().filter(|w| !w.late).count() as u32,
            ..idle_report(&instance.name)
        };
        self.reports.insert(from, report);
        self.schedule(MESSAGE, Event::ReportArrives { from });
    }

    fn apply_reports(&mut self, from: usize) {
        let Some(report) = self.reports.get(&from).cloned() else {
            return;
        };
        let now = self.time();
        for n in (0..self.instances.len()).filter(|n| *n != from) {
            let instance = &mut self.instances[n];
            if instance.is_down {
                continue;
            }
            instance.load.apply_report(&report, now);
            let items = PeerItems::new(&report, &self.policy);
            instance.peers.insert(from, items);
        }
        for n in (0..self.instances.len()).filter(|n| *n != from) {
            self.balance_soon(n);
        }
    }

    /// Ends all runs; items lose their partial output.
    fn fail_all(&mut self) {
        const DOWN: Micros = 1_500_000;
        let lost = self
            .runs
            .drain()
            .filter(|(_, run)| matches!(run.work, Work::Online(_)));
        self.served.online_failed += lost.count() as u32;
        for server in &mut self.servers {
            server.running.clear();
            server.queue.clear();
        }
        for instance in &mut self.instances {
            instance.load = Load::default();
            instance.peers.clear();
            instance.times = ItemTime::default();
            for item in instance.items.values_mut() {
                item.done = 0;
                item.run = None;
            }
        }
        self.reports.clear();
        self.available = false;
        self.schedule(DOWN, Event::Return);
    }
}
