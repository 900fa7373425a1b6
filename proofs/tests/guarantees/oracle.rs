//! Checks what callers and operators observe; uses no code of the workspace.

use std::collections::{BTreeMap, BTreeSet};

/// Time within which an acknowledged configuration is in force at every instance.
const IN_FORCE_MS: u64 = 4_000;

/// State of one process at one point in time.
pub(crate) struct ObservedProcess {
    /// Name and start time of the process.
    pub(crate) name: String,
    pub(crate) serves: bool,
    pub(crate) version: u64,
    pub(crate) document: String,
    pub(crate) acts_for: Vec<String>,
}

#[derive(Default)]
pub(crate) struct Oracle {
    /// Number of items of each acknowledged job, by job.
    jobs: BTreeMap<String, u32>,
    /// Job of each key.
    keys: BTreeMap<String, String>,
    /// Body with which each key was first accepted.
    bodies: BTreeMap<String, u8>,
    cancelled: BTreeSet<String>,
    /// Version on which each publication is based, as sent by the operator.
    bases: BTreeMap<String, u64>,
    /// First observed outcome of each item, by job and index.
    outcomes: BTreeMap<(String, u32), String>,
    /// Publication of each accepted version, and when it was first acknowledged.
    versions: BTreeMap<u64, (String, u64)>,
    /// Highest version observed at each process.
    highest_seen: BTreeMap<String, u64>,
    documents: BTreeMap<u64, String>,
}

impl Oracle {
    pub(crate) fn submitted(&mut self, key: &str, job: &str, items: u32, body: u8) {
        let first = *self.bodies.entry(key.to_owned()).or_insert(body);
        assert_eq!(first, body, "{key} was accepted with two bodies");
        self.jobs.insert(job.to_owned(), items);
        let previous = self.keys.insert(key.to_owned(), job.to_owned());
        assert!(previous.is_none_or(|f| f == job), "{key} became two jobs");
    }

    pub(crate) fn conflict(&self, key: &str, body: u8) {
        let accepted = self.bodies.get(key);
        assert_ne!(
            accepted,
            Some(&body),
            "{key}: conflict reported for the accepted body"
        );
    }

    pub(crate) fn cancelled(&mut self, job: &str) {
        self.cancelled.insert(job.to_owned());
    }

    pub(crate) fn started(&self, now: u64, job: &str, index: u32) {
        let was_cancelled = self.cancelled.contains(job);
        assert!(
            !was_cancelled,
            "{now}: {job}/{index} started after the cancel was acknowledged"
        );
    }

    pub(crate) fn publication_sent(&mut self, id: &str, base: u64) {
        self.bases.insert(id.to_owned(), base);
    }

    pub(crate) fn base(&self, id: &str) -> Option<u64> {
        self.bases.get(id).copied()
    }

    pub(crate) fn accepted(&mut self, now: u64, id: &str, version: u64) {
        let entry = self.versions.entry(version);
        let (first, _) = entry.or_insert((id.to_owned(), now));
        assert_eq!(first, id, "two publications became version {version}");
        let base = self.bases.get(id).is_none_or(|base| base + 1 == version);
        assert!(
            base,
            "{id} became version {version}, which does not follow its base"
        );
    }

    pub(crate) fn rejected(&self, id: &str) {
        let mut accepted = self.versions.values();
        assert!(
            accepted.all(|(other, _)| other != id),
            "{id} was accepted and rejected"
        );
    }

    pub(crate) fn is_accepted(&self, id: &str) -> bool {
        self.versions.values().any(|(other, _)| other == id)
    }

    pub(crate) fn outcome(&mut self, job: &str, index: u32, outcome: &str) {
        let item = (job.to_owned(), index);
        let first = self.outcomes.entry(item).or_insert(outcome.to_owned());
        assert_eq!(first, outcome, "{job}/{index} changed its outcome");
    }

    pub(crate) fn check(&mut self, now: u64, processes: &[ObservedProcess]) {
        let mut actors = BTreeMap::new();
        let is_due = |at: &u64| at + IN_FORCE_MS <= now;
        let mut versions = self.versions.iter().rev();
        let in_force = versions.find(|(_, (_, at))| is_due(at)).map_or(0, |v| *v.0);
        for p in processes {
            for group in &p.acts_for {
                let other = actors.insert(group.clone(), &p.name);
                assert_eq!(other, None, "{now}: {} also acts for {group}", p.name);
            }
            let highest_seen = self.highest_seen.entry(p.name.clone()).or_default();
            assert!(
                p.version >= *highest_seen,
                "{now}: {} returned to an older version",
                p.name
            );
            *highest_seen = p.version;
            let is_current = !p.serves || p.version >= in_force;
            let version = p.version;
            assert!(
                is_current,
                "{now}: {} serves {version}, not {in_force}",
                p.name
            );
            // A replica with a gap has no document.
            if p.document.is_empty() {
                continue;
            }
            let document = self.documents.entry(version).or_insert(p.document.clone());
            assert_eq!(*document, p.document, "two documents of version {version}");
        }
    }

    /// Checks the outcomes, and the usage at one instance, after all failures are healed.
    pub(crate) fn finish(&self, billed_items: u64, billed_tokens: u64) {
        for (job, &items) in &self.jobs {
            if self.cancelled.contains(job) {
                continue;
            }
            for index in 0..items {
                let ended = self.outcomes.contains_key(&(job.clone(), index));
                assert!(ended, "{job}/{index} of {items} never completed");
            }
        }
        let finished = |outcome: &&String| outcome.starts_with("finished");
        let finished = self.outcomes.values().filter(finished).count() as u64;
        assert_eq!(
            billed_items, finished,
            "billed items differ from finished items"
        );
        let failed = self.outcomes.len() as u64 - finished;
        // Each item has one prompt token; a finished item also has 7 completion tokens.
        assert_eq!(
            billed_tokens,
            8 * finished + failed,
            "billed tokens differ from the tokens of all outcomes"
        );
    }

    /// Prints how much the callers and operators of a case observed.
    pub(crate) fn report(&self, now: u64) {
        let (jobs, outcomes) = (self.jobs.len(), self.outcomes.len());
        let (cancels, versions) = (self.cancelled.len(), self.versions.len());
        println!(
            "case: {now} ms, {jobs} jobs, {outcomes} outcomes, {cancels} cancels, {versions} versions"
        );
    }
}
