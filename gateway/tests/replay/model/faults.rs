//! Faults of servers and instances, and the circumstances in which items are stopped.

use super::*;

/// Factor by which a slow server is slower.
pub(super) const SLOWNESS: f64 = 5.0;
/// Time between two faults of the same kind.
const FAULT_PERIOD: Micros = 9_000_000;
/// Time for which servers are slow.
const SLOW: Micros = 6_000_000;
/// Time for which a fifth of the servers or the instances is down.
const DOWN: Micros = 4_500_000;
/// Time after which peers drop the load of an instance that sends no reports.
const PEER_TIMEOUT: Micros = 1_100_000;
/// Delay before the next run of an item whose run broke.
const RETRY_DELAY: Micros = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// Servers from this one on become slow, or fast again.
    Slow(usize, bool),
    /// A fifth of the servers fails or returns.
    ServersDown(bool),
    /// A fifth of the instances is killed or returns.
    InstancesDown(bool),
}

impl Server {
    /// Creates a server; those of unequal fleets differ by up to a fifth in speed.
    pub(super) fn new(demand: &Demand, n: u32) -> Self {
        let percent = if demand.unequal {
            85 + u64::from(n % 7) * 5
        } else {
            100
        };
        Self {
            running: Vec::new(),
            queue: VecDeque::new(),
            event: demand.event * percent / 100,
            is_slow: false,
            is_down: false,
            item_started: 0,
            was_full: false,
            item_stopped: None,
        }
    }

    fn placed(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

impl Model {
    pub(super) fn plan_faults(&mut self) {
        if !self.demand.faults {
            return;
        }
        let end = self.demand.time;
        let mut plan = |at: Micros, lasts: Micros, fault: fn(bool) -> Fault| {
            self.schedule(at, Event::Fault(fault(true)));
            self.schedule(at + lasts, Event::Fault(fault(false)));
        };
        let rounds = (0..).map(|n| n * FAULT_PERIOD);
        for at in rounds.take_while(|at| *at + FAULT_PERIOD <= end) {
            plan(at + 1_000_000, SLOW, |on| Fault::Slow(5, on));
            plan(at + 3_000_000, DOWN, Fault::ServersDown);
            plan(at + 6_000_000, DOWN, Fault::InstancesDown);
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(first, on) => {
                for server in first..first + 4 {
                    self.set_slow(server, on);
                }
            }
            Fault::ServersDown(on) => {
                for server in (0..self.servers.len()).filter(|n| n % 5 == 2) {
                    self.servers[server].is_down = on;
                    if on {
                        self.break_all(server);
                    }
                }
            }
            Fault::InstancesDown(on) => {
                for instance in (0..self.instances.len()).filter(|n| n % 5 == 3) {
                    if on {
                        self.kill(instance);
                    } else {
                        self.restart(instance);
                    }
                }
            }
        }
    }

    /// Changes the speed of a server; the present runs end later or sooner.
    fn set_slow(&mut self, server: usize, slow: bool) {
        let s = &mut self.servers[server];
        s.is_slow = slow;
        let factor = if slow { SLOWNESS } else { 1.0 / SLOWNESS };
        s.event = (s.event as f64 * factor) as Micros;
        for id in s.running.clone() {
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            let rest = (run.ends.saturating_sub(self.now) as f64 * factor) as Micros;
            run.ends = self.now + rest;
            self.schedule(rest, Event::RunEnds { run: id });
        }
    }

    fn break_all(&mut self, server: usize) {
        let s = &mut self.servers[server];
        let runs: Vec<u64> = s.running.drain(..).chain(s.queue.drain(..)).collect();
        for id in runs {
            self.break_run(id);
        }
    }

    /// Ends a run whose server failed. An online request is sent again, an item keeps its output.
    pub(super) fn break_run(&mut self, id: u64) {
        self.keep_output(id);
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let now = self.time();
        let instance = &mut self.instances[run.instance];
        match run.work {
            Work::Online(request) => {
                instance
                    .load
                    .online_ended(BackendKey(run.server as u32), now);
                let retry = true;
                self.schedule(MESSAGE, Event::Online { request, retry });
            }
            Work::Item { key } => {
                instance.load.batch_ended(key, now);
                if let Some(item) = instance.items.get_mut(&key) {
                    item.run = None;
                    item.not_before = self.now + RETRY_DELAY;
                }
            }
        }
        self.report(run.instance);
    }

    /// Adds the events of a run that is about to end early to the output of its item.
    pub(super) fn keep_output(&mut self, id: u64) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let Work::Item { key } = run.work else {
            return;
        };
        if run
            .started
            .is_none_or(|started| self.now <= started + PREFILL)
        {
            return;
        }
        let rest = run.ends.saturating_sub(self.now) / self.servers[run.server].event;
        let ran = run.events.saturating_sub(rest + 1);
        if let Some(item) = self.instances[run.instance].items.get_mut(&key) {
            item.done += ran;
        }
    }

    /// Kills an instance. Its online requests are lost, and another one runs its items anew.
    fn kill(&mut self, n: usize) {
        let runs = self.runs.iter().filter(|(_, run)| run.instance == n);
        let runs: Vec<u64> = runs.map(|(id, _)| *id).collect();
        for id in runs {
            let run = self.runs.remove(&id);
            let online = run.is_some_and(|run| matches!(run.work, Work::Online(_)));
            self.served.online_failed += u32::from(online);
            self.remove_run(id);
        }
        let name = std::mem::take(&mut self.instances[n].name);
        let items = std::mem::take(&mut self.instances[n].items);
        self.instances[n] = Instance {
            name,
            is_down: true,
            pacing: self.policy.pacing(),
            ..Instance::default()
        };
        self.reports.remove(&n);
        for (key, item) in items {
            let heir = self.draw_instance(self.demand.runners);
            let item = Item {
                done: 0,
                run: None,
                not_before: self.now + PEER_TIMEOUT,
                ..item
            };
            self.instances[heir].items.insert(key, item);
        }
        self.schedule(PEER_TIMEOUT, Event::PeerLost { peer: n });
    }

    /// Returns an instance to service, which peers have sent their reports to.
    fn restart(&mut self, n: usize) {
        let now = self.time();
        let instance = &mut self.instances[n];
        instance.is_down = false;
        for (from, report) in &self.reports {
            instance.load.apply_report(report, now);
            let items = PeerItems::new(report, &self.policy);
            instance.peers.insert(*from, items);
        }
    }

    pub(super) fn peer_lost(&mut self, peer: usize) {
        let now = self.time();
        let name = self.instances[peer].name.clone();
        for instance in &mut self.instances {
            instance.load.remove_peer(&name, now);
            instance.peers.remove(&peer);
        }
    }

    /// Lets an instance observe the online requests of all usable servers.
    pub(super) fn observe(&mut self, n: usize) {
        let now = self.time();
        let up = self
            .servers
            .iter()
            .zip(0..)
            .filter(|(s, _)| !s.is_down && !s.is_slow);
        let instance = &mut self.instances[n];
        let online =
            up.map(|(_, on)| (BackendKey(on), instance.load.placed(BackendKey(on)).online));
        instance.pacing.observe(&online.collect(), now);
    }

    pub(super) fn count_start(&mut self, server: usize) {
        let s = &mut self.servers[server];
        let recent = |at: Option<Micros>| at.is_some_and(|at| self.now - at < 300_000);
        self.served.refilled += u32::from(recent(s.item_stopped));
        s.was_full = s.placed() >= SLOTS as usize;
        s.item_started = self.now;
    }

    pub(super) fn count_stop(&mut self, server: usize, started: Micros, cause: StopCause) {
        let up = self.servers.iter().filter(|s| !s.is_down && !s.is_slow);
        let free: usize = up
            .map(|s| (SLOTS as usize).saturating_sub(s.placed()))
            .sum();
        let any_free = free > self.servers.len() * SLOTS as usize / 20;
        let s = &mut self.servers[server];
        s.item_stopped = Some(self.now);
        let double = s.was_full && self.now - s.item_started < 500_000;
        let served = &mut self.served;
        served.stops += 1;
        served.early += u32::from(self.now - started < 1_000_000);
        match cause {
            StopCause::SlowServer => served.on_slow += 1,
            _ if double => served.double_starts += 1,
            _ if any_free => served.uneven += 1,
            _ => {}
        }
    }
}
