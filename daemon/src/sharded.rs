//! State divided into shards, each under its own lock.

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

/// Equal shards of state; a key always belongs to the same shard.
///
/// Executor threads that work for different keys rarely wait for each other. A lock must never be
/// held across an `await`, and no thread may hold two shards of one value.
#[derive(Debug)]
pub struct Sharded<T> {
    /// At least one shard.
    shards: Vec<Mutex<T>>,
    hasher: RandomState,
}

impl<T> Sharded<T> {
    /// Creates `count` shards, at least one, each from a call of `create` with its index.
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
        // The state of a shard is only changed by steps that leave it valid.
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks one shard after the other.
    pub fn iter(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        (0..self.shards.len()).map(|index| self.at(index))
    }
}
