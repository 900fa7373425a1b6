//! Stop channels of the running items.

use std::collections::HashMap;

use async_channel::Sender;

use crate::batch::StopCause;
use crate::report::ItemKey;

/// Stop channels of the running items. Sending the cause on a channel or dropping it stops the run.
#[derive(Debug, Default)]
pub(crate) struct RunHandles(HashMap<ItemKey, Sender<StopCause>>);

impl RunHandles {
    /// Adds the stop channel of a run that has started.
    pub(crate) fn insert(&mut self, key: ItemKey, stop: Sender<StopCause>) {
        self.0.insert(key, stop);
    }

    /// Stops a run, if it has not ended.
    pub(crate) fn stop(&mut self, key: &ItemKey, cause: StopCause) {
        if let Some(stop) = self.0.remove(key) {
            // Sending fails if the run has ended meanwhile.
            let _ = stop.try_send(cause);
        }
    }

    /// Removes the entry of a run that has ended.
    pub(crate) fn ended(&mut self, key: &ItemKey) {
        self.0.remove(key);
    }
}
