//! State that is divided into shards with one lock each.

use std::hash::{
    BuildHasher,
    Hash,
    RandomState, //
};
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Shards of state, each behind its own lock; a key always belongs to the same shard.
///
/// Executor threads that work on different keys rarely contend for a lock. A lock must never be held
/// across an `await`, and no thread may lock two shards of one value at the same time.
#[derive(Debug)]
pub struct Sharded<T> {
    /// Never empty.
    shards: Vec<Mutex<T>>,
    hasher: RandomState,
}

impl<T> Sharded<T> {
    /// Creates `count` shards, but at least one, by calling `create` with each index.
    pub fn new(count: usize, create: impl FnMut(usize) -> T) -> Self {
        let indices = 0..count.max(1);
        Self {
            shards: indices.map(create).map(Mutex::new).collect(),
            hasher: RandomState::new(),
        }
    }

    /// Returns the index of the shard of `key`.
    pub fn index_of<K: Hash + ?Sized>(&self, key: &K) -> usize {
        let hash = self.hasher.hash_one(key);
        usize::try_from(hash % self.shards.len() as u64).unwrap_or(0)
    }

    /// Locks the shard of `key`.
    pub fn of_key<K: Hash + ?Sized>(&self, key: &K) -> MutexGuard<'_, T> {
        self.at(self.index_of(key))
    }

    /// Locks the shard with an index, such as that of a job group, modulo the number of shards.
    pub fn at(&self, index: usize) -> MutexGuard<'_, T> {
        let shard = &self.shards[index % self.shards.len()];
        // A poisoned lock is safe to use: every change leaves the state of a shard valid.
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Iterates over all shards; each is locked when it is yielded.
    pub fn iter(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        (0..self.shards.len()).map(|index| self.at(index))
    }
}
