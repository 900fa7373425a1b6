//! Upper estimate: the most that any schedule can earn, from prices of work over time.
//!
//! A step with `k` running requests takes `step_ms + k * step_ms_per_running` and gives `k <= slots` tokens, so a token
//! takes at least `step_ms / slots + step_ms_per_running` of a server's time; a token of a prompt
//! that is not in the cache takes `1 / prompt_tokens_per_ms`. A slow span of factor `f` leaves `1 / f`
//! of the time. Every schedule therefore does, in each window of time, at most the work that the
//! servers have time for, and each event that is on time takes its work between the arrival and its
//! latest time.
//!
//! Give each window any price per unit of work. What a schedule earns is at most the worth of the
//! requests it completes, less the price of the work that they take, plus the price of all work
//! that there is. Each request adds at most its worth less the lowest price of the windows in which
//! its work may be done, or nothing. So the sum over all requests plus the price of all work is an
//! upper bound of every schedule for every choice of prices; a search lowers it. This is the
//! Lagrangian dual of the fluid relaxation: slots, memory, queues and the division of work between servers
//! are left out, which only raises the bound.

use crate::capacity::Speed;
use crate::plan::{
    Plan,
    ServerGroup, //
};
use crate::request::Request;

/// Width of a window in milliseconds.
const WINDOW_MS: f64 = 250.0;

/// Rounds of the search for prices.
const ROUNDS: u32 = 600;

/// Rounds of the search for the best constant price.
const CONSTANT_ROUNDS: u32 = 20;

/// How far requests spread their work over similar prices in the first round, as a share of a
/// typical price.
const FIRST_SOFTNESS: f64 = 0.3;

/// The same in the last round.
const LAST_SOFTNESS: f64 = 0.02;

/// Largest excess of demand, relative to the capacity, that raises a price in one round.
const MAX_EXCESS: f64 = 3.0;

/// Weight of a round in the running mean of the prices.
const MEAN_WEIGHT: f64 = 0.05;

/// Time of a server that work takes at least, on the reference server.
#[derive(Clone, Copy, Debug)]
struct Costs {
    /// Milliseconds per generated token.
    token: f64,
    /// Milliseconds per token of a prompt that is read.
    prompt: f64,
}

/// A part of the work of a request, and the windows in which it may be done.
#[derive(Clone, Copy, Debug)]
struct Part {
    work: f64,
    first_window: usize,
    last_window: usize,
}

/// A request for the relaxation.
#[derive(Clone, Debug)]
struct Job {
    worth: f64,
    late_worth: f64,
    /// The parts on time: up to the first event, and the rest.
    on_time: [Part; 2],
    /// All work, up to the deadline.
    late: Part,
    /// Whether it can be on time on an empty server of full speed.
    can_be_on_time: bool,
    /// Whether it can end before its deadline on an empty server of full speed.
    can_be_late: bool,
}

/// Prices of work over time, and the bound that follows from them.
#[derive(Clone, Debug)]
pub(crate) struct Prices {
    /// Price per unit of work in each window; not negative.
    windows: Vec<f64>,
    /// Upper bound of what any schedule earns.
    pub(crate) bound: f64,
}

/// The fluid relaxation of a day.
pub(crate) struct Relaxation {
    jobs: Vec<Job>,
    /// Work that all servers can do in each window; positive.
    capacity: Vec<f64>,
}

impl Relaxation {
    pub(crate) fn new(plan: &Plan, requests: &[Request]) -> Self {
        let costs = Costs::new(plan);
        let horizon = requests.iter().map(|r| r.late_by).fold(0.0, f64::max);
        Self {
            jobs: requests.iter().map(|r| costs.job(plan, r)).collect(),
            capacity: costs.capacity(plan, window_of(horizon) + 1),
        }
    }

    /// Searches for prices with a low bound: each round raises the prices of windows in which
    /// requests want more work than there is, and lowers the others. Requests spread their work over
    /// windows with similar prices, ever less so; otherwise all would move to the cheapest window
    /// together.
    pub(crate) fn search(&self) -> Prices {
        let scale = self.price_scale();
        let mut prices = self.constant_price(4.0 * scale);
        let mut mean = prices.clone();
        let free = vec![0.0; prices.len()];
        let mut best = Prices {
            bound: self.bound(&free),
            windows: free,
        };
        for round in 0..ROUNDS {
            for candidate in [&prices, &mean] {
                let bound = self.bound(candidate);
                if bound < best.bound {
                    best.bound = bound;
                    best.windows.clone_from(candidate);
                }
            }
            let progress = f64::from(round) / f64::from(ROUNDS);
            let softness = scale * FIRST_SOFTNESS * (LAST_SOFTNESS / FIRST_SOFTNESS).powf(progress);
            let demand = self.demand(&prices, softness);
            for ((price, demand), capacity) in prices.iter_mut().zip(&demand).zip(&self.capacity) {
                let excess = (demand / capacity - 1.0).min(MAX_EXCESS);
                *price = (*price + softness * excess).max(0.0);
            }
            for (mean, price) in mean.iter_mut().zip(&prices) {
                *mean += (price - *mean) * MEAN_WEIGHT;
            }
        }
        best
    }

    /// Returns the price, the same in all windows and at most `max`, with the lowest bound. The bound
    /// is a convex function of it.
    fn constant_price(&self, max: f64) -> Vec<f64> {
        let prices = |price: f64| vec![price; self.capacity.len()];
        let (mut low, mut high) = (0.0, max);
        for _ in 0..CONSTANT_ROUNDS {
            let third = (high - low) / 3.0;
            if self.bound(&prices(low + third)) < self.bound(&prices(high - third)) {
                high -= third;
            } else {
                low += third;
            }
        }
        prices(low)
    }

    /// Returns the bound for the given prices.
    fn bound(&self, prices: &[f64]) -> f64 {
        let paid = prices.iter().zip(&self.capacity);
        let paid: f64 = paid.map(|(price, capacity)| price * capacity).sum();
        paid + self.jobs.iter().map(|job| job.surplus(prices)).sum::<f64>()
    }

    /// Returns the work that requests want in each window, spread over windows and choices whose
    /// prices differ by about `softness`.
    fn demand(&self, prices: &[f64], softness: f64) -> Vec<f64> {
        let weights: Vec<f64> = prices
            .iter()
            .map(|price| (-price / softness).exp())
            .collect();
        // Work per unit of weight that begins, or ends, to be wanted at a window.
        let mut changes = vec![0.0; prices.len() + 1];
        for job in &self.jobs {
            job.add_demand(prices, &weights, softness, &mut changes);
        }
        let mut wanted = 0.0;
        let windows = weights.iter().zip(changes);
        windows
            .map(|(weight, change)| {
                wanted += change;
                wanted.max(0.0) * weight
            })
            .collect()
    }

    /// Returns a typical worth per unit of work.
    fn price_scale(&self) -> f64 {
        let worth: f64 = self.jobs.iter().map(|job| job.worth).sum();
        let work: f64 = self.jobs.iter().map(|job| job.late.work).sum();
        worth / work.max(f64::MIN_POSITIVE)
    }

    /// Returns the worth of a request less a multiple of the price of its work.
    pub(crate) fn surplus(&self, index: usize, prices: &Prices, factor: f64) -> f64 {
        let options = self.jobs[index].options();
        let surplus = options.map(|(worth, parts)| {
            let costs = parts.iter().map(|part| part.cost(&prices.windows));
            worth - factor * costs.sum::<f64>()
        });
        surplus.fold(0.0, f64::max)
    }
}

impl Job {
    /// Returns the most that the request adds to the bound.
    fn surplus(&self, prices: &[f64]) -> f64 {
        let options = self.options();
        let surplus = options.map(|(worth, parts)| {
            let costs = parts.iter().map(|part| part.cost(prices));
            worth - costs.sum::<f64>()
        });
        surplus.fold(0.0, f64::max)
    }

    /// Returns the ways to run the request that are possible: their worth and their work.
    fn options(&self) -> impl Iterator<Item = (f64, &[Part])> {
        let on_time = (self.worth, self.on_time.as_slice());
        let late = (self.late_worth, std::slice::from_ref(&self.late));
        let on_time = self.can_be_on_time.then_some(on_time);
        on_time.into_iter().chain(self.can_be_late.then_some(late))
    }

    fn add_demand(&self, prices: &[f64], weights: &[f64], softness: f64, changes: &mut [f64]) {
        let unit = softness * self.late.work;
        let odds = |(worth, parts): (f64, &[Part])| {
            let costs = parts.iter().map(|part| part.spread(prices, weights).1);
            let surplus: f64 = worth - costs.sum::<f64>();
            // The limit keeps the sum finite.
            (surplus / unit).min(500.0).exp()
        };
        let all = 1.0 + self.options().map(odds).sum::<f64>();
        for (worth, parts) in self.options() {
            let chance = odds((worth, parts)) / all;
            for part in parts {
                let per_weight = chance * part.work / part.spread(prices, weights).0;
                changes[part.first_window] += per_weight;
                changes[part.last_window + 1] -= per_weight;
            }
        }
    }
}

impl Part {
    fn new(work: f64, from: f64, to: f64) -> Self {
        let first_window = window_of(from);
        Self {
            work,
            first_window,
            last_window: window_of(to).max(first_window),
        }
    }

    fn windows<'p>(&self, of: &'p [f64]) -> &'p [f64] {
        of.get(self.first_window..=self.last_window).unwrap_or(&[])
    }

    /// Returns the lowest price of the work.
    fn cost(&self, prices: &[f64]) -> f64 {
        let prices = self.windows(prices).iter();
        self.work * prices.copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns the sum of the weights of the windows, and the price of the work if it is spread over
    /// them by these weights.
    fn spread(&self, prices: &[f64], weights: &[f64]) -> (f64, f64) {
        let weights = self.windows(weights);
        let sum: f64 = weights.iter().sum();
        let paid = self.windows(prices).iter().zip(weights);
        let paid: f64 = paid.map(|(price, weight)| price * weight).sum();
        (sum, self.work * paid / sum)
    }
}

impl Costs {
    /// Returns the costs on the reference server, one of the first group.
    fn new(plan: &Plan) -> Self {
        Self::of(&plan.servers[0])
    }

    fn of(group: &ServerGroup) -> Self {
        Self {
            token: group.step_ms / f64::from(group.slots) + group.step_ms_per_running,
            prompt: 1.0 / group.prompt_tokens_per_ms,
        }
    }

    /// Returns the work that all servers can do in each window, counted as on the reference server.
    fn capacity(&self, plan: &Plan, windows: usize) -> Vec<f64> {
        let mut capacity = vec![0.0; windows];
        for group in &plan.servers {
            let costs = Self::of(group);
            let relative = (self.token / costs.token).max(self.prompt / costs.prompt);
            for server in 0..group.count {
                let speed = Speed::new(group, server);
                for (window, capacity) in capacity.iter_mut().enumerate() {
                    let from = window as f64 * WINDOW_MS;
                    let work = speed.work_until(from + WINDOW_MS) - speed.work_until(from);
                    *capacity += relative * work;
                }
            }
        }
        capacity
    }

    fn job(&self, plan: &Plan, request: &Request) -> Job {
        let steps = f64::from(request.steps);
        let read = (request.prompt - request.cached) * self.prompt;
        let first = read + steps * self.token;
        let rest = (request.tokens() - steps) * self.token;
        let fastest = plan
            .servers
            .iter()
            .map(|group| Fastest::new(group, request));
        let on_time = |f: Fastest| {
            request.start + f.first <= request.first_by && request.start + f.last <= request.done_by
        };
        let late = |f: Fastest| request.start + f.last <= request.late_by;
        Job {
            worth: request.worth,
            late_worth: request.late_worth,
            on_time: [
                Part::new(first, request.start, request.first_by),
                Part::new(rest, request.start, request.done_by),
            ],
            late: Part::new(first + rest, request.start, request.late_by),
            can_be_on_time: fastest.clone().any(on_time),
            can_be_late: fastest.clone().any(late),
        }
    }
}

/// Shortest times from the start to the first and the last event of a request, on an empty server
/// of full speed.
struct Fastest {
    first: f64,
    last: f64,
}

impl Fastest {
    fn new(group: &ServerGroup, request: &Request) -> Self {
        let read = (request.prompt - request.cached) / group.prompt_tokens_per_ms;
        let step = group.step_ms + group.step_ms_per_running;
        Self {
            first: read + f64::from(request.steps) * step,
            last: read + request.tokens() * step,
        }
    }
}

/// Returns the window that contains a time; times before the day count as its start.
fn window_of(time: f64) -> usize {
    // A conversion of a negative number gives 0.
    (time / WINDOW_MS) as usize
}
