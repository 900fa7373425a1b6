//! Bound of the calls that this instance makes for peers at the same time.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use crate::memory::{
    ByteBudget,
    Share, //
};

/// Largest number of calls that are made for peers at the same time. The store answers within some
/// milliseconds, so this is more than it takes from one instance.
const MAX_CALLS: usize = 16;

/// Bytes that are reserved for a call whose request is smaller: those of the largest answer.
const MIN_CALL_BYTES: usize = 1 << 20;

/// The calls that are made for peers.
#[derive(Debug)]
pub struct RelayGate {
    calls: Arc<AtomicUsize>,
    budget: Arc<ByteBudget>,
}

/// A call that is being made for a peer; dropping it makes room for another one.
#[derive(Debug)]
pub struct Admission {
    calls: Arc<AtomicUsize>,
    share: Share,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RelayGate {
    /// Returns a gate for calls of `limit` bytes in total. A call that is larger is made alone.
    pub fn new(limit: usize) -> Self {
        Self {
            calls: Arc::default(),
            budget: ByteBudget::new(limit),
        }
    }

    /// Admits a call whose request has `bytes`; `None` if there is no room for it.
    pub fn admit(&self, bytes: usize) -> Option<Admission> {
        let calls = self.calls.clone();
        let before = calls.fetch_add(1, Ordering::Relaxed);
        let mut admission = Admission {
            calls,
            share: self.budget.share(),
        };
        if before >= MAX_CALLS {
            return None;
        }
        let bytes = bytes.max(MIN_CALL_BYTES);
        admission.share.take(bytes).ok()?;
        Some(admission)
    }
}
