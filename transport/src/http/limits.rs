//! Time-outs of the connections of a server, which can change while it runs.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Time after a change during which the longer one of the old and the new idle time-out holds.
///
/// A caller may follow the old one until it knows the new one, which takes up to two seconds.
const IDLE_CHANGE_TIME: Duration = Duration::from_secs(4);

/// Time-outs of the connections of a server.
#[derive(Debug)]
pub struct ConnectionTimeouts {
    values: Mutex<Values>,
}

#[derive(Clone, Copy, Debug)]
struct Values {
    head: Duration,
    idle: Duration,
    /// Longest idle time-out that was in force shortly before the last change.
    earlier_idle: Duration,
    changed: Instant,
}

impl Values {
    fn idle_at(&self, now: Instant) -> Duration {
        match now < self.changed + IDLE_CHANGE_TIME {
            true => self.idle.max(self.earlier_idle),
            false => self.idle,
        }
    }
}

impl ConnectionTimeouts {
    /// Returns time-outs of `head`, from the first byte of a request head to its end, and of `idle`,
    /// from the end of a response to the first byte of the next request.
    pub fn new(head: Duration, idle: Duration) -> Self {
        let values = Values {
            head,
            idle,
            earlier_idle: idle,
            changed: Instant::now(),
        };
        Self {
            values: Mutex::new(values),
        }
    }

    /// Changes the time-outs. A connection that is idle keeps an idle time-out that is longer.
    pub fn set(&self, head: Duration, idle: Duration) {
        let now = Instant::now();
        let mut values = self.lock();
        values.head = head;
        if values.idle != idle {
            values.earlier_idle = values.idle_at(now);
            values.idle = idle;
            values.changed = now;
        }
    }

    pub(crate) fn head(&self) -> Duration {
        self.lock().head
    }

    /// Returns the idle time-out of a connection that becomes idle now.
    pub(crate) fn idle(&self) -> Duration {
        self.lock().idle_at(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
