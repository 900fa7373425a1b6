//! Bound of the instances that the configuration is sent to at the same time.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use limpetweir_state::Timestamp;
use slotmap::{
    SlotMap,
    new_key_type, //
};

use super::fetch::FETCH_TIME;

/// Largest number of instances that the configuration is sent to at the same time. On a link of 30
/// Mbit/s four configurations of the largest size, 256 KiB, arrive within the time limit of a first fetch.
const MAX_SENDS: usize = 4;

new_key_type! {
    struct SendKey;
}

/// The instances that the configuration is being sent to; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct ConfigSends(Arc<Mutex<SlotMap<SendKey, Timestamp>>>);

/// A configuration that is being sent; dropping it makes room for another one.
#[derive(Debug)]
pub struct ConfigSend {
    sends: ConfigSends,
    key: SendKey,
}

impl ConfigSends {
    /// Admits another send; `None` if there is no room for it.
    pub fn admit(&self, now: Timestamp) -> Option<ConfigSend> {
        let mut begun = self.lock();
        // A receiver that hangs keeps its connection, but waits no longer.
        begun.retain(|_, at| now.since(*at) < FETCH_TIME.max);
        if begun.len() >= MAX_SENDS {
            return None;
        }
        let key = begun.insert(now);
        drop(begun);
        Some(ConfigSend {
            sends: self.clone(),
            key,
        })
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<SendKey, Timestamp>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConfigSend {
    fn drop(&mut self) {
        self.sends.lock().remove(self.key);
    }
}
