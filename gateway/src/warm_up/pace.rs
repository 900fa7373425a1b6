//! Requests of all instances to one cold backend server, as known to this instance.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::send_log::SendLog;

/// Window in which at most the rate times its length is sent.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests to one cold server.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// Requests that are due and unused; negative after instances have sent at the same time.
    tokens: f64,
    updated: Timestamp,
    /// Requests of all instances.
    all: SendLog,
    /// Requests of this instance.
    own: SendLog,
    /// Requests of this instance since the server was first cold.
    pub(super) sent: u64,
    /// When this instance sent the last one.
    pub(super) last_sent: Option<Timestamp>,
}

/// Rate and burst at which this instance sends to a cold server now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    /// Requests per second, above 0.
    pub(super) per_s: f64,
    /// Most requests that may be due and unused.
    pub(super) burst: f64,
}

impl Pace {
    /// Begins a cold span in which `tokens` requests are due at once.
    pub(super) fn begin(&mut self, tokens: f64, now: Timestamp) {
        self.tokens = tokens;
        self.updated = now;
    }

    fn level(&self, rate: Rate, now: Timestamp) -> f64 {
        let gained = rate.per_s * now.since(self.updated).as_secs_f64();
        (self.tokens + gained).min(rate.burst.max(1.0))
    }

    /// Returns whether the rate allows one more request of all instances.
    pub(super) fn has_room(&self, rate: Rate, now: Timestamp) -> bool {
        let sent = self.all.count(WINDOW, now).requests;
        // Counts are far below the precision of f64.
        let fits = sent as f64 + 1.0 <= (rate.per_s * WINDOW.as_secs_f64()).ceil();
        fits && self.level(rate, now) >= 1.0
    }

    /// Returns how many requests this instance has sent within the time `window`.
    pub(super) fn own_within(&self, window: Duration, now: Timestamp) -> u64 {
        self.own.count(window, now).requests
    }

    /// Counts a request of this instance.
    pub(super) fn sent(&mut self, rate: Rate, keep: Duration, now: Timestamp) {
        self.count(1, rate, now);
        self.own.add(1, keep.max(WINDOW), now);
        self.sent += 1;
        self.last_sent = Some(now);
    }

    /// Counts requests of any instance.
    pub(super) fn count(&mut self, requests: u64, rate: Rate, now: Timestamp) {
        let level = self.level(rate, now) - requests as f64;
        self.tokens = level.max(-rate.per_s);
        self.updated = now;
        self.all.add(requests, WINDOW, now);
    }
}
