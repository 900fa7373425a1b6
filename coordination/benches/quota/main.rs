//! Requests that are rejected although their organisation is within its rate, in virtual time.
//!
//! The quota protocol is compared with two baselines: a constant part of the limit that is the same
//! for each instance, and a message to the quota owner for each request.

#[path = "../../tests/quota_harness/mod.rs"]
mod quota_harness;

use limpetweir_coordination::quota::QuotaSettings;
use limpetweir_state::{
    Limit,
    Timestamp,
    TokenBucket, //
};
use quota_harness::{
    Fleet,
    Offered,
    Plan,
    Policy,
    Traffic, //
};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Requests per second of the organisation.
const RATE: f64 = 100.0;

/// Burst of the organisation in requests.
const BURST: f64 = 200.0;

/// Second at which an instance is lost.
const LOSS_AT: u64 = 30;

/// Start and end, in seconds, of the minute around the loss.
const WINDOW: (u64, u64) = (20, 80);

/// Tolerance for rounding errors in sums of fractions of tokens.
const ROUNDING: f64 = 1e-6;

/// The fleet of a user.
struct User {
    name: &'static str,
    instances: usize,
    /// Minimum and maximum one-way delay of a message, in microseconds.
    one_way: (u64, u64),
}

const USERS: [User; 2] = [
    User {
        name: "Fapapucs",
        instances: 11,
        one_way: (100, 600),
    },
    User {
        name: "Gulf Reef",
        instances: 9,
        one_way: (200, 1_200),
    },
];

const LOADS: [f64; 3] = [0.50, 0.80, 0.95];

const TRAFFICS: [Traffic; 4] = [
    Traffic::Even,
    Traffic::Skewed,
    Traffic::Moving,
    Traffic::FiveTimes,
];

#[derive(Clone, Copy, Debug)]
enum Loss {
    None,
    Home,
    /// The instance with the most requests in skewed traffic.
    Other,
}

const LOSSES: [Loss; 3] = [Loss::None, Loss::Home, Loss::Other];

const POLICIES: [Policy; 3] = [Policy::Shares, Policy::Static, Policy::OwnerOnly];

/// Totals over the runs of all seeds.
#[derive(Default)]
struct Figures {
    offered: usize,
    rejected: usize,
    /// Number of requests that a single bucket with the whole limit rejects.
    unavoidable: usize,
    /// Time until each admission, in microseconds.
    waits: Vec<u64>,
}

impl Figures {
    /// Returns the percentage of requests that were rejected although within the rate.
    fn rejected_within_rate(&self) -> f64 {
        let avoidable = self.rejected.saturating_sub(self.unavoidable);
        100.0 * avoidable as f64 / self.offered as f64
    }

    /// Returns the mean time until an admission, in milliseconds.
    fn mean_wait(&self) -> f64 {
        let sum: u64 = self.waits.iter().sum();
        sum as f64 / self.waits.len() as f64 / 1_000.0
    }

    /// Returns the 99th percentile of the time until an admission, in milliseconds.
    fn slow_wait(&mut self) -> f64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 99 / 100] as f64 / 1_000.0
    }
}

fn limit() -> Limit {
    Limit::new(RATE, BURST).expect("valid limit")
}

/// Returns the number of requests in the window that a single bucket with the whole limit rejects.
fn rejected_by_one_bucket(offered: &[Offered]) -> usize {
    let mut bucket = TokenBucket::full(RATE, BURST, Timestamp(0));
    let rejected = offered
        .iter()
        .filter(|offered| !bucket.take(1, Timestamp(offered.at)));
    rejected.filter(|offered| is_in_window(offered)).count()
}

fn is_in_window(offered: &Offered) -> bool {
    let second = offered.at / 1_000_000;
    (WINDOW.0..WINDOW.1).contains(&second)
}

fn run(plan: Plan, loss: Loss) -> Figures {
    let mut figures = Figures::default();
    for seed in SEEDS {
        let mut fleet = Fleet::new(plan, seed, limit());
        match loss {
            Loss::None => {}
            Loss::Home => fleet.kill_owner_at(LOSS_AT),
            Loss::Other => fleet.kill_at(LOSS_AT, Traffic::BUSIEST),
        }
        fleet.run();
        let excess = fleet.excess(1.0);
        assert!(
            excess <= ROUNDING,
            "{:?} exceeds the bound by {excess} requests with seed {seed}",
            plan.policy
        );
        let window = fleet.offered.iter().filter(|offered| is_in_window(offered));
        for offered in window {
            figures.offered += 1;
            match offered.admitted_after {
                Some(after) => figures.waits.push(after),
                None => figures.rejected += 1,
            }
        }
        figures.unavoidable += rejected_by_one_bucket(&fleet.offered);
    }
    figures
}

fn measure(user: &User, load: f64, traffic: Traffic, loss: Loss, filter: Option<&str>) {
    let label = format!(
        "| {:<9} | {:>3.0}% | {:<9} | {:<5} |",
        user.name,
        load * 100.0,
        format!("{traffic:?}"),
        format!("{loss:?}"),
    );
    if filter.is_some_and(|filter| !label.contains(filter)) {
        return;
    }
    let plan = |policy| Plan {
        settings: QuotaSettings::default(),
        instances: user.instances,
        seconds: WINDOW.1 + 1,
        offered: load * RATE,
        clocks: (1.0, 1.0),
        faults: 0.0,
        outages: false,
        bursty: false,
        limit_changes: false,
        lowering: true,
        peers: true,
        policy,
        traffic,
        one_way: user.one_way,
        reconnect: true,
    };
    let [mut shares, fixed, mut owner_only] = POLICIES.map(|policy| run(plan(policy), loss));
    println!(
        "{label} {:>8.3}% | {:>8.3}% | {:>8.3}% | {:>6.2} | {:>6.2} | {:>6.2} | {:>6.2} |",
        shares.rejected_within_rate(),
        fixed.rejected_within_rate(),
        owner_only.rejected_within_rate(),
        shares.mean_wait(),
        shares.slow_wait(),
        owner_only.mean_wait(),
        owner_only.slow_wait(),
    );
}

fn main() {
    // If an argument such as `95%` is given, only rows that contain it are measured.
    let filter = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    println!("refused: requests refused although within the rate, in the minute around the loss");
    println!("wait: milliseconds from arrival until the admission is known, mean and p99");
    println!();
    println!(
        "| user      | load | traffic   | loss  | refused   | static    | ask home  | wait   | p99    | ask    | p99    |"
    );
    println!(
        "|-----------|------|-----------|-------|-----------|-----------|-----------|--------|--------|--------|--------|"
    );
    for user in &USERS {
        for load in LOADS {
            for traffic in TRAFFICS {
                for loss in LOSSES {
                    measure(user, load, traffic, loss, filter.as_deref());
                }
            }
        }
    }
}
