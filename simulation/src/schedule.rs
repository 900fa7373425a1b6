//! Lower estimate: what a list schedule with knowledge of the whole day earns on simulated servers.

use crate::plan::Plan;
use crate::request::Request;
use crate::server::{
    Ended,
    Server, //
};

/// Milliseconds of prompts that are expected to be read per millisecond of decode steps.
const READING: f64 = 0.1;

/// Choices of a schedule.
#[derive(Clone, Debug)]
pub(crate) struct Policy {
    /// Whether each request is to be run at all.
    pub(crate) accepted: Vec<bool>,
    /// Most items that run at once on a server.
    pub(crate) items: usize,
}

/// What is started first, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Tier {
    /// What would be late, by its worth per time that it would take.
    Late,
    /// Items on time, by the time at which they are due.
    Item,
    /// Online requests on time, by their worth per time that they would take.
    Request,
}

/// Runs the requests, ordered by their start, and returns what each of them earns.
///
/// A server with a free slot starts the waiting request of the highest tier. Requests wait at the
/// instances, which know the state of all servers.
pub(crate) fn run(plan: &Plan, requests: &[Request], policy: &Policy) -> Vec<f64> {
    let mut day = Day::new(plan, requests, policy);
    while day.advance() {}
    day.earned
}

/// State of a simulated day.
struct Day<'a> {
    requests: &'a [Request],
    policy: &'a Policy,
    servers: Vec<Server<'a>>,
    /// End of the step of each server; infinite if it is idle.
    next: Vec<f64>,
    /// Index of the next request to arrive.
    arriving: usize,
    /// Requests that have arrived and may still earn something.
    waiting: Vec<usize>,
    ended: Vec<Ended>,
    earned: Vec<f64>,
}

impl<'a> Day<'a> {
    fn new(plan: &'a Plan, requests: &'a [Request], policy: &'a Policy) -> Self {
        let groups = plan.servers.iter();
        // The first servers of a group are the slow ones; idle servers are tried in order.
        let servers =
            groups.flat_map(|g| (0..g.count).rev().map(move |index| Server::new(g, index)));
        let servers: Vec<Server<'a>> = servers.collect();
        Self {
            requests,
            policy,
            next: vec![f64::INFINITY; servers.len()],
            servers,
            arriving: 0,
            waiting: Vec::new(),
            ended: Vec::new(),
            earned: vec![0.0; requests.len()],
        }
    }

    /// Handles the next arrival or the next step; returns whether there was one.
    fn advance(&mut self) -> bool {
        let next = self.next.iter().copied().enumerate();
        let (server, now) = next
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0, f64::INFINITY));
        match self.requests.get(self.arriving) {
            Some(request) if request.start <= now => self.arrive(request.start),
            _ if now.is_finite() => self.step(server, now),
            _ => return false,
        }
        true
    }

    fn arrive(&mut self, now: f64) {
        if self.policy.accepted[self.arriving] {
            self.waiting.push(self.arriving);
            for (next, server) in self.next.iter_mut().zip(&self.servers) {
                if server.is_idle() {
                    *next = now;
                }
            }
        }
        self.arriving += 1;
    }

    fn step(&mut self, server: usize, now: f64) {
        self.fill(server, now);
        let requests = self.requests;
        let server_state = &mut self.servers[server];
        if server_state.is_idle() {
            self.next[server] = f64::INFINITY;
            return;
        }
        self.next[server] = server_state.step(now, requests, &mut self.ended);
        for ended in self.ended.drain(..) {
            self.earned[ended.index] = ended.earned;
        }
    }

    /// Starts waiting requests on a server while it has room for them.
    fn fill(&mut self, server: usize, now: f64) {
        let requests = self.requests;
        if self.servers[server].is_full() {
            return;
        }
        self.waiting.retain(|index| now < requests[*index].late_by);
        while let Some(position) = self.choose(server, now) {
            let index = self.waiting.swap_remove(position);
            self.servers[server].start(index, &requests[index]);
        }
    }

    /// Returns the position in `waiting` of the request to start next on a server, if any.
    fn choose(&self, server: usize, now: f64) -> Option<usize> {
        let server = &self.servers[server];
        let running = server.running().filter(|index| self.requests[*index].batch);
        let items = running.count() < self.policy.items;
        let mut best = (None, (Tier::Late, 0.0));
        for (position, index) in self.waiting.iter().enumerate() {
            let request = &self.requests[*index];
            if (request.batch && !items) || !server.fits(request) {
                continue;
            }
            let Some(forecast) = server.forecast(now, request, READING) else {
                continue;
            };
            let density = forecast.worth / forecast.duration;
            let rank = match (forecast.worth >= request.worth, request.batch) {
                (false, _) => (Tier::Late, density),
                (true, true) => (Tier::Item, -request.done_by),
                (true, false) => (Tier::Request, density),
            };
            if rank > best.1 {
                best = (Some(position), rank);
            }
        }
        best.0
    }
}
