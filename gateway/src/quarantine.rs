//! Attribution of crashes of backend servers to requests and to parts of prompts, and what is held back.
//! The identity of a request counts as a part that only requests with the same content have.
//!
//! Load pattern: a request with a certain part crashes each server that begins to write its answer,
//! and such requests arrive at any instance. A crash ends all runs of the server at once, up to all
//! of its slots and its queue; the runs without output are the suspects. Parts are shared by many
//! requests, so a part that is in a suspected run is usually sound, and soon begins elsewhere.
//!
//! A part is blamed after several crashes at different moments in which it was suspected and
//! between which no run with it wrote output on any server. Parts that were suspected in exactly
//! these crashes cannot be told apart; they form a *case*, and only a request that has all of
//! them is held back. A part leaves its case when a run with it writes output. When a server
//! crashes under a run with only some of the parts of a case, these form another one. One request
//! that callers repeat is in suspected runs as often as its parts; its identity stays in the case when
//! sound requests have cleared these.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap,
    HashSet, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::crash_evidence::{
    Begun,
    KnownCrash,
    OpenCase,
    add_suspects,
    moments,
    probe_interval,
    to_cleared,
    to_crash, //
};
use crate::crash_news::{
    Case,
    Cleared,
    Crash,
    CrashKey,
    CrashNews, //
};
use crate::prompt::PartKey;

/// Crashes at different moments after which a part is blamed. Two can be the chance of a part that
/// is rarely used; five are all that may happen before the bound on further requests applies.
const BLAMED_AFTER: usize = 3;

/// Time for which a crash counts as evidence.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Time after its last crash for which a case is kept.
const CASE_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Time for which a change that this instance has observed is repeated to all others, so that a
/// lost datagram does not matter.
const NEWS_LIFETIME: Duration = Duration::from_millis(700);

/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspected parts of one run, the identity of its request among them. The caller
/// determines the number of parts.
const MAX_RUN_SUSPECTS: usize = 16;

/// Maximum number of cases.
const MAX_CASES: usize = 32;

/// Maximum number of parts of which the last output is remembered.
const MAX_BEGUN: usize = 1_024;

/// Maximum number of crashes in a digest, so that it fits into a datagram.
const MAX_DIGEST_CRASHES: usize = 24;

/// Maximum number of sound parts in a digest, for the same reason.
const MAX_DIGEST_CLEARED: usize = 256;

/// A change of the open cases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaseChange {
    /// Requests with the parts of this case are held back from now on.
    Opened(Case),
    /// They are served again.
    Closed(Case),
    /// Some parts were sound, and a request is held back if it has the others.
    Narrowed {
        /// The case before.
        before: Case,
        /// The case with the parts that are left.
        after: Case,
    },
}

/// What an instance knows about a request when it places it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Knowledge {
    /// Nothing speaks against it.
    #[default]
    Nothing,
    /// A server has crashed under the same request, which has had no output since.
    Suspected,
    /// It is held back, and sent as a probe.
    Held,
}

/// Why a request is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The case.
    pub case: Case,
    /// Whether the request may be sent as the next probe.
    pub probe_due: bool,
}

/// Returns a time on a clock that began [`CASE_LIFETIME`] before the process, on which the ages that
/// other instances tell can be represented.
fn since_origin(time: Timestamp) -> Timestamp {
    time + CASE_LIFETIME
}

/// Crashes of backend servers and the parts that are held back, as known to this instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<CrashKey, KnownCrash>,
    /// Only of parts that are suspected, or that another instance has cleared.
    begun: HashMap<PartKey, Begun>,
    cases: Vec<OpenCase>,
    /// All parts in `crashes`, `begun` and `cases`.
    suspected: HashSet<PartKey>,
    /// Requests that were held back because of cases that are closed, not yet counted.
    released: u64,
}

impl Quarantine {
    /// Returns whether nothing is known, as long as no backend server has crashed.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cases.is_empty()
    }

    /// Returns whether any request may be held back.
    pub fn has_cases(&self) -> bool {
        !self.cases.is_empty()
    }

    /// Returns the open cases.
    pub fn cases(&self, now: Timestamp) -> impl Iterator<Item = Case> {
        let now = since_origin(now);
        self.cases.iter().map(move |case| case.to_case(now))
    }

    /// Returns why a request with these parts is held back.
    pub fn hold(&self, parts: &[PartKey], now: Timestamp) -> Option<Hold> {
        let now = since_origin(now);
        let holding = || self.cases.iter().filter(|case| case.holds(parts));
        let case = self.narrowest(parts)?;
        // A probe with the parts of two cases would show nothing about either of them.
        let only = holding().all(|other| case.parts.is_subset(&other.parts));
        Some(Hold {
            case: case.to_case(now),
            probe_due: only && case.probe_at <= now,
        })
    }

    /// Returns what is known about a request with these keys, the first of which is its identity.
    pub fn knowledge(&self, parts: &[PartKey]) -> Knowledge {
        if self.narrowest(parts).is_some() {
            return Knowledge::Held;
        }
        match parts.first().is_some_and(|part| self.is_suspected(*part)) {
            true => Knowledge::Suspected,
            false => Knowledge::Nothing,
        }
    }

    /// Returns whether a server has crashed under a run with `part` and none has written output since.
    fn is_suspected(&self, part: PartKey) -> bool {
        let begun_at = self.begun_at(part);
        let crashes = self.crashes.values();
        let mut after = crashes.filter(|c| c.at > begun_at);
        after.any(|c| c.suspects.contains(&part))
    }

    /// Counts a request that is held back because of `case`.
    pub fn count_held(&mut self, case: &Case) {
        let mut known = self.cases.iter_mut();
        if let Some(known) = known.find(|known| known.parts == case.parts) {
            known.held += 1;
        }
    }

    /// Returns how many requests were held back because of cases that have been closed since the last
    /// call: they were sound, or are so now.
    pub fn take_released(&mut self) -> u64 {
        std::mem::take(&mut self.released)
    }

    /// Records that this instance lost a run with these parts and without output in a crash.
    pub fn crashed(
        &mut self,
        key: CrashKey,
        server: &str,
        me: &str,
        parts: &[PartKey],
        at: Timestamp,
        now: Timestamp,
    ) -> Vec<CaseChange> {
        let (at, now) = (since_origin(at), since_origin(now));
        let suspects = parts.iter().take(MAX_RUN_SUSPECTS).copied();
        let known = self.crashes.entry(key).or_insert_with(|| KnownCrash {
            server: server.to_owned(),
            seen_by: me.to_owned(),
            at,
            suspects: BTreeSet::new(),
            observed: None,
        });
        let before = known.suspects.len();
        add_suspects(&mut known.suspects, suspects);
        if known.observed.is_none() || known.suspects.len() > before {
            known.observed = Some(now);
        }
        self.update(now, Some(now))
    }

    /// Records that a run of this instance with these parts wrote output.
    pub fn began(&mut self, parts: &[PartKey], now: Timestamp) -> Vec<CaseChange> {
        let now = since_origin(now);
        if self.is_empty() {
            return Vec::new();
        }
        let mut held = false;
        for part in parts {
            if self.suspected.contains(part) {
                self.begun.entry(*part).or_default().at = now;
                held |= self.cases.iter().any(|case| case.parts.contains(part));
            }
        }
        if !held {
            return Vec::new();
        }
        for part in parts {
            self.tell(*part, now);
        }
        self.update(now, None)
    }

    /// Closes the cases with `part`, as if runs with all of their parts had written output.
    pub fn close(&mut self, part: PartKey, now: Timestamp) -> Vec<CaseChange> {
        let cases = self.cases.iter().filter(|case| case.parts.contains(&part));
        let parts: BTreeSet<PartKey> = cases.flat_map(|case| &case.parts).copied().collect();
        let parts: Vec<PartKey> = parts.into_iter().collect();
        self.began(&parts, now)
    }

    /// Returns the case that a request with these parts would probe, as it is afterwards.
    pub fn after_probe(&self, parts: &[PartKey], now: Timestamp) -> Option<Case> {
        let now = since_origin(now);
        let mut case = self.narrowest(parts)?.clone();
        case.count_probe(now);
        Some(case.to_case(now))
    }

    /// Records that this instance sends the probe that it has claimed, after which the case is
    /// `claimed`. The record of the claim may have been read before.
    pub fn probed(&mut self, claimed: &Case, now: Timestamp) {
        let now = since_origin(now);
        let mut known = self.cases.iter_mut();
        if let Some(known) = known.find(|known| known.parts == claimed.parts) {
            known.observed = Some(now);
            known.adopt_probes(claimed.probes, now + claimed.probe_in);
        }
    }

    /// Applies what another instance tells.
    pub fn merge(&mut self, news: &CrashNews, now: Timestamp) -> Vec<CaseChange> {
        let now = since_origin(now);
        let before: Vec<BTreeSet<PartKey>> = self.cases.iter().map(|c| c.parts.clone()).collect();
        for crash in &news.crashes {
            self.merge_crash(crash, now);
        }
        for cleared in &news.cleared {
            let at = now - cleared.age;
            let begun = self.begun.entry(cleared.part).or_default();
            begun.at = begun.at.max(at);
            begun.told = begun.told.max(at);
        }
        for case in &news.cases {
            self.merge_case(case, now);
        }
        let adopted = self.cases.iter().filter(|c| !before.contains(&c.parts));
        let adopted = adopted.map(|case| CaseChange::Opened(case.to_case(now)));
        let mut changes: Vec<CaseChange> = adopted.collect();
        changes.extend(self.update(now, None));
        changes
    }

    fn merge_crash(&mut self, crash: &Crash, now: Timestamp) {
        let at = now - crash.age;
        let known = self.crashes.entry(crash.key).or_insert_with(|| KnownCrash {
            server: crash.server.clone(),
            seen_by: crash.seen_by.clone(),
            at,
            suspects: BTreeSet::new(),
            observed: None,
        });
        // The clock of an instance that was paused is late, so the older time is the true one.
        known.at = known.at.min(at);
        add_suspects(&mut known.suspects, crash.suspects.iter().copied());
    }

    /// Applies a case of another instance, or of the store.
    fn merge_case(&mut self, case: &Case, now: Timestamp) {
        let since = now - case.age;
        let mut parts = case.parts.clone();
        parts.retain(|part| self.begun_at(*part) < since);
        for part in case.parts.difference(&parts) {
            // The sender has missed this.
            self.tell(*part, now);
        }
        if parts.is_empty() || case.age > CASE_LIFETIME {
            return;
        }
        let probe_at = now + case.probe_in;
        let mut known = self.cases.iter_mut();
        if let Some(known) = known.find(|known| known.parts == parts) {
            known.since = known.since.min(since);
            known.crashes = known.crashes.max(case.crashes);
            known.adopt_probes(case.probes, probe_at);
            return;
        }
        self.open(OpenCase {
            parts,
            crashes: case.crashes,
            servers: case.servers.clone(),
            since,
            probes: case.probes,
            probe_at,
            held: 0,
            observed: None,
        });
    }

    /// Returns what this instance has observed in the last moments, to be sent to all others.
    pub fn news(&mut self, now: Timestamp) -> CrashNews {
        let now = since_origin(now);
        self.drop_old(now);
        for part in self.unannounced() {
            self.tell(part, now);
        }
        let is_new =
            |observed: Option<Timestamp>| observed.is_some_and(|at| now.since(at) < NEWS_LIFETIME);
        let crashes = self.crashes.iter().filter(|(_, c)| is_new(c.observed));
        let cleared = self.begun.iter().filter(|(_, b)| is_new(b.observed));
        let cases = self.cases.iter().filter(|c| is_new(c.observed));
        CrashNews {
            crashes: crashes.map(|(key, c)| to_crash(*key, c, now)).collect(),
            cleared: cleared.map(|(part, b)| to_cleared(*part, b, now)).collect(),
            cases: cases.map(|c| c.to_case(now)).collect(),
        }
    }

    /// Returns what this instance knows, for another one that may have missed it. Crashes that a
    /// case explains are left out, as the case has all that follows from them.
    pub fn digest(&self, now: Timestamp) -> CrashNews {
        let now = since_origin(now);
        let crashes = self.crashes.iter().filter(|(_, c)| !self.is_explained(c));
        let mut crashes: Vec<(&CrashKey, &KnownCrash)> = crashes.collect();
        crashes.sort_by_key(|(_, c)| std::cmp::Reverse(c.at));
        crashes.truncate(MAX_DIGEST_CRASHES);
        let told = self
            .begun
            .iter()
            .filter(|(_, b)| b.told > Timestamp::default());
        let mut cleared: Vec<Cleared> = told.map(|(part, b)| to_cleared(*part, b, now)).collect();
        cleared.sort_by_key(|cleared| cleared.age);
        cleared.truncate(MAX_DIGEST_CLEARED);
        CrashNews {
            cleared,
            crashes: crashes
                .into_iter()
                .map(|(key, c)| to_crash(*key, c, now))
                .collect(),
            cases: self.cases.iter().map(|case| case.to_case(now)).collect(),
        }
    }

    /// Returns the case with the fewest parts that holds a request with `parts` back.
    fn narrowest(&self, parts: &[PartKey]) -> Option<&OpenCase> {
        let holding = self.cases.iter().filter(|case| case.holds(parts));
        holding.min_by_key(|case| case.parts.len())
    }

    fn begun_at(&self, part: PartKey) -> Timestamp {
        self.begun.get(&part).map_or(Timestamp::default(), |b| b.at)
    }

    /// Marks the last output of a part as news.
    fn tell(&mut self, part: PartKey, now: Timestamp) {
        if let Some(begun) = self.begun.get_mut(&part) {
            begun.told = begun.at;
            begun.observed = Some(now);
        }
    }

    /// Returns the parts that this instance knows to be sound, while the others may be about to
    /// blame them.
    fn unannounced(&self) -> Vec<PartKey> {
        let begun = self.begun.iter().filter(|(_, b)| b.at > b.told);
        let parts = begun.filter(|(part, b)| {
            let crashes = self.crashes.values();
            let crashes = crashes.filter(|c| c.at > b.told && c.at <= b.at);
            let crashes = crashes.filter(|c| c.suspects.contains(part));
            moments(crashes.map(|c| c.at)) + 1 >= BLAMED_AFTER
        });
        parts.map(|(part, _)| *part).collect()
    }

    /// Updates the cases after new evidence, which this instance has `observed` itself or not.
    fn update(&mut self, now: Timestamp, observed: Option<Timestamp>) -> Vec<CaseChange> {
        self.drop_old(now);
        let mut changes = self.clear_cases(now);
        // A case beyond the maximum replaces the oldest one, which may follow again from its crashes.
        for _ in 0..MAX_CASES {
            let Some(mut case) = self.narrower_case(now).or_else(|| self.blame(now)) else {
                break;
            };
            case.observed = observed;
            changes.push(CaseChange::Opened(case.to_case(now)));
            self.open(case);
        }
        self.count_crashes();
        self.update_suspected();
        changes
    }

    fn update_suspected(&mut self) {
        let crashes = self.crashes.values().flat_map(|c| &c.suspects);
        let cases = self.cases.iter().flat_map(|case| &case.parts);
        let all = crashes.chain(cases).chain(self.begun.keys());
        self.suspected = all.copied().collect();
    }

    /// Removes parts with which a run has written output from their cases, and closes cases without
    /// any other part.
    fn clear_cases(&mut self, now: Timestamp) -> Vec<CaseChange> {
        let mut changes = Vec::new();
        let begun = &self.begun;
        let released = &mut self.released;
        self.cases.retain_mut(|case| {
            let is_sound = |part: &PartKey| begun.get(part).is_some_and(|b| b.at >= case.since);
            let suspected = case.parts.iter().copied().filter(|part| !is_sound(part));
            let suspected: BTreeSet<PartKey> = suspected.collect();
            let before = case.to_case(now);
            if suspected.is_empty() {
                *released += u64::from(case.held);
                changes.push(CaseChange::Closed(before));
                return false;
            }
            if suspected.len() < case.parts.len() {
                case.parts = suspected;
                let after = case.to_case(now);
                changes.push(CaseChange::Narrowed { before, after });
            }
            true
        });
        changes
    }

    /// Returns a case with fewer parts than an open one, if a server crashed under a run with only
    /// these.
    /// The crash shows what a probe would, so the next one is due later.
    fn narrower_case(&self, now: Timestamp) -> Option<OpenCase> {
        for case in &self.cases {
            let later = self.crashes.values().filter(|c| c.at >= case.since);
            for crash in later.filter(|c| !self.is_explained(c)) {
                let mut parts = case.parts.clone();
                parts.retain(|part| {
                    crash.suspects.contains(part) && self.begun_at(*part) < case.since
                });
                if !parts.is_empty() {
                    let probe_at = case.probe_at.max(now + probe_interval(case.probes));
                    return Some(OpenCase {
                        parts,
                        probe_at,
                        held: 0,
                        ..case.clone()
                    });
                }
            }
        }
        None
    }

    fn is_explained(&self, crash: &KnownCrash) -> bool {
        self.cases.iter().any(|case| case.explains(crash))
    }

    fn count_crashes(&mut self) {
        for case in &mut self.cases {
            let explained = self.crashes.values().filter(|c| case.explains(c)).count();
            let explained = u32::try_from(explained).unwrap_or(u32::MAX);
            case.crashes = case.crashes.max(explained);
        }
    }

    /// Returns the next case that follows from the crashes which no case explains.
    fn blame(&self, now: Timestamp) -> Option<OpenCase> {
        let mut evidence: BTreeMap<PartKey, Vec<&KnownCrash>> = BTreeMap::new();
        for crash in self.crashes.values().filter(|c| !self.is_explained(c)) {
            for part in &crash.suspects {
                if crash.at > self.begun_at(*part) {
                    evidence.entry(*part).or_default().push(crash);
                }
            }
        }
        let count = |crashes: &Vec<&KnownCrash>| moments(crashes.iter().map(|c| c.at));
        let counts = evidence.iter().map(|(part, c)| (count(c), *part));
        let (count, worst) = counts.max()?;
        if count < BLAMED_AFTER {
            return None;
        }
        let crashes = evidence.get(&worst)?;
        let first = crashes.iter().map(|c| c.at).min()?;
        let always = |part: &PartKey| {
            self.begun_at(*part) < first && crashes.iter().all(|c| c.suspects.contains(part))
        };
        let mut case = OpenCase {
            parts: evidence.keys().copied().filter(always).collect(),
            crashes: 0,
            servers: Vec::new(),
            since: first,
            probes: 0,
            probe_at: now + probe_interval(0),
            held: 0,
            observed: None,
        };
        for crash in crashes {
            case.count(&format!("{}@{}", crash.server, crash.seen_by));
        }
        Some(case)
    }

    fn open(&mut self, case: OpenCase) {
        if self.cases.len() >= MAX_CASES {
            let oldest = (0..self.cases.len()).min_by_key(|n| self.cases[*n].since);
            if let Some(oldest) = oldest {
                self.cases.remove(oldest);
            }
        }
        self.cases.push(case);
    }

    /// Drops evidence that is too old or too much.
    fn drop_old(&mut self, now: Timestamp) {
        self.crashes
            .retain(|_, c| now.since(c.at) < EVIDENCE_LIFETIME);
        self.cases
            .retain(|case| now.since(case.since) < CASE_LIFETIME);
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                break;
            };
            self.crashes.remove(&key);
        }
        while self.begun.len() > MAX_BEGUN {
            let oldest = self.begun.iter().min_by_key(|(_, b)| b.at);
            let Some(part) = oldest.map(|(part, _)| *part) else {
                break;
            };
            self.begun.remove(&part);
        }
    }
}
