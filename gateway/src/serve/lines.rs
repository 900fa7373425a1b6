//! Structured log lines on standard output, written by a thread of their own.
//!
//! A line that finds the queue full is counted and dropped, so that a reader that stands still
//! never holds requests up. Lines about good requests are limited to a number per second; lines
//! about failures are not, so they are never dropped in favour of the others.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use log::{
    Level,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};

/// Lines that may wait to be written; about a second of the busiest log.
const QUEUE_LINES: usize = 4_096;

/// Lines about good requests and regular decisions per second and process. At 200 bytes a line this
/// is 20 kB/s.
const INFO_LINES_PER_S: u64 = 100;

/// A kind of log line; `docs/events.md` is the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    number: u16,
    level: Level,
}

impl Event {
    const fn new(number: u16, level: Level) -> Self {
        Self { number, level }
    }

    /// Logs one line of this kind.
    pub(crate) fn emit(self, message: std::fmt::Arguments<'_>) {
        log::log!(target: TARGET, self.level, "LW{:04} {message}", self.number);
    }
}

/// Target of the lines, by which other libraries' lines are told apart.
const TARGET: &str = "limpetweir";

/// Logs a numbered event.
macro_rules! line {
    ($event:expr, $($message:tt)+) => {
        $crate::serve::lines::Event::emit($event, ::std::format_args!($($message)+))
    };
}
pub(crate) use line;

/// The process serves.
pub(crate) const STARTED: Event = Event::new(2001, Level::Warn);
/// A stop signal arrived.
pub(crate) const STOPPING: Event = Event::new(2002, Level::Warn);
/// The process ends.
pub(crate) const STOPPED: Event = Event::new(2003, Level::Warn);
/// Settings were read again.
pub(crate) const RELOADED: Event = Event::new(2004, Level::Warn);
/// Settings were read again and not accepted.
pub(crate) const RELOAD_REFUSED: Event = Event::new(2005, Level::Error);
/// Log lines were dropped.
pub(crate) const LINES_DROPPED: Event = Event::new(2006, Level::Warn);
/// The process stood still for a while.
pub(crate) const PAUSED: Event = Event::new(2007, Level::Warn);
/// The store does not answer for a topic.
pub(crate) const STORE_LOST: Event = Event::new(2101, Level::Warn);
/// The store answers again for a topic.
pub(crate) const STORE_REGAINED: Event = Event::new(2102, Level::Warn);
/// Records of the store were removed before they were read.
pub(crate) const STORE_GAP: Event = Event::new(2103, Level::Warn);
/// A record of the store cannot be read.
pub(crate) const RECORD_SKIPPED: Event = Event::new(2104, Level::Warn);
/// An append was refused or its outcome is unknown.
pub(crate) const APPEND_FAILED: Event = Event::new(2105, Level::Warn);
/// Another configuration is in force.
pub(crate) const CONFIG_APPLIED: Event = Event::new(2201, Level::Warn);
/// A configuration cannot be read.
pub(crate) const CONFIG_UNREADABLE: Event = Event::new(2202, Level::Error);
/// The configuration of a peer could not be fetched.
pub(crate) const CONFIG_FETCH_FAILED: Event = Event::new(2203, Level::Warn);
/// A backend server appeared, changed or left.
pub(crate) const BACKEND_CHANGED: Event = Event::new(2301, Level::Info);
/// A backend server gave no answer.
pub(crate) const BACKEND_SUSPECTED: Event = Event::new(2302, Level::Warn);
/// Another instance is heard.
pub(crate) const PEER_UP: Event = Event::new(2401, Level::Warn);
/// Another instance is silent.
pub(crate) const PEER_DOWN: Event = Event::new(2402, Level::Warn);
/// Reports cannot be sent or received.
pub(crate) const REPORTS_FAILED: Event = Event::new(2403, Level::Warn);
/// The levels of the quotas were taken over from a peer, or could not be.
pub(crate) const QUOTAS_ADOPTED: Event = Event::new(2404, Level::Warn);
/// An online request was answered by a backend server.
pub(crate) const ANSWERED: Event = Event::new(2501, Level::Info);
/// An online request was refused.
pub(crate) const REFUSED: Event = Event::new(2502, Level::Warn);
/// An attempt at a backend server failed.
pub(crate) const ATTEMPT_FAILED: Event = Event::new(2503, Level::Warn);
/// An online request ended without a whole answer.
pub(crate) const REQUEST_FAILED: Event = Event::new(2504, Level::Warn);
/// A caller left before its answer was complete.
pub(crate) const CALLER_LEFT: Event = Event::new(2505, Level::Info);
/// A stream continues on another backend server.
pub(crate) const STREAM_RESUMED: Event = Event::new(2506, Level::Info);
/// An online request was sent to a backend server.
pub(crate) const PLACED: Event = Event::new(2507, Level::Info);
/// A call about a batch job was answered.
pub(crate) const JOB_CALL: Event = Event::new(2601, Level::Info);
/// A call about a batch job was refused.
pub(crate) const JOB_REFUSED: Event = Event::new(2602, Level::Warn);
/// An item started.
pub(crate) const ITEM_STARTED: Event = Event::new(2603, Level::Info);
/// A run of an item ended.
pub(crate) const ITEM_ENDED: Event = Event::new(2604, Level::Info);
/// The result of an item is in the store.
pub(crate) const ITEM_LISTED: Event = Event::new(2605, Level::Info);
/// Results were sent to a peer because the store does not answer.
pub(crate) const RESULTS_PASSED_ON: Event = Event::new(2606, Level::Warn);

/// A logger that hands lines to the writing thread.
struct Lines {
    tx: Sender<String>,
    dropped: AtomicU64,
    /// Second of the budget in the upper bits, lines of that second in the lower 20.
    budget: AtomicU64,
}

impl Lines {
    /// Returns whether a line about a good request is within the budget of this second.
    fn within_budget(&self, second: u64) -> bool {
        let second = second << 20;
        let used = self.budget.load(Ordering::Relaxed);
        if used & !0xf_ffff != second {
            self.budget.store(second + 1, Ordering::Relaxed);
            return true;
        }
        self.budget.fetch_add(1, Ordering::Relaxed) - second < INFO_LINES_PER_S
    }

    fn send(&self, line: String) {
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        // Libraries write warnings only.
        let ours = record.target() == TARGET || record.target().starts_with("limpetweir");
        if !self.enabled(record.metadata()) || !ours && record.level() > Level::Warn {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.unwrap_or_default();
        if record.level() >= Level::Info && !self.within_budget(now.as_secs()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut line = String::with_capacity(160);
        let level = record.level();
        // Writing to a string does not fail.
        let _ = write!(
            line,
            "{}.{:03} {level} {}",
            now.as_secs(),
            now.subsec_millis(),
            record.args()
        );
        if line.contains(['\n', '\r']) {
            line = line.replace('\n', "\\n").replace('\r', "\\r");
        }
        line.push('\n');
        self.send(line);
    }

    fn flush(&self) {}
}

/// The log of the process.
pub(crate) struct LogOutput {
    lines: &'static Lines,
}

impl LogOutput {
    /// Starts the writing thread and sets the level.
    pub(crate) fn start(level: LevelFilter) -> std::io::Result<Self> {
        let (tx, rx) = async_channel::bounded(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 << 10)
            .spawn(move || write_lines(&rx))?;
        // The logger lives as long as the process.
        let lines: &'static Lines = Box::leak(Box::new(Lines {
            tx,
            dropped: AtomicU64::new(0),
            budget: AtomicU64::new(0),
        }));
        // A program that embeds the gateway may have its own logger, which then stays in use.
        if log::set_logger(lines).is_ok() {
            log::set_max_level(level);
        }
        Ok(Self { lines })
    }

    /// Returns and resets the number of dropped lines.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.lines.dropped.swap(0, Ordering::Relaxed)
    }

    /// Waits until the lines so far are written, at most for `limit`.
    pub(crate) fn drain(&self, limit: Duration) {
        let step = Duration::from_millis(5);
        let steps = limit.as_millis() / step.as_millis();
        for _ in 0..steps {
            if self.lines.tx.is_empty() {
                break;
            }
            std::thread::sleep(step);
        }
    }
}

fn write_lines(rx: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut lines) = rx.recv_blocking() {
        // One write for all lines that wait keeps the number of system calls low.
        while let Ok(line) = rx.try_recv() {
            lines.push_str(&line);
        }
        // Where standard output is closed there is nobody to tell.
        let _ = out.write_all(lines.as_bytes());
        let _ = out.flush();
    }
}
