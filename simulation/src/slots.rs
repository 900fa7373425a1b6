//! Upper estimate from prices of slots over time; `prices.rs` has the one from prices of work.
//!
//! A request that runs holds a slot of its server without interruption, for at least the time that it
//! takes alone: to read what is not cached of its prompt, and a step of one request per token. At
//! most all slots are held at any moment. As in `prices.rs`, any prices of slots give an upper bound:
//! the price of all slots, plus what each request is worth less the lowest price of the time in
//! which it holds one. A request on time starts so that its first event comes in time, so this
//! estimate is the lower one for short peaks; it leaves out that more running requests and other
//! prompts prolong steps.

use crate::capacity::Speed;
use crate::plan::{
    Plan,
    ServerGroup, //
};
use crate::request::Request;

/// Width of a window in milliseconds.
const WINDOW_MS: f64 = 250.0;

/// Rounds of the search for prices.
const ROUNDS: u32 = 400;

/// How far requests spread over similar prices in the first round, as a share of a typical price.
const FIRST_SOFTNESS: f64 = 0.2;

/// The same in the last round.
const LAST_SOFTNESS: f64 = 0.02;

/// Largest excess of demand, relative to the slots, that changes a price in one round.
const MAX_EXCESS: f64 = 3.0;

/// Weight of a round in the running mean of the prices.
const MEAN_WEIGHT: f64 = 0.05;

/// Smallest part of a request whose demand is counted.
const MIN_CHANCE: f64 = 1e-6;

/// Servers of equal speed at all times.
struct Kind<'a> {
    group: &'a ServerGroup,
    speed: Speed,
    /// Slots of all these servers.
    slots: f64,
}

/// Time in which a request may hold a slot of a kind of servers; `from` is before `to`.
#[derive(Clone, Copy, Debug)]
struct Hold {
    kind: usize,
    from: f64,
    to: f64,
}

/// A request for the relaxation.
struct Job {
    worth: f64,
    late_worth: f64,
    /// Times of runs on time, one of which is the cheapest for any prices.
    on_time: Vec<Hold>,
    /// For each kind of servers on which the request can be late, the span of such a run.
    late: Vec<Hold>,
    /// Shortest time for which a slot is held, on the fastest servers.
    duration: f64,
}

/// The relaxation of a day.
pub(crate) struct SlotRelaxation {
    jobs: Vec<Job>,
    /// Slots of each kind of servers.
    slots: Vec<f64>,
    windows: usize,
}

/// Prices per slot and millisecond, by kind of servers and window; not negative.
type SlotPrices = Vec<Vec<f64>>;

impl SlotRelaxation {
    pub(crate) fn new(plan: &Plan, requests: &[Request]) -> Self {
        let kinds = kinds(plan);
        let horizon = requests.iter().map(|r| r.late_by).fold(0.0, f64::max);
        Self {
            jobs: requests.iter().map(|r| Job::new(&kinds, r)).collect(),
            slots: kinds.iter().map(|kind| kind.slots).collect(),
            windows: (horizon / WINDOW_MS) as usize + 1,
        }
    }

    /// Searches for prices with a low bound.
    pub(crate) fn search(&self) -> BestPrices {
        let worth: f64 = self.jobs.iter().map(|job| job.worth).sum();
        let held: f64 = self.jobs.iter().map(|job| job.duration).sum();
        let scale = worth / held.max(f64::MIN_POSITIVE);
        let mut prices: SlotPrices = vec![vec![0.0; self.windows]; self.slots.len()];
        let mut mean = prices.clone();
        let mut best = BestPrices {
            bound: f64::INFINITY,
            prices: prices.clone(),
        };
        for round in 0..ROUNDS {
            for candidate in [&prices, &mean] {
                let bound = self.bound(candidate);
                if bound < best.bound {
                    best.bound = bound;
                    best.prices.clone_from(candidate);
                }
            }
            let progress = f64::from(round) / f64::from(ROUNDS);
            let softness = scale * FIRST_SOFTNESS * (LAST_SOFTNESS / FIRST_SOFTNESS).powf(progress);
            let demand = self.demand(&prices, softness);
            for (kind, slots) in self.slots.iter().enumerate() {
                for (window, price) in prices[kind].iter_mut().enumerate() {
                    let excess = demand[kind][window] / (slots * WINDOW_MS) - 1.0;
                    *price = (*price + softness * excess.min(MAX_EXCESS)).max(0.0);
                    let mean = &mut mean[kind][window];
                    *mean += (*price - *mean) * MEAN_WEIGHT;
                }
            }
        }
        best
    }

    /// Returns whether each request is worth its price.
    pub(crate) fn worthwhile(&self, best: &BestPrices) -> Vec<bool> {
        let sums = sums(&best.prices);
        let worthwhile = |job: &Job| {
            let mut choices = job.options(&best.prices, &sums);
            choices.any(|choice| choice.surplus > 0.0)
        };
        self.jobs.iter().map(worthwhile).collect()
    }

    /// Returns the bound for the given prices.
    fn bound(&self, prices: &SlotPrices) -> f64 {
        let paid = prices.iter().zip(&self.slots);
        let paid = paid.map(|(prices, slots)| slots * WINDOW_MS * prices.iter().sum::<f64>());
        let sums = sums(prices);
        let surplus = self.jobs.iter().map(|job| {
            let options = job.options(prices, &sums);
            options.map(|option| option.surplus).fold(0.0, f64::max)
        });
        paid.sum::<f64>() + surplus.sum::<f64>()
    }

    /// Returns the time for which requests want slots in each window, spread over choices whose
    /// prices differ by about `softness`.
    fn demand(&self, prices: &SlotPrices, softness: f64) -> SlotPrices {
        let sums = sums(prices);
        let mut demand: SlotPrices = vec![vec![0.0; self.windows]; self.slots.len()];
        for job in &self.jobs {
            let unit = softness * job.duration;
            // The limit keeps the sum finite.
            let odds = |option: &Choice| (option.surplus / unit).min(500.0).exp();
            let options: Vec<Choice> = job.options(prices, &sums).collect();
            let all = 1.0 + options.iter().map(odds).sum::<f64>();
            for option in &options {
                let chance = odds(option) / all;
                if chance > MIN_CHANCE {
                    add(&mut demand[option.hold.kind], &option.hold, chance);
                }
            }
        }
        demand
    }
}

/// Prices of slots, and the bound that follows from them.
pub(crate) struct BestPrices {
    prices: SlotPrices,
    /// Upper bound of what any schedule earns.
    pub(crate) bound: f64,
}

/// A way to run a request.
struct Choice {
    hold: Hold,
    surplus: f64,
}

impl Job {
    fn new(kinds: &[Kind<'_>], request: &Request) -> Self {
        let mut job = Self {
            worth: request.worth,
            late_worth: request.late_worth,
            on_time: Vec::new(),
            late: Vec::new(),
            duration: f64::INFINITY,
        };
        for (index, kind) in kinds.iter().enumerate() {
            let [first, last] = kind.durations(request);
            job.duration = job.duration.min(last);
            let end = kind.speed.finish(request.start, last);
            if end <= request.late_by {
                job.late.push(Hold {
                    kind: index,
                    from: request.start,
                    to: request.late_by,
                });
            }
            let latest = kind.latest_start(request.first_by, first);
            let latest = latest.min(kind.latest_start(request.done_by, last));
            if latest >= request.start {
                let starts = kind.starts(request.start, latest, last);
                job.on_time.extend(starts.into_iter().map(|from| Hold {
                    kind: index,
                    from,
                    to: kind.speed.finish(from, last),
                }));
            }
        }
        job
    }

    /// Returns the ways to run the request and what is left of its worth after the price of the
    /// slot. A late run is given the cheapest window of its whole span.
    fn options(&self, prices: &SlotPrices, sums: &SlotPrices) -> impl Iterator<Item = Choice> {
        let on_time = self.on_time.iter().map(move |hold| Choice {
            hold: *hold,
            surplus: self.worth
                - (paid(prices, sums, hold.kind, hold.to)
                    - paid(prices, sums, hold.kind, hold.from)),
        });
        let late = self.late.iter().map(move |hold| {
            let prices = &prices[hold.kind];
            let last = ((hold.to / WINDOW_MS) as usize).min(prices.len() - 1);
            let first = ((hold.from / WINDOW_MS) as usize).min(last);
            let windows = prices[first..=last].iter().zip(first..);
            let cheapest = windows.min_by(|a, b| a.0.total_cmp(b.0));
            let (price, window) = cheapest.unwrap_or((&0.0, first));
            let from = window as f64 * WINDOW_MS;
            Choice {
                hold: Hold {
                    from,
                    to: from + self.duration,
                    ..*hold
                },
                surplus: self.late_worth - price * self.duration,
            }
        });
        on_time.chain(late)
    }
}

impl Kind<'_> {
    /// Returns the shortest work up to the first and the last event, in milliseconds.
    fn durations(&self, request: &Request) -> [f64; 2] {
        let step = self.group.step_ms + self.group.step_ms_per_running;
        let read = (request.prompt - request.cached) / self.group.prompt_tokens_per_ms;
        [f64::from(request.steps), request.tokens()].map(|tokens| read + tokens * step)
    }

    /// Returns the latest start of work that is done at `end`; negative if there is none.
    fn latest_start(&self, end: f64, work: f64) -> f64 {
        match self.speed.work_until(end) - work {
            before if before >= 0.0 => self.speed.time_of(before),
            _ => -1.0,
        }
    }

    /// Returns the starts from `first` to `last` among which the cheapest run is for any prices: the
    /// price of a run is linear in its start between the times at which its start or its end
    /// meets a window or a change of speed.
    fn starts(&self, first: f64, last: f64, work: f64) -> Vec<f64> {
        let end = self.speed.finish(last, work);
        let windows = (first / WINDOW_MS) as usize..=(end / WINDOW_MS) as usize;
        let edges = windows.map(|window| window as f64 * WINDOW_MS);
        let edges = edges.chain(self.speed.edges());
        let meets = edges.flat_map(|edge| [edge, self.latest_start(edge, work)]);
        let mut starts: Vec<f64> = meets.filter(|at| (first..last).contains(at)).collect();
        starts.extend([first, last]);
        starts.sort_by(f64::total_cmp);
        starts.dedup();
        starts
    }
}

fn kinds(plan: &Plan) -> Vec<Kind<'_>> {
    let mut kinds: Vec<Kind<'_>> = Vec::new();
    for group in &plan.servers {
        // Servers with the same slow spans follow each other, as the spans cover the first ones.
        let mut edges: Vec<u32> = group.slow.iter().map(|span| span.servers).collect();
        edges.extend([0, group.count]);
        edges.sort_unstable();
        edges.dedup();
        for pair in edges.windows(2) {
            kinds.push(Kind {
                group,
                speed: Speed::new(group, pair[0]),
                slots: f64::from((pair[1] - pair[0]) * group.slots),
            });
        }
    }
    kinds
}

/// Returns the price of a slot from the start of the day to the start of each window.
fn sums(prices: &SlotPrices) -> SlotPrices {
    let sum = |prices: &Vec<f64>| {
        let mut sum = 0.0;
        let before = prices.iter().map(|price| {
            let before = sum;
            sum += price * WINDOW_MS;
            before
        });
        before.collect()
    };
    prices.iter().map(sum).collect()
}

/// Returns the price of a slot from the start of the day to a time.
fn paid(prices: &SlotPrices, sums: &SlotPrices, kind: usize, time: f64) -> f64 {
    let window = ((time / WINDOW_MS) as usize).min(prices[kind].len() - 1);
    let rest = (time - window as f64 * WINDOW_MS).min(WINDOW_MS);
    sums[kind][window] + rest * prices[kind][window]
}

/// Adds a part of the time for which a slot is held to the windows.
fn add(demand: &mut [f64], hold: &Hold, part: f64) {
    let first = (hold.from / WINDOW_MS) as usize;
    for (window, demand) in demand.iter_mut().enumerate().skip(first) {
        let from = window as f64 * WINDOW_MS;
        if from >= hold.to {
            return;
        }
        *demand += part * (hold.to.min(from + WINDOW_MS) - hold.from.max(from));
    }
}
