//! Observes the runs of requests and items on backend servers.

use std::sync::Arc;

use super::lines::{
    RUN_LOST,
    log_event, //
};
use super::node::Node;
use crate::backend::BackendEntry;
use crate::prompt::SharedParts;

/// One run of a request or an item on a backend server.
pub(crate) struct RunWatch<'a> {
    /// Identifier of the request or item.
    request: &'a str,
    parts: &'a SharedParts,
    backend: Arc<BackendEntry>,
    /// Parts of the output that have arrived in this run.
    outputs: u32,
}

impl<'a> RunWatch<'a> {
    pub(crate) fn new(
        request: &'a str,
        parts: &'a SharedParts,
        backend: Arc<BackendEntry>,
    ) -> Self {
        Self {
            request,
            parts,
            backend,
            outputs: 0,
        }
    }

    /// Records that a part of the output has arrived.
    pub(crate) fn output(&mut self) {
        self.outputs += 1;
    }

    /// Records that the connection ended before the response did.
    pub(crate) fn connection_lost<P>(&self, node: &Node<P>, head: bool) {
        node.metrics.run_lost(self.outputs > 0);
        log_event!(
            RUN_LOST,
            "request={} backend={} parts={} head={head} outputs={}",
            self.request,
            self.backend.id,
            self.parts,
            self.outputs
        );
    }
}
