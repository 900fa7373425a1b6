//! Prefix cache: blocks of prompt tokens in limited memory, evicted least recently used first.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use crate::content::hash64;

/// Tokens in one block.
pub(crate) const BLOCK_TOKENS: usize = 16;

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 64;

/// A change of the cache's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A block was stored.
    Stored(u64),
    /// A block was evicted or cleared.
    Removed(u64),
}

/// Blocks in limited memory.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Time of last use by block.
    used: HashMap<u64, u64>,
    /// Block by time of last use; the inverse of `used`.
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

    /// Returns the full blocks of a prompt; each hash covers the model and all blocks before it.
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

    /// Returns how many leading blocks are cached.
    pub fn cached(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Stores or refreshes blocks. Later blocks of the prompt are evicted before earlier ones,
    /// because they are of no use without them.
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

    /// Returns the number of blocks that fit.
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
