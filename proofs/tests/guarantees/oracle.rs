//! What callers and operators may observe, in plain terms; uses no code of the workspace.

use std::collections::{BTreeMap, BTreeSet};

/// Time within which an accepted configuration is in force everywhere.
const IN_FORCE_MS: u64 = 4_000;

/// What one process shows at one moment.
pub(crate) struct Process {
    /// Name and start of the process.
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
    /// Body with which each key was accepted first.
    bodies: BTreeMap<String, u8>,
    cancelled: BTreeSet<String>,
    /// Version on which each publication is based, where an operator gave it.
    bases: BTreeMap<String, u64>,
    /// First outcome seen of each item, by job and index.
    outcomes: BTreeMap<(String, u32), String>,
    /// Publication and document of each accepted version, and when it was acknowledged.
    versions: BTreeMap<u64, (String, u64)>,
    /// Highest version seen of each process.
    seen: BTreeMap<String, u64>,
    documents: BTreeMap<u64, String>,
}

impl Oracle {
    pub(crate) fn submitted(&mut self, key: &str, job: &str, items: u32, body: u8) {
        let first = *self.bodies.entry(key.to_owned()).or_insert(body);
        assert_eq!(first, body, "{key} was accepted with two bodies");
        self.jobs.insert(job.to_owned(), items);
        let former = self.keys.insert(key.to_owned(), job.to_owned());
        assert!(former.is_none_or(|f| f == job), "{key} became two jobs");
    }

    pub(crate) fn conflict(&self, key: &str, body: u8) {
        let accepted = self.bodies.get(key);
        assert_ne!(accepted, Some(&body), "{key}: its own body is a conflict");
    }

    pub(crate) fn cancelled(&mut self, job: &str) {
        self.cancelled.insert(job.to_owned());
    }

    pub(crate) fn started(&self, now: u64, job: &str, index: u32) {
        let stopped = self.cancelled.contains(job);
        assert!(!stopped, "{now}: {job}/{index} starts after its cancel");
    }

    pub(crate) fn offered(&mut self, id: &str, base: u64) {
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
        assert!(base, "{id} became version {version} on another base");
    }

    pub(crate) fn refused(&self, id: &str) {
        let mut accepted = self.versions.values();
        assert!(
            accepted.all(|(other, _)| other != id),
            "{id} got two answers"
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

    pub(crate) fn check(&mut self, now: u64, processes: &[Process]) {
        let mut actors = BTreeMap::new();
        let due = |at: &u64| at + IN_FORCE_MS <= now;
        let mut versions = self.versions.iter().rev();
        let in_force = versions.find(|(_, (_, at))| due(at)).map_or(0, |v| *v.0);
        for p in processes {
            for group in &p.acts_for {
                let other = actors.insert(group.clone(), &p.name);
                assert_eq!(other, None, "{now}: {} also acts for {group}", p.name);
            }
            let seen = self.seen.entry(p.name.clone()).or_default();
            assert!(p.version >= *seen, "{now}: {} went back", p.name);
            *seen = p.version;
            let current = !p.serves || p.version >= in_force;
            let version = p.version;
            assert!(
                current,
                "{now}: {} serves {version}, not {in_force}",
                p.name
            );
            // An instance in a gap shows no document.
            if p.document.is_empty() {
                continue;
            }
            let document = self.documents.entry(version).or_insert(p.document.clone());
            assert_eq!(*document, p.document, "two documents of version {version}");
        }
    }

    /// Checks what one reader shows after all failures have healed.
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
        assert_eq!(billed_items, finished, "items billed and items finished");
        let failed = self.outcomes.len() as u64 - finished;
        // Each item has one prompt token, and a finished one has 7 generated tokens.
        assert_eq!(billed_tokens, 8 * finished + failed, "tokens billed");
    }

    /// Says how much the callers and operators of a case saw.
    pub(crate) fn report(&self, now: u64) {
        let (jobs, outcomes) = (self.jobs.len(), self.outcomes.len());
        let (cancels, versions) = (self.cancelled.len(), self.versions.len());
        println!(
            "case: {now} ms, {jobs} jobs, {outcomes} outcomes, {cancels} cancels, {versions} versions"
        );
    }
}
