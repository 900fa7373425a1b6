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
/// The graceful stop reached its limit and aborted running requests.
pub const STOP_CUT: Event = Event::new(1005, Level::Warn);
/// The instance started or stopped accepting requests.
pub const PHASE_CHANGED: Event = Event::new(1006, Level::Info);
/// A request to the admin listener had no valid operator key.
pub const OPERATOR_REFUSED: Event = Event::new(1007, Level::Warn);

/// The owner of a job group assigned an item to an engine.
pub const BATCH_PLACED: Event = Event::new(1801, Level::Debug);
/// A batch manager started an item on its engine.
pub const BATCH_ITEM_STARTED: Event = Event::new(1802, Level::Debug);
/// A batch manager cancelled the stream of an item on its engine.
pub const BATCH_ITEM_CANCELLED: Event = Event::new(1803, Level::Debug);
/// The stream of an item broke; the engine gets no batch items for a while.
pub const BATCH_BACKEND_FAILED: Event = Event::new(1804, Level::Warn);
/// An attempt of an item failed.
pub const BATCH_ITEM_FAILED: Event = Event::new(1805, Level::Info);
/// A record of a job group was not appended.
pub const BATCH_RECORD_FAILED: Event = Event::new(1806, Level::Warn);
/// This instance started acting for a job group.
pub const JOB_GROUP_OPENED: Event = Event::new(1807, Level::Info);
/// This instance stopped acting for a job group.
pub const JOB_GROUP_CLOSED: Event = Event::new(1808, Level::Info);
/// The first record of a job group's new owner was not appended.
pub const JOB_GROUP_OPEN_FAILED: Event = Event::new(1809, Level::Warn);
/// A job was accepted.
pub const JOB_ACCEPTED: Event = Event::new(1810, Level::Info);
/// A job was cancelled.
pub const JOB_CANCELLED: Event = Event::new(1811, Level::Info);
/// An order to change its loaded models or adapters was sent to an engine.
pub const ENGINE_ORDERED: Event = Event::new(1812, Level::Info);
/// An engine has received a higher fencing number than that of this instance.
pub const ENGINE_ORDER_OUTDATED: Event = Event::new(1813, Level::Warn);
/// Records of a stream were trimmed before they were read.
pub const STREAM_GAP: Event = Event::new(1301, Level::Warn);
/// A gap was recovered from a snapshot.
pub const STREAM_RECOVERED: Event = Event::new(1302, Level::Info);
/// A record of a stream is unreadable.
pub const RECORD_SKIPPED: Event = Event::new(1303, Level::Error);
/// The log service rejected an entry permanently.
pub const APPEND_REJECTED: Event = Event::new(1304, Level::Error);
/// A snapshot could not be written.
pub const SNAPSHOT_FAILED: Event = Event::new(1305, Level::Error);
/// Another configuration is in force at this instance.
pub const CONFIG_CHANGED: Event = Event::new(1701, Level::Info);
/// This version of the program cannot read an accepted configuration.
pub const CONFIG_UNREADABLE: Event = Event::new(1702, Level::Error);
/// A newer configuration was fetched from a peer.
pub const CONFIG_FETCHED: Event = Event::new(1703, Level::Info);
/// An operator's publication was accepted or rejected.
pub const PUBLICATION: Event = Event::new(1704, Level::Info);
/// This instance claims a group.
pub const CLAIMING: Event = Event::new(1501, Level::Info);
/// A group has a new owner.
pub const CLAIMED: Event = Event::new(1502, Level::Info);
/// A group was taken over from an owner that had not released it.
pub const TAKEN_OVER: Event = Event::new(1503, Level::Warn);
/// An owner released a group.
pub const RELEASED: Event = Event::new(1504, Level::Info);
/// A graceful stop ended before all groups were handed over.
pub const HAND_OVER_CUT: Event = Event::new(1505, Level::Warn);
/// A link to another instance is up.
pub const LINK_UP: Event = Event::new(1601, Level::Info);
/// A link to another instance is down.
pub const LINK_DOWN: Event = Event::new(1602, Level::Warn);
/// The instances in the list changed.
pub const LIST_CHANGED: Event = Event::new(1603, Level::Info);
/// The list could not be read.
pub const LIST_UNREADABLE: Event = Event::new(1604, Level::Warn);
/// A backend server was chosen for an attempt, or none was available.
pub const ROUTED: Event = Event::new(1401, Level::Debug);
/// A response did not echo the id of its attempt.
pub const ANSWER_MISMATCHED: Event = Event::new(1402, Level::Warn);
/// An attempt failed before any byte was sent to the caller.
pub const ATTEMPT_FAILED: Event = Event::new(1403, Level::Info);
/// A broken stream was resumed on another engine.
pub const STREAM_RESUMED: Event = Event::new(1404, Level::Info);
/// A stream ended with an error event.
pub const STREAM_BROKEN: Event = Event::new(1405, Level::Warn);
/// The instance became the owner of a quota group.
pub const QUOTA_HOME_STARTED: Event = Event::new(1406, Level::Info);
/// The instance is no longer the owner of a quota group.
pub const QUOTA_HOME_ENDED: Event = Event::new(1407, Level::Info);
/// An online request was answered with an error.
pub const REQUEST_REFUSED: Event = Event::new(1408, Level::Debug);
/// A preemption message was sent to the batch manager of a full backend server.
pub const YIELD_SENT: Event = Event::new(1409, Level::Debug);
/// A caller disconnected before the end of its stream.
pub const CALLER_LEFT: Event = Event::new(1410, Level::Debug);
/// A quota call was invalid.
pub const QUOTA_MESSAGE_REFUSED: Event = Event::new(1411, Level::Warn);
