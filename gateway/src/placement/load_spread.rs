//! Measure of how evenly the load is spread over the backend servers.

/// Load of the backend servers, relative to their slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSpread {
    /// Mean over the servers.
    pub mean: f64,
    /// 95th percentile over the servers.
    pub p95: f64,
}

impl LoadSpread {
    /// Measures the loads of the servers; all is 0 without servers.
    pub fn of(mut loads: Vec<f64>) -> Self {
        let count = loads.len();
        // The number of servers is far below the precision of f64.
        let mean = loads.iter().sum::<f64>() / count.max(1) as f64;
        let index = (count * 95 / 100).min(count.saturating_sub(1));
        let p95 = match loads.is_empty() {
            true => 0.0,
            false => *loads.select_nth_unstable_by(index, f64::total_cmp).1,
        };
        Self { mean, p95 }
    }
}
