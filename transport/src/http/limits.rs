//! Limits of the connections of a server, which can change while it runs.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Time after a change during which the larger one of the old and the new limit holds.
///
/// A caller may follow the old one until it knows the new one, which takes up to two seconds.
const CHANGE_TIME: Duration = Duration::from_secs(4);

/// Limits of the connections of a server.
#[derive(Debug)]
pub struct ConnectionLimits {
    values: Mutex<Values>,
}

#[derive(Clone, Copy, Debug)]
struct Values {
    head: Changing<HeadLimits>,
    idle: Changing<Duration>,
    /// Whether the limits were set since the start.
    is_set: bool,
}

/// Limits of a request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Longest time from its first byte to its end.
    pub timeout: Duration,
    /// Its largest size in bytes.
    pub bytes: usize,
}

/// A limit with larger and smaller values.
trait Limit: Copy + PartialEq {
    /// Returns the one that allows more.
    fn larger(self, other: Self) -> Self;
}

impl Limit for Duration {
    fn larger(self, other: Self) -> Self {
        self.max(other)
    }
}

impl Limit for HeadLimits {
    fn larger(self, other: Self) -> Self {
        Self {
            timeout: self.timeout.max(other.timeout),
            bytes: self.bytes.max(other.bytes),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Changing<T> {
    value: T,
    /// Largest value that was in force shortly before the last change.
    earlier: T,
    changed: Instant,
}

impl<T: Limit> Changing<T> {
    fn new(value: T) -> Self {
        Self {
            value,
            earlier: value,
            changed: Instant::now(),
        }
    }

    fn at(&self, now: Instant) -> T {
        match now < self.changed + CHANGE_TIME {
            true => self.value.larger(self.earlier),
            false => self.value,
        }
    }

    fn set(&mut self, value: T, now: Instant) {
        if self.value != value {
            self.earlier = self.at(now);
            self.value = value;
            self.changed = now;
        }
    }
}

impl ConnectionLimits {
    /// Returns limits of a request head, and of the time from the end of a response to the first byte
    /// of the next request.
    pub fn new(head: HeadLimits, idle: Duration) -> Self {
        let values = Values {
            head: Changing::new(head),
            idle: Changing::new(idle),
            is_set: false,
        };
        Self {
            values: Mutex::new(values),
        }
    }

    /// Changes the limits. An idle connection and a head that has begun keep a limit that is larger.
    pub fn set(&self, head: HeadLimits, idle: Duration) {
        let now = Instant::now();
        let mut values = self.lock();
        if !values.is_set {
            // No caller follows the limits from before the first ones.
            values.head = Changing::new(head);
            values.idle = Changing::new(idle);
            values.is_set = true;
            return;
        }
        values.head.set(head, now);
        values.idle.set(idle, now);
    }

    /// Returns the limits of a head that begins now.
    pub(crate) fn head(&self) -> HeadLimits {
        self.lock().head.at(Instant::now())
    }

    /// Returns the limits of a head that began with the limits `begun`.
    pub(crate) fn head_since(&self, begun: HeadLimits) -> HeadLimits {
        self.head().larger(begun)
    }

    /// Returns the idle time-out of a connection that becomes idle now.
    pub(crate) fn idle(&self) -> Duration {
        self.lock().idle.at(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
