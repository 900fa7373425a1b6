//! What instances tell each other about crashes, outputs and cases.

use std::collections::BTreeSet;
use std::time::Duration;

use limpetweir_state::Timestamp;

use super::{
    CASE_LIFETIME,
    CaseChange,
    Quarantine,
    since_origin, //
};
use crate::crash_evidence::{
    KnownCrash,
    is_explained, //
};
use crate::crash_news::{
    Case,
    Cleared,
    Crash,
    CrashKey,
    CrashNews, //
};
use crate::open_case::OpenCase;
use crate::prompt::PartKey;

/// Time for which a change that this instance has observed is repeated to all others, so that a
/// lost datagram does not matter.
const NEWS_LIFETIME: Duration = Duration::from_millis(700);

/// Maximum number of crashes in a digest, so that it fits into a datagram.
const MAX_DIGEST_CRASHES: usize = 24;

/// Maximum number of sound parts in a digest, for the same reason.
const MAX_DIGEST_CLEARED: usize = 256;

impl Quarantine {
    /// Applies what another instance tells.
    pub fn merge(&mut self, news: &CrashNews, now: Timestamp) -> Vec<CaseChange> {
        let now = since_origin(now);
        let before: Vec<BTreeSet<PartKey>> = self.cases.iter().map(|c| c.parts.clone()).collect();
        for crash in &news.crashes {
            self.merge_crash(crash, now);
        }
        for cleared in &news.cleared {
            let at = now - cleared.age;
            let begun = self.evidence.begun_mut(cleared.part);
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
        let new = KnownCrash {
            server: crash.server.clone(),
            seen_by: crash.seen_by.clone(),
            at,
            suspects: BTreeSet::new(),
            observed: None,
        };
        let known = self.evidence.crash_mut(crash.key, new);
        // The clock of an instance that was paused is late, so the older time is the true one.
        known.at = known.at.min(at);
        known.add_suspects(crash.suspects.iter().copied());
    }

    /// Applies a case of another instance, or of the store.
    fn merge_case(&mut self, case: &Case, now: Timestamp) {
        let since = now - case.age;
        let mut parts = case.parts.clone();
        parts.retain(|part| self.evidence.begun_at(*part) < since);
        for part in case.parts.difference(&parts) {
            // The sender has missed this.
            self.evidence.tell(*part, now);
        }
        let about_requests = case.parts.iter().any(|part| part.names_request());
        let has_requests = parts.iter().any(|part| part.names_request());
        let is_sound = parts.is_empty() || about_requests && !has_requests;
        if is_sound || case.age > CASE_LIFETIME {
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
        for part in self.evidence.unannounced() {
            self.evidence.tell(part, now);
        }
        let is_new =
            |observed: Option<Timestamp>| observed.is_some_and(|at| now.since(at) < NEWS_LIFETIME);
        let crashes = self.evidence.crashes();
        let crashes = crashes.filter(|(_, c)| is_new(c.observed));
        let cleared = self.evidence.begun();
        let cleared = cleared.filter(|(_, b)| is_new(b.observed));
        let cases = self.cases.iter().filter(|c| is_new(c.observed));
        CrashNews {
            crashes: crashes.map(|(key, c)| c.to_crash(*key, now)).collect(),
            cleared: cleared.map(|(part, b)| b.to_cleared(*part, now)).collect(),
            cases: cases.map(|c| c.to_case(now)).collect(),
        }
    }

    /// Returns what this instance knows, for another one that may have missed it. Crashes that a
    /// case explains are left out, as the case has all that follows from them.
    pub fn digest(&self, now: Timestamp) -> CrashNews {
        let now = since_origin(now);
        let crashes = self.evidence.crashes();
        let crashes = crashes.filter(|(_, c)| !is_explained(&self.cases, c));
        let mut crashes: Vec<(&CrashKey, &KnownCrash)> = crashes.collect();
        crashes.sort_by_key(|(_, c)| std::cmp::Reverse(c.at));
        crashes.truncate(MAX_DIGEST_CRASHES);
        let told = self.evidence.begun();
        let told = told.filter(|(_, b)| b.told > Timestamp::default());
        let mut cleared: Vec<Cleared> = told.map(|(part, b)| b.to_cleared(*part, now)).collect();
        cleared.sort_by_key(|cleared| cleared.age);
        cleared.truncate(MAX_DIGEST_CLEARED);
        CrashNews {
            cleared,
            crashes: crashes
                .into_iter()
                .map(|(key, c)| c.to_crash(*key, now))
                .collect(),
            cases: self.cases.iter().map(|case| case.to_case(now)).collect(),
        }
    }
}
