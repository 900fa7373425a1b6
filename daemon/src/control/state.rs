//! Shared state of the control loops: members, freshness, ownership and the platform's list.

use std::collections::BTreeMap;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    RwLock, //
};

use event_listener::Event;
use limpetweir_coordination::timing::HEARTBEAT_TIMEOUT;
use limpetweir_coordination::{
    Freshness,
    ListState,
    Membership,
    Ownership,
    ServingMode, //
};
use limpetweir_protocol::http::InstanceEntry;
use limpetweir_protocol::parse_configuration;
use limpetweir_state::{
    BackendId,
    ClaimEvent,
    Configuration,
    Epoch,
    GroupId,
    Incarnation,
    InstanceId,
    Publications,
    Timestamp,
    Version, //
};
use limpetweir_transport::Clock;

use super::view::CurrentConfig;
use crate::event;
use crate::events::{
    CONFIG_CHANGED,
    CONFIG_UNREADABLE, //
};

/// State shared by the loops and the observers of the streams.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    /// Notified when the configuration, ownership or the list changes.
    pub(super) changed: Event,
    /// Wakes the decision loop before its next heartbeat.
    pub(super) wake: Event,
    current: RwLock<Option<CurrentConfig>>,
    /// Time until which the last decision to serve is valid, in microseconds of `clock`.
    valid_until: AtomicU64,
    inner: Mutex<Inner>,
}

/// State behind one lock, which is held only for decisions and never across an `await`.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) members: Membership,
    pub(super) freshness: Freshness,
    pub(super) ownership: Ownership,
    /// Instances in the last list read.
    pub(super) instances: BTreeMap<InstanceId, InstanceEntry>,
    /// Backend servers in the last list read; `None` until the list has been read once.
    pub(super) backends: Option<BTreeMap<BackendId, ListState>>,
    /// Send time of the last read that reached the end of the `claims` stream.
    pub(super) claims_read: Option<Timestamp>,
    /// Groups that have been claimed only once, with the epoch of that claim.
    pub(super) first_claims: BTreeMap<GroupId, Epoch>,
    /// Whether the last decision was to serve.
    pub(super) serving: bool,
    /// Latest version whose document this program could not parse.
    unreadable: Option<Version>,
}

impl Inner {
    /// Records whether a claim is the first one of its group.
    pub(super) fn record_claim(&mut self, event: &ClaimEvent) {
        if let ClaimEvent::Claimed {
            group,
            epoch,
            former,
        } = event
        {
            if former.is_none() {
                self.first_claims.insert(*group, *epoch);
            } else {
                self.first_claims.remove(group);
            }
        }
    }
}

impl Shared {
    pub(super) fn new(own: Incarnation, clock: Clock) -> Arc<Self> {
        let now = clock.now();
        let inner = Inner {
            members: Membership::new(own, now),
            freshness: Freshness::new(now),
            ownership: Ownership::new(now),
            instances: BTreeMap::new(),
            backends: None,
            claims_read: None,
            first_claims: BTreeMap::new(),
            serving: false,
            unreadable: None,
        };
        Arc::new(Self {
            clock,
            changed: Event::new(),
            wake: Event::new(),
            current: RwLock::new(None),
            valid_until: AtomicU64::new(u64::MAX),
            inner: Mutex::new(inner),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn current(&self) -> Option<CurrentConfig> {
        let current = self.current.read();
        current.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn version(&self) -> Option<Version> {
        let current = self.current.read();
        let current = current.unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|current| current.version)
    }

    pub(super) fn notify_changed(&self) {
        self.changed.notify(usize::MAX);
    }

    pub(super) fn wake(&self) {
        self.wake.notify(usize::MAX);
    }

    /// Records the decision made at `now` on whether the instance may serve.
    pub(super) fn set_validity(&self, now: Timestamp, serving: bool) {
        // The decision loop runs again before this time unless the process is paused.
        let until = if serving {
            (now + HEARTBEAT_TIMEOUT).0
        } else {
            u64::MAX
        };
        self.valid_until.store(until, Ordering::Release);
    }

    /// Returns whether the last decision to serve is still valid.
    pub(super) fn is_decision_valid(&self, now: Timestamp) -> bool {
        now.0 <= self.valid_until.load(Ordering::Acquire)
    }

    /// Applies the state of the configuration stream; `confirmed` is the send time of the read if
    /// it reached the end of the stream.
    pub(super) fn apply_publications(&self, fold: &Publications, confirmed: Option<Timestamp>) {
        let version = fold.version();
        let known = self.version();
        let is_first = known.is_none() && (version > Version(0) || confirmed.is_some());
        if is_first || known.is_some_and(|known| known < version) {
            self.replace_current(fold);
        }
        // An instance that cannot parse the accepted document must not count as up to date.
        if self.version() != Some(version) {
            return;
        }
        let mut inner = self.lock();
        match confirmed {
            Some(sent) => inner.freshness.on_confirmed_read(sent, version),
            None => inner.freshness.on_version(version),
        }
        drop(inner);
        if is_first || known != Some(version) {
            self.notify_changed();
            self.wake();
        }
    }

    fn replace_current(&self, fold: &Publications) {
        let version = fold.version();
        let parsed = fold
            .document()
            .map_or_else(|| Ok(Configuration::default()), parse_configuration);
        let configuration = match parsed {
            Ok(configuration) => Arc::new(configuration),
            Err(err) => {
                let before = self.lock().unreadable.replace(version);
                if before != Some(version) {
                    event!(CONFIG_UNREADABLE, "version={} error={err}", version.0);
                }
                return;
            }
        };
        let id = fold.publication().map_or("none", |id| id.as_str());
        event!(CONFIG_CHANGED, "version={} publication={id}", version.0);
        let current = CurrentConfig {
            version,
            configuration,
        };
        let mut slot = self.current.write().unwrap_or_else(PoisonError::into_inner);
        // Versions may arrive from the stream and from a peer at the same time; the version must
        // never decrease.
        if slot.as_ref().is_none_or(|old| old.version < version) {
            *slot = Some(current);
        }
    }
}

impl Inner {
    /// Returns what the instance may serve.
    pub(super) fn mode(&self, now: Timestamp) -> ServingMode {
        self.freshness.mode(now, &self.members)
    }

    /// Returns whether a read within the freshness limit reached the end of the `claims` stream.
    pub(super) fn is_log_reachable(&self, now: Timestamp) -> bool {
        let limit = limpetweir_coordination::timing::CONFIG_FRESHNESS_LIMIT;
        self.claims_read.is_some_and(|at| now.since(at) < limit)
    }
}
