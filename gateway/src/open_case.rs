//! A set of keys that crash backend servers together, and when it is probed.

use std::collections::BTreeSet;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::crash_evidence::KnownCrash;
use crate::crash_news::Case;
use crate::prompt::PartKey;

/// Time from the beginning of a case to the first probe. A probe may crash one more server and end up
/// to eight runs there, as probes after 2 s did on each of six plays of deploy/days/deadly.toml. What
/// is held back by mistake waits as long.
const FIRST_PROBE: Duration = Duration::from_secs(10);

/// Factor between the times to two successive probes.
const PROBE_BACKOFF: u32 = 5;

/// Longest time between two probes, and what callers are told once a case is not probed any more.
pub(crate) const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(3_600);

/// Maximum number of probes of a case: each may end one more server, and three sends after the third
/// crash are all that a request may have.
pub(crate) const MAX_PROBES: u32 = 3;

/// Maximum number of servers that a case lists.
pub(crate) const MAX_CASE_SERVERS: usize = 5;

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
    /// Creates a case of parts that were suspected in all of `crashes`, which are not empty.
    pub(crate) fn new(
        parts: BTreeSet<PartKey>,
        crashes: &[&KnownCrash],
        since: Timestamp,
        now: Timestamp,
    ) -> Self {
        let mut case = Self {
            parts,
            crashes: 0,
            servers: Vec::new(),
            since,
            probes: 0,
            probe_at: now + probe_interval(0),
            held: 0,
            observed: None,
        };
        for crash in crashes {
            case.count(&format!("{}@{}", crash.server, crash.seen_by));
        }
        case
    }

    /// Returns the requests that are blamed themselves; without any, all requests with the parts are.
    pub(crate) fn identities(&self) -> impl Iterator<Item = &PartKey> {
        self.parts.iter().filter(|part| part.names_request())
    }

    /// Returns whether a request with these keys is held back. One that is blamed itself is, whatever
    /// parts its heads name.
    pub(crate) fn holds(&self, parts: &[PartKey]) -> bool {
        self.covers(|part| parts.contains(part))
    }

    /// Returns whether a crash is due to the case.
    pub(crate) fn explains(&self, crash: &KnownCrash) -> bool {
        self.covers(|part| crash.suspects.contains(part))
    }

    /// Returns whether the request with this identity is blamed itself.
    pub(crate) fn names(&self, identity: PartKey) -> bool {
        self.parts.contains(&identity)
    }

    fn covers(&self, has: impl Fn(&PartKey) -> bool) -> bool {
        match self.identities().next().is_some() {
            true => self.identities().any(has),
            false => self.parts.iter().all(has),
        }
    }

    /// Returns whether a probe may be sent now.
    pub(crate) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.probes < MAX_PROBES && self.probe_at <= now
    }

    pub(crate) fn to_case(&self, now: Timestamp) -> Case {
        let probe_in = match self.probes < MAX_PROBES {
            true => self.probe_at.since(now),
            false => MAX_PROBE_INTERVAL,
        };
        Case {
            parts: self.parts.clone(),
            crashes: self.crashes,
            servers: self.servers.clone(),
            age: now.since(self.since),
            probes: self.probes,
            probe_in,
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

    fn count(&mut self, server: &str) {
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
