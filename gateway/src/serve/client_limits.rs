//! Counters, the gauge and the log line of what clients hold.

use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::http::ReleaseCause;

use super::lines::{
    BODIES_REFUSED,
    log_event, //
};
use super::node::Node;

/// Shortest time between two lines about refused bodies.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Refusals since the last line.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    count: u64,
    last_line: Option<Instant>,
}

impl Refusals {
    /// Updates the metrics, and logs refusals at most once per [`LINE_INTERVAL`].
    pub(crate) fn observe<P>(&mut self, node: &Node<P>) {
        node.metrics.body_bytes(node.bodies.used());
        for released in node.released.get().into_iter().flatten() {
            for cause in [ReleaseCause::Connections, ReleaseCause::Heads] {
                let count = released.take(cause);
                if count > 0 {
                    node.metrics.client_limited(cause.into(), count);
                }
            }
        }
        self.count += node.bodies.take_refused();
        let now = Instant::now();
        let is_due = self.last_line.is_none_or(|at| now >= at + LINE_INTERVAL);
        if self.count > 0 && is_due {
            log_event!(
                BODIES_REFUSED,
                "refused={} held_bytes={} limit_bytes={}",
                std::mem::take(&mut self.count),
                node.bodies.used(),
                node.bodies.limit()
            );
            self.last_line = Some(now);
        }
    }
}
