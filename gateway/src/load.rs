//! Requests that all instances have placed on each backend server.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::backend::BackendKey;
use crate::report::{
    BatchRun,
    ItemKey,
    Report, //
};

/// Requests placed on one backend server by all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placed {
    /// Online requests.
    pub online: u32,
    /// Items of batch jobs.
    pub batch: u32,
}

impl Placed {
    /// Returns the number of requests.
    pub fn total(self) -> u32 {
        self.online.saturating_add(self.batch)
    }
}

/// The requests that this instance and its peers have placed.
#[derive(Debug, Default)]
pub struct Load {
    placed: HashMap<BackendKey, Placed>,
    own_online: HashMap<BackendKey, u32>,
    own_batch: HashMap<ItemKey, BatchRun>,
    peers: HashMap<String, PeerLoad>,
    /// Backend servers that were unresponsive to this instance, with the end of the suspicion.
    suspects: HashMap<BackendKey, Timestamp>,
    /// The same as reported by peers; these are not reported again.
    reported_suspects: HashMap<BackendKey, Timestamp>,
    /// Backend servers that refused a connection of this instance, with the end of the time for
    /// which no other one is attempted.
    refusing: HashMap<BackendKey, Timestamp>,
    /// When the number of requests on a backend server last changed.
    changed: HashMap<BackendKey, Timestamp>,
    /// When this instance last started or ended a request on a backend server.
    used: HashMap<BackendKey, Timestamp>,
}

/// Time for which a server counts as recently used after the end of the last request, so that the
/// end is still reported: two periodic reports and a lost one.
const RECENT_USE: Duration = Duration::from_millis(800);

/// Time after which the refusal of a connection is forgotten; it counts for a shorter time.
const REFUSAL_KEPT: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct PeerLoad {
    online: Vec<(BackendKey, u32)>,
    batch: Vec<BatchRun>,
}

impl PeerLoad {
    fn of(report: &Report) -> Self {
        Self {
            online: report.online.clone(),
            batch: report.batch.clone(),
        }
    }

    /// Returns whether a report names the same requests in the same order.
    fn is_that_of(&self, report: &Report) -> bool {
        self.online == report.online && self.batch == report.batch
    }
}

impl Load {
    /// Returns the requests placed on `backend`.
    pub fn placed(&self, backend: BackendKey) -> Placed {
        self.placed.get(&backend).copied().unwrap_or_default()
    }

    /// Records an online request that this instance sends to `backend`.
    pub fn online_started(&mut self, backend: BackendKey, now: Timestamp) {
        *self.own_online.entry(backend).or_default() += 1;
        self.used.insert(backend, now);
        self.add(backend, 1, 0, now);
    }

    /// Records the end of an online request of this instance.
    pub fn online_ended(&mut self, backend: BackendKey, now: Timestamp) {
        if let Some(count) = self.own_online.get_mut(&backend) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own_online.remove(&backend);
            }
            self.used.insert(backend, now);
            self.subtract(backend, 1, 0, now);
        }
    }

    /// Records an item that this instance starts.
    pub fn batch_started(&mut self, run: BatchRun, now: Timestamp) {
        self.batch_ended(run.item, now);
        self.own_batch.insert(run.item, run);
        self.used.insert(run.backend, now);
        self.add(run.backend, 0, 1, now);
    }

    /// Records the end of an item's run at this instance.
    pub fn batch_ended(&mut self, item: ItemKey, now: Timestamp) {
        if let Some(run) = self.own_batch.remove(&item) {
            self.used.insert(run.backend, now);
            self.subtract(run.backend, 0, 1, now);
        }
    }

    /// Replaces the requests that a peer has placed by those in its report. Returns how many online
    /// requests it has placed since the last one, except those that have ended on the same server.
    pub fn apply_report(&mut self, report: &Report, now: Timestamp) -> u32 {
        let before = match self.peers.get_mut(&report.name) {
            // Between two changes, periodic reports name the same requests.
            Some(known) if known.is_that_of(report) => return 0,
            Some(known) => Some(std::mem::replace(known, PeerLoad::of(report))),
            None => {
                let name = report.name.clone();
                self.peers.insert(name, PeerLoad::of(report))
            }
        };
        // What a new peer has placed did not arrive just now.
        let is_new = before.is_none();
        let mut placed = 0_u32;
        let mut totals = BTreeMap::new();
        count(&mut totals, &report.online, &report.batch, 1);
        if let Some(before) = before {
            count(&mut totals, &before.online, &before.batch, -1);
        }
        // Only differences from the last report count as changes of a backend server.
        for (backend, (online, batch)) in totals {
            placed = placed.saturating_add(to_count(online));
            self.add(backend, to_count(online), to_count(batch), now);
            self.subtract(backend, to_count(-online), to_count(-batch), now);
        }
        if is_new { 0 } else { placed }
    }

    /// Drops the requests placed by a peer that is unreachable or was removed.
    pub fn remove_peer(&mut self, peer: &str, now: Timestamp) {
        let Some(peer) = self.peers.remove(peer) else {
            return;
        };
        for (backend, count) in peer.online {
            self.subtract(backend, count, 0, now);
        }
        for run in peer.batch {
            self.subtract(run.backend, 0, 1, now);
        }
    }

    fn add(&mut self, backend: BackendKey, online: u32, batch: u32, now: Timestamp) {
        if online.saturating_add(batch) > 0 {
            let placed = self.placed.entry(backend).or_default();
            placed.online = placed.online.saturating_add(online);
            placed.batch = placed.batch.saturating_add(batch);
            self.changed.insert(backend, now);
        }
    }

    fn subtract(&mut self, backend: BackendKey, online: u32, batch: u32, now: Timestamp) {
        if online.saturating_add(batch) == 0 {
            return;
        }
        if let Some(placed) = self.placed.get_mut(&backend) {
            placed.online = placed.online.saturating_sub(online);
            placed.batch = placed.batch.saturating_sub(batch);
            if placed.total() == 0 {
                self.placed.remove(&backend);
            }
            self.changed.insert(backend, now);
        }
    }

    /// Returns the time since the number of requests on `backend` last changed.
    pub fn unchanged_for(&self, backend: BackendKey, now: Timestamp) -> Duration {
        let changed = self.changed.get(&backend).copied().unwrap_or_default();
        now.since(changed)
    }

    /// Returns the online requests of this instance by backend server.
    pub fn own_online(&self) -> Vec<(BackendKey, u32)> {
        self.own_online.iter().map(|(k, n)| (*k, *n)).collect()
    }

    /// Returns the backend servers on which this instance has requests or recently had some.
    pub fn recently_used(&self, now: Timestamp) -> impl Iterator<Item = BackendKey> {
        let recent = self.used.iter();
        let recent = recent.filter(move |(_, at)| now.since(**at) < RECENT_USE);
        let recent = recent.map(|(key, _)| *key);
        let batch = self.own_batch.values().map(|run| run.backend);
        recent.chain(self.own_online.keys().copied()).chain(batch)
    }

    /// Returns the items that this instance runs.
    pub fn own_batch(&self) -> impl Iterator<Item = &BatchRun> {
        self.own_batch.values()
    }

    /// Returns the items that all instances run on `backend`.
    pub fn batch_on(&self, backend: BackendKey) -> impl Iterator<Item = &BatchRun> {
        let peers = self.peers.values().flat_map(|p| p.batch.iter());
        let all = self.own_batch.values().chain(peers);
        all.filter(move |run| run.backend == backend)
    }

    /// Returns the number of requests beyond the slots of each server that has an item of this
    /// instance.
    pub fn excess(&self, slots: impl Fn(BackendKey) -> Option<u32>) -> HashMap<BackendKey, u32> {
        let backends = self.own_batch.values().map(|run| run.backend);
        let excess = backends.filter_map(|backend| {
            let placed = self.placed(backend).total();
            Some((backend, placed.saturating_sub(slots(backend)?)))
        });
        excess.collect()
    }

    /// Returns the peers that run `item`.
    pub fn peers_running(&self, item: ItemKey) -> impl Iterator<Item = &str> {
        let running = move |p: &PeerLoad| p.batch.iter().any(|run| run.item == item);
        self.peers
            .iter()
            .filter(move |(_, p)| running(p))
            .map(|(name, _)| name.as_str())
    }

    /// Records that `backend` was unresponsive; it is used as a last resort until `until`.
    pub fn suspect(&mut self, backend: BackendKey, until: Timestamp) {
        let end = self.suspects.entry(backend).or_insert(until);
        *end = until.max(*end);
    }

    /// Records that `backend` refused a connection: no process listens at its address, and no
    /// request is sent there until `until`.
    pub fn refused(&mut self, backend: BackendKey, until: Timestamp) {
        self.refusing.retain(|_, end| *end > until - REFUSAL_KEPT);
        self.refusing.insert(backend, until);
    }

    /// Returns whether `backend` refused a connection recently.
    pub fn is_refusing(&self, backend: BackendKey, now: Timestamp) -> bool {
        self.refusing.get(&backend).is_some_and(|end| *end > now)
    }

    /// Records that a peer reports `backend` as unresponsive.
    pub fn suspect_reported(&mut self, backend: BackendKey, until: Timestamp) {
        let end = self.reported_suspects.entry(backend).or_insert(until);
        *end = until.max(*end);
    }

    /// Ends the suspicion of `backend`, because it responded.
    pub fn clear_suspicion(&mut self, backend: BackendKey) {
        self.suspects.remove(&backend);
        self.reported_suspects.remove(&backend);
        self.refusing.remove(&backend);
    }

    /// Returns whether `backend` is suspected to be unresponsive.
    pub fn suspected(&self, backend: BackendKey, now: Timestamp) -> bool {
        let both = [&self.suspects, &self.reported_suspects];
        let mut ends = both.into_iter().filter_map(|s| s.get(&backend));
        ends.any(|end| *end > now)
    }

    /// Returns the servers that this instance itself suspects, with the remaining time of each.
    pub fn suspects(&self, now: Timestamp) -> Vec<(BackendKey, Duration)> {
        let open = self.suspects.iter().filter(|(_, end)| **end > now);
        open.map(|(key, end)| (*key, end.since(now))).collect()
    }
}

/// Returns a difference as a count: 0 if it is negative.
fn to_count(difference: i64) -> u32 {
    u32::try_from(difference.max(0)).unwrap_or(u32::MAX)
}

/// Adds requests to the totals of backend servers, or subtracts them with a `sign` of -1.
fn count(
    totals: &mut BTreeMap<BackendKey, (i64, i64)>,
    online: &[(BackendKey, u32)],
    batch: &[BatchRun],
    sign: i64,
) {
    for (backend, count) in online {
        // A report has far fewer than 2^31 entries, so the sum fits.
        totals.entry(*backend).or_default().0 += sign * i64::from(*count);
    }
    for run in batch {
        totals.entry(run.backend).or_default().1 += sign;
    }
}
