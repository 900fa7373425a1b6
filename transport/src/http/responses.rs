//! Memory of the responses that wait for their callers, and which of them is released when there is no room.
//!
//! Addresses the load of callers that ask for long responses and read them slowly or not at all. A response has a
//! share of one budget for what it holds beyond [`FREE_BYTES`]. Without room, the caller that has read nothing for
//! the longest time is released. A caller that reads steadily is not released, however slow its link is; the
//! response that needs room waits for it.

use std::collections::HashMap;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    Weak, //
};
use std::time::{
    Duration,
    Instant, //
};

use event_listener::{
    Event,
    EventListener, //
};

use super::activity::Activity;
use super::release::{
    Holder,
    Standing,
    first_to_release, //
};

/// Bytes of a response that need no share; the memory of its connection includes them. Events are small and are
/// taken by the system at once, so an ordinary response never needs a share.
pub const FREE_BYTES: usize = 16 << 10;

/// Time without room after which a response is cut off. A backend server whose response is not read for some
/// seconds cuts it off too. Longer than [`super::READ_STALL_TIME`], so that a caller that stops reading is released
/// before another response is cut off.
pub const CUT_TIME: Duration = Duration::from_secs(6);

/// What a response that needs room does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// There is room for it.
    Granted,
    /// The response with this key is to be released, and the step to be repeated.
    Release(u64),
    /// It waits until others hold less.
    Wait,
    /// It is cut off.
    Cut,
}

/// A response that needs room.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The response.
    pub key: u64,
    /// Bytes of its share if it gets the room.
    pub bytes: usize,
    /// Since when it has needed room without progress of its caller.
    pub since: Instant,
}

/// How the caller of a response reads.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// Whether the system takes no more bytes for it.
    pub is_blocked: bool,
    /// When the system last took a part of the response.
    pub progress: Instant,
    /// Whether it is released, and its memory about to be free.
    pub is_released: bool,
}

/// Shares of the responses in a budget.
#[derive(Debug)]
pub struct ResponseShares {
    limit: usize,
    used: usize,
    /// Bytes of the shares that are not empty.
    held: HashMap<u64, usize>,
}

impl ResponseShares {
    /// Returns empty shares of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            held: HashMap::new(),
        }
    }

    /// Returns the sum of all shares.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the share of a response.
    pub fn held(&self, key: u64) -> usize {
        self.held.get(&key).copied().unwrap_or(0)
    }

    /// Changes a share, whether there is room or not.
    pub fn set(&mut self, key: u64, bytes: usize) {
        self.used = self.used - self.held(key) + bytes;
        match bytes {
            0 => self.held.remove(&key),
            _ => self.held.insert(key, bytes),
        };
    }

    /// Grows a share if there is room, or no other one.
    pub fn grow(&mut self, key: u64, bytes: usize) -> bool {
        let has_room = bytes <= self.held(key) || self.has_room(key, bytes, 0);
        if has_room {
            self.set(key, bytes);
        }
        has_room
    }

    fn has_room(&self, key: u64, bytes: usize, freeing: usize) -> bool {
        let others = self.used - self.held(key) - freeing;
        others == 0 || others.saturating_add(bytes) <= self.limit
    }

    /// Returns what a response does that needs room.
    pub fn step(&self, ask: Ask, readers: &[(u64, Reader)], now: Instant) -> Step {
        if self.has_room(ask.key, ask.bytes, 0) {
            return Step::Granted;
        }
        let others = readers.iter().filter(|(key, _)| *key != ask.key);
        let others = others.filter(|(key, _)| self.held(*key) > 0);
        let released = others.clone().filter(|(_, reader)| reader.is_released);
        let freeing = released.map(|(key, _)| self.held(*key)).sum();
        if self.has_room(ask.key, ask.bytes, freeing) {
            return Step::Wait;
        }
        let holders = others.filter(|(_, reader)| !reader.is_released);
        let holders = holders.map(|(key, reader)| {
            let standing = match reader.is_blocked {
                true => Standing::Reading,
                false => Standing::Served,
            };
            let holder = Holder {
                standing,
                progress: reader.progress,
                is_crowded: false,
            };
            (*key, holder)
        });
        match first_to_release(holders, now) {
            Some(key) => Step::Release(key),
            None if now >= ask.since + CUT_TIME => Step::Cut,
            None => Step::Wait,
        }
    }
}

/// The budget of the responses of all servers that share it.
#[derive(Debug)]
pub struct Responses {
    state: Mutex<State>,
    /// Notified when a share becomes smaller.
    freed: Event,
}

#[derive(Debug)]
struct State {
    shares: ResponseShares,
    next: u64,
    /// All connections.
    readers: HashMap<u64, Weak<Activity>>,
    released: u64,
    cut: u64,
}

impl Responses {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        let state = State {
            shares: ResponseShares::new(limit),
            next: 0,
            readers: HashMap::new(),
            released: 0,
            cut: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            freed: Event::new(),
        })
    }

    /// Returns the bytes of all shares.
    pub fn used(&self) -> usize {
        self.lock().shares.used()
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.lock().shares.limit
    }

    /// Returns how many connections were released for others since the last call, and how many responses were cut
    /// off because none could be, and forgets both.
    pub fn take_ended(&self) -> (u64, u64) {
        let mut state = self.lock();
        (
            std::mem::take(&mut state.released),
            std::mem::take(&mut state.cut),
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection and returns its key.
    pub(crate) fn enter(&self, activity: Weak<Activity>) -> u64 {
        let mut state = self.lock();
        state.next += 1;
        let key = state.next;
        state.readers.insert(key, activity);
        key
    }

    /// Removes a connection and its share.
    pub(crate) fn leave(&self, key: u64) {
        self.set(key, 0);
        self.lock().readers.remove(&key);
    }

    pub(crate) fn freed(&self) -> EventListener {
        self.freed.listen()
    }

    /// Changes the share of a connection, whether there is room or not.
    pub(crate) fn set(&self, key: u64, bytes: usize) {
        let mut state = self.lock();
        let before = state.shares.held(key);
        state.shares.set(key, bytes);
        drop(state);
        if bytes < before {
            self.freed.notify(usize::MAX);
        }
    }

    /// Grows the share of a connection if there is room.
    pub(crate) fn grow(&self, key: u64, bytes: usize) -> bool {
        self.lock().shares.grow(key, bytes)
    }

    /// Releases connections that hold room for others, and returns whether there is room, or the response waits or
    /// is cut off.
    pub(crate) fn make_room(&self, ask: Ask) -> Step {
        let now = Instant::now();
        let holders: Vec<(u64, Arc<Activity>)> = {
            let state = self.lock();
            let holders = state.readers.iter();
            let holders = holders.filter(|(key, _)| state.shares.held(**key) > 0);
            let holders = holders.filter_map(|(key, holder)| Some((*key, holder.upgrade()?)));
            holders.collect()
        };
        loop {
            // A connection takes its own lock before that of the shares.
            let readers: Vec<_> = holders.iter().map(|(key, a)| (*key, a.reader())).collect();
            let mut state = self.lock();
            let step = state.shares.step(ask, &readers, now);
            match step {
                Step::Release(_) => state.released += 1,
                Step::Cut => state.cut += 1,
                Step::Granted | Step::Wait => {}
            }
            drop(state);
            let Step::Release(released) = step else {
                return step;
            };
            let released = holders.iter().find(|(key, _)| *key == released);
            released.inspect(|(_, activity)| activity.release());
        }
    }
}
