//! Structured log lines on standard output, written by a dedicated thread.
//!
//! When the queue is full, lines are counted and dropped, so that a blocked reader of the log never
//! delays requests. Lines about successful requests are limited to a number per second; lines about
//! failures are not, so they are never dropped in favour of the others.

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
use limpetweir_transport::http::ConnectionUse;
use log::{
    Level,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};

/// Maximum number of queued lines: about one second of the busiest log.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of lines about successful requests and regular decisions per second and process.
/// At 200 bytes a line this is 20 kB/s.
const INFO_LINES_PER_S: u64 = 100;

/// Kind of a log line; `docs/events.md` is the catalogue.
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

/// Log target of the lines, which distinguishes them from the lines of other libraries.
const TARGET: &str = "limpetweir";

/// Logs a numbered event.
macro_rules! log_event {
    ($event:expr, $($message:tt)+) => {
        $crate::serve::lines::Event::emit($event, ::std::format_args!($($message)+))
    };
}
pub(crate) use log_event;

/// The instance has started and accepts connections.
pub(crate) const STARTED: Event = Event::new(2001, Level::Warn);
/// A stop signal arrived.
pub(crate) const STOPPING: Event = Event::new(2002, Level::Warn);
/// The shutdown is complete.
pub(crate) const STOPPED: Event = Event::new(2003, Level::Warn);
/// The settings were reloaded.
pub(crate) const RELOADED: Event = Event::new(2004, Level::Warn);
/// Reloaded settings were rejected.
pub(crate) const RELOAD_REFUSED: Event = Event::new(2005, Level::Error);
/// Log lines were dropped.
pub(crate) const LINES_DROPPED: Event = Event::new(2006, Level::Warn);
/// The process was paused for a while.
pub(crate) const PAUSED: Event = Event::new(2007, Level::Warn);
/// A signal arrived while the instance stops, and has no effect.
pub(crate) const SIGNAL_IGNORED: Event = Event::new(2008, Level::Warn);
/// A background task has panicked or ended and is started again.
pub(crate) const TASK_RESTARTED: Event = Event::new(2011, Level::Error);
/// A task with one purpose has panicked.
pub(crate) const TASK_PANICKED: Event = Event::new(2012, Level::Error);
/// A background task makes no step.
pub(crate) const TASK_STANDS_STILL: Event = Event::new(2013, Level::Error);
/// It makes steps again.
pub(crate) const TASK_MOVES: Event = Event::new(2014, Level::Warn);
/// The processing of a record or of a message has panicked, and it is skipped.
pub(crate) const INPUT_SKIPPED: Event = Event::new(2015, Level::Error);
/// Reads of a topic from the store fail.
pub(crate) const STORE_LOST: Event = Event::new(2101, Level::Warn);
/// Reads of a topic from the store succeed again.
pub(crate) const STORE_REGAINED: Event = Event::new(2102, Level::Warn);
/// Records were removed from the store before they were read.
pub(crate) const STORE_GAP: Event = Event::new(2103, Level::Warn);
/// A record of the store could not be decoded.
pub(crate) const RECORD_SKIPPED: Event = Event::new(2104, Level::Warn);
/// Reads of a topic from the store go on to fail.
pub(crate) const STORE_STILL_LOST: Event = Event::new(2107, Level::Warn);
/// A partition of the jobs is listed whole.
pub(crate) const JOBS_LISTED: Event = Event::new(2106, Level::Warn);
/// An append was rejected, or its outcome is unknown.
pub(crate) const APPEND_FAILED: Event = Event::new(2105, Level::Warn);
/// A new configuration is in force.
pub(crate) const CONFIG_APPLIED: Event = Event::new(2201, Level::Warn);
/// A configuration could not be decoded.
pub(crate) const CONFIG_UNREADABLE: Event = Event::new(2202, Level::Error);
/// A configuration could not be fetched from a peer.
pub(crate) const CONFIG_FETCH_FAILED: Event = Event::new(2203, Level::Warn);
/// A backend server was added, changed or removed.
pub(crate) const BACKEND_CHANGED: Event = Event::new(2301, Level::Info);
/// A backend server did not respond and is suspected to have failed.
pub(crate) const BACKEND_SUSPECTED: Event = Event::new(2302, Level::Warn);
/// A backend server crashed while it had a run without output.
pub(crate) const SERVER_CRASHED: Event = Event::new(2303, Level::Warn);
/// Requests with certain parts of a prompt are held back.
pub(crate) const CASE_OPENED: Event = Event::new(2304, Level::Warn);
/// They are served again.
pub(crate) const CASE_CLOSED: Event = Event::new(2305, Level::Warn);
/// A request that would be held back is sent to find out whether its parts still crash servers.
pub(crate) const PROBE_SENT: Event = Event::new(2306, Level::Warn);
/// A run without output was ended because its request is blamed for crashes.
pub(crate) const RUN_WITHDRAWN: Event = Event::new(2313, Level::Warn);
/// The parts that are held back could not be written to the store.
pub(crate) const CASE_NOT_STORED: Event = Event::new(2307, Level::Warn);
/// A backend server states a limit of requests per second.
pub(crate) const LIMIT_BEGAN: Event = Event::new(2308, Level::Warn);
/// A backend server states another limit.
pub(crate) const LIMIT_CHANGED: Event = Event::new(2309, Level::Warn);
/// A backend server states no limit any more.
pub(crate) const LIMIT_ENDED: Event = Event::new(2310, Level::Warn);
/// A backend server states something that is no limit.
pub(crate) const LIMIT_INVALID: Event = Event::new(2311, Level::Warn);
/// A response of a backend server says that it leaves.
pub(crate) const BACKEND_LEAVES: Event = Event::new(2312, Level::Warn);
/// The servers of a zone get nothing new.
pub(crate) const EVACUATION_BEGAN: Event = Event::new(2316, Level::Warn);
/// They get requests and items again.
pub(crate) const EVACUATION_ENDED: Event = Event::new(2317, Level::Warn);
/// A record about an evacuation is not used, or names a zone that is not known.
pub(crate) const EVACUATION_UNUSABLE: Event = Event::new(2318, Level::Warn);
/// A backend server is cold and gets only the rate that its service allows.
pub(crate) const COLD: Event = Event::new(2319, Level::Warn);
/// A service or a backend server states a value about cold servers that is out of range.
pub(crate) const COLD_INVALID: Event = Event::new(2320, Level::Warn);
/// Another instance is reachable.
pub(crate) const PEER_UP: Event = Event::new(2401, Level::Warn);
/// Another instance is unreachable.
pub(crate) const PEER_DOWN: Event = Event::new(2402, Level::Warn);
/// Reports could not be sent.
pub(crate) const REPORTS_FAILED: Event = Event::new(2403, Level::Warn);
/// The quota levels of a peer were adopted or could not be fetched.
pub(crate) const QUOTAS_ADOPTED: Event = Event::new(2404, Level::Warn);
/// An online request received a complete response from a backend server.
pub(crate) const ANSWERED: Event = Event::new(2501, Level::Info);
/// An online request was rejected.
pub(crate) const REFUSED: Event = Event::new(2502, Level::Warn);
/// An attempt at a backend server failed.
pub(crate) const ATTEMPT_FAILED: Event = Event::new(2503, Level::Warn);
/// An online request ended without a complete response.
pub(crate) const REQUEST_FAILED: Event = Event::new(2504, Level::Warn);
/// A caller disconnected before its response was complete.
pub(crate) const CALLER_LEFT: Event = Event::new(2505, Level::Info);
/// An interrupted stream continues on another backend server.
pub(crate) const STREAM_RESUMED: Event = Event::new(2506, Level::Info);
/// An online request was placed on a backend server.
pub(crate) const PLACED: Event = Event::new(2507, Level::Info);
/// The connection of a run ended before its response did.
pub(crate) const RUN_LOST: Event = Event::new(2508, Level::Warn);
/// A request ended without an answer, a refusal or a reason that lies with its caller or its backend
/// server.
pub(crate) const REQUEST_LOST: Event = Event::new(2509, Level::Error);
/// A caller got the status and the headers of a response, and nothing behind them.
pub(crate) const HEAD_ONLY: Event = Event::new(2517, Level::Error);
/// Requests were refused for lack of memory for their bodies.
pub(crate) const BODIES_REFUSED: Event = Event::new(2518, Level::Warn);
/// Connections whose callers did not read their responses were closed, or responses were cut off, for lack of memory.
pub(crate) const RESPONSES_ENDED: Event = Event::new(2519, Level::Warn);
/// Another backend server is asked for the rest of a silent stream.
pub(crate) const OVERLAP_BEGAN: Event = Event::new(2515, Level::Info);
/// One of the two backend servers of a silent stream has shown an event, or neither.
pub(crate) const OVERLAP_ENDED: Event = Event::new(2516, Level::Info);
/// A call about a batch job succeeded.
pub(crate) const JOB_CALL: Event = Event::new(2601, Level::Info);
/// A call about a batch job was rejected.
pub(crate) const JOB_REFUSED: Event = Event::new(2602, Level::Warn);
/// A run of an item started.
pub(crate) const ITEM_STARTED: Event = Event::new(2603, Level::Info);
/// A run of an item ended.
pub(crate) const ITEM_ENDED: Event = Event::new(2604, Level::Info);
/// An item waits because its prompt has parts that are held back.
pub(crate) const ITEM_HELD: Event = Event::new(2607, Level::Warn);
/// The result of an item is in the store.
pub(crate) const ITEM_LISTED: Event = Event::new(2605, Level::Info);
/// Results were forwarded to a peer because the store does not respond.
pub(crate) const RESULTS_PASSED_ON: Event = Event::new(2606, Level::Warn);
/// The output of an item is larger than what can be listed or kept.
pub(crate) const OUTPUT_TOO_LARGE: Event = Event::new(2608, Level::Warn);

/// The store has begun or ceased to turn this instance away; its calls about jobs go through peers.
pub(crate) const STORE_ACCESS: Event = Event::new(2609, Level::Warn);
/// An append went through a peer.
pub(crate) const STORE_CALL_RELAYED: Event = Event::new(2610, Level::Info);

/// Returns the fields of a line about the connection of an attempt; empty if it is not known.
pub(crate) fn describe_connection(sent_on: Option<ConnectionUse>) -> String {
    sent_on.map_or_else(String::new, |sent_on| format!(" {sent_on}"))
}

/// Logger that sends lines to the writer thread.
struct LineLogger {
    tx: Sender<String>,
    dropped: AtomicU64,
    /// Current second in the upper bits, number of lines in that second in the lower 20 bits.
    budget: AtomicU64,
}

impl LineLogger {
    /// Returns whether a line about a successful request is within the budget of this second.
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

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        // Of other libraries only warnings and errors are logged.
        let is_own = record.target() == TARGET || record.target().starts_with("limpetweir");
        if !self.enabled(record.metadata()) || !is_own && record.level() > Level::Warn {
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
        // Writing to a string cannot fail.
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

/// Handle of the log of the process.
pub(crate) struct LogOutput {
    lines: &'static LineLogger,
}

impl LogOutput {
    /// Starts the writer thread, installs the logger and sets the log level.
    pub(crate) fn start(level: LevelFilter) -> std::io::Result<Self> {
        let (tx, rx) = async_channel::bounded(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 << 10)
            .spawn(move || write_lines(&rx))?;
        // A logger must have the lifetime of the process.
        let lines: &'static LineLogger = Box::leak(Box::new(LineLogger {
            tx,
            dropped: AtomicU64::new(0),
            budget: AtomicU64::new(0),
        }));
        // A program that embeds the gateway may have installed a logger, which then stays in use.
        if log::set_logger(lines).is_ok() {
            log::set_max_level(level);
        }
        Ok(Self { lines })
    }

    /// Returns and resets the number of dropped lines.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.lines.dropped.swap(0, Ordering::Relaxed)
    }

    /// Waits until the queue is empty, for at most `limit`.
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
        // One write for all queued lines keeps the number of system calls low.
        while let Ok(line) = rx.try_recv() {
            lines.push_str(&line);
        }
        // If standard output is closed, there is no other place to report the error.
        let _ = out.write_all(lines.as_bytes());
        let _ = out.flush();
    }
}
