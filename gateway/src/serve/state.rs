//! Mutable state of an instance.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Timestamp;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::lost_run::LostRun;
use super::registration::Registration;
use super::restarts::Restarts;
use super::run_handles::RunHandles;
use crate::admission::{
    OrganisationUsage,
    ServiceKey,
    Shortages, //
};
use crate::arrivals::Arrivals;
use crate::backend::{
    BackendKey,
    Backends, //
};
use crate::batch::{
    ItemPacing,
    WaitingItem, //
};
use crate::cells::{
    CellNumber,
    Cells, //
};
use crate::config::Configuration;
use crate::config_freshness::ConfigFreshness;
use crate::config_transfer::ConfigFetch;
use crate::evacuation::Evacuations;
use crate::jobs::{
    Job,
    Partition, //
};
use crate::leases::Leases;
use crate::load::Load;
use crate::members::{
    Member,
    Members, //
};
use crate::open_items::OpenItems;
use crate::placement::{
    LoadSpread,
    Staleness, //
};
use crate::platform::Record;
use crate::positions::{
    CallKind,
    PartitionFreshness,
    Position,
    forward_targets,
    runners, //
};
use crate::prompt::PartKey;
use crate::quarantine::{
    Hold,
    Knowledge,
    Quarantine, //
};
use crate::quota::Quotas;
use crate::replicas::ReplicaTable;
use crate::report::ItemKey;
use crate::request_parts::RequestParts;
use crate::return_times::ReturnTimes;
use crate::server_limits::ServerLimits;
use crate::settings::Settings;
use crate::silence::Outputs;
use crate::skipped_records::SkippedRecords;
use crate::speed::Speeds;
use crate::store_load::StoreLoad;
use crate::store_relay::StoreAccess;

/// Longest age of the copy of a partition from which items start. Items of a job that its caller has ended must
/// not start three seconds later.
const MAX_START_AGE: Duration = Duration::from_millis(2_700);

/// Mutable state of an instance, on which routing, placement and scheduling are based.
#[derive(Debug)]
pub(crate) struct State {
    /// Configuration in force; its version never decreases.
    pub(crate) config: Option<Arc<Configuration>>,
    /// The record of the configuration, for peers that cannot reach the store.
    pub(crate) config_record: Option<Record>,
    /// Whether the configuration in force is known to be the newest one.
    pub(crate) config_freshness: ConfigFreshness,
    /// Fetches of a newer configuration from peers.
    pub(crate) config_fetch: ConfigFetch,
    /// Zones that are evacuated; [`Backends`] has a copy.
    pub(crate) evacuations: Evacuations,
    pub(crate) backends: Backends,
    pub(crate) skipped: SkippedRecords,
    pub(crate) members: Members,
    /// Division of a large fleet into cells, as seen by this instance.
    pub(crate) cells: Cells,
    /// Value of the change counter of `members` for which `cells` was computed.
    cells_version: Option<u64>,
    /// Whether reports have changed which members are reachable or what they may run, since that was last
    /// taken into account.
    pub(crate) members_changed: bool,
    /// Value of the change counter of `members` for which the reserved addresses were collected.
    reserved_version: Option<u64>,
    /// Instances that have started and were not sent a report of this one yet.
    pub(crate) started_peers: Vec<String>,
    /// When the records of the instances were first read.
    pub(crate) instances_read_at: Option<Timestamp>,
    /// Offset up to which these have been read.
    pub(crate) instances_next: u64,
    /// The record of this instance among them.
    pub(crate) registration: Registration,
    pub(crate) load: Load,
    /// Requests that instances of the own cell have placed and that are not in `load` yet.
    pub(crate) arrivals: Arrivals,
    pub(crate) speeds: Speeds,
    pub(crate) outputs: Outputs,
    /// Crashes of backend servers and the parts of prompts that are held back.
    pub(crate) quarantine: Quarantine,
    /// When this instance last tried to claim a probe.
    pub(crate) probe_claimed_at: Option<Timestamp>,
    /// Backend servers that are checked for a crash, with the runs that were lost there.
    pub(crate) crash_checks: HashMap<BackendKey, Vec<LostRun>>,
    /// Runs that were lost on servers which may have been started again.
    pub(crate) restarts: Restarts,
    /// Leases of suspected requests, those of items beside them.
    pub(crate) leases: Leases,
    pub(crate) item_leases: HashMap<ItemKey, ItemLease>,
    /// Instances that are to get all that is known about crashes.
    pub(crate) digest_due: Vec<IpAddr>,
    pub(crate) quotas: Quotas,
    /// What organisations have recently been given, and services without room.
    pub(crate) usage: OrganisationUsage,
    pub(crate) shortages: Shortages,
    /// Limits that backend servers state.
    pub(crate) limits: ServerLimits,
    /// Times at which callers return that found no slot at a service of the configuration.
    pub(crate) slot_times: HashMap<ServiceKey, ReturnTimes>,
    /// Times at which callers return that limits keep away.
    pub(crate) return_times: ReturnTimes,
    pub(crate) partitions: Vec<Partition>,
    /// Instances that are to be the replicas of each partition.
    pub(crate) replicas: ReplicaTable,
    /// Since when this instance has been selected as a replica of each partition, in their order.
    pub(crate) selected_since: Vec<Option<Timestamp>>,
    /// Whether this instance is a replica of each partition, in their order.
    pub(crate) replica_status: Vec<ReplicaStatus>,
    /// Freshness of each partition, in their order.
    pub(crate) freshness: Vec<PartitionFreshness>,
    pub(crate) items: OpenItems,
    /// Whether items of this instance waited for a slot when the scheduler last ran.
    pub(crate) items_waiting: bool,
    pub(crate) runs: RunHandles,
    /// Observations for the start and the preemption of items, if they are paced.
    pub(crate) pacing: ItemPacing,
    /// Random number generator for routing and placement.
    pub(crate) rng: SmallRng,
    /// Whether the store answers this instance.
    pub(crate) access: StoreAccess,
    /// Which calls to the store fail.
    pub(crate) store_load: StoreLoad,
    /// Seed of the random choices for the current request.
    pub(crate) draw_seed: u64,
    /// Moving average of the time that an online request occupies a slot, in seconds.
    pub(crate) mean_holding_s: f64,
}

/// Lease under which an item runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ItemLease {
    pub(crate) key: PartKey,
    /// Whether the item may start.
    pub(crate) is_confirmed: bool,
}

/// Whether this instance is a replica of a partition of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplicaStatus {
    /// It is not a replica.
    #[default]
    Inactive,
    /// It is a replica.
    Active,
    /// It stays a replica until this time, by which the newly selected replicas have loaded the
    /// partition.
    ActiveUntil(Timestamp),
}

impl State {
    /// Creates the state of an instance that has read nothing yet.
    pub(crate) fn new(settings: &Settings, partition_count: usize) -> Self {
        let mut partitions = Vec::new();
        partitions.resize_with(partition_count, Partition::default);
        let mut state = State {
            config: None,
            config_record: None,
            config_freshness: ConfigFreshness::default(),
            config_fetch: ConfigFetch::default(),
            evacuations: Evacuations::default(),
            backends: Backends::default(),
            skipped: SkippedRecords::default(),
            members: Members::default(),
            cells: Cells::default(),
            cells_version: None,
            members_changed: false,
            reserved_version: None,
            started_peers: Vec::new(),
            instances_read_at: None,
            instances_next: 0,
            registration: Registration::default(),
            load: Load::default(),
            arrivals: Arrivals::default(),
            speeds: Speeds::default(),
            outputs: Outputs::default(),
            quarantine: Quarantine::default(),
            probe_claimed_at: None,
            crash_checks: HashMap::new(),
            restarts: Restarts::default(),
            leases: Leases::new(&settings.name),
            item_leases: HashMap::new(),
            digest_due: Vec::new(),
            quotas: Quotas::new(settings.tolerance),
            usage: OrganisationUsage::default(),
            shortages: Shortages::default(),
            slot_times: HashMap::new(),
            return_times: ReturnTimes::default(),
            limits: ServerLimits::new(&settings.name),
            replicas: ReplicaTable::default(),
            selected_since: vec![None; partitions.len()],
            replica_status: vec![ReplicaStatus::Inactive; partitions.len()],
            freshness: vec![PartitionFreshness::default(); partitions.len()],
            partitions,
            items: OpenItems::default(),
            items_waiting: false,
            runs: RunHandles::default(),
            pacing: ItemPacing::default(),
            rng: SmallRng::from_os_rng(),
            access: StoreAccess::default(),
            store_load: StoreLoad::default(),
            draw_seed: 0,
            // A typical response takes a little less than a second.
            mean_holding_s: 0.75,
        };
        state.update_evacuated();
        state
    }

    /// Updates the zones whose servers get nothing new.
    pub(crate) fn update_evacuated(&mut self) {
        self.backends.set_evacuated(self.evacuations.evacuated());
    }

    /// Returns why a request with these keys is held back. Without an open case they are not computed.
    pub(crate) fn hold(&self, parts: &RequestParts, now: Timestamp) -> Option<Hold> {
        if !self.quarantine.has_cases() {
            return None;
        }
        self.quarantine.hold(parts.keys(), now)
    }

    /// Returns what is known about a request with these keys. Without a crash they are not computed.
    pub(crate) fn knowledge(&self, parts: &RequestParts) -> Knowledge {
        match self.quarantine.is_empty() {
            true => Knowledge::Nothing,
            false => self.quarantine.knowledge(parts.keys()),
        }
    }

    /// Recomputes the cells if the members have changed; `settings` are those of this instance.
    pub(crate) fn update_cells(&mut self, settings: &Settings) {
        let changes = self.members.changes();
        if self.cells_version != Some(changes) {
            self.cells_version = Some(changes);
            self.cells = Cells::divide(settings.instance(), self.members.instances());
            self.members.set_cells(&self.cells);
        }
    }

    /// Collects the addresses at which no backend server can be if the members have changed;
    /// `settings` are those of this instance.
    pub(crate) fn update_reserved(&mut self, settings: &Settings) {
        let changes = self.members.changes();
        if self.reserved_version.replace(changes) == Some(changes) {
            return;
        }
        let mut reserved = HashSet::from([
            settings.store.addr,
            settings.public,
            settings.readiness,
            settings.directory,
            settings.metrics,
            SocketAddr::new(settings.address, settings.peer_port),
        ]);
        for (_, member) in self.members.iter() {
            reserved.insert(SocketAddr::new(member.addr, settings.peer_port));
            reserved.extend(member.report.as_ref().map(|report| report.public));
        }
        self.backends.set_reserved(reserved);
    }

    /// Returns the cells of the backend servers on which this instance has requests or recently had
    /// some.
    pub(crate) fn used_cells(&self, now: Timestamp) -> HashSet<CellNumber> {
        let used = self.load.recently_used(now);
        used.filter_map(|key| self.cell_of_backend(key)).collect()
    }

    fn cell_of_backend(&self, key: BackendKey) -> Option<CellNumber> {
        let zone = &self.backends.get(key)?.entry.zone;
        self.cells.of_backend(key, zone)
    }

    /// Returns whether another instance is a replica of one of the partitions of this instance.
    pub(crate) fn shares_jobs(&self, member: &Member) -> bool {
        let is_replica = |partition: u32| {
            let status = self.replica_status.get(partition as usize);
            status.is_some_and(|status| *status != ReplicaStatus::Inactive)
        };
        let report = member.report.as_ref();
        report.is_some_and(|r| r.positions.iter().any(|p| is_replica(p.partition)))
    }

    /// Returns whether another instance depends on every change of this one: it is in the own cell,
    /// or one of the two has requests on backend servers of the other one's cell.
    pub(crate) fn is_near(&self, member: &Member, used_cells: &HashSet<CellNumber>) -> bool {
        let uses_own_cell = || {
            let mut used = member.report.iter().flat_map(|report| report.backends());
            used.any(|key| self.cell_of_backend(key) == self.cells.own())
        };
        let in_used_cell = || member.cell.is_some_and(|cell| used_cells.contains(&cell));
        member.cell == self.cells.own() || in_used_cell() || uses_own_cell()
    }

    /// Returns a job of a partition that is loaded.
    pub(crate) fn job(&self, partition: usize, id: &str) -> Option<&Job> {
        self.partitions.get(partition)?.loaded()?.get(id)
    }

    /// Returns the waiting items of this instance that may start now: what is known of their job is recent, or no
    /// peer is answered by the store, so that nothing can have been written since.
    pub(crate) fn waiting_items(&self, now: Timestamp, unix_ms: u64) -> Vec<WaitingItem> {
        let any_writes = self.members.reachable(now).any(|r| r.store_answers);
        let is_recent = |known: &Partition| {
            let age = known.loaded()?.age(now)?;
            Some(!any_writes || age <= MAX_START_AGE)
        };
        let partitions = self.partitions.iter();
        let recent: Vec<bool> = partitions
            .map(|known| is_recent(known) == Some(true))
            .collect();
        let mut waiting = self.items.waiting(now, unix_ms);
        let partition = |item| Some(self.items.get(item)?.partition);
        waiting.retain(|w| partition(w.item).is_some_and(|n| recent[n]));
        waiting
    }

    /// Returns the positions up to which this instance has read its partitions. One that it cannot
    /// load is among them, so that the others run its items.
    pub(crate) fn positions(&self) -> Vec<Position> {
        let known = self.partitions.iter().zip(&self.freshness);
        let partitions = (0..).zip(known.zip(&self.replica_status));
        partitions
            .filter(|(_, ((known, freshness), status))| {
                let fails = freshness.lost && **status != ReplicaStatus::Inactive;
                known.is_loaded() || fails
            })
            .map(|(partition, ((known, freshness), _))| Position {
                partition,
                next: known.next(),
                reads: !freshness.lost,
            })
            .collect()
    }

    /// Applies the positions in a peer's report.
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

    /// Returns whether a report of another instance may start or stop an item of this one, or lead to
    /// the repetition of a read of the jobs. Without any of these, the scheduler runs after changes of
    /// the jobs and at its ticks.
    pub(crate) fn reports_concern_items(&self) -> bool {
        let mut partitions = self.freshness.iter().zip(&self.replica_status);
        self.items.iter().next().is_some()
            || self.load.own_batch().next().is_some()
            || partitions.any(|(freshness, status)| {
                *status != ReplicaStatus::Inactive && freshness.is_peer_ahead()
            })
    }

    /// Returns the names of the peers that should handle a call about the jobs of `partition`
    /// instead of this instance.
    pub(crate) fn forward_targets(
        &self,
        partition: usize,
        kind: CallKind,
        now: Timestamp,
    ) -> Vec<&str> {
        let known = &self.partitions[partition];
        let own = known.is_loaded().then(|| known.next());
        let reached = self.members.reachable(now);
        let holders = reached.filter(|r| r.may_answer_job_calls());
        let peers = holders.filter_map(|r| {
            let mut positions = r.positions.iter();
            let position = positions.find(|p| p.partition as usize == partition)?;
            Some((r.name.as_str(), *position))
        });
        forward_targets(own, &self.freshness[partition], kind, peers, now)
    }

    /// Returns the instances among the replicas of each partition that run its items; `me` is this one.
    /// Those that do not serve callers know no backend server, unless none serves any.
    pub(crate) fn runners(&self, me: &str) -> Vec<Vec<String>> {
        let partitions = self.replicas.partitions().iter().enumerate();
        let runners = partitions.map(|(partition, replicas)| {
            let mut replicas: Vec<&str> = replicas.iter().map(String::as_str).collect();
            if replicas.iter().any(|name| self.is_ready(name, me)) {
                replicas.retain(|name| self.is_ready(name, me));
            }
            let replicas = replicas.into_iter();
            let replicas = replicas.map(|name| (name, self.reads(partition, name, me)));
            let runners = runners(&replicas.collect::<Vec<_>>()).into_iter();
            runners.map(str::to_owned).collect()
        });
        runners.collect()
    }

    /// Returns whether the instance `name` serves callers. This one counts as if it did: as long as it does not,
    /// its items wait, and the others run them.
    fn is_ready(&self, name: &str, me: &str) -> bool {
        let report = self.members.get(name).and_then(|m| m.report.as_ref());
        name == me || report.is_some_and(|report| report.ready)
    }

    /// Returns whether the instance `name` is answered by the store when it reads `partition`; `None` if it
    /// is not known.
    fn reads(&self, partition: usize, name: &str, me: &str) -> Option<bool> {
        if name == me {
            return Some(!self.freshness[partition].lost);
        }
        let report = self.members.get(name)?.report.as_ref()?;
        let mut positions = report.positions.iter();
        let position = positions.find(|p| p.partition as usize == partition)?;
        Some(position.reads)
    }

    /// Returns how many instances send to the backend servers of the own cell, with this one, and
    /// how many of them do not report what they send: they are unreachable or of an older build.
    pub(crate) fn limit_senders(&self, now: Timestamp) -> (usize, usize) {
        let own = self.members.iter();
        let own = own.filter(|(_, member)| member.cell == self.cells.own());
        let reports = |member: &Member| {
            let report = member.report.as_ref();
            member.is_reachable(now) && report.is_some_and(|r| r.limits.is_some())
        };
        let (mut silent, mut senders) = (0, 1);
        for (_, member) in own {
            senders += 1;
            silent += usize::from(!reports(member));
        }
        (silent, senders)
    }

    /// Returns whether items wait for a slot at this instance or at one that it hears.
    pub(crate) fn items_wait(&self, now: Timestamp) -> bool {
        self.items_waiting || self.members.reachable(now).any(|r| r.waiting > 0)
    }

    /// Returns the mean time for which an online request occupies a slot.
    pub(crate) fn mean_holding(&self) -> Duration {
        Duration::from_secs_f64(self.mean_holding_s.clamp(0.05, 10.0))
    }

    /// Returns what is expected to have changed since the counts of requests were made.
    pub(crate) fn staleness(&self, draw: u32, now: Timestamp) -> Staleness {
        let unseen = self.arrivals.unseen(now);
        Staleness::draw(unseen, self.arrivals.age(now), self.mean_holding(), draw)
    }

    /// Returns how evenly requests and items are spread over the backend servers of the own cell.
    pub(crate) fn load_spread(&self) -> LoadSpread {
        let servers = self.backends.iter();
        let servers = servers.filter(|b| self.cells.is_own_backend(b.key, &b.entry.zone));
        let loads = servers.map(|b| {
            let service = self
                .config
                .as_ref()
                .and_then(|c| c.service(&b.entry.service));
            let slots = b.entry.slots.or(service.map(|s| s.slots)).unwrap_or(1);
            f64::from(self.load.placed(b.key).total()) / f64::from(slots.max(1))
        });
        LoadSpread::of(loads.collect())
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }

    /// Returns whether a configuration is in force, the evacuated zones and a backend server are known.
    pub(crate) fn can_serve(&self) -> bool {
        self.config.is_some()
            && self.evacuations.is_known()
            && self.backends.iter().next().is_some()
    }
}
