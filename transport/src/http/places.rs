//! The open connections of a server, and the release of one when there are too many or their heads are too
//! large.
//!
//! Addresses the load of crowds that hold all connections of a listener, or send many large heads at once.

use std::collections::HashMap;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use super::activity::Activity;
use super::release::{
    Holder,
    first_to_release, //
};

/// Connections beyond the limit that are accepted while those that are released end.
pub const ENDING_CONNECTIONS: usize = 8;

/// Shortest time between two log lines about released connections.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReleaseCause {
    /// There are as many connections as the listener may have.
    Connections,
    /// The heads that are being received have as many bytes as the listener may hold.
    Heads,
}

/// Number of connections that a server has released, by cause.
#[derive(Debug, Default)]
pub struct Released {
    connections: AtomicU64,
    heads: AtomicU64,
}

impl Released {
    fn of(&self, cause: ReleaseCause) -> &AtomicU64 {
        match cause {
            ReleaseCause::Connections => &self.connections,
            ReleaseCause::Heads => &self.heads,
        }
    }

    /// Returns the number of connections released for `cause` since the last call, and forgets it.
    pub fn take(&self, cause: ReleaseCause) -> u64 {
        self.of(cause).swap(0, Ordering::Relaxed)
    }
}

/// Bytes of the heads that are being received on all connections of a server.
#[derive(Debug, Default)]
pub(crate) struct HeadBytes {
    bytes: AtomicUsize,
    limit: usize,
    /// Whether a connection is to be released because of them.
    is_over: AtomicBool,
}

impl HeadBytes {
    pub(crate) fn add(&self, bytes: usize) {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if before.saturating_add(bytes) > self.limit {
            self.is_over.store(true, Ordering::Relaxed);
        }
    }

    pub(crate) fn remove(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The open connections of a server.
#[derive(Debug)]
pub(crate) struct Places {
    addr: SocketAddr,
    limit: usize,
    pub(crate) heads: Arc<HeadBytes>,
    pub(crate) released: Arc<Released>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: HashMap<u64, Open>,
    last_line: Option<Instant>,
}

impl State {
    /// Returns the number of connections that are not being closed in favour of others.
    fn staying(&self) -> usize {
        let staying = self.open.values().filter(|o| !o.activity.is_released());
        staying.count()
    }
}

#[derive(Debug)]
struct Open {
    addr: IpAddr,
    activity: Arc<Activity>,
}

impl Places {
    pub(crate) fn new(addr: SocketAddr, limit: usize, head_bytes: usize) -> Self {
        Self {
            addr,
            limit,
            heads: Arc::new(HeadBytes {
                limit: head_bytes,
                ..HeadBytes::default()
            }),
            released: Arc::default(),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases a connection if the limit is reached, and returns whether a further one has to wait.
    pub(crate) fn must_wait(&self) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let open = state.open.len();
        if open < self.limit {
            return false;
        }
        let staying = state.staying();
        for _ in self.limit..staying {
            if !self.release_one(&mut state, ReleaseCause::Connections, now) {
                return true;
            }
        }
        // At the limit, accepting one more releases another one.
        let is_over = staying >= self.limit;
        open >= self.limit + ENDING_CONNECTIONS
            || (is_over
                && self
                    .candidate(&state, ReleaseCause::Connections, now)
                    .is_none())
    }

    /// Adds a connection, in place of another one if there are too many unless the server is stopping. It leaves
    /// when the place is dropped.
    pub(crate) fn enter(
        self: &Arc<Self>,
        addr: IpAddr,
        activity: Arc<Activity>,
        is_stopping: bool,
    ) -> Place {
        let mut state = self.lock();
        let key = state.next;
        state.next += 1;
        state.open.insert(key, Open { addr, activity });
        if !is_stopping && state.staying() > self.limit {
            self.release_one(&mut state, ReleaseCause::Connections, Instant::now());
        }
        drop(state);
        Place {
            places: self.clone(),
            key,
        }
    }

    /// Releases a connection if the heads that are being received are too large.
    pub(crate) fn check_heads(&self) {
        if self.heads.is_over.swap(false, Ordering::Relaxed) {
            self.release_one(&mut self.lock(), ReleaseCause::Heads, Instant::now());
        }
    }

    /// Returns the connection to release first for `cause`.
    fn candidate(&self, state: &State, cause: ReleaseCause, now: Instant) -> Option<u64> {
        let mut counts: HashMap<IpAddr, usize> = HashMap::new();
        for open in state.open.values() {
            *counts.entry(open.addr).or_default() += 1;
        }
        let holders = state.open.iter().filter_map(|(key, open)| {
            let has_head = open.activity.has_head_bytes();
            if open.activity.is_released() || (cause == ReleaseCause::Heads && !has_head) {
                return None;
            }
            let (standing, progress) = open.activity.standing();
            let holder = Holder {
                standing,
                progress,
                is_crowded: counts.get(&open.addr).is_some_and(|n| *n * 2 > self.limit),
            };
            Some((*key, holder))
        });
        first_to_release(holders, now)
    }

    fn release_one(&self, state: &mut State, cause: ReleaseCause, now: Instant) -> bool {
        let Some(key) = self.candidate(state, cause, now) else {
            return false;
        };
        if let Some(open) = state.open.get(&key) {
            open.activity.release();
        }
        self.released.of(cause).fetch_add(1, Ordering::Relaxed);
        let is_due = state.last_line.is_none_or(|at| now >= at + LINE_INTERVAL);
        if is_due {
            state.last_line = Some(now);
            let open = state.open.len();
            log::warn!(
                "LW1104 listener={} cause={cause} open={open} limit={}: the connection without progress for the longest time is closed",
                self.addr,
                self.limit
            );
        }
        true
    }
}

/// The place of a connection.
#[derive(Debug)]
pub(crate) struct Place {
    places: Arc<Places>,
    key: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.lock().open.remove(&self.key);
    }
}
