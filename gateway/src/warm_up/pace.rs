//! Requests of all instances to one cold backend server, as known to this instance.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::send_log::SendLog;

/// Shortest window in which at most the rate times its length is sent.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Requests to one cold server.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// Requests of all instances.
    all: SendLog,
    /// Requests of this instance.
    own: SendLog,
    /// Requests of this instance since the server was first cold.
    pub(super) sent: u64,
    /// When this instance sent the last one.
    pub(super) last_sent: Option<Timestamp>,
}

/// Rate of the instances that hear each other to one cold server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    /// Requests per second, above 0.
    pub(super) per_s: f64,
    /// Time for which a request that the rate allows may be used by any instance.
    pub(super) usable_for: Duration,
}

impl Rate {
    /// Returns the window in which requests are counted. It covers all that an unused request may
    /// meet.
    fn window(self) -> Duration {
        self.usable_for.max(MIN_WINDOW)
    }
}

impl Pace {
    /// Returns whether the rate allows one more request of all instances.
    pub(super) fn has_room(&self, rate: Rate, now: Timestamp) -> bool {
        let window = rate.window();
        let sent = self.all.count(window, now).requests;
        // Counts are far below the precision of f64.
        sent as f64 + 1.0 <= (rate.per_s * window.as_secs_f64()).ceil()
    }

    /// Returns how many requests this instance has sent within the time `window`.
    pub(super) fn own_within(&self, window: Duration, now: Timestamp) -> u64 {
        self.own.count(window, now).requests
    }

    /// Counts a request of this instance.
    pub(super) fn sent(&mut self, rate: Rate, now: Timestamp) {
        self.count(1, rate, now);
        self.own.add(1, rate.window(), now);
        self.sent += 1;
        self.last_sent = Some(now);
    }

    /// Counts requests of any instance.
    pub(super) fn count(&mut self, requests: u64, rate: Rate, now: Timestamp) {
        self.all.add(requests, rate.window(), now);
    }
}
