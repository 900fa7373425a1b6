//! Counters, the gauge and the log line of what clients hold.

use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::http::ReleaseCause;

use super::lines::{
    BODIES_REFUSED,
    RESPONSES_ENDED,
    log_event, //
};
use super::node::Node;

/// Shortest time between two lines about the same limit.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Refusals and ended responses since the last line.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    count: u64,
    last_line: Option<Instant>,
    /// Connections that were released, and responses that were cut off.
    ended: (u64, u64),
    last_ended_line: Option<Instant>,
}

impl Refusals {
    /// Updates the metrics, and logs each kind at most once per [`LINE_INTERVAL`].
    pub(crate) fn observe<P>(&mut self, node: &Node<P>) {
        node.metrics.body_bytes(node.bodies.used());
        node.metrics.response_bytes(node.responses.used());
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
        self.observe_responses(node, now);
    }

    fn observe_responses<P>(&mut self, node: &Node<P>, now: Instant) {
        let (released, cut) = node.responses.take_ended();
        for (cause, count) in [("responses", released), ("no-room", cut)] {
            if count > 0 {
                node.metrics.client_limited(cause, count);
            }
        }
        self.ended.0 += released;
        self.ended.1 += cut;
        let due = self.last_ended_line.map(|at| at + LINE_INTERVAL);
        if self.ended != (0, 0) && due.is_none_or(|at| now >= at) {
            let (released, cut) = std::mem::take(&mut self.ended);
            log_event!(
                RESPONSES_ENDED,
                "released={released} cut={cut} held_bytes={} limit_bytes={}",
                node.responses.used(),
                node.responses.limit()
            );
            self.last_ended_line = Some(now);
        }
    }
}
