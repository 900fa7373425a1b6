//! The limits of all backend servers, and the right to send to a limited one.
//!
//! Load pattern: some or all servers state that they take one to four requests per second, from all
//! instances together, while a dozen to hundreds of instances have a request for them every few
//! milliseconds. All instances count their requests in one token bucket per server. A new token is
//! open to the instances one after the other, because reports need milliseconds, and instances that
//! saw it at the same time would all use it.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_coordination::rendezvous_score;
use limpetweir_state::Timestamp;

use crate::backend::RunKey;
use crate::fleet_rate::{
    FleetRates,
    Level, //
};
use crate::quota::Tolerance;
use crate::send_log::SendLog;
use crate::server_limit::{
    LimitChange,
    StatedLimit,
    Statement, //
};
use crate::warm_up::{
    ColdServers,
    Sender, //
};

/// Rate of requests to a server that states a lower one, in requests per second. Without requests
/// there are no responses, and the end of the limit would never be known.
const MIN_RATE: f64 = 0.2;

/// How far servers let their limits be exceeded: half of it in 4 s, and 5 requests.
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(4),
    overshoot: 0.5,
    slack: 5.0,
};

/// Part of a stated rate by which the fleet exceeds it as long as there are enough requests.
const OVERSHOOT: f64 = 0.25;

/// Room in a window, in requests, from which on several instances may send online requests at the
/// same time.
const CONTENDED_ROOM: f64 = 4.0;

/// Requests within the tolerance that are left to instances which send at the same time.
const MARGIN: f64 = 3.0;

/// Time after which a token is open to one more instance; reports arrive within a few milliseconds.
const TURN: Duration = Duration::from_millis(15);

/// Part of the burst that items leave to online requests, whose number changes fivefold within
/// seconds.
const ITEM_LEVEL: f64 = 0.4;

/// One in this many requests to a limited server may be an item while online requests need all.
const REQUESTS_PER_ITEM: u64 = 16;

/// Age up to which the first statement of a limit counts as its beginning. What was sent before does
/// not count against it. Later, others may have sent as much as it allows.
const NEW_FOR: Duration = Duration::from_millis(250);

/// Time after its start within which an instance has heard of the limits that others know.
const SETTLE_TIME: Timestamp = Timestamp::from_millis(5_000);

/// Age of a statement from which a server is asked again, before others that have room.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Age of a statement from which it is ignored.
const LIFETIME: Duration = Duration::from_secs(60);

/// Time for which the end of a limit is told to other instances.
const END_REPORTED_FOR: Duration = Duration::from_secs(10);

/// Time for which counts are kept without a new statement.
const COUNTS_KEPT_FOR: Duration = Duration::from_secs(600);

/// What an instance knows about a limited run of a backend server and has sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The run.
    pub run: RunKey,
    /// Requests per second; `None` if the limit has ended.
    pub rate: Option<f64>,
    /// Age of the statement.
    pub age: Duration,
    /// Requests that the instance has sent to the run while it was limited.
    pub sent: u64,
}

/// What is to be sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An online request, also for the rest of a stream.
    Online {
        /// Whether items wait for a slot at any instance.
        items_wait: bool,
    },
    /// An item of a batch job.
    Item,
}

/// Whether a request may be sent to a backend server now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permit {
    /// The server has no limit.
    #[default]
    Unlimited,
    /// The rate of a cold server allows one request. The server is a candidate like one without a
    /// limit, for the instances of its cell.
    Paced,
    /// The limit allows it.
    Allowed,
    /// The limit allows it, and is to be confirmed.
    Refresh,
    /// The limit does not allow it.
    Denied,
}

/// The limits that backend servers have stated, and the requests that all instances send to them.
#[derive(Debug)]
pub struct ServerLimits {
    /// Name of this instance.
    name: String,
    statements: HashMap<RunKey, Statement>,
    /// Runs that state something that is no limit, with the time of the last such statement.
    invalid: HashMap<RunKey, Timestamp>,
    /// A bucket for each run that is or was limited.
    rates: FleetRates<RunKey>,
    /// Runs whose limits this instance has learned after their beginning, and when: it does not know
    /// what the others had sent in the window before.
    learned_late: HashMap<RunKey, Timestamp>,
    /// What was sent to each of these runs within the last seconds.
    sends: HashMap<RunKey, SendLog>,
    /// Instances that send to the same servers and report it, with this one.
    heard: usize,
    /// Servers that have just started, which have a limit of their own kind.
    cold: ColdServers,
}

impl ServerLimits {
    /// Returns the limits as known to the instance `name` when it starts.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            statements: HashMap::new(),
            invalid: HashMap::new(),
            rates: FleetRates::new(0.0),
            learned_late: HashMap::new(),
            sends: HashMap::new(),
            heard: 1,
            cold: ColdServers::default(),
        }
    }

    /// Returns the cold servers.
    pub fn cold(&self) -> &ColdServers {
        &self.cold
    }

    /// Returns the cold servers, to tell them what was read or sent.
    pub fn cold_mut(&mut self) -> &mut ColdServers {
        &mut self.cold
    }

    /// Returns whether any server is limited.
    pub fn any_limited(&self) -> bool {
        self.statements.values().any(|s| s.rate.is_some())
    }

    /// Sets how many instances send to the same servers, with this one, and how many of them are
    /// `silent`: unreachable, or of an older build that reports no counts.
    pub fn set_senders(&mut self, silent: usize, senders: usize, now: Timestamp) {
        let senders = senders.max(1);
        self.heard = senders.saturating_sub(silent).max(1);
        // Instance counts are far below the precision of f64.
        let fraction = silent as f64 / senders as f64;
        self.rates.set_unreachable_fraction(fraction, now);
    }

    /// Sets the `others` that send to the same cold servers. `has_work` says whether this instance has
    /// requests or items.
    pub fn set_cold_senders(&mut self, has_work: bool, others: &[Sender<'_>], now: Timestamp) {
        self.cold.set_senders(&self.name, has_work, others, now);
    }

    /// Applies the head of a response of `run` to a request that was sent at `sent_at`.
    pub fn stated(
        &mut self,
        run: RunKey,
        limit: &StatedLimit,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let statement = Statement::of(limit, sent_at, now)?;
        self.apply(run, statement, now)
    }

    fn apply(&mut self, run: RunKey, statement: Statement, now: Timestamp) -> Option<LimitChange> {
        let before = self.statements.get(&run).copied();
        if before.is_none() && statement.rate.is_none() {
            return None;
        }
        if before.is_some_and(|before| statement.at <= before.at) {
            return None;
        }
        self.statements.insert(run, statement);
        let change = LimitChange::between(before.and_then(|s| s.rate), statement.rate);
        if let (Some(_), Some(rate)) = (change, statement.rate) {
            let refill = (rate * (1.0 + OVERSHOOT)).max(MIN_RATE);
            let burst = burst(rate);
            self.rates.set(run, refill, burst, 0.0, now);
            if matches!(change, Some(LimitChange::Began(_))) {
                let is_new = statement.age(now) < NEW_FOR && now >= SETTLE_TIME;
                self.rates.fill(run, if is_new { burst } else { 0.0 });
                if !is_new {
                    self.learned_late.insert(run, now);
                }
            }
        }
        change
    }

    /// Records that `run` states something that is no limit; returns whether that is new.
    pub fn invalid(&mut self, run: RunKey, now: Timestamp) -> bool {
        self.invalid.insert(run, now).is_none()
    }

    /// Returns the newest statement of `run`, if it states a limit.
    pub fn limit(&self, run: RunKey) -> Option<Statement> {
        let statement = self.statements.get(&run).copied();
        statement.filter(|s| s.rate.is_some())
    }

    /// Returns whether a request may be sent to `run` at `now`, the time `unix_ms`. A cold server that
    /// states a limit keeps both.
    pub fn permit(&self, run: RunKey, purpose: Purpose, now: Timestamp, unix_ms: u64) -> Permit {
        let stated = self.stated_permit(run, purpose, now, unix_ms);
        match self.cold.allows(run, purpose, now, unix_ms) {
            None => stated,
            Some(false) => Permit::Denied,
            Some(true) if stated == Permit::Unlimited => Permit::Paced,
            Some(true) => stated,
        }
    }

    fn stated_permit(&self, run: RunKey, purpose: Purpose, now: Timestamp, unix_ms: u64) -> Permit {
        let Some(statement) = self.limit(run) else {
            return Permit::Unlimited;
        };
        let Some(level) = self.rates.level(run, now) else {
            return Permit::Unlimited;
        };
        let Level {
            tokens,
            burst,
            rate,
        } = level;
        let turn = Turn::at(unix_ms, rate);
        let needed = match purpose {
            Purpose::Online { items_wait } if items_wait && turn.is_for_items(run) => 2.0,
            Purpose::Online { .. } => 1.0,
            Purpose::Item if turn.is_for_items(run) => 1.0,
            Purpose::Item => 1.0 + ITEM_LEVEL * (burst - 1.0),
        };
        let spare = tokens - needed;
        if spare < 0.0 {
            return Permit::Denied;
        }
        let ahead = self.instances_ahead(run, turn);
        let delay = TURN.mul_f64(ahead);
        let has_turn = match purpose {
            Purpose::Online { .. } => Duration::from_secs_f64(spare / rate) >= delay,
            // Items wait everywhere at the same time, whatever the age of the tokens.
            Purpose::Item => ahead <= spare,
        };
        if !has_turn {
            return Permit::Denied;
        }
        let Some(window) = self.window(run, statement, now) else {
            return Permit::Denied;
        };
        let fits = match purpose {
            Purpose::Online { .. } => {
                window.room >= CONTENDED_ROOM || window.room >= 1.0 && window.freed_for >= delay
            }
            Purpose::Item => ahead <= window.room - 1.0,
        };
        if !fits {
            return Permit::Denied;
        }
        if statement.age(now) >= STALE_AFTER + delay {
            Permit::Refresh
        } else {
            Permit::Allowed
        }
    }

    /// Returns the room in the last window; `None` if this instance has used its share of a window
    /// that it does not know.
    fn window(&self, run: RunKey, statement: Statement, now: Timestamp) -> Option<Window> {
        let rate = statement.rate?;
        let most = most_in_window(rate) * self.rates.free_fraction();
        // Counts are far below the precision of f64.
        let share = (most / self.heard as f64).max(1.0);
        if self.is_window_unknown(run, now) && self.rates.taken(run) as f64 >= share.floor() {
            return None;
        }
        let sent = self
            .sends
            .get(&run)
            .map(|log| log.count(TOLERANCE.window, now));
        let requests = sent.map_or(0, |sent| sent.requests);
        Some(Window {
            room: most.max(1.0) - requests as f64,
            freed_for: sent.map_or(TOLERANCE.window, |sent| sent.freed_for),
        })
    }

    /// Returns whether others have sent requests in the last window that this instance does not know.
    fn is_window_unknown(&self, run: RunKey, now: Timestamp) -> bool {
        let learned = self.learned_late.get(&run);
        learned.is_some_and(|at| now.since(*at) < TOLERANCE.window)
    }

    /// Returns about how many instances have their turn for a token before this one; the numbers are
    /// spread evenly over all instances.
    fn instances_ahead(&self, run: RunKey, turn: Turn) -> f64 {
        let key = (u64::from(run.0) << 32 | turn.0 & 0xffff_ffff).to_be_bytes();
        // Neither needs more than the precision of f64.
        let place = rendezvous_score(&key, &self.name) as f64 / u64::MAX as f64;
        place * (self.heard - 1) as f64
    }

    /// Counts a request that this instance sends to `run`.
    pub fn sent(&mut self, run: RunKey, now: Timestamp) {
        self.cold.sent(run, now);
        if self.limit(run).is_some() {
            // The caller has seen that there is a token.
            let _ = self.rates.take(run, now);
            self.log_sends(run, 1, now);
        }
    }

    fn log_sends(&mut self, run: RunKey, count: u64, now: Timestamp) {
        let log = self.sends.entry(run).or_default();
        log.add(count, TOLERANCE.window, now);
    }

    /// Returns what the other instances are to know.
    pub fn reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let told = self.statements.iter().filter(|(_, statement)| {
            statement.rate.is_some() || statement.age(now) < END_REPORTED_FOR
        });
        let reports = told.map(|(run, statement)| LimitReport {
            run: *run,
            rate: statement.rate,
            age: statement.age(now),
            sent: self.rates.taken(*run),
        });
        reports.collect()
    }

    /// Applies what the instance `peer`, started at `boot`, knows and has sent.
    pub fn apply_report(
        &mut self,
        peer: &str,
        boot: u64,
        reports: &[LimitReport],
        now: Timestamp,
    ) -> Vec<(RunKey, LimitChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let statement = Statement {
                rate: report.rate,
                at: now - report.age,
            };
            let change = self.apply(report.run, statement, now);
            changes.extend(change.map(|change| (report.run, change)));
        }
        let counts = reports.iter().map(|r| (r.run, r.sent));
        for (run, count) in self.rates.apply_counts(peer, boot, counts, now) {
            self.log_sends(run, count, now);
        }
        changes
    }

    /// Removes a peer that was removed from the members.
    pub fn remove_peer(&mut self, peer: &str) {
        self.rates.remove_peer(peer);
        self.cold.remove_peer(peer);
    }

    /// Drops statements that are too old, and returns the limits that end with them.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<(RunKey, LimitChange)> {
        self.cold.sweep(now);
        let mut ended = Vec::new();
        for (run, statement) in &mut self.statements {
            if statement.age(now) >= LIFETIME
                && let Some(rate) = statement.rate.take()
            {
                ended.push((*run, LimitChange::Ended(rate)));
            }
        }
        self.invalid
            .retain(|_, last| now.since(*last) < COUNTS_KEPT_FOR);
        let kept = |s: &Statement| s.age(now) < COUNTS_KEPT_FOR;
        self.statements.retain(|_, statement| kept(statement));
        let statements = &self.statements;
        self.rates.retain(|run| statements.contains_key(run));
        self.sends.retain(|run, _| statements.contains_key(run));
        self.learned_late
            .retain(|_, at| now.since(*at) < TOLERANCE.window);
        ended
    }
}

/// What the last window leaves to the fleet.
#[derive(Clone, Copy, Debug)]
struct Window {
    /// Requests that may still be sent.
    room: f64,
    /// Time since a request left the window.
    freed_for: Duration,
}

/// Returns the number of requests that may be sent within one window at a stated rate.
fn most_in_window(rate: f64) -> f64 {
    let in_window = rate * TOLERANCE.window.as_secs_f64();
    in_window * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack - MARGIN
}

/// Returns the number of requests that may follow each other at once at a stated rate.
fn burst(rate: f64) -> f64 {
    let in_window = rate * TOLERANCE.window.as_secs_f64();
    most_in_window(rate).min(1.0 + in_window)
}

/// Number of the token that a server gets at a moment, about the same on all instances.
#[derive(Clone, Copy, Debug)]
struct Turn(u64);

impl Turn {
    fn at(unix_ms: u64, rate: f64) -> Self {
        // The fraction of a token does not matter.
        Self((unix_ms as f64 / 1_000.0 * rate) as u64)
    }

    /// Returns whether the token is for an item, if one waits.
    fn is_for_items(self, run: RunKey) -> bool {
        let number = self.0.wrapping_add(u64::from(run.0));
        number.is_multiple_of(REQUESTS_PER_ITEM)
    }
}
