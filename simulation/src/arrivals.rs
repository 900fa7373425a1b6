//! Arrivals of requests, generated from a plan and a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_distr::{
    Distribution,
    Exp1,
    StandardNormal, //
};

use crate::plan::{
    Amount,
    Class,
    Limit,
    Plan,
    Work, //
};

/// A request, or an item of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of the class in the plan.
    pub class: usize,
    /// Index of the organisation in the plan.
    pub organisation: usize,
    /// Time from the start of the day.
    pub at: Duration,
    /// Number of the job among those of its class and organisation; `None` for a request.
    pub job: Option<u32>,
    /// Tokens of the prompt, at least 1.
    pub prompt_tokens: u32,
    /// Events of the response, at least 1.
    pub output_events: u32,
    /// Whether the organisation is within its limit; a job counts as one request.
    pub within_limit: bool,
}

impl Arrival {
    /// Returns the size relative to the mean of its class: tokens of the prompt and ten times
    /// those of the output.
    pub fn relative_size(&self, class: &Class) -> f64 {
        let tokens = f64::from(class.tokens_per_event);
        let size = |prompt: f64, events: f64| prompt + 10.0 * events * tokens;
        let mean = size(class.prompt_tokens.mean, class.output_events.mean);
        size(f64::from(self.prompt_tokens), f64::from(self.output_events)) / mean
    }

    /// Returns the worth on time and the worth late.
    pub fn worth(&self, class: &Class) -> (f64, f64) {
        let factor = (0.3 + 0.7 * self.relative_size(class)).min(4.0);
        (class.worth * factor, class.late_worth * factor)
    }
}

/// Returns the arrivals of a day in order of time; equal plans and seeds give equal arrivals.
///
/// Each pair of class and organisation has its own generator, so a load pattern on one of them does
/// not change the others.
pub fn arrivals(plan: &Plan, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for class in 0..plan.classes.len() {
        for organisation in 0..plan.organisations.len() {
            let source = Source {
                plan,
                class,
                organisation,
            };
            source.generate(seed, &mut all);
        }
    }
    all.sort_by_key(|arrival: &Arrival| arrival.at);
    apply_limits(plan, &mut all);
    all
}

/// The arrivals of one class and organisation.
struct Source<'a> {
    plan: &'a Plan,
    class: usize,
    organisation: usize,
}

impl Source<'_> {
    fn generate(&self, seed: u64, all: &mut Vec<Arrival>) {
        let mut rng = self.rng(seed);
        let class = &self.plan.classes[self.class];
        let mut at = Duration::ZERO;
        let mut job = 0;
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            let Some(next) = self.after(at, gap) else {
                return;
            };
            at = next;
            match class.work {
                Work::Stream { .. } => all.push(self.arrival(at, None, &mut rng)),
                Work::Batch { items, .. } => {
                    for _ in 0..sample(items, &mut rng) {
                        all.push(self.arrival(at, Some(job), &mut rng));
                    }
                    job += 1;
                }
            }
        }
    }

    fn rng(&self, seed: u64) -> StdRng {
        let mut bytes = [0; 32];
        let words = [seed, self.class as u64, self.organisation as u64];
        for (part, word) in bytes.chunks_mut(8).zip(words) {
            part.copy_from_slice(&word.to_le_bytes());
        }
        StdRng::from_seed(bytes)
    }

    /// Returns the time at which the integral of the rate since `at` reaches `gap`, or `None` if
    /// it does not do so on that day.
    fn after(&self, mut at: Duration, mut gap: f64) -> Option<Duration> {
        while at < self.plan.length {
            let rate = self.plan.rate(self.class, self.organisation, at);
            let change = self.plan.next_change(self.class, at);
            let until = change.unwrap_or(self.plan.length).min(self.plan.length);
            let expected = rate * (until - at).as_secs_f64();
            if expected > gap {
                return Some(at + Duration::from_secs_f64(gap / rate));
            }
            gap -= expected;
            at = until;
        }
        None
    }

    fn arrival(&self, at: Duration, job: Option<u32>, rng: &mut impl Rng) -> Arrival {
        let class = &self.plan.classes[self.class];
        Arrival {
            class: self.class,
            organisation: self.organisation,
            at,
            job,
            prompt_tokens: sample(class.prompt_tokens, rng),
            output_events: sample(class.output_events, rng),
            within_limit: true,
        }
    }
}

/// Draws from a normal distribution, limited to 1 to the largest value.
fn sample(amount: Amount, rng: &mut impl Rng) -> u32 {
    let normal: f64 = StandardNormal.sample(rng);
    let value = amount.mean * (1.0 + amount.spread * normal);
    // The largest value of a plan is below `u32::MAX`.
    value.min(amount.max).round().max(1.0) as u32
}

/// Level of the token bucket of an organisation.
struct Bucket {
    limit: Limit,
    level: f64,
    at: Duration,
}

impl Bucket {
    fn new(limit: Limit) -> Self {
        Self {
            limit,
            level: limit.burst,
            at: Duration::ZERO,
        }
    }

    fn take(&mut self, at: Duration) -> bool {
        let added = self.limit.rate * (at - self.at).as_secs_f64();
        self.level = (self.level + added).min(self.limit.burst);
        self.at = at;
        let within = self.level >= 1.0;
        if within {
            self.level -= 1.0;
        }
        within
    }
}

fn apply_limits(plan: &Plan, all: &mut [Arrival]) {
    let organisations = plan.organisations.iter();
    let mut buckets: Vec<Option<Bucket>> =
        organisations.map(|o| o.limit.map(Bucket::new)).collect();
    // The sort is stable, so the items of a job follow each other.
    for job in all.chunk_by_mut(same_request) {
        let Some(bucket) = &mut buckets[job[0].organisation] else {
            continue;
        };
        let within = bucket.take(job[0].at);
        for arrival in job {
            arrival.within_limit = within;
        }
    }
}

fn same_request(a: &Arrival, b: &Arrival) -> bool {
    a.job.is_some() && (a.class, a.organisation, a.job) == (b.class, b.organisation, b.job)
}
