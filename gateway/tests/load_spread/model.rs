//! Model of a fleet in virtual time: servers that serve in order of arrival, and instances that choose
//! from reports which arrive late. Estimate and choice are the product's code.

use std::cmp::Reverse;
use std::collections::{
    BinaryHeap,
    VecDeque, //
};
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_gateway::{
    Arrivals,
    BackendKey,
    Candidate,
    Limits,
    Permit,
    Placed,
    Placement,
    RunKey,
    Speeds, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};

use crate::rules::Rule;

/// Point in time or duration in microseconds.
type Micros = u64;

const SLOTS: u32 = 8;
/// Longest queue that an instance accepts, and that a server accepts.
const QUEUE: u32 = 2;
const SERVER_QUEUE: usize = 24;
/// Events of a stream, and the time until the first one.
const EVENTS: u64 = 20;
const PREFILL: Micros = 45_000;
/// Time between two periodic reports.
const TICK: Micros = 250_000;
/// Time for which the number of arrivals stays the same.
const SWING: Micros = 2_500_000;
/// Number of requests per second in each such time, relative to the mean.
const LEVELS: [f64; 8] = [0.6, 1.85, 0.38, 1.7, 0.5, 1.85, 1.1, 0.9];
/// Levels that count as peaks.
const PEAK: f64 = 1.5;
/// Time after the begin of a peak from which it is measured; streams from before have ended then.
const SETTLED: Micros = 1_000_000;

/// Limits of a placement.
pub(crate) const LIMITS: Limits = Limits { queue: QUEUE };

/// Returns a candidate with 4 to 8 requests.
pub(crate) fn busy_candidate(n: u32) -> Candidate {
    Candidate {
        key: BackendKey(n),
        run: RunKey(n),
        slots: SLOTS,
        placed: Placed {
            online: 4 + n * 7 % 5,
            batch: 0,
        },
        suspect: false,
        tried: false,
        slowness: 0.75 + f64::from(n * 13 % 50) / 100.0,
        connected: false,
        local: false,
        other_cell: false,
        permit: Permit::Unlimited,
        in_shard: false,
        draw: n.wrapping_mul(0x9e37_79b9),
    }
}

/// Demand on a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) instances: usize,
    pub(crate) servers: u32,
    /// Mean number of requests per second; it varies as `LEVELS` says.
    pub(crate) rate: f64,
    /// Share of the instances whose messages take 5 to 30 ms longer.
    pub(crate) slow_share: f64,
    pub(crate) time: Micros,
}

/// What callers and servers saw.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) requests: u32,
    /// Requests that waited at a server while another one had a free slot.
    pub(crate) waited: u32,
    /// Requests that a server with a full queue rejected, and those behind more than `QUEUE` others.
    pub(crate) rejected: u32,
    pub(crate) queued: u32,
    /// Requests that were not placed.
    pub(crate) refused: u32,
    /// 95th percentile over the mean of the requests at servers, for each sample in peaks.
    spreads: Vec<f64>,
    first_events: Vec<Micros>,
    /// Processor time of the choices.
    chosen: Duration,
}

impl Seen {
    /// Returns the mean spread of the load in peaks.
    pub(crate) fn spread(&self) -> f64 {
        self.spreads.iter().sum::<f64>() / self.spreads.len() as f64
    }

    pub(crate) fn share(&self, part: u32) -> f64 {
        f64::from(part) / f64::from(self.requests.max(1))
    }

    /// Adds what was seen in another run.
    pub(crate) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.waited += other.waited;
        self.rejected += other.rejected;
        self.queued += other.queued;
        self.refused += other.refused;
        self.spreads.extend(other.spreads);
        self.first_events.extend(other.first_events);
        self.chosen += other.chosen;
    }

    /// Returns a quantile of the time to the first event in milliseconds.
    pub(crate) fn first_event_ms(&self, quantile: f64) -> u64 {
        let mut times = self.first_events.clone();
        times.sort_unstable();
        times[(times.len() as f64 * quantile) as usize] / 1_000
    }

    pub(crate) fn choice(&self) -> Duration {
        self.chosen / self.requests.max(1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Arrives {
        run: usize,
    },
    Ends {
        run: usize,
    },
    Ended {
        run: usize,
    },
    Report {
        from: usize,
        tick: bool,
    },
    Reported {
        from: usize,
        to: usize,
        report: Rc<Report>,
    },
    Sample,
}

/// Requests on each server.
type Counts = Vec<u32>;

/// Number of a report, and the servers with requests of its sender.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Report {
    number: usize,
    online: Vec<(usize, u32)>,
}

#[derive(Clone, Copy)]
struct Run {
    instance: usize,
    server: usize,
    at: Micros,
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
    gap: Micros,
    /// Requests that instances have placed and whose end they have not seen.
    placed: u32,
}

#[derive(Default)]
struct Instance {
    name: String,
    /// Requests that this instance has placed on each server, and those of all in its view.
    own: Counts,
    placed: Counts,
    arrivals: Arrivals,
    speeds: Speeds,
    slow: bool,
    report_due: bool,
    /// Last report of each other instance.
    peers: Vec<Rc<Report>>,
}

pub(crate) struct Model {
    fleet: Fleet,
    rule: Rule,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, usize, Event)>>,
    sequence: usize,
    rng: SmallRng,
    /// Random numbers of the demand, which does not depend on the rule.
    demand: SmallRng,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    runs: Vec<Run>,
    seen: Seen,
}

impl Model {
    /// Plays the demand on `fleet` with a rule of placement.
    pub(crate) fn play(fleet: Fleet, rule: Rule, seed: u64) -> Seen {
        let mut rng = SmallRng::seed_from_u64(seed);
        let server = |_| Server {
            gap: rng.random_range(20_000..35_000),
            ..Server::default()
        };
        let servers = (0..fleet.servers).map(server).collect();
        let instance = |n: usize| Instance {
            name: format!("i{n}"),
            slow: rng.random_bool(fleet.slow_share),
            own: vec![0; fleet.servers as usize],
            placed: vec![0; fleet.servers as usize],
            peers: vec![Rc::default(); fleet.instances],
            ..Instance::default()
        };
        let instances = (0..fleet.instances).map(instance).collect();
        let mut model = Self {
            fleet,
            rule,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            demand: SmallRng::seed_from_u64(seed),
            servers,
            instances,
            runs: Vec::new(),
            seen: Seen::default(),
        };
        for from in 0..fleet.instances {
            let phase = model.rng.random_range(0..TICK);
            model.schedule(phase, Event::Report { from, tick: true });
        }
        model.schedule(1, Event::Request);
        model.schedule(SETTLED, Event::Sample);
        while let Some(Reverse((time, _, event))) = model.events.pop() {
            if time > fleet.time {
                break;
            }
            model.now = time;
            model.step(event);
        }
        model.seen
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn time(&self) -> Timestamp {
        Timestamp(self.now + 1)
    }

    /// Returns the present number of requests per second, relative to the mean.
    fn level(&self) -> f64 {
        LEVELS[(self.now / SWING) as usize % LEVELS.len()]
    }

    /// Returns the time in which changes are gathered.
    fn gathering(&self) -> Micros {
        (100 * self.fleet.instances as u64).clamp(2_000, 10_000)
    }

    fn latency(&mut self) -> Micros {
        self.rng.random_range(1_000..4_000)
    }

    /// Returns how late an instance handles a message or a timer.
    fn lag(&mut self, instance: usize) -> Micros {
        match self.instances[instance].slow {
            true => self.rng.random_range(2_500..15_000),
            false => self.rng.random_range(0..500),
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Request => {
                let gap = -(1.0 - self.demand.random::<f64>()).ln();
                let gap = gap * 1e6 / (self.fleet.rate * self.level());
                self.schedule(gap as Micros, Event::Request);
                self.request();
            }
            Event::Arrives { run } => self.arrives(run),
            Event::Ends { run } => self.ends(run),
            Event::Ended { run } => {
                let Run {
                    instance, server, ..
                } = self.runs[run];
                self.servers[server].placed -= 1;
                let now = self.time();
                let gap = Duration::from_micros(self.servers[server].gap);
                let at = &mut self.instances[instance];
                at.own[server] -= 1;
                at.placed[server] -= 1;
                at.speeds.record(BackendKey(server as u32), gap, now);
                self.report_due(instance);
            }
            Event::Report { from, tick } => self.report(from, tick),
            Event::Reported { from, to, report } => self.reported(from, to, report),
            Event::Sample => {
                self.sample();
                self.schedule(20_000, Event::Sample);
            }
        }
    }

    fn request(&mut self) {
        let instance = self.demand.random_range(0..self.fleet.instances);
        let now = self.time();
        let shard = [0; 2].map(|_: u32| self.demand.random_range(0..self.fleet.servers));
        let at = &self.instances[instance];
        let slowness = at.speeds.compare(now);
        let rng = &mut self.rng;
        let online = |n: u32| match self.rule {
            Rule::Fresh => self.servers[n as usize].placed,
            _ => at.placed[n as usize],
        };
        let candidate = |n: u32| Candidate {
            placed: Placed {
                online: online(n),
                batch: 0,
            },
            slowness: slowness.of(BackendKey(n)),
            in_shard: shard.contains(&n),
            draw: rng.random(),
            ..busy_candidate(n)
        };
        let candidates: Vec<Candidate> = (0..self.fleet.servers).map(candidate).collect();
        let draw = self.rng.random();
        let begun = Instant::now();
        let unseen = (at.arrivals.unseen(now), at.arrivals.age(now));
        let placement = self
            .rule
            .choose(&candidates, LIMITS, unseen, instance, draw);
        self.seen.chosen += begun.elapsed();
        self.seen.requests += 1;
        let Placement::Send(key) = placement else {
            self.seen.refused += 1;
            return;
        };
        let server = key.0 as usize;
        self.instances[instance].own[server] += 1;
        self.instances[instance].placed[server] += 1;
        self.report_due(instance);
        self.servers[server].placed += 1;
        let run = self.runs.len();
        self.runs.push(Run {
            instance,
            server,
            at: self.now,
        });
        let latency = self.latency();
        self.schedule(latency, Event::Arrives { run });
    }

    fn arrives(&mut self, run: usize) {
        let index = self.runs[run].server;
        let free_elsewhere = self.servers.iter().any(|s| s.running < SLOTS);
        let server = &mut self.servers[index];
        if server.running < SLOTS {
            server.running += 1;
            self.start(run);
            return;
        }
        self.seen.waited += u32::from(free_elsewhere);
        self.seen.queued += u32::from(server.queue.len() >= QUEUE as usize);
        if server.queue.len() >= SERVER_QUEUE {
            self.seen.rejected += 1;
            let latency = self.latency();
            self.schedule(latency, Event::Ended { run });
        } else {
            server.queue.push_back(run);
        }
    }

    fn start(&mut self, run: usize) {
        let Run { server, at, .. } = self.runs[run];
        let latency = self.latency();
        self.seen
            .first_events
            .push(self.now + PREFILL + latency - at);
        let time = PREFILL + EVENTS * self.servers[server].gap;
        self.schedule(time, Event::Ends { run });
    }

    fn ends(&mut self, run: usize) {
        let server = &mut self.servers[self.runs[run].server];
        match server.queue.pop_front() {
            Some(next) => self.start(next),
            None => server.running -= 1,
        }
        let after = self.latency() + self.lag(self.runs[run].instance);
        self.schedule(after, Event::Ended { run });
    }

    fn report_due(&mut self, from: usize) {
        if !std::mem::replace(&mut self.instances[from].report_due, true) {
            let after = self.gathering() + self.lag(from);
            self.schedule(after, Event::Report { from, tick: false });
        }
    }

    fn report(&mut self, from: usize, tick: bool) {
        let now = self.time();
        let gathering = Duration::from_micros(self.gathering());
        let at = &mut self.instances[from];
        at.report_due = false;
        let own = at.own.iter().copied().enumerate();
        let report = Rc::new(Report {
            number: self.sequence,
            online: own.filter(|(_, count)| *count > 0).collect(),
        });
        at.arrivals.set_gathering(gathering);
        at.arrivals.sent(!report.online.is_empty(), now);
        let peers = at.peers.iter().enumerate();
        let has_work = |peer: &Report| !peer.online.is_empty();
        let receivers = peers.filter(|(to, peer)| *to != from && (tick || has_work(peer)));
        let receivers: Vec<usize> = receivers.map(|(to, _)| to).collect();
        if tick {
            self.schedule(TICK, Event::Report { from, tick });
        }
        for to in receivers {
            let after = self.latency() + self.lag(to);
            let report = report.clone();
            self.schedule(after, Event::Reported { from, to, report });
        }
    }

    fn reported(&mut self, from: usize, to: usize, report: Rc<Report>) {
        let now = self.time();
        let name = self.instances[from].name.clone();
        let at = &mut self.instances[to];
        if at.peers[from].number > report.number {
            return;
        }
        let before = std::mem::replace(&mut at.peers[from], report.clone());
        let mut started = 0;
        for (server, count) in &report.online {
            let counted = before.online.iter().find(|(s, _)| s == server);
            started += count.saturating_sub(counted.map_or(0, |(_, count)| *count));
            at.placed[*server] += count;
        }
        for (server, count) in &before.online {
            at.placed[*server] -= count;
        }
        at.arrivals.reported(&name, started, now);
    }

    fn sample(&mut self) {
        if self.level() < PEAK || self.now % SWING < SETTLED {
            return;
        }
        let held = |s: &Server| f64::from(s.running) + s.queue.len() as f64;
        let loads: Vec<f64> = self.servers.iter().map(held).collect();
        self.seen.spreads.push(spread(loads));
    }
}

/// Returns the 95th percentile over the mean.
fn spread(mut loads: Vec<f64>) -> f64 {
    loads.sort_by(f64::total_cmp);
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads[loads.len() * 95 / 100] / mean
}
