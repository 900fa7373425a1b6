//! Numbered log events; `docs/events.md` is their catalogue.

use std::fmt;

use log::Level;

/// A kind of log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Unique number, written as `LW` and four digits.
    pub number: u16,
    /// Severity.
    pub level: Level,
}

impl Event {
    const fn new(number: u16, level: Level) -> Self {
        Self { number, level }
    }

    /// Logs one line of this kind.
    pub fn emit(self, message: fmt::Arguments<'_>) {
        log::log!(self.level, "{self} {message}");
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LW{:04}", self.number)
    }
}

/// Logs a numbered event: `event!(STARTED, "name={name}")`.
#[macro_export]
macro_rules! event {
    ($event:expr, $($message:tt)+) => {
        $crate::events::Event::emit($event, ::std::format_args!($($message)+))
    };
}

/// The daemon has bound its listeners.
pub const STARTED: Event = Event::new(1001, Level::Info);
/// The daemon could not start.
pub const START_FAILED: Event = Event::new(1002, Level::Error);
/// A graceful stop began.
pub const STOPPING: Event = Event::new(1003, Level::Info);
/// The graceful stop ended.
pub const STOPPED: Event = Event::new(1004, Level::Info);
/// The graceful stop reached its limit and closed running requests.
pub const STOP_CUT: Event = Event::new(1005, Level::Warn);
/// The instance began or ceased to accept requests.
pub const PHASE_CHANGED: Event = Event::new(1006, Level::Info);
/// A request to the admin listener had no valid operator key.
pub const OPERATOR_REFUSED: Event = Event::new(1007, Level::Warn);
/// A backend server was chosen for an attempt, or none was found.
pub const ROUTED: Event = Event::new(1401, Level::Debug);
/// An answer did not echo the id of its attempt.
pub const ANSWER_MISMATCHED: Event = Event::new(1402, Level::Warn);
/// An attempt failed before a byte was sent to the caller.
pub const ATTEMPT_FAILED: Event = Event::new(1403, Level::Info);
/// Another engine continues a broken stream.
pub const STREAM_RESUMED: Event = Event::new(1404, Level::Info);
/// A stream ended with an error event.
pub const STREAM_BROKEN: Event = Event::new(1405, Level::Warn);
/// The instance became the home of a quota group.
pub const QUOTA_HOME_STARTED: Event = Event::new(1406, Level::Info);
/// The instance is no longer the home of a quota group.
pub const QUOTA_HOME_ENDED: Event = Event::new(1407, Level::Info);
/// An online request was answered with an error.
pub const REQUEST_REFUSED: Event = Event::new(1408, Level::Debug);
/// The batch manager of a full backend server was told to yield.
pub const YIELD_SENT: Event = Event::new(1409, Level::Debug);
/// A caller left before the end of its stream.
pub const CALLER_LEFT: Event = Event::new(1410, Level::Debug);
/// A quota message was not valid.
pub const QUOTA_MESSAGE_REFUSED: Event = Event::new(1411, Level::Warn);
