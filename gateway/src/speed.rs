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
pub const SLOW: f64 = 2.5;

#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Mean time between events in seconds.
    gap: f64,
    measured: Timestamp,
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

    /// Returns how much slower `backend` is than the middle one of those measured lately; 1 if that
    /// is not known.
    pub fn slowness(&self, backend: BackendKey, now: Timestamp) -> f64 {
        let fresh = |pace: &&Pace| now.since(pace.measured) <= LIFETIME;
        let Some(own) = self.paces.get(&backend).filter(fresh) else {
            return 1.0;
        };
        let mut gaps: Vec<f64> = self.paces.values().filter(fresh).map(|p| p.gap).collect();
        if gaps.len() < FEWEST {
            return 1.0;
        }
        gaps.sort_by(f64::total_cmp);
        let middle = gaps[gaps.len() / 2];
        if middle > 0.0 { own.gap / middle } else { 1.0 }
    }
}
