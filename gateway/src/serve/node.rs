//! What all tasks of an instance share.

use std::collections::HashSet;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use async_channel::Sender;
use event_listener::Event as Signal;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::Client;
use limpetweir_transport::{
    Clock,
    Spawner, //
};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::items::RunHandles;
use super::metrics::Metrics;
use super::writer::WriteRequest;
use crate::backend::{
    BackendKey,
    Backends, //
};
use crate::cells::{
    CellNumber,
    Cells, //
};
use crate::config::Configuration;
use crate::config_fetch::ConfigFetch;
use crate::instance::Instance;
use crate::jobs::Partition;
use crate::load::Load;
use crate::members::{
    Member,
    Members, //
};
use crate::open_items::OpenItems;
use crate::platform::Record;
use crate::positions::{
    CallKind,
    Freshness,
    Position,
    forward_targets,
    runners, //
};
use crate::quota::Quotas;
use crate::report::Report;
use crate::settings::Settings;
use crate::speed::Speeds;

/// The state that decisions are made on.
#[derive(Debug)]
pub(crate) struct State {
    /// Configuration in force; its version never decreases.
    pub(crate) config: Option<Arc<Configuration>>,
    /// The record of the configuration, for peers that cannot reach the store.
    pub(crate) config_record: Option<Record>,
    /// When the store last showed that no newer configuration exists.
    pub(crate) config_confirmed: Option<Timestamp>,
    /// Fetches of a newer configuration from peers.
    pub(crate) config_fetch: ConfigFetch,
    pub(crate) backends: Backends,
    pub(crate) members: Members,
    /// The part of a large fleet that this instance is in.
    pub(crate) cells: Cells,
    /// Changes of the members up to which the cells were divided.
    divided: Option<u64>,
    /// Instances that have started and were not told of this one yet.
    pub(crate) started_peers: Vec<String>,
    /// Whether the records of the instances have been read.
    pub(crate) instances_read: bool,
    pub(crate) load: Load,
    pub(crate) speeds: Speeds,
    pub(crate) quotas: Quotas,
    pub(crate) partitions: Vec<Partition>,
    /// Partitions that this instance holds, and since when another set of instances would.
    pub(crate) held: Vec<Held>,
    /// How current the partitions are, in their order.
    pub(crate) freshness: Vec<Freshness>,
    pub(crate) items: OpenItems,
    pub(crate) runs: RunHandles,
    /// Source of random choices.
    pub(crate) rng: SmallRng,
    /// Seed of the choices for the present request.
    pub(crate) draws: u64,
    /// Mean time that an online request holds a slot, in seconds.
    pub(crate) holding_s: f64,
}

/// Whether this instance holds a partition of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Held {
    /// It does not.
    #[default]
    No,
    /// It does.
    Yes,
    /// It does until others have certainly taken over.
    Until(Timestamp),
}

impl State {
    /// Brings the cells up to date; `settings` are those of this instance.
    pub(crate) fn divide(&mut self, settings: &Settings) {
        let changes = self.members.changes();
        if self.divided != Some(changes) {
            self.divided = Some(changes);
            self.cells = Cells::divide(settings.instance(), self.members.instances());
        }
    }

    /// Returns the cells of the servers on which this instance has requests or had some lately.
    pub(crate) fn used_cells(&self, now: Timestamp) -> HashSet<CellNumber> {
        let used = self.load.recently_used(now);
        used.filter_map(|key| self.cell_of_backend(key)).collect()
    }

    fn cell_of_backend(&self, key: BackendKey) -> Option<CellNumber> {
        let zone = &self.backends.get(key)?.entry.zone;
        self.cells.of_backend(key, zone)
    }

    /// Returns whether another instance holds the same jobs.
    pub(crate) fn shares_jobs(&self, member: &Member) -> bool {
        let held = |partition: u32| {
            let held = self.held.get(partition as usize);
            held.is_some_and(|held| *held != Held::No)
        };
        let report = member.report.as_ref();
        report.is_some_and(|r| r.positions.iter().any(|p| held(p.partition)))
    }

    /// Returns whether another instance hears of every change here: it is in the own cell, or one of
    /// the two has requests on servers of the other one's cell.
    pub(crate) fn is_near(
        &self,
        name: &str,
        member: &Member,
        used_cells: &HashSet<CellNumber>,
    ) -> bool {
        let uses_ours = || {
            let mut used = member.report.iter().flat_map(Report::backends);
            used.any(|key| self.cell_of_backend(key) == self.cells.own())
        };
        let used_by_us = || {
            let cell = self.cells.of_instance(name);
            cell.is_some_and(|cell| used_cells.contains(&cell))
        };
        self.cells.is_own_instance(name) || used_by_us() || uses_ours()
    }

    /// Returns what this instance knows of the partitions that it holds.
    pub(crate) fn positions(&self) -> Vec<Position> {
        let held = (0..).zip(self.partitions.iter().zip(&self.freshness));
        held.filter(|(_, (known, _))| known.is_loaded())
            .map(|(partition, (known, freshness))| Position {
                partition,
                next: known.next(),
                reads: !freshness.lost,
            })
            .collect()
    }

    /// Notes what a peer knows of the partitions.
    pub(crate) fn positions_reported(&mut self, positions: &[Position], now: Timestamp) {
        for position in positions {
            let partition = position.partition as usize;
            if let (Some(known), Some(freshness)) = (
                self.partitions.get(partition),
                self.freshness.get_mut(partition),
            ) {
                freshness.peer_advanced(position.next, known.next(), now);
            }
        }
    }

    /// Returns the names of the peers that answer a call about the jobs of `partition` better.
    pub(crate) fn forward_targets(
        &self,
        partition: usize,
        kind: CallKind,
        now: Timestamp,
    ) -> Vec<&str> {
        let known = &self.partitions[partition];
        let own = known.is_loaded().then(|| known.next());
        let ready = self.members.reachable(now).filter(|r| r.ready);
        let peers = ready.filter_map(|r| {
            let mut positions = r.positions.iter();
            let position = positions.find(|p| p.partition as usize == partition)?;
            Some((r.name.as_str(), *position))
        });
        forward_targets(own, &self.freshness[partition], kind, peers, now)
    }

    /// Returns the other instances that may hold jobs.
    pub(crate) fn ready_peers(&self, now: Timestamp) -> Vec<Instance<'_>> {
        let ready = self.members.reachable(now).filter(|r| r.ready);
        ready.map(Instance::from).collect()
    }

    /// Returns the instances among the holders of `partition` that run its items.
    pub(crate) fn runners(&self, partition: usize, replicas: &[&str], me: &str) -> Vec<String> {
        let reads = |name: &str| {
            if name == me {
                return Some(!self.freshness[partition].lost);
            }
            let report = self.members.get(name)?.report.as_ref()?;
            let mut positions = report.positions.iter();
            let position = positions.find(|p| p.partition as usize == partition)?;
            Some(position.reads)
        };
        let replicas: Vec<_> = replicas.iter().map(|name| (*name, reads(name))).collect();
        let runners = runners(&replicas).into_iter();
        runners.map(str::to_owned).collect()
    }

    /// Returns whether the configuration and a backend server are known.
    pub(crate) fn can_serve(&self) -> bool {
        self.config.is_some() && self.backends.iter().next().is_some()
    }
}

/// One instance.
pub(crate) struct Node<P> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) spawner: Spawner,
    pub(crate) clock: Clock,
    /// Start of the instance in Unix milliseconds.
    pub(crate) boot: u64,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    state: Mutex<State>,
    pub(crate) leaving: AtomicBool,
    /// Requests and calls that are being answered.
    pub(crate) open_calls: AtomicU64,
    /// Notified when the next report should go out.
    pub(crate) report_due: Signal,
    /// Notified when the store answers again after a failure, for reads that still wait on
    /// connections from before.
    pub(crate) store_regained: Signal,
    /// Notified when peers have read more of the jobs, for reads that the store has not woken.
    pub(crate) jobs_behind: Signal,
    /// Notified when jobs have changed.
    pub(crate) jobs_changed: Signal,
    /// Notified when items may have to start or stop.
    pub(crate) balance_due: Signal,
    /// Queues of the writers, one for each partition of the jobs.
    pub(crate) writers: Vec<Sender<WriteRequest>>,
}

impl<P> Node<P> {
    pub(crate) fn new(
        platform: P,
        settings: Settings,
        spawner: Spawner,
        client: Client,
        metrics: Metrics,
        writers: Vec<Sender<WriteRequest>>,
    ) -> Self {
        let mut partitions = Vec::new();
        partitions.resize_with(writers.len(), Partition::default);
        let state = State {
            config: None,
            config_record: None,
            config_confirmed: None,
            config_fetch: ConfigFetch::default(),
            backends: Backends::default(),
            members: Members::default(),
            cells: Cells::default(),
            divided: None,
            started_peers: Vec::new(),
            instances_read: false,
            load: Load::default(),
            speeds: Speeds::default(),
            quotas: Quotas::new(settings.tolerance),
            held: vec![Held::No; partitions.len()],
            freshness: vec![Freshness::default(); partitions.len()],
            partitions,
            items: OpenItems::default(),
            runs: RunHandles::default(),
            rng: SmallRng::from_os_rng(),
            draws: 0,
            // A usual answer takes a little less than a second.
            holding_s: 0.75,
        };
        Self {
            platform,
            settings,
            spawner,
            clock: Clock::start(),
            boot: unix_ms(),
            client,
            metrics,
            state: Mutex::new(state),
            leaving: AtomicBool::new(false),
            open_calls: AtomicU64::new(0),
            report_due: Signal::new(),
            store_regained: Signal::new(),
            jobs_behind: Signal::new(),
            jobs_changed: Signal::new(),
            balance_due: Signal::new(),
            writers,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns whether callers may be sent here: requests can be routed and placed.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.lock().can_serve()
    }

    /// Returns the partition of the jobs of an organisation. All of them share one, so that the
    /// limit of waiting tokens is checked under the condition of a single append.
    pub(crate) fn partition_of(&self, organisation: &str) -> usize {
        let hash = xxhash_rust::xxh3::xxh3_64(organisation.as_bytes());
        // The remainder is below the number of partitions.
        (hash % self.writers.len().max(1) as u64) as usize
    }
}

/// Counts a call until it is dropped.
pub(crate) struct OpenCall<'a>(&'a AtomicU64);

impl<'a> OpenCall<'a> {
    pub(crate) fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
