//! Decisions about background tasks: when one is started again, when one stands still, and when an
//! instance steps back because of it.

use std::time::Duration;

/// Pause before the first restart of a task.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a restart. A restart lists the topics of a reader again, which has a cost for
/// the store.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(5);

/// Time that a task runs after which its earlier ends do not count any more.
const CALM_TIME: Duration = Duration::from_secs(30);

/// Pauses between the restarts of a task that ends again and again.
#[derive(Clone, Copy, Debug)]
pub struct RestartBackoff {
    next: Duration,
}

impl Default for RestartBackoff {
    fn default() -> Self {
        Self {
            next: MIN_RESTART_PAUSE,
        }
    }
}

impl RestartBackoff {
    /// Returns the pause before the restart of a task that has run for `ran`.
    pub fn pause(&mut self, ran: Duration) -> Duration {
        if ran >= CALM_TIME {
            *self = Self::default();
        }
        let pause = self.next;
        self.next = (pause * 2).min(MAX_RESTART_PAUSE);
        pause
    }
}

/// State of a task when it is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pulse {
    /// It waits for something that may never come.
    Idle,
    /// It has made this many steps.
    Steps(u64),
}

/// Time for which a task has made no step. Only the times between the looks count, so that a paused
/// process does not count as a task that stands still.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallTimer {
    seen: Option<u64>,
    age: Duration,
}

impl StallTimer {
    /// Records the state of the task `interval` after the previous look, and returns for how long it
    /// has made no step.
    pub fn observe(&mut self, pulse: Pulse, interval: Duration) -> Duration {
        let steps = match pulse {
            Pulse::Idle => None,
            Pulse::Steps(steps) => Some(steps),
        };
        if steps.is_some() && steps == self.seen {
            self.age += interval;
        } else {
            self.age = Duration::ZERO;
        }
        self.seen = steps;
        self.age
    }
}

/// Returns whether an instance whose reader of the store has stopped leaves the callers to the others:
/// `sound` others can serve and read, and `stalled` instances, this one included, do not read.
///
/// Otherwise a fault that stops the reader of every instance would take the whole fleet out, and one
/// that stops most readers would send all callers to a few instances. An outdated configuration
/// serves them better.
pub fn steps_back(sound: usize, stalled: usize) -> bool {
    sound >= stalled
}
