//! Records that cannot be used, so that each of them is logged once.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::platform::Topic;

/// Maximum number of remembered keys. Beyond it all are forgotten, and may be logged once more.
const MAX_KEYS: usize = 4_096;

/// The keys whose newest record was skipped, with what was wrong with it.
///
/// Another writer may write the same record every few seconds, and each listing returns it again.
#[derive(Debug, Default)]
pub struct SkippedRecords {
    /// Hash of the cause, by topic and hash of the key.
    causes: HashMap<(Topic, u64), u64>,
}

impl SkippedRecords {
    /// Records that the newest record of `key` was skipped; returns whether it was readable before or
    /// had something else wrong with it.
    pub fn skipped(&mut self, topic: Topic, key: &str, cause: &str) -> bool {
        let id = (topic, xxh3_64(key.as_bytes()));
        if self.causes.len() >= MAX_KEYS && !self.causes.contains_key(&id) {
            self.causes.clear();
        }
        let cause = xxh3_64(cause.as_bytes());
        self.causes.insert(id, cause) != Some(cause)
    }

    /// Records that the newest record of `key` was read or removed.
    pub fn read(&mut self, topic: Topic, key: &str) {
        if !self.causes.is_empty() {
            self.causes.remove(&(topic, xxh3_64(key.as_bytes())));
        }
    }
}
