//! Bound of the memory for what backend servers send, over all runs together.
//!
//! A faulty server may send bytes without end, and all servers may do so at once. Each run has bounds
//! of its own; this one is for their sum.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use snafu::{
    Snafu,
    ensure, //
};

/// Bytes that all holders together may keep.
///
/// The sum of all shares is at most twice the limit: beyond the limit a share grows only up to the
/// limit divided by the number of holders, so that large shares do not end small ones.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    /// Number of shares that are not empty.
    holders: AtomicUsize,
}

/// The bytes of all holders together exceed the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("all outputs together exceed {limit} bytes, and this one has {bytes}"))]
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
        })
    }

    /// Returns the bytes of all shares.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
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
