//! Bound of the memory for what servers or clients send, over all of them together.
//!
//! A faulty server may send bytes without end, and all servers may do so at once; so may clients. Each run and
//! each request has bounds of its own; this one is for their sum.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
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
/// Beyond the limit [`Share::resize`] grows a share only up to the limit divided by the number of holders, so that
/// large shares do not end small ones, and only while the sum of all shares is at most twice the limit.
/// [`Share::take`] goes beyond the limit only for a single holder.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Room is checked and taken under one lock: two threads that only read the sum first could exceed the limit
    /// together.
    counts: Mutex<Counts>,
    /// Notified when a share becomes smaller.
    freed: Event,
}

/// Sums over all shares.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    used: usize,
    /// Number of shares that are not empty.
    holders: usize,
}

impl Counts {
    fn set(&mut self, before: usize, bytes: usize) {
        self.used = self.used - before + bytes;
        match (before > 0, bytes > 0) {
            (false, true) => self.holders += 1,
            (true, false) => self.holders -= 1,
            _ => {}
        }
    }
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
            counts: Mutex::default(),
            freed: Event::new(),
        })
    }

    /// Returns the bytes of all shares.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a listener for the next share that becomes smaller.
    pub(crate) fn freed(&self) -> EventListener {
        self.freed.listen()
    }

    /// Returns whether `bytes` more have room once `freeing` are released.
    pub(crate) fn has_room_without(&self, freeing: usize, bytes: usize) -> bool {
        self.has_room_beside(self.used().saturating_sub(freeing), bytes)
    }

    /// Returns whether [`Share::take`] allows a share of `bytes` beside `others`.
    fn has_room_beside(&self, others: usize, bytes: usize) -> bool {
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
        self.change(bytes, |budget, others, holders| {
            let most = budget.limit / holders.max(1);
            let sum = others.saturating_add(bytes);
            sum <= budget.limit || (bytes <= most && sum <= budget.limit * 2)
        })
    }

    /// Grows the share to `bytes` within the limit, or beyond it if there is no other one. Fails without effect
    /// if there is no room.
    pub fn take(&mut self, bytes: usize) -> Result<(), OverBudget> {
        self.change(bytes, |budget, others, _| {
            budget.has_room_beside(others, bytes)
        })
    }

    /// Changes the size of the share; a growth needs the consent of `has_room`, which gets the bytes of all other
    /// shares and the number of holders.
    fn change(
        &mut self,
        bytes: usize,
        has_room: impl FnOnce(&ByteBudget, usize, usize) -> bool,
    ) -> Result<(), OverBudget> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        let limit = budget.limit;
        let mut counts = budget.lock();
        let others = counts.used - self.bytes;
        let is_allowed = bytes <= self.bytes || has_room(budget, others, counts.holders);
        ensure!(is_allowed, OverBudgetSnafu { limit, bytes });
        counts.set(self.bytes, bytes);
        drop(counts);
        if bytes < self.bytes {
            budget.freed.notify(usize::MAX);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Clone for Share {
    /// Returns a share of the same size; the copy is there, whether it fits or not.
    fn clone(&self) -> Self {
        if let Some(budget) = &self.budget {
            budget.lock().set(0, self.bytes);
        }
        Self {
            budget: self.budget.clone(),
            bytes: self.bytes,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        // An empty share always has room.
        let _ = self.resize(0);
    }
}
