//! Levels of requests, and the shortages of services.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the refusal of a request holds back what comes after it. Reports arrive within some
/// milliseconds, and slots get free several times in it.
pub const HOLD: Duration = Duration::from_millis(100);

/// Largest number of shortages that are remembered; further ones are ignored until others have ended.
const MAX_SHORTAGES: usize = 1_024;

/// Hash of a service's name, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// Returns the key of the service called `name`.
    pub fn of(name: &str) -> Self {
        // The hash stays uniform when it is truncated.
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Place of a request in the order in which requests get the room that is left; the lesser one is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Level {
    /// Priority by the configuration; 0 is the most urgent.
    pub priority: u8,
    /// Whether the organisation uses more than its share.
    pub over_share: bool,
}

/// Why a request is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub enum HoldCause {
    /// One of an organisation within its share was refused: the request leaves the last slots to it.
    #[strum(serialize = "over-share")]
    Share,
    /// A more urgent one was refused.
    #[strum(serialize = "less-urgent")]
    Priority,
}

/// What an instance tells the others about a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortageReport {
    /// The service.
    pub service: ServiceKey,
    /// Level at which a request was refused.
    pub level: Level,
    /// Time since then.
    pub age: Duration,
}

/// Encoded form of a [`ShortageReport`]: service, priority, whether it is over its share, and the age
/// in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct WireShortage(u32, u8, bool, u16);

impl From<&ShortageReport> for WireShortage {
    fn from(r: &ShortageReport) -> Self {
        let age_ms = u16::try_from(r.age.as_millis()).unwrap_or(u16::MAX);
        Self(r.service.0, r.level.priority, r.level.over_share, age_ms)
    }
}

impl From<WireShortage> for ShortageReport {
    fn from(w: WireShortage) -> Self {
        Self {
            service: ServiceKey(w.0),
            level: Level {
                priority: w.1,
                over_share: w.2,
            },
            age: Duration::from_millis(u64::from(w.3)),
        }
    }
}

/// Refusals of one level at one service.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    /// The last one.
    last: Timestamp,
    /// When a report was last sent at once because of them.
    last_report: Timestamp,
}

/// When requests of each service and level were last refused because there was no room.
#[derive(Debug, Default)]
pub struct Shortages {
    /// Refusals of this instance.
    own: HashMap<(ServiceKey, Level), Refusals>,
    /// Those that others reported; they are not reported again.
    reported: HashMap<(ServiceKey, Level), Timestamp>,
}

impl Shortages {
    /// Records that this instance refuses a request; returns whether the others are to be told now.
    pub fn refused(&mut self, service: ServiceKey, level: Level, now: Timestamp) -> bool {
        self.own
            .retain(|_, refusals| now.since(refusals.last) < HOLD);
        let key = (service, level);
        if let Some(refusals) = self.own.get_mut(&key) {
            refusals.last = now;
            // The refusals of a burst are told together.
            let is_due = now.since(refusals.last_report) >= HOLD / 2;
            if is_due {
                refusals.last_report = now;
            }
            return is_due;
        }
        if self.own.len() >= MAX_SHORTAGES {
            return false;
        }
        let refusals = Refusals {
            last: now,
            last_report: now,
        };
        self.own.insert(key, refusals);
        true
    }

    /// Returns whether any request of `service` was refused lately.
    pub fn is_short(&self, service: ServiceKey, now: Timestamp) -> bool {
        self.recent(now).any(|(short, _)| short == service)
    }

    /// Returns why a request of `service` is held back; `None` if it may be placed.
    pub fn hold_cause(
        &self,
        service: ServiceKey,
        level: Level,
        now: Timestamp,
    ) -> Option<HoldCause> {
        let refused = self.recent(now).filter(|(short, _)| *short == service);
        match refused.map(|(_, level)| level).min() {
            Some(first) if first.priority < level.priority => Some(HoldCause::Priority),
            Some(first) if first < level => Some(HoldCause::Share),
            _ => None,
        }
    }

    fn recent(&self, now: Timestamp) -> impl Iterator<Item = (ServiceKey, Level)> {
        let own = self.own.iter().map(|(key, refusals)| (key, refusals.last));
        let reported = self.reported.iter().map(|(key, at)| (key, *at));
        let recent = own.chain(reported);
        let recent = recent.filter(move |(_, at)| now.since(*at) < HOLD);
        recent.map(|(key, _)| *key)
    }

    /// Returns what the other instances are to know: the first level that was refused at each service.
    pub fn reports(&self, now: Timestamp) -> Vec<ShortageReport> {
        let mut first: HashMap<ServiceKey, ShortageReport> = HashMap::new();
        for (&(service, level), refusals) in &self.own {
            let age = now.since(refusals.last);
            if age >= HOLD {
                continue;
            }
            let report = ShortageReport {
                service,
                level,
                age,
            };
            let known = first.entry(service).or_insert(report);
            if level < known.level {
                *known = report;
            }
        }
        first.into_values().collect()
    }

    /// Applies what another instance has refused.
    pub fn apply_report(&mut self, reports: &[ShortageReport], now: Timestamp) {
        if reports.is_empty() {
            return;
        }
        self.reported.retain(|_, at| now.since(*at) < HOLD);
        for r in reports {
            let key = (r.service, r.level);
            if self.reported.len() >= MAX_SHORTAGES && !self.reported.contains_key(&key) {
                continue;
            }
            let at = now - r.age;
            let known = self.reported.entry(key).or_insert(at);
            *known = at.max(*known);
        }
    }
}
