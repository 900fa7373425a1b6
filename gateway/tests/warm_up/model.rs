//! Model of instances that send to cold servers, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use limpetweir_gateway::{
    ColdReport,
    Permit,
    Purpose,
    RunKey,
    Sender,
    ServerLimits, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};

use crate::{
    COLD_MS,
    ONLINE,
    RATE,
    REPORT_INTERVAL,
    UNIX_MS,
    cold_for,
    entry,
    limits,
    ms, //
};

/// What happens while the servers are cold; times are in milliseconds from their return.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trouble {
    /// Reports of this time span are lost.
    pub(crate) lost: Option<(u64, u64)>,
    /// Part of the instances that is cut off from the others from the beginning on.
    pub(crate) cut_off: f64,
    /// Part of the instances that starts anew after a second.
    pub(crate) restarted: f64,
    /// Largest difference of the clocks of machines.
    pub(crate) clocks_ms: u64,
    /// Longest time until an instance has read an entry.
    pub(crate) read_ms: u64,
    /// Whether items wait at all instances.
    pub(crate) items: bool,
    /// Whether all instances had no work before.
    pub(crate) idle_before: bool,
    /// Part of the instances that get all requests.
    pub(crate) with_callers: f64,
}

pub(crate) const CALM: Trouble = Trouble {
    lost: None,
    cut_off: 0.0,
    restarted: 0.0,
    clocks_ms: 20,
    read_ms: 0,
    items: false,
    idle_before: false,
    with_callers: 1.0,
};

/// An instance of the model.
struct Instance {
    limits: ServerLimits,
    /// Time of the model at which its clock was 0.
    origin: u64,
    clock_ms: u64,
    boot: u64,
    cut_off: bool,
    read_at: u64,
}

/// Load pattern: all instances get requests, and every one of them finds the cold servers empty.
pub(crate) struct Model {
    instances: Vec<Instance>,
    runs: Vec<RunKey>,
    /// Reports on their way: arrival, sender and content.
    reports: VecDeque<(u64, usize, u64, Vec<ColdReport>)>,
    /// Requests that each server got.
    arrivals: Vec<Vec<u64>>,
    /// Largest report.
    pub(crate) most_reported: usize,
    rng: SmallRng,
    trouble: Trouble,
}

/// Time of the model at which the servers return, after which instances have been running for long.
const RETURN: u64 = 60_000;

impl Model {
    /// Plays the return of `servers` at `demand` requests per second.
    pub(crate) fn play(count: usize, servers: usize, demand: f64, trouble: Trouble) -> Self {
        let mut rng = SmallRng::seed_from_u64(count as u64);
        let instances = (0..count).map(|n| Instance {
            limits: limits(&format!("instance-{n}")),
            origin: 0,
            clock_ms: rng.random_range(0..=trouble.clocks_ms),
            boot: 1,
            cut_off: (n as f64) < trouble.cut_off * count as f64,
            read_at: RETURN + rng.random_range(0..=trouble.read_ms),
        });
        let mut model = Self {
            instances: instances.collect(),
            runs: (0..servers)
                .map(|n| entry(n, UNIX_MS + RETURN).run())
                .collect(),
            reports: VecDeque::new(),
            arrivals: vec![Vec::new(); servers],
            most_reported: 0,
            rng,
            trouble,
        };
        let callers = ((count as f64 * trouble.with_callers) as usize).max(1);
        for at in RETURN - 1_000..RETURN + COLD_MS {
            model.tick(at, callers);
            let arrivals = demand / 1_000.0;
            let more = model.rng.random_bool(arrivals.fract());
            for _ in 0..arrivals as usize + usize::from(more) {
                let n = model.rng.random_range(0..callers);
                model.request(n, ONLINE, at);
            }
            if trouble.items && at % 10 == 0 {
                (0..count).for_each(|n| model.request(n, Purpose::Item, at));
            }
        }
        model
    }

    fn tick(&mut self, at: u64, callers: usize) {
        if self.trouble.restarted > 0.0 && at == RETURN + 1_000 {
            let restarted = self.instances.len() as f64 * self.trouble.restarted;
            for (n, instance) in self
                .instances
                .iter_mut()
                .take(restarted as usize)
                .enumerate()
            {
                instance.limits = limits(&format!("instance-{n}"));
                (instance.origin, instance.boot, instance.read_at) = (at, 2, at + 50);
            }
        }
        let servers = self.runs.len();
        for instance in self.instances.iter_mut().filter(|i| i.read_at == at) {
            let now = ms(at - instance.origin);
            for n in 0..servers {
                let stated = cold_for(RETURN + COLD_MS - at);
                let unix_ms = UNIX_MS + at + instance.clock_ms;
                let entry = entry(n, UNIX_MS + RETURN);
                instance
                    .limits
                    .cold_mut()
                    .entry_read(&entry, &stated, now, unix_ms);
            }
        }
        while let Some((_, from, boot, report)) = self.reports.pop_front_if(|r| r.0 <= at) {
            let cut_off = self.instances[from].cut_off;
            let name = format!("instance-{from}");
            for (n, to) in self.instances.iter_mut().enumerate() {
                if n != from && to.cut_off == cut_off {
                    let now = ms(at - to.origin);
                    let cold = to.limits.cold_mut();
                    cold.apply_report(&name, boot, &report, |_| None, now);
                }
            }
        }
        let parted = self.trouble.cut_off > 0.0 || self.trouble.lost.is_some();
        if at.is_multiple_of(if parted { 50 } else { 250 }) {
            self.meet(at, callers);
        }
        if at.is_multiple_of(250) {
            (0..self.instances.len()).for_each(|n| self.report(n, at));
        }
    }

    /// Tells each instance how long it has not heard the others.
    fn meet(&mut self, at: u64, callers: usize) {
        let since_return = at.saturating_sub(RETURN);
        let lost = self
            .trouble
            .lost
            .filter(|(from, to)| (*from..*to).contains(&since_return));
        let lost_for = lost.map_or(0, |(from, _)| since_return - from);
        let cut_off: Vec<bool> = self.instances.iter().map(|i| i.cut_off).collect();
        let names: Vec<String> = (0..cut_off.len())
            .map(|n| format!("instance-{n}"))
            .collect();
        for (n, instance) in self.instances.iter_mut().enumerate() {
            let idle = self.trouble.idle_before;
            let has_work = |n: usize, known_at: u64| {
                (self.trouble.items || n < callers) && (!idle || at >= known_at)
            };
            let others = (0..cut_off.len()).filter(|other| *other != n);
            let others = others.map(|other| {
                let silent_ms = match cut_off[other] == instance.cut_off {
                    true => lost_for,
                    false => since_return,
                };
                Sender {
                    name: &names[other],
                    // Those without work get reports at longer intervals.
                    has_work: has_work(other, RETURN + other as u64 * 37 % 250),
                    heard: Some((Duration::from_millis(silent_ms), REPORT_INTERVAL)),
                }
            });
            let now = ms(at - instance.origin);
            let others: Vec<Sender<'_>> = others.collect();
            instance
                .limits
                .set_cold_senders(has_work(n, RETURN), &others, now);
        }
    }

    /// Sends a report that arrives 2 to 30 ms later.
    fn report(&mut self, n: usize, at: u64) {
        let instance = &self.instances[n];
        let report = instance.limits.cold().reports(ms(at - instance.origin));
        self.most_reported = self.most_reported.max(report.len());
        let lost = self
            .trouble
            .lost
            .is_some_and(|(from, to)| (from..to).contains(&(at.saturating_sub(RETURN))));
        if !lost && !report.is_empty() {
            let due = at + self.rng.random_range(2..=30);
            let place = self.reports.partition_point(|r| r.0 <= due);
            self.reports.insert(place, (due, n, instance.boot, report));
        }
    }

    /// Sends a request to a cold server, if one takes it. All instances prefer the same servers.
    fn request(&mut self, n: usize, purpose: Purpose, at: u64) {
        let instance = &mut self.instances[n];
        if at < instance.read_at {
            return;
        }
        let (now, unix_ms) = (ms(at - instance.origin), UNIX_MS + at + instance.clock_ms);
        let limits = &instance.limits;
        let allows = |run: &RunKey| limits.permit(*run, purpose, now, unix_ms) == Permit::Paced;
        if let Some(server) = self.runs.iter().position(allows) {
            instance.limits.sent(self.runs[server], now);
            self.arrivals[server].push(at);
            self.report(n, at);
        }
    }

    /// Returns the most requests in any second at one server.
    pub(crate) fn most(&self) -> usize {
        let most = self.arrivals.iter().flat_map(|times| {
            times.iter().map(|start| {
                let end = times.partition_point(|at| *at < start + 1_000);
                end - times.partition_point(|at| at < start)
            })
        });
        most.max().unwrap_or(0)
    }

    /// Returns the part of the rate that is used from the time `from_ms` after the return on.
    pub(crate) fn used(&self, from_ms: u64) -> f64 {
        let since = |times: &Vec<u64>| times.iter().filter(|at| **at >= RETURN + from_ms).count();
        let sent: usize = self.arrivals.iter().map(since).sum();
        let allowed = RATE * (COLD_MS - from_ms) as f64 / 1_000.0 * self.arrivals.len() as f64;
        sent as f64 / allowed
    }
}
