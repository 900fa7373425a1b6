//! How fast backend servers produce events, compared with each other.
//!
//! Load answered: a few servers turn several times slower for seconds. An item that runs there
//! misses its time although others have room, so items avoid them and move away.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;

/// Weight of one measurement in the mean of a server.
const WEIGHT: f64 = 0.3;

/// Time after which a measurement says nothing any more; a slow server is then tried again.
const LIFETIME: Duration = Duration::from_secs(3);

/// Fewest servers with a measurement that allow a comparison.
const FEWEST: usize = 3;

/// Slowness from which a server counts as slow. Servers of one service differ by less.
pub const SLOW_FACTOR: f64 = 2.5;

#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Mean time between events in seconds.
    gap: f64,
    measured: Timestamp,
}

impl Pace {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.measured) <= LIFETIME
    }
}

/// Measured paces of backend servers.
#[derive(Debug, Default)]
pub struct Speeds {
    paces: HashMap<BackendKey, Pace>,
}

impl Speeds {
    /// Notes the mean time between some events of `backend`.
    pub fn record(&mut self, backend: BackendKey, gap: Duration, now: Timestamp) {
        let gap = gap.as_secs_f64();
        let pace = self
            .paces
            .entry(backend)
            .or_insert(Pace { gap, measured: now });
        if now.since(pace.measured) > LIFETIME {
            pace.gap = gap;
        }
        pace.gap += WEIGHT * (gap - pace.gap);
        pace.measured = now;
    }

    /// Compares the servers measured lately with each other.
    pub fn compare(&self, now: Timestamp) -> Slowness<'_> {
        let fresh = self.paces.values().filter(|pace| pace.is_fresh(now));
        let mut gaps: Vec<f64> = fresh.map(|pace| pace.gap).collect();
        let enough = gaps.len() >= FEWEST;
        let middle = gaps.len() / 2;
        let middle = enough.then(|| *gaps.select_nth_unstable_by(middle, f64::total_cmp).1);
        Slowness {
            paces: &self.paces,
            middle: middle.filter(|gap| *gap > 0.0),
            now,
        }
    }
}

/// How much slower backend servers are than the middle one, at one moment. All servers are compared
/// once for a decision, whose time would grow with the square of their number otherwise.
#[derive(Debug)]
pub struct Slowness<'a> {
    paces: &'a HashMap<BackendKey, Pace>,
    /// Time between events of the middle server in seconds; `None` if too few are measured.
    middle: Option<f64>,
    now: Timestamp,
}

impl Slowness<'_> {
    /// Returns how much slower `backend` is than the middle one; 1 if that is not known.
    pub fn of(&self, backend: BackendKey) -> f64 {
        let own = self.paces.get(&backend);
        let own = own.filter(|pace| pace.is_fresh(self.now));
        match (own, self.middle) {
            (Some(own), Some(middle)) => own.gap / middle,
            _ => 1.0,
        }
    }

    /// Returns whether `backend` counts as slow.
    pub fn is_slow(&self, backend: BackendKey) -> bool {
        self.of(backend) > SLOW_FACTOR
    }
}
