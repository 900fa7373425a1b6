//! Model of servers that crash under a request, and of instances that tell each other after a delay.
//!
//! Servers, network and callers are modelled; the product's code decides which copies run, wait or are
//! refused. Servers that have begun a run crash even if it is ended.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BinaryHeap, //
};

use limpetweir_gateway::{
    CrashKey,
    CrashNews,
    Knowledge,
    LeaseNews,
    Leases,
    PartKey,
    Quarantine,
    RunKey,
    shard, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{
    Rng,
    SeedableRng, //
};

/// Time from the start of a run to its first output, or to the crash of its server.
pub(crate) const RUN_MS: u64 = 100;

/// Time from the crash of a server to its return.
const DOWN_MS: u64 = 3_000;

/// Time during which copies arrive.
const ARRIVALS_MS: u64 = 2_500;

/// Wait after the claim of a lease.
const SETTLE_MS: u64 = 10;

/// Time between two looks of a copy that waits.
const POLL_MS: u64 = 10;

/// Longest wait of a copy.
const MAX_WAIT_MS: u64 = 1_000;

/// When a server with a run of the sound request crashes by itself.
const OWN_CRASH_MS: u64 = 1_000;

/// Servers, instances and the time that a message takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) servers: u32,
    pub(crate) instances: usize,
    pub(crate) news_ms: u64,
}

/// How copies arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Copies {
    pub(crate) at_once: usize,
    pub(crate) pause_ms: u64,
}

/// What one replay shows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Servers that ended under the deadly request.
    pub(crate) ended: u32,
    /// Copies of the sound request.
    pub(crate) sound: u32,
    /// Those that waited for another copy.
    pub(crate) waited: u32,
    pub(crate) longest_wait_ms: u64,
    /// Those that were refused.
    pub(crate) refused: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Copy {
    instance: usize,
    is_deadly: bool,
    since: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Try(Copy),
    Settled(Copy),
    RunEnds(u64),
    OwnCrash,
    Back(usize),
    Crash(usize, CrashNews),
    Lease(usize, LeaseNews),
}

#[derive(Debug)]
struct Run {
    copy: Copy,
    server: usize,
    with_lease: bool,
}

struct Instance {
    quarantine: Quarantine,
    leases: Leases,
}

struct Model {
    fleet: Fleet,
    now: u64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    instances: Vec<Instance>,
    /// Number of the present start of each server, and whether it is up.
    servers: Vec<(u32, bool)>,
    runs: BTreeMap<u64, Run>,
    outcome: Outcome,
}

/// Replays the arrivals and returns what they led to.
pub(crate) fn play(fleet: Fleet, copies: Copies, seed: u64) -> Outcome {
    let instances = (0..fleet.instances).map(|n| Instance {
        quarantine: Quarantine::default(),
        leases: Leases::new(&format!("i-{n}")),
    });
    let mut model = Model {
        fleet,
        now: 0,
        rng: SmallRng::seed_from_u64(seed),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        next: 0,
        instances: instances.collect(),
        servers: vec![(0, true); fleet.servers as usize],
        runs: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    for ms in (0..ARRIVALS_MS).step_by(usize::try_from(copies.pause_ms).expect("a pause")) {
        for _ in 0..copies.at_once {
            for is_deadly in [false, true] {
                let instance = model.rng.random_range(0..fleet.instances);
                let since = ms + 1;
                model.outcome.sound += u32::from(!is_deadly);
                model.schedule(
                    since,
                    Event::Try(Copy {
                        instance,
                        is_deadly,
                        since,
                    }),
                );
            }
        }
    }
    model.schedule(OWN_CRASH_MS, Event::OwnCrash);
    while let Some(Reverse((at, id))) = model.queue.pop() {
        model.now = at;
        let event = model.events.remove(&id).expect("a scheduled event");
        model.step(event);
    }
    model.outcome
}

impl Model {
    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn step(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Try(copy) => self.try_copy(copy),
            Event::Settled(copy) => {
                let key = identity(copy.is_deadly);
                match self.instances[copy.instance].leases.confirm(key) {
                    true => self.run(copy, true),
                    false => self.wait(copy),
                }
            }
            Event::RunEnds(id) => self.run_ends(id),
            Event::OwnCrash => {
                let run = self.runs.values().find(|run| !run.copy.is_deadly);
                if let Some(server) = run.map(|run| run.server) {
                    self.crash(server);
                }
            }
            Event::Back(server) => self.servers[server].1 = true,
            Event::Crash(instance, news) => {
                self.instances[instance].quarantine.merge(&news, now);
            }
            Event::Lease(instance, news) => {
                self.instances[instance].leases.hear(&news, now);
            }
        }
    }

    fn try_copy(&mut self, copy: Copy) {
        let now = self.time();
        let key = identity(copy.is_deadly);
        let instance = &mut self.instances[copy.instance];
        match instance.quarantine.knowledge(&[key]) {
            Knowledge::Nothing => self.run(copy, false),
            Knowledge::Held => self.refuse(copy),
            Knowledge::Suspected if instance.leases.claim(key, now) => {
                self.tell(copy.instance);
                self.schedule(self.now + SETTLE_MS, Event::Settled(copy));
            }
            Knowledge::Suspected => self.wait(copy),
        }
    }

    fn wait(&mut self, copy: Copy) {
        if self.now - copy.since >= MAX_WAIT_MS {
            self.refuse(copy);
            return;
        }
        self.schedule(self.now + POLL_MS, Event::Try(copy));
    }

    fn refuse(&mut self, copy: Copy) {
        self.outcome.refused += u32::from(!copy.is_deadly);
    }

    fn run(&mut self, copy: Copy, with_lease: bool) {
        let waited = self.now - copy.since;
        if !copy.is_deadly && waited > 0 {
            self.outcome.waited += 1;
            self.outcome.longest_wait_ms = self.outcome.longest_wait_ms.max(waited);
        }
        // A server that is down refuses the connection, and the next one by rank takes its place.
        let up = (0..).zip(&self.servers).filter(|(_, (_, is_up))| *is_up);
        let shard = shard(identity(copy.is_deadly), up.map(|(n, _)| RunKey(n)));
        let Some(server) = shard.into_iter().choose(&mut self.rng) else {
            return;
        };
        let server = server.0 as usize;
        self.next += 1;
        let id = self.next;
        self.runs.insert(
            id,
            Run {
                copy,
                server,
                with_lease,
            },
        );
        self.schedule(self.now + RUN_MS, Event::RunEnds(id));
    }

    fn run_ends(&mut self, id: u64) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.copy.is_deadly {
            let server = run.server;
            self.outcome.ended += 1;
            self.crash(server);
            return;
        }
        let now = self.time();
        let instance = run.copy.instance;
        if let Some(run) = self.runs.remove(&id) {
            let key = identity(false);
            self.instances[instance].quarantine.began(&[key], now);
            self.ended(&run);
        }
        self.tell(instance);
    }

    /// Ends a server with all of its runs.
    fn crash(&mut self, server: usize) {
        let now = self.time();
        let (start, is_up) = &mut self.servers[server];
        *is_up = false;
        *start += 1;
        let key = CrashKey((server as u64) << 32 | u64::from(*start));
        let lost = self.runs.iter().filter(|(_, run)| run.server == server);
        let lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            let Some(run) = self.runs.remove(&id) else {
                continue;
            };
            let keys = [identity(run.copy.is_deadly)];
            let instance = &mut self.instances[run.copy.instance];
            let name = format!("s-{server}");
            instance
                .quarantine
                .crashed(key, &name, "i", &keys, now, now);
            self.ended(&run);
            self.tell(run.copy.instance);
        }
        self.schedule(self.now + DOWN_MS, Event::Back(server));
    }

    fn ended(&mut self, run: &Run) {
        if run.with_lease {
            let key = identity(run.copy.is_deadly);
            self.instances[run.copy.instance].leases.release(key);
        }
    }

    /// Lets an instance tell all others what it has to tell.
    fn tell(&mut self, from: usize) {
        let now = self.time();
        let news = self.instances[from].quarantine.news(now);
        let leases = self.instances[from].leases.news();
        let arrival = self.now + self.fleet.news_ms;
        for to in (0..self.fleet.instances).filter(|to| *to != from) {
            if !news.is_empty() {
                self.schedule(arrival, Event::Crash(to, news.clone()));
            }
            if let Some(leases) = &leases {
                self.schedule(arrival, Event::Lease(to, leases.clone()));
            }
        }
    }
}

fn identity(is_deadly: bool) -> PartKey {
    PartKey::identity(if is_deadly { 0xdead << 32 } else { 0x50 << 32 })
}
