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

mod exchange;

use std::collections::{
    BTreeSet,
    HashSet, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::crash_evidence::{
    Evidence,
    KnownCrash, //
};
use crate::crash_news::{
    Case,
    CrashKey, //
};
use crate::open_case::OpenCase;
use crate::prompt::PartKey;

/// Time after its first crash for which a case is kept. Without probes only output, an operator or a new
/// version of the servers ends one sooner.
const CASE_LIFETIME: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Time after the end of a withdrawn run in which a crash of its server is due to it.
const WITHDRAWN_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of remembered withdrawn runs.
const MAX_WITHDRAWN: usize = 64;

/// Maximum number of suspected parts of one run, the identity of its request among them. The caller
/// determines the number of parts.
const MAX_RUN_SUSPECTS: usize = 16;

/// Maximum number of cases.
const MAX_CASES: usize = 32;

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

/// When an item may run. An item is owed, and no case holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemTurn {
    /// Nothing speaks against it.
    Free,
    /// After a pause: a server has crashed under it, or under a case with its parts.
    Later,
    /// As soon as this instance has the lease of this key.
    WithLease(PartKey),
}

/// Pauses of an item after each crash under it since its last output.
const ITEM_PAUSES: [Duration; 5] = [
    Duration::from_millis(200),
    Duration::from_secs(1),
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(15),
];

/// Pause of the items with the parts of a case after a crash that it explains.
const CASE_PAUSE: Duration = Duration::from_secs(2);

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

/// A run that was ended because its request was blamed for crashes.
#[derive(Debug)]
struct WithdrawnRun {
    /// Key of the crash of its server, if that crashes.
    crash: CrashKey,
    suspects: Vec<PartKey>,
    at: Timestamp,
}

/// Crashes of backend servers and the parts that are held back, as known to this instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    cases: Vec<OpenCase>,
    /// All parts in `evidence` and `cases`.
    suspected: HashSet<PartKey>,
    /// Runs that were ended because their request was blamed. Their servers may crash all the same.
    withdrawn: Vec<WithdrawnRun>,
    /// Requests that were held back because of cases that are closed, not yet counted.
    released: u64,
}

impl Quarantine {
    /// Returns whether nothing is known, as long as no backend server has crashed.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.cases.is_empty()
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
            probe_due: only && case.is_probe_due(now),
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

    /// Returns when an item with these keys may run.
    pub fn item_turn(&self, parts: &[PartKey], now: Timestamp) -> ItemTurn {
        let now = since_origin(now);
        let own = parts.first().filter(|part| self.suspected.contains(part));
        let own = own.map(|part| self.evidence.since_output(*part));
        let own: Vec<Timestamp> = own.into_iter().flatten().map(|c| c.at).collect();
        let pause = ITEM_PAUSES[own.len().saturating_sub(1).min(ITEM_PAUSES.len() - 1)];
        if own.iter().max().is_some_and(|last| now < *last + pause) {
            return ItemTurn::Later;
        }
        let Some(case) = self.narrowest(parts) else {
            return match (own.is_empty(), parts.first()) {
                (false, Some(identity)) => ItemTurn::WithLease(*identity),
                _ => ItemTurn::Free,
            };
        };
        let crashes = self.evidence.crashes();
        let of_case = crashes.filter(|(_, c)| case.explains(c));
        let last = of_case.map(|(_, c)| c.at).max();
        match (last, case.parts.first()) {
            (Some(last), _) if now < last + CASE_PAUSE => ItemTurn::Later,
            (_, Some(part)) => ItemTurn::WithLease(*part),
            (_, None) => ItemTurn::Free,
        }
    }

    /// Returns whether a server has crashed under a run with `part` and none has written output since.
    fn is_suspected(&self, part: PartKey) -> bool {
        self.suspected.contains(&part) && self.evidence.since_output(part).next().is_some()
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

    /// Returns whether the request with this identity is blamed itself, and not only its parts.
    pub fn names(&self, identity: PartKey) -> bool {
        self.cases.iter().any(|case| case.names(identity))
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
        let new = KnownCrash {
            server: server.to_owned(),
            seen_by: me.to_owned(),
            at,
            suspects: BTreeSet::new(),
            observed: None,
        };
        let known = self.evidence.crash_mut(key, new);
        if known.add_suspects(suspects) || known.observed.is_none() {
            known.observed = Some(now);
        }
        self.update(now, Some(now))
    }

    /// Records that a run of a blamed request was ended. If its server crashes all the same, which has the
    /// key `crash` then, the request is a suspect.
    pub fn withdrawn(&mut self, crash: CrashKey, parts: &[PartKey], now: Timestamp) {
        let at = since_origin(now);
        self.withdrawn
            .retain(|run| at.since(run.at) < WITHDRAWN_LIFETIME);
        if self.withdrawn.len() < MAX_WITHDRAWN {
            let suspects = parts.iter().take(MAX_RUN_SUSPECTS).copied().collect();
            let run = WithdrawnRun {
                crash,
                suspects,
                at,
            };
            self.withdrawn.push(run);
        }
    }

    /// Adds the requests of withdrawn runs to the crashes of their servers.
    fn suspect_withdrawn(&mut self, now: Timestamp) {
        for run in &self.withdrawn {
            let is_recent = now.since(run.at) < WITHDRAWN_LIFETIME;
            let crash = self.evidence.known_crash_mut(run.crash);
            if let Some(crash) = crash.filter(|_| is_recent)
                && crash.add_suspects(run.suspects.iter().copied())
            {
                crash.observed = Some(now);
            }
        }
    }

    /// Records that a run of this instance with these parts wrote output.
    pub fn began(&mut self, parts: &[PartKey], now: Timestamp) -> Vec<CaseChange> {
        let now = since_origin(now);
        if self.is_empty() {
            return Vec::new();
        }
        let mut is_news = false;
        for part in parts {
            if self.suspected.contains(part) {
                is_news |= part.names_request() && self.is_suspected(*part);
                is_news |= self.cases.iter().any(|case| case.parts.contains(part));
                self.evidence.begun_mut(*part).at = now;
            }
        }
        if !is_news {
            return Vec::new();
        }
        for part in parts {
            self.evidence.tell(*part, now);
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

    /// Returns the case with the fewest parts that holds a request with `parts` back.
    fn narrowest(&self, parts: &[PartKey]) -> Option<&OpenCase> {
        let holding = self.cases.iter().filter(|case| case.holds(parts));
        holding.min_by_key(|case| case.parts.len())
    }

    /// Updates the cases after new evidence, which this instance has `observed` itself or not.
    fn update(&mut self, now: Timestamp, observed: Option<Timestamp>) -> Vec<CaseChange> {
        self.drop_old(now);
        self.suspect_withdrawn(now);
        let mut changes = self.clear_cases(now);
        // A case beyond the maximum replaces the oldest one, which may follow again from its crashes.
        for _ in 0..MAX_CASES {
            let narrower = self.evidence.narrower_case(&self.cases, now);
            let next = narrower.or_else(|| self.evidence.blame(&self.cases, now));
            let Some(mut case) = next else {
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
        let cases = self.cases.iter().flat_map(|case| &case.parts);
        self.suspected = self.evidence.parts().chain(cases).copied().collect();
    }

    /// Removes parts with which a run has written output from their cases, and closes cases without
    /// any other part, or that were about requests and have none left.
    fn clear_cases(&mut self, now: Timestamp) -> Vec<CaseChange> {
        let mut changes = Vec::new();
        let evidence = &self.evidence;
        let released = &mut self.released;
        self.cases.retain_mut(|case| {
            let is_sound = |part: &PartKey| {
                let at = evidence.begun_at(*part);
                at > Timestamp::default() && at >= case.since
            };
            let suspected = case.parts.iter().copied().filter(|part| !is_sound(part));
            let suspected: BTreeSet<PartKey> = suspected.collect();
            let before = case.to_case(now);
            let about_requests = case.identities().next().is_some();
            let has_requests = suspected.iter().any(|part| part.names_request());
            if suspected.is_empty() || about_requests && !has_requests {
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

    fn count_crashes(&mut self) {
        for case in &mut self.cases {
            let explained = self
                .evidence
                .crashes()
                .filter(|(_, c)| case.explains(c))
                .count();
            let explained = u32::try_from(explained).unwrap_or(u32::MAX);
            case.crashes = case.crashes.max(explained);
        }
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
        self.evidence.drop_old(now);
        self.cases
            .retain(|case| now.since(case.since) < CASE_LIFETIME);
    }
}
