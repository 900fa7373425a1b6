//! The crashes and outputs from which the quarantine decides, and which keys they blame.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap,
    HashSet, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::crash_news::{
    Cleared,
    Crash,
    CrashKey, //
};
use crate::open_case::{
    OpenCase,
    probe_interval, //
};
use crate::prompt::PartKey;

/// Crashes after which a key is blamed: of a part, at different moments; of a request, whenever they
/// happen. Two can be the chance of a part that is rarely used; five are all that may happen before
/// the bound on further requests with a part applies.
const BLAMED_AFTER: usize = 3;

/// Crashes before any output after which a request is blamed if no other server has crashed without it
/// meanwhile. It
/// is on one server at a time, so that two have no other cause in common.
const REQUEST_BLAMED_AFTER: usize = 2;

/// Time between two crashes that count as different moments for the parts of prompts, which many
/// requests share. Servers that crash together have a common cause.
const MOMENT: Duration = Duration::from_millis(100);

/// Time for which a crash counts as evidence against a request.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Time for which a crash counts as evidence against the parts of prompts. A part that is rarely used is
/// cleared late, so that crashes without a common cause add up.
const PART_EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;

/// Maximum number of crashes of which the suspected parts of prompts are remembered.
const MAX_CRASHES_WITH_PARTS: usize = 64;

/// Maximum number of parts of which the last output is remembered.
const MAX_BEGUN: usize = 1_024;

/// Maximum number of suspected parts of prompts of one crash.
const MAX_CRASH_PARTS: usize = 64;

/// Maximum number of suspected requests of one crash. They have a limit of their own, so that parts that
/// callers have invented do not cut them off. With eight slots and a queue of two a server has ten runs.
const MAX_CRASH_IDENTITIES: usize = 32;

/// Maximum number of suspects of one crash.
pub(crate) const MAX_CRASH_SUSPECTS: usize = MAX_CRASH_PARTS + MAX_CRASH_IDENTITIES;

/// A crash with the time at which it happened.
#[derive(Clone, Debug)]
pub(crate) struct KnownCrash {
    pub(crate) server: String,
    pub(crate) seen_by: String,
    pub(crate) at: Timestamp,
    pub(crate) suspects: BTreeSet<PartKey>,
    /// When this instance observed it or a part of it.
    pub(crate) observed: Option<Timestamp>,
}

impl KnownCrash {
    /// Adds suspects within the limits; returns whether any is new.
    pub(crate) fn add_suspects(&mut self, parts: impl Iterator<Item = PartKey>) -> bool {
        let before = self.suspects.len();
        let mut identities = self.suspects.iter().filter(|p| p.names_request()).count();
        for part in parts {
            let names_request = part.names_request();
            let has_room = match names_request {
                true => identities < MAX_CRASH_IDENTITIES,
                false => self.suspects.len() - identities < MAX_CRASH_PARTS,
            };
            if has_room && self.suspects.insert(part) {
                identities += usize::from(names_request);
            }
        }
        self.suspects.len() > before
    }

    pub(crate) fn to_crash(&self, key: CrashKey, now: Timestamp) -> Crash {
        Crash {
            key,
            server: self.server.clone(),
            seen_by: self.seen_by.clone(),
            age: now.since(self.at),
            suspects: self.suspects.iter().copied().collect(),
        }
    }
}

/// Last output of runs with a part.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Begun {
    /// When a run of any instance wrote output, as far as this instance knows.
    pub(crate) at: Timestamp,
    /// The latest such time that the other instances know.
    pub(crate) told: Timestamp,
    /// When this instance told the others.
    pub(crate) observed: Option<Timestamp>,
}

impl Begun {
    pub(crate) fn to_cleared(self, part: PartKey, now: Timestamp) -> Cleared {
        Cleared {
            part,
            age: now.since(self.told),
        }
    }
}

/// Crashes that are known, and the last output of the keys that matter for them.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    crashes: BTreeMap<CrashKey, KnownCrash>,
    /// Only of parts that are suspected, or that another instance has cleared.
    begun: HashMap<PartKey, Begun>,
}

impl Evidence {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the known crashes.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (&CrashKey, &KnownCrash)> {
        self.crashes.iter()
    }

    /// Returns the last outputs.
    pub(crate) fn begun(&self) -> impl Iterator<Item = (&PartKey, &Begun)> {
        self.begun.iter()
    }

    /// Returns the last output of a part, to be changed.
    pub(crate) fn begun_mut(&mut self, part: PartKey) -> &mut Begun {
        self.begun.entry(part).or_default()
    }

    /// Returns the crash with this key, which is `new` if it was not known.
    pub(crate) fn crash_mut(&mut self, key: CrashKey, new: KnownCrash) -> &mut KnownCrash {
        self.crashes.entry(key).or_insert(new)
    }

    /// Returns a known crash.
    pub(crate) fn known_crash_mut(&mut self, key: CrashKey) -> Option<&mut KnownCrash> {
        self.crashes.get_mut(&key)
    }

    /// Returns when a run with `part` last wrote output.
    pub(crate) fn begun_at(&self, part: PartKey) -> Timestamp {
        self.begun.get(&part).map_or(Timestamp::default(), |b| b.at)
    }

    /// Marks the last output of a part as news.
    pub(crate) fn tell(&mut self, part: PartKey, now: Timestamp) {
        if let Some(begun) = self.begun.get_mut(&part) {
            begun.told = begun.at;
            begun.observed = Some(now);
        }
    }

    /// Returns the crashes under runs with `part` since its last output.
    pub(crate) fn since_output(&self, part: PartKey) -> impl Iterator<Item = &KnownCrash> {
        let begun_at = self.begun_at(part);
        let crashes = self.crashes.values();
        crashes.filter(move |c| c.at > begun_at && c.suspects.contains(&part))
    }

    /// Returns the parts that this instance knows to be sound, while the others may be about to
    /// blame them.
    pub(crate) fn unannounced(&self) -> Vec<PartKey> {
        let begun = self.begun.iter().filter(|(_, b)| b.at > b.told);
        let parts = begun.filter(|(part, b)| {
            let crashes = self.crashes.values();
            let crashes = crashes.filter(|c| c.at > b.told && c.at <= b.at);
            let crashes = crashes.filter(|c| c.suspects.contains(part));
            match part.names_request() {
                true => crashes.count() > 0,
                false => moments(crashes.map(|c| c.at)) + 1 >= BLAMED_AFTER,
            }
        });
        parts.map(|(part, _)| *part).collect()
    }

    /// Returns the next case that follows from a crash which none of `cases` explains.
    pub(crate) fn blame(&self, cases: &[OpenCase], now: Timestamp) -> Option<OpenCase> {
        let crashes = self.crashes.values();
        let unexplained: Vec<&KnownCrash> = crashes.filter(|c| !is_explained(cases, c)).collect();
        let candidates = self.candidates(&unexplained, now);
        let blamed = candidates
            .iter()
            .filter(|(part, crashes)| is_blamed(**part, crashes, &unexplained));
        let counts = blamed.map(|(part, crashes)| (weight(*part, crashes), *part));
        let (_, worst) = counts.max()?;
        let crashes = candidates.get(&worst)?;
        let first = crashes.iter().map(|c| c.at).min()?;
        let always = |part: &PartKey| {
            self.begun_at(*part) < first && crashes.iter().all(|c| c.suspects.contains(part))
        };
        let parts = candidates.keys().copied().filter(always).collect();
        Some(OpenCase::new(parts, crashes, first, now))
    }

    /// Returns the parts that are suspected in one of the `unexplained` crashes, each with the crashes
    /// that speak against it. Those that a case explains speak against a request too: several may
    /// have lost the same servers, of which one has been blamed.
    fn candidates<'a>(
        &'a self,
        unexplained: &[&'a KnownCrash],
        now: Timestamp,
    ) -> BTreeMap<PartKey, Vec<&'a KnownCrash>> {
        let mut candidates: BTreeMap<PartKey, Vec<&KnownCrash>> = BTreeMap::new();
        let suspects = unexplained.iter().flat_map(|c| &c.suspects);
        let suspects: HashSet<&PartKey> = suspects.collect();
        let is_recent = |c: &KnownCrash| now.since(c.at) < PART_EVIDENCE_LIFETIME;
        let mut add = |part: &PartKey, crash: &'a KnownCrash| {
            if suspects.contains(part) && self.begun_at(*part) < crash.at {
                candidates.entry(*part).or_default().push(crash);
            }
        };
        for crash in self.crashes.values() {
            let requests = crash.suspects.iter().filter(|part| part.names_request());
            requests.for_each(|part| add(part, crash));
        }
        for crash in unexplained.iter().filter(|c| is_recent(c)) {
            let parts = crash.suspects.iter().filter(|part| !part.names_request());
            parts.for_each(|part| add(part, crash));
        }
        candidates
    }

    /// Returns a case with fewer parts than an open one, if a server crashed under a run with only
    /// these and they are blamed with it.
    /// The crash shows what a probe would, so the next one is due later.
    pub(crate) fn narrower_case(&self, cases: &[OpenCase], now: Timestamp) -> Option<OpenCase> {
        let crashes = self.crashes.values();
        let unexplained: Vec<&KnownCrash> = crashes.filter(|c| !is_explained(cases, c)).collect();
        for case in cases {
            for crash in unexplained.iter().filter(|c| c.at >= case.since) {
                let mut parts = case.parts.clone();
                parts.retain(|part| {
                    crash.suspects.contains(part) && self.begun_at(*part) < case.since
                });
                if !parts.is_empty() && self.crashes_with(&parts, case) >= BLAMED_AFTER {
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

    /// Returns how many crashes speak against `parts`, which are some of the parts of `case`.
    fn crashes_with(&self, parts: &BTreeSet<PartKey>, case: &OpenCase) -> usize {
        let crashes = self.crashes.values().filter(|c| c.at >= case.since);
        let crashes: Vec<Timestamp> = crashes
            .filter(|c| parts.is_subset(&c.suspects))
            .map(|c| c.at)
            .collect();
        let of_case = usize::try_from(case.crashes).unwrap_or(usize::MAX);
        match crashes.len() > of_case {
            true => moments(crashes.into_iter()),
            // Another instance has told the case without its crashes.
            false => of_case.saturating_add(1),
        }
    }

    /// Returns all parts in crashes and of which the last output is known.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &PartKey> {
        let suspects = self.crashes.values().flat_map(|c| &c.suspects);
        suspects.chain(self.begun.keys())
    }

    /// Drops evidence that is too old or too much.
    pub(crate) fn drop_old(&mut self, now: Timestamp) {
        self.crashes
            .retain(|_, c| now.since(c.at) < EVIDENCE_LIFETIME);
        self.drop_parts();
        while self.crashes.len() > MAX_CRASHES {
            let Some(key) = self.least_useful() else {
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

    /// Forgets the suspected parts of prompts of all but the newest crashes.
    fn drop_parts(&mut self) {
        if self.crashes.len() <= MAX_CRASHES_WITH_PARTS {
            return;
        }
        let mut times: Vec<Timestamp> = self.crashes.values().map(|c| c.at).collect();
        times.sort_unstable();
        let oldest = times[times.len() - MAX_CRASHES_WITH_PARTS];
        for crash in self.crashes.values_mut().filter(|c| c.at < oldest) {
            crash.suspects.retain(|part| part.names_request());
        }
        self.crashes.retain(|_, c| !c.suspects.is_empty());
    }

    /// Returns the crash that is forgotten first: the oldest one of those under which no request is
    /// suspected that another crash has too.
    fn least_useful(&self) -> Option<CrashKey> {
        let mut seen = HashSet::new();
        let mut repeated = HashSet::new();
        for crash in self.crashes.values() {
            for part in crash.suspects.iter().filter(|part| part.names_request()) {
                if crash.at > self.begun_at(*part) && !seen.insert(part) {
                    repeated.insert(part);
                }
            }
        }
        let is_useful = |c: &KnownCrash| c.suspects.iter().any(|part| repeated.contains(part));
        let crashes = self.crashes.iter();
        let oldest = crashes.min_by_key(|(_, c)| (is_useful(c), c.at));
        oldest.map(|(key, _)| *key)
    }
}

/// Returns how many crashes count against `part`.
fn weight(part: PartKey, crashes: &[&KnownCrash]) -> usize {
    match part.names_request() {
        true => crashes.len(),
        false => moments(crashes.iter().map(|c| c.at)),
    }
}

/// Returns whether `part` is blamed for `crashes`, while no case explains `unexplained`.
fn is_blamed(part: PartKey, crashes: &[&KnownCrash], unexplained: &[&KnownCrash]) -> bool {
    let count = weight(part, crashes);
    if count >= BLAMED_AFTER {
        return true;
    }
    let first = crashes.iter().map(|c| c.at).min();
    let without = unexplained
        .iter()
        .filter(|c| Some(c.at) >= first && !c.suspects.contains(&part));
    part.is_identity() && count >= REQUEST_BLAMED_AFTER && count > without.count()
}

/// Returns whether a case has parts that are suspected in a crash.
pub(crate) fn is_explained(cases: &[OpenCase], crash: &KnownCrash) -> bool {
    cases.iter().any(|case| case.explains(crash))
}

/// Returns the number of different moments among these times.
fn moments(times: impl Iterator<Item = Timestamp>) -> usize {
    let mut times: Vec<Timestamp> = times.collect();
    times.sort_unstable();
    let mut last = None;
    let distinct = times.into_iter().filter(|at| {
        let is_distinct = last.is_none_or(|last| at.since(last) >= MOMENT);
        if is_distinct {
            last = Some(*at);
        }
        is_distinct
    });
    distinct.count()
}
