//! The records of crashes, outputs and cases from which the quarantine decides.

use std::collections::BTreeSet;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::crash_news::{
    Case,
    Cleared,
    Crash,
    CrashKey, //
};
use crate::prompt::PartKey;

/// Time between two crashes that count as different moments. Servers that crash together have a
/// common cause, and a request is on one server at a time.
const MOMENT: Duration = Duration::from_millis(100);

/// Time from the beginning of a case to the first probe. A probe may crash one more server and end up
/// to eight runs there, as probes after 2 s did on each of six plays of deploy/days/deadly.toml. What
/// is held back by mistake waits as long.
const FIRST_PROBE: Duration = Duration::from_secs(10);

/// Factor between the times to two successive probes.
const PROBE_BACKOFF: u32 = 5;

/// Longest time between two probes.
pub(crate) const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(3_600);

/// Maximum number of suspected parts of prompts of one crash.
const MAX_CRASH_PARTS: usize = 64;

/// Maximum number of suspected identities of one crash, each of a run that had no output. They have
/// a limit of their own, so that parts that callers have invented do not cut them off. With eight
/// slots and a queue of two a server has ten such runs.
const MAX_CRASH_IDENTITIES: usize = 32;

/// Maximum number of suspects of one crash.
pub(crate) const MAX_CRASH_SUSPECTS: usize = MAX_CRASH_PARTS + MAX_CRASH_IDENTITIES;

/// Maximum number of servers that a case lists.
pub(crate) const MAX_CASE_SERVERS: usize = 5;

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

/// A case with its times.
#[derive(Clone, Debug)]
pub(crate) struct OpenCase {
    pub(crate) parts: BTreeSet<PartKey>,
    pub(crate) crashes: u32,
    pub(crate) servers: Vec<String>,
    /// Time of the first crash. A part that wrote output later is not in the case.
    pub(crate) since: Timestamp,
    pub(crate) probes: u32,
    pub(crate) probe_at: Timestamp,
    /// Requests that this instance has held back because of it.
    pub(crate) held: u32,
    /// When this instance changed it.
    pub(crate) observed: Option<Timestamp>,
}

impl OpenCase {
    pub(crate) fn holds(&self, parts: &[PartKey]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    pub(crate) fn explains(&self, crash: &KnownCrash) -> bool {
        self.parts.is_subset(&crash.suspects)
    }

    pub(crate) fn to_case(&self, now: Timestamp) -> Case {
        Case {
            parts: self.parts.clone(),
            crashes: self.crashes,
            servers: self.servers.clone(),
            age: now.since(self.since),
            probes: self.probes,
            probe_in: self.probe_at.since(now),
        }
    }

    /// Takes over probes that another instance has counted, or the store.
    pub(crate) fn adopt_probes(&mut self, probes: u32, probe_at: Timestamp) {
        if probes > self.probes {
            self.probes = probes;
            self.probe_at = probe_at;
        }
    }

    pub(crate) fn count_probe(&mut self, now: Timestamp) {
        self.probes += 1;
        self.probe_at = now + probe_interval(self.probes);
    }

    pub(crate) fn count(&mut self, server: &str) {
        self.crashes += 1;
        if self.servers.len() < MAX_CASE_SERVERS {
            self.servers.push(server.to_owned());
        }
    }
}

/// Returns the time from a probe with this number, counted from 0, to the next one.
pub(crate) fn probe_interval(probes: u32) -> Duration {
    let factor = PROBE_BACKOFF.saturating_pow(probes);
    FIRST_PROBE.saturating_mul(factor).min(MAX_PROBE_INTERVAL)
}

pub(crate) fn add_suspects(suspects: &mut BTreeSet<PartKey>, parts: impl Iterator<Item = PartKey>) {
    let mut identities = suspects.iter().filter(|part| part.is_identity()).count();
    for part in parts {
        let is_identity = part.is_identity();
        let has_room = match is_identity {
            true => identities < MAX_CRASH_IDENTITIES,
            false => suspects.len() - identities < MAX_CRASH_PARTS,
        };
        if has_room && suspects.insert(part) {
            identities += usize::from(is_identity);
        }
    }
}

pub(crate) fn to_crash(key: CrashKey, crash: &KnownCrash, now: Timestamp) -> Crash {
    Crash {
        key,
        server: crash.server.clone(),
        seen_by: crash.seen_by.clone(),
        age: now.since(crash.at),
        suspects: crash.suspects.iter().copied().collect(),
    }
}

pub(crate) fn to_cleared(part: PartKey, begun: &Begun, now: Timestamp) -> Cleared {
    Cleared {
        part,
        age: now.since(begun.told),
    }
}

/// Returns the number of different moments among these times.
pub(crate) fn moments(times: impl Iterator<Item = Timestamp>) -> usize {
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
