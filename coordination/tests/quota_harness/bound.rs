//! Maximum excess of the admitted requests over the limits in force.

use limpetweir_state::Limit;

use super::{
    Fleet,
    MS,
    SECOND, //
};

/// Time after a change of the limit for which the former limit may still be in use.
///
/// It is shorter than a share lease, because grantees reduce their shares themselves when the limit
/// is lowered.
const LIMIT_GRACE: u64 = 4_400 * MS;

impl Fleet {
    /// Returns the maximum excess over burst plus rate times length, over all intervals.
    ///
    /// `pace` is the number of seconds that the measuring clock counts per second of true time.
    pub(crate) fn excess(&mut self, pace: f64) -> f64 {
        self.admitted.sort_unstable();
        let allowed = self.allowed(pace);
        let times = &self.admitted;
        let mut worst = f64::NEG_INFINITY;
        for first in 0..times.len() {
            let mut burst = self.burst_at(times[first]);
            let mut change = self.limits.partition_point(|(at, _)| *at <= times[first]);
            for last in first..times.len() {
                while self
                    .limits
                    .get(change)
                    .is_some_and(|(at, _)| *at <= times[last])
                {
                    burst = burst.max(self.limits[change].1.burst());
                    change += 1;
                }
                let count = (last - first + 1) as f64;
                worst = worst.max(count - burst - (allowed[last] - allowed[first]));
            }
        }
        worst
    }

    /// Returns the maximum burst in force at `at` or within the grace period before it.
    fn burst_at(&self, at: u64) -> f64 {
        self.in_force(at)
            .map(|limit| limit.burst())
            .fold(0.0, f64::max)
    }

    fn rate_at(&self, at: u64) -> f64 {
        self.in_force(at)
            .map(|limit| limit.rate())
            .fold(0.0, f64::max)
    }

    fn in_force(&self, at: u64) -> impl Iterator<Item = Limit> + '_ {
        let limits = self.limits.iter().enumerate();
        let current = limits.filter(move |(n, (from, _))| {
            let until = self.limits.get(n + 1).map_or(u64::MAX, |(next, _)| *next);
            *from <= at && at <= until.saturating_add(LIMIT_GRACE)
        });
        current.map(|(_, (_, limit))| *limit)
    }

    /// Returns the integral of the allowed rate from 0 to each admission.
    fn allowed(&self, pace: f64) -> Vec<f64> {
        let mut steps: Vec<u64> = self
            .limits
            .iter()
            .flat_map(|(at, _)| [*at, at + LIMIT_GRACE + 1])
            .collect();
        steps.sort_unstable();
        let mut sum = 0.0;
        let mut from = 0;
        let mut next = 0;
        let mut allowed = Vec::new();
        for time in &self.admitted {
            while steps.get(next).is_some_and(|step| step <= time) {
                sum += self.rate_at(from) * pace * (steps[next] - from) as f64 / SECOND as f64;
                from = steps[next];
                next += 1;
            }
            let rest = self.rate_at(from) * pace * (time - from) as f64 / SECOND as f64;
            allowed.push(sum + rest);
        }
        allowed
    }
}
