//! Items of batch jobs that still need a run, and their state at this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;
use crate::batch::WaitingItem;
use crate::config::Configuration;
use crate::item_output::Progress;
use crate::item_time::ItemTime;
use crate::jobs::{
    Job,
    Outcome,
    Partition, //
};
use crate::replicas::owner;
use crate::report::ItemKey;
use crate::request_parts::RequestParts;

/// Margin after the time at which an item may be given up, for clock skew between instances.
const GIVE_UP_MARGIN_MS: u64 = 500;

/// Time from the first sight of an item without a route to the confirmation of the configuration
/// with which it is given up. The version that allowed the item must be in force two seconds after
/// its publication, so it has been read by then.
const ORPHAN_DELAY: Duration = Duration::from_millis(2_000);

/// Time before the latest start of an item with which it meets its deadline, from which it is urgent:
/// a peak of online requests, and the time in which an item then gets a slot.
const URGENT_MS: u64 = 4_000;

/// Delay before the next run of an item that was rejected, failed or interrupted.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next run of an item whose output was too large. One that is too large at every
/// server runs until it is given up.
const TOO_LARGE_DELAY: Duration = Duration::from_millis(1_000);

/// State of an item at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs on a backend server.
    Running(BackendKey),
    /// Its result is being written.
    Finishing,
}

/// An item that still needs a run.
#[derive(Clone, Debug)]
pub struct OpenItem {
    /// The job.
    pub job: String,
    /// Partition of the job.
    pub partition: usize,
    /// Index of the item in the job.
    pub index: usize,
    /// Deadline in Unix milliseconds.
    pub due: u64,
    /// Time from which it may be given up, in Unix milliseconds.
    pub give_up: u64,
    /// Service that runs it.
    pub service: String,
    /// Time since which its route is missing from the configuration; it was removed, or the
    /// configuration is older than the job.
    pub orphaned_since: Option<Timestamp>,
    /// Whether this instance is responsible for it.
    pub owned: bool,
    /// Whether `owned` has been computed.
    owner_computed: bool,
    /// Whether its partition is loaded. Until it is, the item may have a result that is not known here, and
    /// its terms may be outdated.
    is_listed: bool,
    /// State at this instance.
    pub phase: Phase,
    /// Partial output.
    pub progress: Progress,
    /// Runs that a backend server reported as failed.
    pub failures: u32,
    /// Earliest time of the next run.
    pub not_before: Timestamp,
    /// Backend server of the last failed run.
    pub avoid: Option<BackendKey>,
    /// Whether it has waited because backend servers crashed under it or its parts.
    pub held_back: bool,
    /// What identifies it, and what it shares with others, once that has been needed.
    pub parts: Option<Arc<RequestParts>>,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The output is complete.
    Completed,
    /// The backend server reported that the item can never be completed.
    Impossible,
    /// The backend server reported a failure.
    Failed,
    /// The backend server did not run it.
    #[strum(serialize = "turned-away")]
    Rejected,
    /// The stream was interrupted.
    Broken,
    /// The backend server was silent for too long; its output so far is kept.
    Silent,
    /// The output is larger than what can be listed or kept, and is discarded.
    TooLarge,
    /// The run was preempted, or the item needs no run any more.
    Stopped,
}

/// The next step after the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The item waits for another run.
    Wait,
    /// Its result is written.
    Finish(Outcome),
    /// The item is no longer open.
    Drop,
}

/// All open items.
#[derive(Debug, Default)]
pub struct OpenItems {
    items: HashMap<ItemKey, OpenItem>,
    /// Run times of the items of each service.
    times: HashMap<String, ItemTime>,
    /// Instances among which the items of each partition were last distributed.
    instances: Vec<Vec<String>>,
    /// Version of the configuration from which the terms of the items are; 0 without one.
    version: u64,
}

impl OpenItems {
    /// Returns the version of the configuration from which the terms of the items are; 0 without
    /// one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an item.
    pub fn get(&self, key: ItemKey) -> Option<&OpenItem> {
        self.items.get(&key)
    }

    /// Returns a mutable reference to an item.
    pub fn get_mut(&mut self, key: ItemKey) -> Option<&mut OpenItem> {
        self.items.get_mut(&key)
    }

    /// Returns all items.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemKey, &OpenItem)> {
        self.items.iter()
    }

    /// Updates the set of open items from `partitions`, and distributes those of each partition
    /// among its `instances`. Returns the running items that need no run any more. While a partition
    /// is not loaded, its items stay, and those that wait neither start nor are given up.
    pub fn refresh(
        &mut self,
        partitions: &[Partition],
        config: Option<&Configuration>,
        me: &str,
        instances: &[Vec<String>],
        now: Timestamp,
    ) -> Vec<ItemKey> {
        self.version = config.map_or(0, Configuration::version);
        let mut previous = std::mem::take(&mut self.items);
        let loaded = |partition: usize| partitions.get(partition)?.loaded();
        let unlisted = previous.extract_if(|_, item| loaded(item.partition).is_none());
        self.items = unlisted.collect();
        for (key, item) in &mut self.items {
            item.is_listed = false;
            let names = instances.get(item.partition).into_iter().flatten();
            item.owned = owner(key.0, names.map(String::as_str)) == Some(me);
        }
        for (partition, state) in partitions.iter().enumerate() {
            let Some(state) = state.loaded() else {
                continue;
            };
            let names = instances.get(partition).map_or(&[][..], Vec::as_slice);
            let before = self.instances.get(partition).map_or(&[][..], Vec::as_slice);
            let same_instances = before == names;
            for (id, job) in state.iter() {
                for index in job.open() {
                    let key = job.keys[index];
                    let mut item = previous
                        .remove(&key)
                        .unwrap_or_else(|| OpenItem::new(id, partition, index));
                    item.is_listed = true;
                    item.apply_terms(job, config, now);
                    if !same_instances || !item.owner_computed {
                        item.owner_computed = true;
                        let names = names.iter().map(String::as_str);
                        item.owned = owner(key.0, names) == Some(me);
                    }
                    self.items.insert(key, item);
                }
            }
        }
        if self.instances != instances {
            self.instances = instances.to_vec();
        }
        let running = |item: &OpenItem| matches!(item.phase, Phase::Running(_));
        let ended = previous.iter().filter(|(_, item)| running(item));
        ended.map(|(key, _)| *key).collect()
    }

    /// Removes the items of a partition that this instance no longer reads.
    pub fn forget(&mut self, partition: usize) {
        self.items.retain(|_, item| item.partition != partition);
    }

    /// Returns whether this instance runs or finishes an item of `partition`.
    pub fn is_busy(&self, partition: usize) -> bool {
        let busy = |item: &OpenItem| item.partition == partition && item.phase != Phase::Waiting;
        self.items.values().any(busy)
    }

    /// Returns whether this instance is to run an item of `partition`.
    pub fn runs_any_here(&self, partition: usize) -> bool {
        let mut items = self.items.values();
        items.any(|item| item.partition == partition && item.runs_here())
    }

    /// Returns the waiting items of this instance that may start now.
    pub fn waiting(&self, now: Timestamp, unix_ms: u64) -> Vec<WaitingItem> {
        let ready = |item: &OpenItem| {
            item.runs_here()
                && item.is_listed
                && item.phase == Phase::Waiting
                && item.not_before <= now
                && item.give_up > unix_ms
                && item.orphaned_since.is_none()
        };
        let ready = self.items.iter().filter(|(_, item)| ready(item));
        let waiting = ready.map(|(key, item)| {
            let end = unix_ms.saturating_add(self.remaining_ms(item));
            WaitingItem {
                item: *key,
                due: item.due,
                late: end > item.due,
                urgent: end.saturating_add(URGENT_MS) > item.due,
                avoid: item.avoid,
            }
        });
        waiting.collect()
    }

    /// Returns the estimated remaining run time of a waiting item.
    fn remaining_ms(&self, item: &OpenItem) -> u64 {
        let time = self.times.get(&item.service);
        let remaining = time.map_or(Duration::ZERO, |time| {
            time.remaining(item.progress.events())
        });
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that the last run of an item of `service` took `elapsed` for `run` of its `events`.
    pub fn completed(&mut self, service: &str, elapsed: Duration, run: usize, events: usize) {
        let time = self.times.entry(service.to_owned()).or_default();
        time.record(elapsed, run, events);
    }

    /// Returns the items of this instance that must be given up without another run. `confirmed` is
    /// the time at which the store last confirmed that no configuration newer than
    /// [`version`](Self::version) exists.
    pub fn expired(&self, unix_ms: u64, confirmed: Option<Timestamp>) -> Vec<ItemKey> {
        let expired = |item: &OpenItem| {
            let late = unix_ms > item.give_up.saturating_add(GIVE_UP_MARGIN_MS);
            let given_up = late || item.route_is_removed(confirmed);
            item.runs_here() && item.is_listed && item.phase == Phase::Waiting && given_up
        };
        let expired = self.items.iter().filter(|(_, item)| expired(item));
        expired.map(|(key, _)| *key).collect()
    }

    /// Returns the items that are not running and of which this instance has output.
    pub fn held(&self) -> Vec<ItemKey> {
        let held = self.items.iter().filter(|(_, item)| {
            item.phase == Phase::Finishing
                || (item.phase == Phase::Waiting && item.progress.last().is_some())
        });
        held.map(|(key, _)| *key).collect()
    }

    /// Lets an item wait again whose result is not in the store. One that was `refused` begins anew, as
    /// the server may send another output.
    pub fn not_listed(&mut self, key: ItemKey, refused: bool, now: Timestamp) {
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        item.phase = Phase::Waiting;
        if refused {
            item.progress = Progress::default();
            item.not_before = now + TOO_LARGE_DELAY;
        }
    }

    /// Records the end of a run of `key` and returns the next step; the item is given up after
    /// `attempts` failures.
    pub fn run_ended(
        &mut self,
        key: ItemKey,
        end: &RunEnd,
        progress: Progress,
        attempts: u32,
        now: Timestamp,
    ) -> Step {
        let Some(item) = self.items.get_mut(&key) else {
            return Step::Drop;
        };
        let backend = match item.phase {
            Phase::Running(backend) => Some(backend),
            Phase::Waiting | Phase::Finishing => None,
        };
        item.progress = progress;
        item.phase = Phase::Waiting;
        match end {
            RunEnd::Completed => {
                item.phase = Phase::Finishing;
                return Step::Finish(Outcome::Completed);
            }
            RunEnd::Impossible => {
                item.phase = Phase::Finishing;
                return Step::Finish(Outcome::GivenUp);
            }
            RunEnd::Failed => {
                item.failures += 1;
                if item.failures >= attempts {
                    item.phase = Phase::Finishing;
                    return Step::Finish(Outcome::GivenUp);
                }
                item.avoid = backend;
                item.not_before = now + RETRY_DELAY;
            }
            RunEnd::Rejected | RunEnd::Broken | RunEnd::Silent => {
                item.avoid = backend;
                item.not_before = now + RETRY_DELAY;
            }
            RunEnd::TooLarge => {
                // Which of its servers sent the wrong bytes is unknown.
                item.progress = Progress::default();
                item.avoid = backend;
                item.not_before = now + TOO_LARGE_DELAY;
            }
            RunEnd::Stopped => {}
        }
        Step::Wait
    }
}

impl OpenItem {
    fn new(job: &str, partition: usize, index: usize) -> Self {
        Self {
            job: job.to_owned(),
            partition,
            index,
            due: 0,
            give_up: u64::MAX,
            service: String::new(),
            orphaned_since: None,
            owned: false,
            owner_computed: false,
            is_listed: true,
            phase: Phase::Waiting,
            progress: Progress::default(),
            failures: 0,
            not_before: Timestamp::default(),
            avoid: None,
            held_back: false,
            parts: None,
        }
    }

    /// Returns whether this instance runs the item: it is responsible, or it has partial output,
    /// which another instance would have to generate again.
    fn runs_here(&self) -> bool {
        self.owned || self.progress.last().is_some()
    }

    /// Returns whether the route was removed, and not only added by a newer configuration.
    fn route_is_removed(&self, confirmed: Option<Timestamp>) -> bool {
        let since = self.orphaned_since;
        confirmed.is_some_and(|at| since.is_some_and(|since| at >= since + ORPHAN_DELAY))
    }

    fn apply_terms(&mut self, job: &Job, config: Option<&Configuration>, now: Timestamp) {
        let Some(config) = config else {
            return;
        };
        let route = config.route_named(&job.route);
        let terms = route.and_then(|route| route.batch);
        if let Some(route) = route {
            // The truncated key is still uniform, so items are spread by weight.
            let service = route.service(job.keys[self.index].0 as u32);
            if service != self.service {
                self.service = service.to_owned();
            }
        }
        if terms.is_none() {
            self.orphaned_since.get_or_insert(now);
        }
        if let Some(terms) = terms {
            self.orphaned_since = None;
            let target = terms.completion_target.as_millis();
            let retention = terms.retention.as_millis();
            self.due = job
                .submitted
                .saturating_add(u64::try_from(target).unwrap_or(u64::MAX));
            self.give_up = job
                .submitted
                .saturating_add(u64::try_from(retention).unwrap_or(u64::MAX));
        }
    }
}
