//! Registered backend servers.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::evacuation::EvacuatedZones;
use crate::warm_up::ColdTime;

/// How long an entry that expired around a store outage stays in use: a running backend server
/// registers again within about two seconds after the store is back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// How long reports list a server that was removed: longer than the store usually rejects the calls of
/// an instance.
const REMOVAL_REPORTED_FOR: Duration = Duration::from_secs(12);

/// How long a server that a peer reports as leaving gets no new requests: four reports at the
/// longest interval.
const LEAVING_VALID_FOR: Duration = Duration::from_millis(1_000);

/// How long a run that said that it leaves is remembered after it has left: its entry may come back
/// after an outage of the store.
const LEAVING_KEPT_FOR: Duration = Duration::from_secs(60);

/// Hash of a backend server's identifier, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

impl BackendKey {
    /// Returns the key of the backend server called `id`.
    pub fn of(id: &str) -> Self {
        // The hash stays uniform when it is truncated.
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// Hash of a backend server's identifier and start, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey(pub u32);

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Identifier of this run of the server; the server compares it with the one in each request.
    pub id: String,
    /// Service it belongs to.
    pub service: String,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests it runs concurrently; `None` if the entry has no value.
    pub slots: Option<u32>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Start time in Unix milliseconds; distinguishes two runs with the same identifier.
    pub born: u64,
    /// Time for which the server stays cold, as of the moment at which the entry was written.
    pub cold_remaining: ColdTime,
}

impl BackendEntry {
    /// Returns the key of this run of the server: another start has another one.
    pub fn run(&self) -> RunKey {
        // The hash stays uniform when it is truncated.
        RunKey(xxh3_64(format!("{}/{}", self.id, self.born).as_bytes()) as u32)
    }
}

/// A registered backend server and the state of its entry at this instance.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The newest entry.
    pub entry: Arc<BackendEntry>,
    /// Key of the identifier.
    pub key: BackendKey,
    /// Key of the run that the newest entry is of.
    pub run: RunKey,
    /// When the newest entry was read.
    pub seen: Timestamp,
    /// Whether the entry was removed from the store.
    removed: bool,
    /// When a peer last reported the server as draining or removed. While the store rejects an
    /// instance's calls, such reports are its only source.
    leaving_reported: Option<Timestamp>,
    /// Whether a response of this run of the server said that it leaves.
    says_leaving: bool,
}

impl Backend {
    /// Returns whether the server accepts new requests: it is not about to leave.
    pub(crate) fn accepts_requests(&self, now: Timestamp) -> bool {
        let leaving = self.leaving_reported;
        let leaving = leaving.is_some_and(|at| now.since(at) < LEAVING_VALID_FOR);
        !self.entry.draining && !self.says_leaving && !leaving
    }
}

/// A run of a backend server whose responses said that it leaves.
#[derive(Clone, Copy, Debug)]
struct LeavingRun {
    /// When a response of it or a report said so last.
    told_at: Timestamp,
    /// Whether a response to this instance said so. Only then the others are told: what instances
    /// repeat to each other would never expire.
    first_hand: bool,
}

/// Who says that a run of a backend server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// Its own response.
    Response,
    /// The report of another instance, which had such a response.
    Report,
}

/// The backend servers known to this instance.
#[derive(Debug, Default)]
pub struct Backends {
    by_key: HashMap<BackendKey, Backend>,
    /// Time of the last failed read of the entries.
    last_outage: Option<Timestamp>,
    /// Removed servers and the time of their removal.
    removed_at: HashMap<BackendKey, Timestamp>,
    /// Runs whose responses said that they leave. They never take new requests again; another start
    /// of the server is another run.
    leaving_runs: HashMap<RunKey, LeavingRun>,
    /// Addresses at which no backend server can be: those of the store and of instances.
    reserved: HashSet<SocketAddr>,
    /// Zones whose servers get nothing new.
    evacuated: EvacuatedZones,
}

impl Backends {
    /// Sets the addresses of the store and of all instances. An entry with such an address is kept,
    /// because an instance may leave its address to a server, but it is not used.
    pub fn set_reserved(&mut self, reserved: HashSet<SocketAddr>) {
        self.reserved = reserved;
    }

    /// Adds addresses of an instance.
    pub fn reserve(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.reserved.extend(addrs);
    }

    /// Returns whether `addr` is that of the store or of an instance.
    pub fn is_reserved(&self, addr: SocketAddr) -> bool {
        self.reserved.contains(&addr)
    }

    /// Sets the zones whose servers get nothing new.
    pub fn set_evacuated(&mut self, zones: EvacuatedZones) {
        self.evacuated = zones;
    }

    /// Returns whether servers of `zone` get nothing new.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Inserts or updates an entry; returns whether anything but its age changed.
    pub fn update(&mut self, entry: BackendEntry, now: Timestamp) -> bool {
        let key = BackendKey::of(&entry.id);
        self.removed_at.remove(&key);
        let known = self.by_key.get_mut(&key);
        if let Some(known) = known {
            let changed = *known.entry != entry || known.removed;
            known.removed = false;
            known.seen = now;
            if changed {
                known.run = entry.run();
                known.says_leaving = self.leaving_runs.contains_key(&known.run);
                known.entry = Arc::new(entry);
            }
            return changed;
        }
        let run = entry.run();
        let backend = Backend {
            key,
            run,
            seen: now,
            removed: false,
            leaving_reported: None,
            says_leaving: self.leaving_runs.contains_key(&run),
            entry: Arc::new(entry),
        };
        self.by_key.insert(key, backend);
        true
    }

    /// Handles an entry that was removed from the store or cannot be read; returns whether the
    /// server was known.
    ///
    /// Entries also expire while the store is unavailable although their servers run. Around an
    /// outage a removed entry therefore stays in use until a running server would have registered
    /// again.
    pub fn remove(&mut self, id: &str, now: Timestamp) -> bool {
        let around_outage = !self.settled(now);
        let key = BackendKey::of(id);
        match self.by_key.get_mut(&key) {
            Some(known) if around_outage && !known.entry.draining => {
                known.removed = true;
                true
            }
            Some(_) => {
                self.by_key.remove(&key);
                self.removed_at.insert(key, now);
                true
            }
            None => false,
        }
    }

    /// Removes all entries that are not in `ids`, the result of a full listing.
    pub fn retain(&mut self, ids: &[String], now: Timestamp) {
        let ids: HashSet<&str> = ids.iter().map(String::as_str).collect();
        let known = self.by_key.values().map(|b| &b.entry.id);
        let missing = known.filter(|id| !ids.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for id in missing {
            self.remove(&id, now);
        }
    }

    /// Records a failed read of the entries at `now`.
    pub fn record_outage(&mut self, now: Timestamp) {
        self.last_outage = Some(now);
    }

    /// Returns whether running servers have had the time to register again since the last outage.
    fn settled(&self, now: Timestamp) -> bool {
        let outage = self.last_outage;
        outage.is_none_or(|at| now.since(at) >= LAPSE_GRACE)
    }

    /// Drops the removed entries whose servers have not registered again in time, and returns their
    /// identifiers.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<String> {
        if !self.settled(now) {
            return Vec::new();
        }
        let lapsed = |b: &Backend| b.removed;
        let expired = self.by_key.values().filter(|backend| lapsed(backend));
        let expired: Vec<String> = expired.map(|backend| backend.entry.id.clone()).collect();
        for id in &expired {
            let key = BackendKey::of(id);
            self.by_key.remove(&key);
            self.removed_at.insert(key, now);
        }
        self.removed_at
            .retain(|_, since| now.since(*since) < REMOVAL_REPORTED_FOR);
        let by_key = &self.by_key;
        let is_known = |run: &RunKey| by_key.values().any(|b| b.run == *run);
        self.leaving_runs
            .retain(|run, l| now.since(l.told_at) < LEAVING_KEPT_FOR || is_known(run));
        expired
    }

    /// Returns the backend servers that are draining or were removed recently, for the reports.
    pub fn leaving(&self) -> Vec<BackendKey> {
        let draining = self.by_key.values().filter(|b| b.entry.draining);
        let draining = draining.map(|b| b.key);
        draining.chain(self.removed_at.keys().copied()).collect()
    }

    /// Records that `run` said that it leaves; returns whether that is new.
    pub fn says_leaving(&mut self, run: RunKey, source: LeavingSource, now: Timestamp) -> bool {
        let known = self.by_key.values_mut();
        for backend in known.filter(|backend| backend.run == run) {
            backend.says_leaving = true;
        }
        let before = self.leaving_runs.get(&run);
        let first_hand = source == LeavingSource::Response || before.is_some_and(|b| b.first_hand);
        let is_new = before.is_none();
        let told_at = now;
        let leaving = LeavingRun {
            told_at,
            first_hand,
        };
        self.leaving_runs.insert(run, leaving);
        is_new
    }

    /// Returns the runs whose responses to this instance said that they leave, for the reports.
    pub fn leaving_runs(&self) -> Vec<RunKey> {
        let own = self.leaving_runs.iter().filter(|(_, l)| l.first_hand);
        own.map(|(run, _)| *run).collect()
    }

    /// Returns the backend server with this run.
    pub fn of_run(&self, run: RunKey) -> Option<&Backend> {
        self.by_key.values().find(|backend| backend.run == run)
    }

    /// Records that a peer reports these backend servers as leaving.
    pub fn leaving_reported(&mut self, keys: &[BackendKey], now: Timestamp) {
        for key in keys {
            if let Some(backend) = self.by_key.get_mut(key) {
                backend.leaving_reported = Some(now);
            }
        }
    }

    /// Returns the backend servers of `service` that accept new requests and are in no evacuated zone.
    pub fn serving(&self, service: &str, now: Timestamp) -> impl Iterator<Item = &Backend> {
        let accepting = self.accepting(service, now);
        accepting.filter(|b| !self.is_evacuated(&b.entry.zone))
    }

    /// Returns the evacuated backend servers of `service` that would accept new requests.
    pub fn evacuated(&self, service: &str, now: Timestamp) -> impl Iterator<Item = &Backend> {
        let accepting = self.accepting(service, now);
        accepting.filter(|b| self.is_evacuated(&b.entry.zone))
    }

    fn accepting(&self, service: &str, now: Timestamp) -> impl Iterator<Item = &Backend> {
        self.by_key
            .values()
            .filter(move |b| b.entry.service == service && b.accepts_requests(now))
            .filter(|b| !self.is_reserved(b.entry.addr))
    }

    /// Returns all backend servers that may be used.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        let known = self.by_key.values();
        known.filter(|b| !self.is_reserved(b.entry.addr))
    }

    /// Returns the backend server with `key`.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.by_key.get(&key)
    }
}
