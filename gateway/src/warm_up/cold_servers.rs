//! Which backend servers are cold, and whether this instance may send to them.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use super::pace::{
    Pace,
    Rate, //
};
use super::terms::{
    ColdTime,
    WarmUp, //
};
use super::turns::{
    Sender,
    Turns, //
};
use crate::backend::{
    BackendEntry,
    RunKey, //
};
use crate::server_limits::Purpose;

/// Time after its start within which an instance that knows no other one sends nothing to cold servers.
const ALONE_UNTIL: Timestamp = Timestamp::from_millis(3_000);

/// Time for which it is known who is heard; it costs a look at all instances.
const SENDERS_VALID_FOR: Duration = Duration::from_millis(50);

/// Part of a turn that is left to online requests before an item may use it.
const ONLINE_PART: f64 = 0.5;

/// Time for which what was sent to a cold server is reported: a window, and two reports that are lost.
const REPORTED_FOR: Duration = Duration::from_millis(1_600);

/// Time for which counts are kept after a server was cold; it may become cold again.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// Most servers that are known as cold. Reports come from any process that knows the port.
const MAX_RUNS: usize = 4_096;

/// Most runs whose invalid values are remembered.
const MAX_INVALID: usize = 4_096;

/// Who says that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ColdSource {
    /// The time since its start.
    Start,
    /// Its entry in the store.
    Entry,
    /// Its response to this instance.
    Response,
    /// The report of another instance, which had such a response.
    Report,
}

/// A cold span that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSpan {
    /// Who says so.
    pub source: ColdSource,
    /// Time for which the server stays cold.
    pub remaining: Duration,
}

/// What an instance has sent to a cold run of a backend server, and knows from its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// The run.
    pub run: RunKey,
    /// Time for which it stays cold by its responses to the instance; 0 if unknown.
    pub remaining: Duration,
    /// Requests that the instance has sent to it while it was cold.
    pub sent: u64,
}

/// One run of a backend server that is or was cold.
#[derive(Debug, Default)]
struct ColdRun {
    /// Service of the run; `None` as long as its entry has not been read.
    service: Option<String>,
    /// The run is cold before this time.
    until: Timestamp,
    /// The part of it that responses to this instance have stated.
    response_until: Timestamp,
    /// Who said first that it is cold in this span.
    source: Option<ColdSource>,
    /// Whether the begin of the span was returned.
    is_announced: bool,
    pace: Pace,
}

/// The cold backend servers and what all instances send to them.
#[derive(Debug, Default)]
pub struct ColdServers {
    /// Terms of each service with a limit.
    terms: HashMap<String, WarmUp>,
    runs: HashMap<RunKey, ColdRun>,
    /// Latest end of a cold span.
    latest: Timestamp,
    /// Counts last reported by other instances, with the start of each.
    peers: HashMap<String, (u64, HashMap<RunKey, u64>)>,
    /// Runs whose invalid values were logged.
    invalid: HashSet<RunKey>,
    turns: Turns,
}

impl ColdServers {
    /// Sets the terms of the services that limit their cold servers.
    pub fn configure(&mut self, terms: impl Iterator<Item = (String, WarmUp)>) {
        self.terms = terms.collect();
    }

    /// Sets which instances send to the same servers: `me`, which has requests or items or not, and the
    /// `others`.
    pub fn set_senders(&mut self, me: &str, has_work: bool, others: &[Sender<'_>], now: Timestamp) {
        self.turns.divide(me, has_work, others, now);
    }

    /// Returns whether the senders are to be set again before a decision.
    pub fn are_senders_old(&self, now: Timestamp) -> bool {
        self.any_cold(now) && now.since(self.turns.divided_at) >= SENDERS_VALID_FOR
    }

    /// Applies the entry of a backend server with the time that it states, which was read at `now`,
    /// the time `unix_ms`.
    pub fn entry_read(
        &mut self,
        entry: &BackendEntry,
        stated: &ColdTime,
        now: Timestamp,
        unix_ms: u64,
    ) -> Option<ColdSpan> {
        let run = entry.run();
        let terms = self.terms.get(&entry.service);
        // A server whose clock is ahead has started at most just now.
        let running = Duration::from_millis(unix_ms.saturating_sub(entry.born));
        let since_start = terms.map_or(Duration::ZERO, |t| t.duration.saturating_sub(running));
        let (source, remaining) = match stated.remaining >= since_start {
            true => (ColdSource::Entry, stated.remaining),
            false => (ColdSource::Start, since_start),
        };
        if let Some(known) = self.runs.get_mut(&run) {
            known.service.get_or_insert_with(|| entry.service.clone());
        }
        self.cold(run, Some(&entry.service), source, remaining, now)
    }

    /// Applies the time that a response of a backend server states.
    pub fn responded(
        &mut self,
        entry: &BackendEntry,
        stated: &ColdTime,
        now: Timestamp,
    ) -> Option<ColdSpan> {
        let (run, service) = (entry.run(), Some(entry.service.as_str()));
        let source = ColdSource::Response;
        let began = self.cold(run, service, source, stated.remaining, now);
        if let Some(known) = self.runs.get_mut(&run) {
            known.response_until = known.response_until.max(now + stated.remaining);
        }
        began
    }

    /// Records that a run is cold for the time `remaining`; returns the span if it begins.
    fn cold(
        &mut self,
        run: RunKey,
        service: Option<&str>,
        source: ColdSource,
        remaining: Duration,
        now: Timestamp,
    ) -> Option<ColdSpan> {
        let is_known = self.runs.contains_key(&run);
        if !is_known && (remaining.is_zero() || self.runs.len() >= MAX_RUNS) {
            return None;
        }
        let known = self.runs.entry(run).or_default();
        if known.service.is_none() {
            known.service = service.map(str::to_owned);
        }
        let was_cold = now < known.until;
        known.until = known.until.max(now + remaining);
        self.latest = self.latest.max(known.until);
        if now >= known.until {
            return None;
        }
        let terms = known.service.as_ref().and_then(|s| self.terms.get(s));
        if !was_cold {
            known.source = Some(source);
            known.is_announced = false;
        }
        // Without terms the span begins when a configuration with them comes into force.
        let is_first = terms.is_some() && !known.is_announced;
        known.is_announced |= is_first;
        is_first.then_some(ColdSpan {
            source: known.source.unwrap_or(source),
            remaining: known.until.since(now),
        })
    }

    /// Returns the invalid value that a run of a backend server states, once for each run.
    pub fn invalid_of<'a>(
        &mut self,
        entry: &BackendEntry,
        stated: &'a ColdTime,
    ) -> Option<&'a str> {
        let value = stated.invalid.as_deref()?;
        if self.invalid.len() >= MAX_INVALID {
            self.invalid.clear();
        }
        self.invalid.insert(entry.run()).then_some(value)
    }

    /// Returns whether any server may be cold.
    pub fn any_cold(&self, now: Timestamp) -> bool {
        now < self.latest
    }

    /// Returns whether `run` is cold and its service limits cold servers.
    pub fn is_cold(&self, run: RunKey, now: Timestamp) -> bool {
        self.find(run, now).is_some()
    }

    /// Returns the number of cold servers with a limit.
    pub fn count(&self, now: Timestamp) -> usize {
        let runs = self.runs.keys();
        runs.filter(|run| self.is_cold(**run, now)).count()
    }

    /// Returns a cold run and the rate of the fleet at it.
    fn find(&self, run: RunKey, now: Timestamp) -> Option<(&ColdRun, f64)> {
        if !self.any_cold(now) {
            return None;
        }
        let known = self.runs.get(&run).filter(|known| now < known.until)?;
        let terms = self.terms.get(known.service.as_ref()?)?;
        Some((known, terms.rate))
    }

    /// Returns the part of `rate` of the instances that hear each other.
    fn rate(&self, rate: f64) -> Rate {
        Rate {
            per_s: rate * self.turns.free,
            usable_for: self.turns.usable_for(rate),
        }
    }

    /// Returns whether a request may be sent to `run` at `now`, the time `unix_ms`; `None` if it is
    /// not cold or has no limit.
    pub fn allows(
        &self,
        run: RunKey,
        purpose: Purpose,
        now: Timestamp,
        unix_ms: u64,
    ) -> Option<bool> {
        let (known, per_s) = self.find(run, now)?;
        let has_room = known.pace.has_room(self.rate(per_s), now);
        if !self.turns.knows_others && now < ALONE_UNTIL || !has_room {
            return Some(false);
        }
        let skipped = match purpose {
            Purpose::Online { .. } => 0.0,
            Purpose::Item => ONLINE_PART,
        };
        let open = self.turns.open(run, per_s, unix_ms, skipped);
        let used = known.pace.own_within(self.turns.turn(per_s), now);
        Some(used < open)
    }

    /// Counts a request that this instance sends to `run`.
    pub fn sent(&mut self, run: RunKey, now: Timestamp) {
        let Some((_, per_s)) = self.find(run, now) else {
            return;
        };
        let rate = self.rate(per_s);
        if let Some(known) = self.runs.get_mut(&run) {
            known.pace.sent(rate, now);
        }
    }

    /// Returns what the other instances are to know: only of servers that are cold, and to which this
    /// instance has sent lately or of which only it may know that they are cold.
    pub fn reports(&self, now: Timestamp) -> Vec<ColdReport> {
        let cold = self.runs.iter().filter(|(_, known)| now < known.until);
        let reports = cold.map(|(run, known)| {
            let is_recent = |at: Timestamp| now.since(at) < REPORTED_FOR;
            let recent = known.pace.last_sent.is_some_and(is_recent);
            ColdReport {
                run: *run,
                remaining: known.response_until.since(now),
                sent: if recent { known.pace.sent } else { 0 },
            }
        });
        reports
            .filter(|report| report.sent > 0 || !report.remaining.is_zero())
            .collect()
    }

    /// Applies what the instance `peer`, started at `boot`, has sent and knows. `service_of` finds the
    /// service of a run. Returns the spans that begin.
    pub fn apply_report(
        &mut self,
        peer: &str,
        boot: u64,
        reports: &[ColdReport],
        service_of: impl Fn(RunKey) -> Option<String>,
        now: Timestamp,
    ) -> Vec<(RunKey, ColdSpan)> {
        let mut began = Vec::new();
        for report in reports {
            let run = report.run;
            let known = self.runs.get(&run);
            let needs_service = known.is_none_or(|known| known.service.is_none());
            let is_cold = !report.remaining.is_zero() && needs_service;
            let service = is_cold.then(|| service_of(run)).flatten();
            let (service, source) = (service.as_deref(), ColdSource::Report);
            let span = self.cold(run, service, source, report.remaining, now);
            began.extend(span.map(|span| (run, span)));
            if report.sent > 0 {
                self.count_of_peer(peer, boot, report, now);
            }
        }
        began
    }

    fn count_of_peer(&mut self, peer: &str, boot: u64, report: &ColdReport, now: Timestamp) {
        if !self.peers.contains_key(peer) {
            self.peers.insert(peer.to_owned(), (boot, HashMap::new()));
        }
        let Some((known_boot, counts)) = self.peers.get_mut(peer) else {
            return;
        };
        if *known_boot != boot {
            *known_boot = boot;
            counts.clear();
        }
        let known = self.runs.get(&report.run);
        let service = known.and_then(|known| known.service.as_ref());
        let terms = service.and_then(|service| self.terms.get(service));
        let Some(terms) = terms else {
            return;
        };
        let before = counts.insert(report.run, report.sent).unwrap_or(0);
        // A count below the last one has begun anew. A first one counts as sent just now, at most
        // that of a second: when it was sent is not known.
        let new = match report.sent >= before {
            true => report.sent - before,
            false => report.sent,
        };
        let new = new.min(terms.rate.ceil() as u64);
        let rate = self.rate(terms.rate);
        if let Some(known) = self.runs.get_mut(&report.run)
            && new > 0
        {
            known.pace.count(new, rate, now);
        }
    }

    /// Removes a peer that was removed from the members.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Forgets runs that were last cold some time ago.
    pub fn sweep(&mut self, now: Timestamp) {
        self.runs
            .retain(|_, known| now.since(known.until) < KEPT_FOR);
        let runs = &self.runs;
        for (_, counts) in self.peers.values_mut() {
            counts.retain(|run, _| runs.contains_key(run));
        }
    }
}
