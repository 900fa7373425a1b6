//! Backend servers as they register themselves.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

/// How long an entry that lapsed around an outage of the store stays in use: a live backend server
/// registers again within about two seconds of the store's return.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// How long peers are told of a server that has left: longer than the store usually turns an
/// instance away.
const GONE_STATED: Duration = Duration::from_secs(12);

/// How long a server that a peer states as leaving gets nothing new: four reports at the longest
/// interval.
const LEAVING_HEARD: Duration = Duration::from_millis(1_000);

/// Short form of a backend server's identifier, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

impl BackendKey {
    /// Returns the key of the backend server called `id`.
    pub fn of(id: &str) -> Self {
        // The low half is as good a hash as the whole.
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Identifier of this start of the server, which it checks requests against.
    pub id: String,
    /// Service it belongs to.
    pub service: String,
    /// Address it serves at.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests it runs at once; `None` if the entry does not say.
    pub slots: Option<u32>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time of its start in Unix milliseconds, which tells two starts under one identifier apart.
    pub born: u64,
}

/// An entry and what this instance knows of its age.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The newest entry.
    pub entry: Arc<BackendEntry>,
    /// Key of the identifier.
    pub key: BackendKey,
    /// When the newest entry was read.
    pub seen: Timestamp,
    /// Whether the entry was found removed.
    removed: bool,
    /// When a peer last stated that the server leaves or has left. An instance that the store turns
    /// away learns of it in this way only.
    leaving_reported: Option<Timestamp>,
}

impl Backend {
    fn takes_requests(&self, now: Timestamp) -> bool {
        let leaving = self.leaving_reported;
        let leaving = leaving.is_some_and(|at| now.since(at) < LEAVING_HEARD);
        !self.entry.draining && !leaving
    }
}

/// The backend servers known to this instance.
#[derive(Debug, Default)]
pub struct Backends {
    by_key: HashMap<BackendKey, Backend>,
    /// Time of the last failed read of the entries.
    last_outage: Option<Timestamp>,
    /// Servers that are gone, and since when.
    gone: HashMap<BackendKey, Timestamp>,
}

impl Backends {
    /// Takes a new entry over; returns whether anything but its age changed.
    pub fn update(&mut self, entry: BackendEntry, now: Timestamp) -> bool {
        let key = BackendKey::of(&entry.id);
        self.gone.remove(&key);
        let known = self.by_key.get_mut(&key);
        if let Some(known) = known {
            let changed = *known.entry != entry || known.removed;
            known.removed = false;
            known.seen = now;
            if changed {
                known.entry = Arc::new(entry);
            }
            return changed;
        }
        let backend = Backend {
            key,
            seen: now,
            removed: false,
            leaving_reported: None,
            entry: Arc::new(entry),
        };
        self.by_key.insert(key, backend);
        true
    }

    /// Notes that the entry of `id` was removed or cannot be read; returns whether it was known.
    ///
    /// Entries also lapse while the store is unavailable, although the servers live. After an
    /// outage a removed entry therefore stays in use until a live server would have returned.
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
                self.gone.insert(key, now);
                true
            }
            None => false,
        }
    }

    /// Keeps exactly the entries named in `ids`, as a full listing found them.
    pub fn retain(&mut self, ids: &[String], now: Timestamp) {
        let ids: HashSet<&str> = ids.iter().map(String::as_str).collect();
        let known = self.by_key.values().map(|b| &b.entry.id);
        let missing = known.filter(|id| !ids.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for id in missing {
            self.remove(&id, now);
        }
    }

    /// Notes that the entries could not be read at `now`.
    pub fn note_outage(&mut self, now: Timestamp) {
        self.last_outage = Some(now);
    }

    /// Returns whether live servers have registered again since the last outage.
    fn settled(&self, now: Timestamp) -> bool {
        let outage = self.last_outage;
        outage.is_none_or(|at| now.since(at) >= LAPSE_GRACE)
    }

    /// Drops removed entries whose servers have not returned in time.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<String> {
        if !self.settled(now) {
            return Vec::new();
        }
        let lapsed = |b: &Backend| b.removed;
        let gone = self.by_key.values().filter(|backend| lapsed(backend));
        let gone: Vec<String> = gone.map(|backend| backend.entry.id.clone()).collect();
        for id in &gone {
            let key = BackendKey::of(id);
            self.by_key.remove(&key);
            self.gone.insert(key, now);
        }
        self.gone.retain(|_, since| now.since(*since) < GONE_STATED);
        gone
    }

    /// Returns the backend servers that leave or have left lately, for the reports.
    pub fn leaving(&self) -> Vec<BackendKey> {
        let draining = self.by_key.values().filter(|b| b.entry.draining);
        let draining = draining.map(|b| b.key);
        draining.chain(self.gone.keys().copied()).collect()
    }

    /// Notes that a peer states these backend servers as leaving.
    pub fn leaving_reported(&mut self, keys: &[BackendKey], now: Timestamp) {
        for key in keys {
            if let Some(backend) = self.by_key.get_mut(key) {
                backend.leaving_reported = Some(now);
            }
        }
    }

    /// Returns the backend servers of `service` that take new requests.
    pub fn serving(&self, service: &str, now: Timestamp) -> impl Iterator<Item = &Backend> {
        self.by_key
            .values()
            .filter(move |b| b.entry.service == service && b.takes_requests(now))
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_key.values()
    }

    /// Returns the backend server with `key`.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.by_key.get(&key)
    }
}
