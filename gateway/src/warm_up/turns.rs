//! Which instance may send the next request to a cold backend server.
//!
//! Load pattern: 2,000 requests per second of 77 instances, all of which see the same empty server
//! first. Reports take up to 30 ms, in which 60 requests arrive, so counts alone cannot keep the sum
//! at 19 per second. Each request that the rate allows therefore belongs to one instance by its
//! number, without a message. One that stays unused passes to a second and a third instance.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::RunKey;

/// Time for which a request that the rate allows may be used. All instances together can send only
/// what became due within a second and this time, whether or not they hear each other.
const USABLE_FOR: Duration = Duration::from_millis(300);

/// Most instances to which a request that the rate allows passes in turn.
const MAX_RANKS: u64 = 3;

/// Time since the last work of an instance for which it has a part in the rate.
const ACTIVE_FOR: Duration = Duration::from_secs(10);

/// Age of the first work of another instance from which on it has a part. Instances that get work
/// at the same moment must know of each other before any of them divides the rate among fewer.
const MATURE_AFTER: Duration = Duration::from_millis(600);

/// The same for this instance: the others know of its work by then, also if reports of 250 ms are lost.
const OWN_MATURE_AFTER: Duration = Duration::from_millis(900);

/// Time by which a report may be late before its sender counts as cut off. While two sides do not know
/// that they are, each passes on what the other one uses.
const QUIET_MARGIN: Duration = Duration::from_millis(150);

/// Another instance that may send to the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Whether it has requests or items.
    pub has_work: bool,
    /// Time since its last report, and the time after which it sends the next one at the latest;
    /// `None` without any.
    pub heard: Option<(Duration, Duration)>,
}

impl Sender<'_> {
    fn is_heard(&self) -> bool {
        let in_time = |(since, interval)| since < interval + QUIET_MARGIN;
        self.heard.is_some_and(in_time)
    }
}

/// When an instance had work.
#[derive(Clone, Copy, Debug)]
struct Activity {
    first: Timestamp,
    last: Timestamp,
}

/// The part of this instance in the rate of each cold server.
#[derive(Debug)]
pub(super) struct Turns {
    /// When each instance had work; those without any lately are missing.
    activity: HashMap<String, Activity>,
    /// Number of this instance among those with a part, below `count`; `None` without one.
    place: Option<u64>,
    /// Number of instances with a part, at least 1.
    count: u64,
    /// Fraction of the rate that is not left to instances which are not heard, above 0.
    pub(super) free: f64,
    /// Whether other instances are known, so that this one is not alone only because it has just
    /// started.
    pub(super) knows_others: bool,
    /// When the rate was divided last.
    pub(super) divided_at: Timestamp,
}

impl Default for Turns {
    fn default() -> Self {
        Self {
            activity: HashMap::new(),
            place: Some(0),
            count: 1,
            free: 1.0,
            knows_others: false,
            divided_at: Timestamp::default(),
        }
    }
}

impl Turns {
    /// Divides the rate among the instance `me` and the `others`, heard or not.
    pub(super) fn divide(
        &mut self,
        me: &str,
        has_work: bool,
        others: &[Sender<'_>],
        now: Timestamp,
    ) {
        self.divided_at = now;
        self.knows_others = !others.is_empty();
        let me = Sender {
            name: me,
            has_work,
            heard: Some(Default::default()),
        };
        let all: Vec<Sender<'_>> = others.iter().copied().chain([me]).collect();
        for sender in all.iter().filter(|sender| sender.has_work) {
            let activity = self.activity.entry(sender.name.to_owned());
            activity
                .or_insert(Activity {
                    first: now,
                    last: now,
                })
                .last = now;
        }
        self.activity
            .retain(|_, activity| now.since(activity.last) < ACTIVE_FOR);
        let has_part = |sender: &&Sender<'_>| {
            let age = match sender.name == me.name {
                true => OWN_MATURE_AFTER,
                false => MATURE_AFTER,
            };
            let activity = self.activity.get(sender.name);
            activity.is_some_and(|activity| now.since(activity.first) >= age)
        };
        let mut parts: Vec<&Sender<'_>> = all.iter().filter(has_part).collect();
        if parts.is_empty() {
            parts = all.iter().collect();
        }
        parts.sort_unstable_by_key(|sender| sender.name);
        let place = parts.binary_search_by_key(&me.name, |sender| sender.name);
        self.place = place.ok().map(|n| n as u64);
        self.count = parts.len() as u64;
        let heard = parts.iter().filter(|sender| sender.is_heard()).count();
        // Instance counts are far below the precision of f64.
        self.free = heard.max(1) as f64 / parts.len() as f64;
    }

    /// Returns the number of instances to which an unused request passes in turn, with the first.
    fn ranks(&self) -> u64 {
        self.count.min(MAX_RANKS)
    }

    /// Returns the time for which a request belongs to one instance at `rate` per second.
    pub(super) fn turn(&self, rate: f64) -> Duration {
        let turn = USABLE_FOR.as_secs_f64() / self.ranks() as f64;
        Duration::from_secs_f64(turn.max(1.0 / rate))
    }

    /// Returns the time for which a request may be used by any instance at `rate` per second.
    pub(super) fn usable_for(&self, rate: f64) -> Duration {
        self.turn(rate).mul_f64(self.ranks() as f64)
    }

    /// Returns how many requests to `run` belong to this instance at the time `unix_ms`, at `rate` per
    /// second. Each belongs to it from the part `skipped` of a turn on.
    pub(super) fn open(&self, run: RunKey, rate: f64, unix_ms: u64, skipped: f64) -> u64 {
        let Some(place) = self.place else {
            return 0;
        };
        let due = unix_ms as f64 / 1_000.0 * rate;
        let turn = self.turn(rate).as_secs_f64() * rate;
        let open = (0..self.ranks()).map(|rank| {
            // The ranks are far apart, so that idle neighbours do not leave a request unused.
            let shift = (rank * self.count / self.ranks() + u64::from(run.0)) % self.count;
            let first = place + self.count - shift;
            let from = due - (rank + 1) as f64 * turn;
            let to = due - (rank as f64 + skipped) * turn;
            self.numbers_up_to(to, first) - self.numbers_up_to(from, first)
        });
        u64::try_from(open.sum::<i64>()).unwrap_or(0)
    }

    /// Returns how many whole numbers up to `end`, counted from a fixed one, have the remainder of
    /// `first` by the number of instances.
    fn numbers_up_to(&self, end: f64, first: u64) -> i64 {
        // Numbers that are out of range saturate.
        let (end, first, count) = (end.floor() as i64, first as i64, self.count as i64);
        end.saturating_sub(first).div_euclid(count)
    }
}
