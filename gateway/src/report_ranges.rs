//! Ranges of the numbers and texts in reports, which come from any process that knows the port.

use std::time::Duration;

use crate::checked::{
    Label,
    ListenerAddr, //
};
use crate::config::MAX_VERSION;
use crate::evacuation::EvacuationReport;
use crate::instance::MAX_CAPACITY;
use crate::report::Report;
use crate::server_limit::MAX_RATE;
use crate::server_limits::LimitReport;
use crate::warm_up::MAX_COLD_TIME;

/// Largest report in bytes: that of a datagram. It bounds the lists of a report.
pub(crate) const MAX_REPORT_BYTES: usize = 64 << 10;

/// Longest time to the next report in milliseconds.
const MAX_NEXT_MS: u32 = 60_000;

/// Largest number of requests that one instance has at one server.
const MAX_PLACED: u32 = 1 << 16;

/// Largest number of items that wait at one instance.
const MAX_WAITING: u32 = 1_000_000;

/// Longest remaining time of a suspicion in milliseconds; instances report a second.
const MAX_SUSPICION_MS: u32 = 60_000;

/// Largest count of requests since the start of an instance: up to here all whole numbers are exact
/// as floating-point numbers.
const MAX_COUNT: u64 = 1 << 53;

/// Longest age of the statement of a limit; older ones are not used.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(3_600);

impl Report {
    /// Returns the report with all numbers in their ranges; `None` if it has no usable name, zone,
    /// address or version.
    pub(crate) fn into_checked(mut self) -> Option<Self> {
        let name = Label::try_from(self.name).ok()?.into_string();
        let zone = Label::try_from(self.zone).ok()?.into_string();
        if name.is_empty() || self.version > MAX_VERSION {
            return None;
        }
        for (_, count) in &mut self.online {
            *count = (*count).min(MAX_PLACED);
        }
        for (_, count) in &mut self.admitted {
            *count = (*count).min(MAX_COUNT);
        }
        for (_, remaining_ms) in &mut self.suspects {
            *remaining_ms = (*remaining_ms).min(MAX_SUSPICION_MS);
        }
        for cold in &mut self.cold {
            cold.remaining = cold.remaining.min(MAX_COLD_TIME);
            cold.sent = cold.sent.min(MAX_COUNT);
        }
        let limits = self.limits.map(|limits| {
            let limits = limits.into_iter().filter_map(checked_limit);
            limits.collect()
        });
        Some(Self {
            name,
            zone,
            public: ListenerAddr::try_from(self.public).ok()?.get(),
            next_ms: self.next_ms.min(MAX_NEXT_MS),
            capacity: self.capacity.min(MAX_CAPACITY),
            waiting: self.waiting.min(MAX_WAITING),
            waiting_in_time: self.waiting_in_time.min(MAX_WAITING),
            limits,
            evacuations: self.evacuations.map(EvacuationReport::into_checked),
            ..self
        })
    }
}

/// Returns the report of a limit with its numbers in their ranges; `None` if the rate is no number.
fn checked_limit(limit: LimitReport) -> Option<LimitReport> {
    if limit
        .rate
        .is_some_and(|rate| !(0.0..).contains(&rate) || rate.is_infinite())
    {
        return None;
    }
    Some(LimitReport {
        rate: limit.rate.map(|rate| rate.min(MAX_RATE)),
        age: limit.age.min(MAX_LIMIT_AGE),
        sent: limit.sent.min(MAX_COUNT),
        ..limit
    })
}
