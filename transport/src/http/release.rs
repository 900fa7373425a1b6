//! Which client is released first when the connections or the memory for clients are used up.
//!
//! Addresses the load of many clients that connect, send or read very slowly, or stop halfway, beside ordinary
//! ones. The client that has made the least progress for the longest time goes first. One that makes steady
//! progress, however slow its link is, is not released.

use std::time::{
    Duration,
    Instant, //
};

/// Bytes that count as progress together. A client that sends a few bytes now and then makes none.
pub const PROGRESS_BYTES: usize = 256;

/// Time without progress from which on a client that has a request may be released. Together with
/// [`PROGRESS_BYTES`] it stands for 128 bytes/s; callers on narrow links have 2,000 and more.
pub const STALL_TIME: Duration = Duration::from_secs(2);

/// Time without progress from which on a client that reads a response may be released. The link of an ordinary
/// caller may stall for 4 s, and the system takes bytes again up to half a second later.
pub const READ_STALL_TIME: Duration = Duration::from_secs(5);

/// Time that a connection has for its first request head before it may be released.
pub const GRACE_TIME: Duration = Duration::from_millis(100);

/// Progress of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    at: Instant,
    /// Bytes since then; below [`PROGRESS_BYTES`].
    bytes: usize,
}

impl Progress {
    /// Returns the progress of a client that begins at `now`.
    pub fn new(now: Instant) -> Self {
        Self { at: now, bytes: 0 }
    }

    /// Counts bytes that were sent or read.
    pub fn add(&mut self, bytes: usize, now: Instant) {
        self.bytes = self.bytes.saturating_add(bytes);
        if self.bytes >= PROGRESS_BYTES {
            *self = Self::new(now);
        }
    }

    /// Returns the time of the last progress.
    pub fn at(&self) -> Instant {
        self.at
    }
}

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has no whole request head: it is new, idle or has sent a part of one.
    Waiting,
    /// It sends the body of a request.
    Transferring,
    /// It has not read its response so far, and the system takes no more bytes for it.
    Reading,
    /// Its request is being handled.
    Served,
}

/// A client that holds a connection or memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// What it is doing.
    pub standing: Standing,
    /// Last progress.
    pub progress: Instant,
    /// Whether the clients of its address hold more than half of what there is.
    pub is_crowded: bool,
}

impl Holder {
    /// Returns the order of release, smallest first; `None` if it is not released.
    fn order(&self, now: Instant) -> Option<(Class, bool, Instant)> {
        let idle = now.saturating_duration_since(self.progress);
        let class = match self.standing {
            Standing::Waiting if idle >= STALL_TIME => Class::Idle,
            Standing::Transferring if idle >= STALL_TIME => Class::Stalled,
            Standing::Reading if idle >= READ_STALL_TIME => Class::Stalled,
            Standing::Waiting if idle >= GRACE_TIME => Class::Fresh,
            Standing::Waiting | Standing::Transferring | Standing::Reading | Standing::Served => {
                return None;
            }
        };
        Some((class, !self.is_crowded, self.progress))
    }
}

/// Classes of holders in the order of their release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Without a request for a while.
    Idle,
    /// With a request that makes no progress.
    Stalled,
    /// Without a request so far. Only a crowd that connects faster than others stall gets this far.
    Fresh,
}

/// Returns the key of the holder to release first at `now`, if any.
pub fn first_to_release<K>(
    holders: impl IntoIterator<Item = (K, Holder)>,
    now: Instant,
) -> Option<K> {
    let ordered = holders
        .into_iter()
        .filter_map(|(key, holder)| Some((key, holder.order(now)?)));
    ordered.min_by_key(|(_, order)| *order).map(|(key, _)| key)
}
