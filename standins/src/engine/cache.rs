//! Prefix cache: blocks of prompt tokens in limited memory with LRU eviction.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use crate::content::hash64;

/// Tokens per block.
pub(crate) const BLOCK_TOKENS: usize = 16;

/// Bytes of a prompt per block.
const BLOCK_BYTES: usize = 64;

/// A change of the content of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A block was stored.
    Stored(u64),
    /// A block was evicted or cleared.
    Removed(u64),
}

/// LRU cache of blocks.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Tick of the last use by block.
    used: HashMap<u64, u64>,
    /// Block by tick of its last use; the inverse of `used`.
    order: BTreeMap<u64, u64>,
    tick: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Returns an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: HashMap::new(),
            order: BTreeMap::new(),
            tick: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the hashes of the full blocks of a prompt; each hash covers the model and all
    /// preceding blocks.
    pub fn blocks(model: &str, prompt: &str) -> Vec<u64> {
        let mut previous = hash64(&[model.as_bytes()]);
        prompt
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .map(|chunk| {
                previous = hash64(&[&previous.to_le_bytes(), chunk]);
                previous
            })
            .collect()
    }

    /// Returns the number of leading blocks that are cached.
    pub fn cached(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Stores blocks or marks them as recently used. Later blocks of a prompt are evicted before
    /// earlier ones, because a block is usable only with all blocks before it.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks.iter().take(self.capacity).rev() {
            self.tick += 1;
            match self.used.insert(*block, self.tick) {
                Some(before) => {
                    self.order.remove(&before);
                }
                None => self.changes.push(CacheChange::Stored(*block)),
            }
            self.order.insert(self.tick, *block);
        }
        while self.used.len() > self.capacity {
            self.evict();
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        while !self.order.is_empty() {
            self.evict();
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Returns the maximum number of blocks.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn evict(&mut self) {
        if let Some((_, block)) = self.order.pop_first() {
            self.used.remove(&block);
            self.changes.push(CacheChange::Removed(block));
        }
    }
}
