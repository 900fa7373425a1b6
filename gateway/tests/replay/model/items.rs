//! Start and preemption of items at an instance.

use super::*;

impl Model {
    pub(super) fn balance(&mut self, n: usize) {
        self.instances[n].balance_due = false;
        if !self.available || self.instances[n].is_down || self.instances[n].items.is_empty() {
            return;
        }
        self.stop(n);
        self.observe(n);
        let mut waiting = self.waiting(n);
        let now = self.time();
        if waiting.is_empty() {
            return;
        }
        let mut pacing = std::mem::take(&mut self.instances[n].pacing);
        let load = &self.instances[n].load;
        let up = (0..self.demand.servers).filter(|n| !self.servers[*n as usize].is_down);
        let batch_candidates = up.map(|key| BatchCandidate {
            key: BackendKey(key),
            slots: SLOTS,
            placed: load.placed(BackendKey(key)),
            suspect: false,
            slow: self.servers[key as usize].is_slow,
            other_cell: false,
            permit: Permit::Unlimited,
            unchanged_for: load.unchanged_for(BackendKey(key), now),
        });
        let batch_candidates: Vec<BatchCandidate> = batch_candidates.collect();
        let peers = &self.instances[n].peers;
        let named = |in_time: bool| -> Vec<&str> {
            let peers = peers
                .iter()
                .filter(|(_, p)| p.contends && p.in_time == in_time);
            peers
                .map(|(peer, _)| self.instances[*peer].name.as_str())
                .collect()
        };
        let contenders = Contenders {
            in_time: &named(true),
            late: &named(false),
            any_late: peers.values().any(|peer| peer.any_late),
        };
        let me = &self.instances[n].name;
        let waiting = &mut waiting;
        let reserve = self.policy.reserve;
        let chosen = match self.policy.pacing {
            Some(_) => {
                pacing.choose_starts(waiting, &batch_candidates, me, contenders, reserve, now)
            }
            None => choose_starts(waiting, &batch_candidates, me, contenders, reserve),
        };
        self.instances[n].pacing = pacing;
        for (key, backend) in &chosen {
            self.start(n, *key, *backend);
        }
        if !chosen.is_empty() {
            self.report(n);
        }
    }

    pub(super) fn start(&mut self, n: usize, key: ItemKey, backend: BackendKey) {
        self.count_start(backend.0 as usize);
        let item = &self.instances[n].items[&key];
        let remaining = item.events.saturating_sub(item.done).max(1);
        let due = item.due / 1_000;
        let run = self.send(backend.0 as usize, n, Work::Item { key }, remaining);
        let now = self.time();
        let instance = &mut self.instances[n];
        let placed = BatchRun {
            item: key,
            backend,
            due,
        };
        instance.load.batch_started(placed, now);
        if let Some(item) = instance.items.get_mut(&key) {
            item.run = Some(run);
            item.started = self.now;
        }
    }

    /// Stops the items whose slots are needed.
    pub(super) fn stop(&mut self, n: usize) {
        let now = self.time();
        // Unless late items are ranked last, none counts as late.
        let unix_ms = if self.policy.late_last {
            self.now / 1_000
        } else {
            0
        };
        let excess = self.excess(n, now);
        let instance = &self.instances[n];
        let stops = choose_preemptions(
            &instance.load,
            &instance.name,
            unix_ms,
            |on| excess.get(&on).copied().unwrap_or(0),
            |on| self.servers[on.0 as usize].is_slow,
        );
        for stop in &stops {
            self.stop_run(n, stop.item, stop.cause);
        }
        if !stops.is_empty() {
            self.report(n);
        }
    }

    /// Returns the number of items to stop on each server that has an item of the instance.
    pub(super) fn excess(&mut self, n: usize, now: Timestamp) -> HashMap<BackendKey, u32> {
        let instance = &mut self.instances[n];
        let excess = instance.load.excess(|_| Some(SLOTS));
        match self.policy.pacing {
            Some(_) => instance.pacing.excess(excess, now),
            None => excess,
        }
    }

    pub(super) fn stop_run(&mut self, n: usize, key: ItemKey, cause: StopCause) {
        let now = self.time();
        let instance = &mut self.instances[n];
        instance.load.batch_ended(key, now);
        let Some(item) = instance.items.get_mut(&key) else {
            return;
        };
        let Some(id) = item.run.take() else {
            return;
        };
        let started = item.started;
        self.keep_output(id);
        if let Some(run) = self.runs.remove(&id) {
            self.count_stop(run.server, started, cause);
        }
        self.schedule(MESSAGE, Event::RunRemoved { run: id });
    }
}
