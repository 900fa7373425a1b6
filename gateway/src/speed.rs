//! Event rates of backend servers, relative to each other.
//!
//! Load pattern: a few servers become several times slower for seconds. An item that runs there
//! misses its deadline although other servers have free slots, so items avoid slow servers and are
//! moved away from them.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;

/// Weight of a new measurement in the moving mean of a server.
const WEIGHT: f64 = 0.3;

/// Time after which a measurement expires; a slow server is then tried again.
const LIFETIME: Duration = Duration::from_secs(3);

/// Minimum number of servers with a measurement for a comparison.
const MIN_MEASURED: usize = 3;

/// Slowness above which a server counts as slow. Servers of one service usually differ by less.
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

/// Number of gaps between events over which the pace of a stream is measured.
const PACE_GAPS: u32 = 8;

/// Measures the time between the events of one stream.
///
/// The longest gap of each measurement is left out: a server that is silent for a second and goes on is
/// not slow.
#[derive(Clone, Debug, Default)]
pub struct PaceMeter {
    last: Option<Timestamp>,
    gaps: u32,
    sum: Duration,
    longest: Duration,
}

impl PaceMeter {
    /// Counts an event; returns the mean gap after every `PACE_GAPS` of them.
    pub fn event(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last.replace(now)?);
        self.gaps += 1;
        self.sum += gap;
        self.longest = self.longest.max(gap);
        if self.gaps < PACE_GAPS {
            return None;
        }
        let mean = (self.sum - self.longest) / (PACE_GAPS - 1);
        *self = Self {
            last: Some(now),
            ..Self::default()
        };
        Some(mean)
    }
}

/// Measured event rates of backend servers.
#[derive(Debug, Default)]
pub struct Speeds {
    paces: HashMap<BackendKey, Pace>,
}

impl Speeds {
    /// Records a measured mean time between events of `backend`.
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

    /// Compares the servers with a fresh measurement.
    pub fn compare(&self, now: Timestamp) -> Slowness<'_> {
        let fresh = self.paces.values().filter(|pace| pace.is_fresh(now));
        let mut gaps: Vec<f64> = fresh.map(|pace| pace.gap).collect();
        let enough = gaps.len() >= MIN_MEASURED;
        let median = gaps.len() / 2;
        let median = enough.then(|| *gaps.select_nth_unstable_by(median, f64::total_cmp).1);
        Slowness {
            paces: &self.paces,
            median: median.filter(|gap| *gap > 0.0),
            now,
        }
    }
}

/// Slowness of backend servers relative to the median at one point in time. It is computed once per
/// decision for all servers; otherwise the time of a decision would grow with the square of their
/// number.
#[derive(Debug)]
pub struct Slowness<'a> {
    paces: &'a HashMap<BackendKey, Pace>,
    /// Median time between events in seconds; `None` with too few measurements.
    median: Option<f64>,
    now: Timestamp,
}

impl Slowness<'_> {
    /// Returns the time between events of `backend` relative to the median; 1 if unknown.
    pub fn of(&self, backend: BackendKey) -> f64 {
        let own = self.paces.get(&backend);
        let own = own.filter(|pace| pace.is_fresh(self.now));
        match (own, self.median) {
            (Some(own), Some(median)) => own.gap / median,
            _ => 1.0,
        }
    }

    /// Returns whether `backend` counts as slow.
    pub fn is_slow(&self, backend: BackendKey) -> bool {
        self.of(backend) > SLOW_FACTOR
    }
}
