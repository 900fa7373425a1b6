//! Stop channels of the running items.

use std::collections::HashMap;

use async_channel::Sender;

use crate::report::ItemKey;

/// Stop channels of the running items. Sending on a channel or dropping it stops the run.
#[derive(Debug, Default)]
pub(crate) struct RunHandles(HashMap<ItemKey, Sender<()>>);

impl RunHandles {
    /// Adds the stop channel of a run that has started.
    pub(crate) fn insert(&mut self, key: ItemKey, stop: Sender<()>) {
        self.0.insert(key, stop);
    }

    /// Stops a run, or removes the entry of one that has ended.
    pub(crate) fn remove(&mut self, key: &ItemKey) {
        if let Some(stop) = self.0.remove(key) {
            // Sending fails if the run has ended meanwhile.
            let _ = stop.try_send(());
        }
    }
}
