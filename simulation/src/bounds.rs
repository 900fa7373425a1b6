//! Bounds of what any schedule earns on a day.

use std::time::Duration;

use crate::arrivals::arrivals;
use crate::capacity::millis;
use crate::plan::Plan;
use crate::prices::Relaxation;
use crate::request::Request;
use crate::schedule::{
    Policy,
    run, //
};
use crate::slots::SlotRelaxation;

/// Multiples of the prices of work that the schedules of the lower estimate are tried with: a
/// request runs only if it is worth more.
const PRICE_FACTORS: [f64; 5] = [0.0, 0.5, 0.8, 1.0, 1.2];

/// Divisor of the numbers of slots for items that are tried.
const SLOT_PARTS: usize = 8;

/// What the requests of a day, of a class or of a window of time earn.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Earnings {
    /// Number of requests and items.
    pub requests: usize,
    /// Worth of all requests if all were on time.
    pub owed: f64,
    /// Upper bound of what any schedule earns with these requests alone; at most `owed`.
    pub upper: f64,
    /// What the best schedule found for the whole day earns with them; at most `upper`.
    pub lower: f64,
}

/// Bounds of what any schedule earns on a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The whole day.
    pub day: Earnings,
    /// Each class, in the order of the plan.
    pub classes: Vec<Earnings>,
    /// The requests that arrive in each window of time.
    pub windows: Vec<Earnings>,
}

/// How bounds are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundOptions {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Width of the windows of time; not zero.
    pub window: Duration,
    /// Whether only requests within the limit of their organisation count and are run.
    pub within_limits: bool,
}

/// Computes the bounds of a day.
pub fn bounds(plan: &Plan, options: &BoundOptions) -> Bounds {
    let arrivals = arrivals(plan, options.seed);
    let counted = arrivals.iter();
    let counted = counted.filter(|a| a.within_limit || !options.within_limits);
    let requests: Vec<Request> = counted.map(|a| Request::new(plan, a)).collect();
    let relaxed = Relaxed::new(plan, &requests);
    let earned = best_schedule(plan, &requests, &relaxed);
    let select = |selected: &dyn Fn(&Request) -> bool| {
        earnings(plan, &requests, &earned, relaxed.upper, selected)
    };
    let width = millis(options.window);
    let windows = (millis(plan.length) / width).ceil() as usize;
    Bounds {
        day: select(&|_| true),
        classes: (0..plan.classes.len())
            .map(|class| select(&|r| r.class == class))
            .collect(),
        windows: (0..windows)
            .map(|window| select(&|r| (r.at / width) as usize == window))
            .collect(),
    }
}

/// Returns what the selected requests earn; `all` is the upper estimate for all of them.
fn earnings(
    plan: &Plan,
    requests: &[Request],
    earned: &[f64],
    all: f64,
    selected: impl Fn(&Request) -> bool,
) -> Earnings {
    let mut only = Vec::new();
    let mut lower = 0.0;
    for (request, earned) in requests.iter().zip(earned) {
        if selected(request) {
            only.push(*request);
            lower += earned;
        }
    }
    Earnings {
        requests: only.len(),
        owed: only.iter().map(|request| request.worth).sum(),
        upper: match only.len() == requests.len() {
            true => all,
            false => Relaxed::new(plan, &only).upper,
        },
        lower,
    }
}

/// Upper estimates, and what follows from their prices.
struct Relaxed {
    /// The lower one of the upper estimates.
    upper: f64,
    /// Different choices of the requests to run: those that are worth the price of their work, or
    /// of their slot.
    choices: Vec<Vec<bool>>,
}

impl Relaxed {
    fn new(plan: &Plan, requests: &[Request]) -> Self {
        let work = Relaxation::new(plan, requests);
        let work_prices = work.search();
        let worth_work = |factor: f64| {
            let indices = 0..requests.len();
            let surplus = indices.map(|index| work.surplus(index, &work_prices, factor));
            surplus.map(|surplus| surplus > 0.0).collect()
        };
        let slots = SlotRelaxation::new(plan, requests);
        let slot_prices = slots.search();
        let mut choices: Vec<Vec<bool>> = PRICE_FACTORS.map(worth_work).to_vec();
        choices.push(slots.worthwhile(&slot_prices));
        choices.dedup();
        Self {
            upper: work_prices.bound.min(slot_prices.bound),
            choices,
        }
    }
}

/// Returns what each request earns in the best of the schedules that are tried: with each choice of
/// the requests that are worth their price, and each number of slots for items.
fn best_schedule(plan: &Plan, requests: &[Request], relaxed: &Relaxed) -> Vec<f64> {
    let slots = plan.servers.iter().map(|group| group.slots as usize);
    let slots = slots.max().unwrap_or(0);
    let mut best = (f64::NEG_INFINITY, Vec::new());
    for accepted in &relaxed.choices {
        for part in 1..=SLOT_PARTS {
            let policy = Policy {
                accepted: accepted.clone(),
                items: (slots * part).div_ceil(SLOT_PARTS),
            };
            let earned = run(plan, requests, &policy);
            let sum = earned.iter().sum();
            if sum > best.0 {
                best = (sum, earned);
            }
        }
    }
    best.1
}
