//! Bound of the memory for what servers or clients send, over all of them together.
//!
//! A faulty server may send bytes without end, and all servers may do so at once; so may clients. Each run and
//! each request has bounds of its own; this one is for their sum.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use event_listener::{
    Event,
    EventListener, //
};
use snafu::{
    Snafu,
    ensure, //
};

/// Largest share that may use [`SMALL_PART`], in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// Part of the limit, as a divisor, that is kept for small shares taken with [`Share::take`].
const SMALL_PART: usize = 8;

/// Bytes that all holders together may keep.
///
/// The sum of all shares is at most twice the limit: beyond the limit [`Share::resize`] grows a share only up to
/// the limit divided by the number of holders, so that large shares do not end small ones. [`Share::take`] goes
/// beyond the limit only for a single holder.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    /// Number of shares that are not empty.
    holders: AtomicUsize,
    /// Notified when a share becomes smaller.
    freed: Event,
}

/// The bytes of all holders together exceed the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("all holders together exceed {limit} bytes, and this one would have {bytes}"))]
pub struct OverBudget {
    /// Limit of all holders together, in bytes.
    limit: usize,
    /// Bytes that this holder would have.
    bytes: usize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            holders: AtomicUsize::new(0),
            freed: Event::new(),
        })
    }

    /// Returns the bytes of all shares.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns a listener for the next share that becomes smaller.
    pub(crate) fn freed(&self) -> EventListener {
        self.freed.listen()
    }

    /// Returns whether `bytes` more have room once `freeing` are released.
    pub(crate) fn has_room_without(&self, freeing: usize, bytes: usize) -> bool {
        let others = self.used().saturating_sub(freeing);
        let limit = match bytes <= SMALL_BYTES {
            true => self.limit,
            false => self.limit - self.limit / SMALL_PART,
        };
        others == 0 || others.saturating_add(bytes) <= limit
    }

    /// Returns an empty share.
    pub fn share(self: &Arc<Self>) -> Share {
        Share {
            budget: Some(self.clone()),
            bytes: 0,
        }
    }
}

/// The bytes of one holder; dropping it releases them. A default one belongs to no budget.
#[derive(Debug, Default)]
pub struct Share {
    budget: Option<Arc<ByteBudget>>,
    bytes: usize,
}

impl Share {
    /// Changes the size of the share; fails without effect if there is no room for it.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        if bytes > self.bytes {
            let limit = budget.limit;
            let others = budget.used().saturating_sub(self.bytes);
            let holders = budget.holders.load(Ordering::Relaxed).max(1);
            let has_room = others.saturating_add(bytes) <= limit || bytes <= limit / holders;
            ensure!(has_room, OverBudgetSnafu { limit, bytes });
        }
        self.set(bytes);
        Ok(())
    }

    /// Grows the share to `bytes` within the limit, or beyond it if there is no other one. Fails without effect
    /// if there is no room.
    pub fn take(&mut self, bytes: usize) -> Result<(), OverBudget> {
        if let Some(budget) = &self.budget {
            let limit = budget.limit;
            let has_room = bytes <= self.bytes || budget.has_room_without(self.bytes, bytes);
            ensure!(has_room, OverBudgetSnafu { limit, bytes });
        }
        self.set(bytes);
        Ok(())
    }

    fn set(&mut self, bytes: usize) {
        let Some(budget) = &self.budget else {
            return;
        };
        match (self.bytes > 0, bytes > 0) {
            (false, true) => {
                budget.holders.fetch_add(1, Ordering::Relaxed);
            }
            (true, false) => {
                budget.holders.fetch_sub(1, Ordering::Relaxed);
            }
            _ => {}
        }
        budget.used.fetch_add(bytes, Ordering::Relaxed);
        budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
        if bytes < self.bytes {
            budget.freed.notify(usize::MAX);
        }
        self.bytes = bytes;
    }
}

impl Clone for Share {
    /// Returns a share of the same size; the copy is there, whether it fits or not.
    fn clone(&self) -> Self {
        let mut share = Self {
            budget: self.budget.clone(),
            bytes: 0,
        };
        share.set(self.bytes);
        share
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}
