//! Observes the runs of requests and items on backend servers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use limpetweir_transport::http::ConnectionUse;

use super::lines::{
    RUN_LOST,
    RUN_WITHDRAWN,
    describe_connection,
    log_event, //
};
use super::lost_run::{
    LostRun,
    RunPlace, //
};
use super::node::Node;
use super::{
    crash_checks,
    crashes, //
};
use crate::backend::BackendKey;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::prompt::list;
use crate::quarantine::Knowledge;
use crate::request_parts::RequestParts;

/// Parts of the output after which a run is not suspected of a crash, and shows that the parts of
/// its prompt are sound. The first one may be sent before a server crashes under the prompt.
const SAFE_OUTPUTS: u32 = 2;

/// Cause of the end of a run whose request is blamed for crashes meanwhile.
pub(crate) const WITHDRAWN: &str = "the request crashes backend servers";

/// Shortest time after which further output of a run is recorded; events come every few milliseconds.
const RECORD_INTERVAL: Duration = Duration::from_millis(50);

/// One run of a request or an item on a backend server.
pub(crate) struct RunWatch<P: Store + Dialect> {
    node: Arc<Node<P>>,
    /// Identifier of the request or item.
    request: String,
    parts: Arc<RequestParts>,
    place: RunPlace,
    /// Parts of the output that have arrived in this run.
    outputs: u32,
    /// When the output was last recorded; set if there is any.
    recorded: Option<Instant>,
    /// Connection of the run, once it is known.
    sent_on: Option<ConnectionUse>,
}

impl<P: Store + Dialect> Drop for RunWatch<P> {
    fn drop(&mut self) {
        if self.recorded.is_some() {
            self.node.lock().outputs.ended(self.place.key);
        }
    }
}

impl<P: Store + Dialect> RunWatch<P> {
    pub(crate) fn new(
        node: &Arc<Node<P>>,
        request: &str,
        parts: &Arc<RequestParts>,
        place: RunPlace,
    ) -> Self {
        Self {
            node: node.clone(),
            request: request.to_owned(),
            parts: parts.clone(),
            place,
            outputs: 0,
            recorded: None,
            sent_on: None,
        }
    }

    /// Records the connection of the run.
    pub(crate) fn set_sent_on(&mut self, sent_on: Option<ConnectionUse>) {
        self.sent_on = sent_on;
    }

    /// Returns the connection of the run, if it is known.
    pub(crate) fn sent_on(&self) -> Option<ConnectionUse> {
        self.sent_on
    }

    /// Returns the backend server of the run.
    pub(crate) fn key(&self) -> BackendKey {
        self.place.key
    }

    /// Returns whether a part of the output has arrived.
    pub(crate) fn has_output(&self) -> bool {
        self.outputs > 0
    }

    /// Returns whether a crash of the server may be due to this run.
    pub(crate) fn is_suspected(&self) -> bool {
        self.outputs < SAFE_OUTPUTS
    }

    /// Waits until the request is blamed for crashes while this run has no output yet: it would end its
    /// server too. A probe goes on.
    pub(crate) async fn blamed(&self) {
        if self.has_output() || self.place.known == Knowledge::Held {
            return future::pending().await;
        }
        crashes::blamed(&self.node, &self.parts).await;
        crashes::run_withdrawn(&self.node, &self.place, &self.parts);
        self.node.metrics.run_withdrawn();
        log_event!(
            RUN_WITHDRAWN,
            "request={} backend={} identity={}",
            self.request,
            self.place.entry.id,
            self.parts.identity()
        );
    }

    /// Records that a part of the output has arrived.
    pub(crate) fn output(&mut self) {
        self.outputs += 1;
        if self.outputs == SAFE_OUTPUTS {
            crashes::run_began(&self.node, &self.parts, self.parts.early());
        }
        let now = self.node.now();
        match self.recorded {
            None => self.node.lock().outputs.began(self.place.key, now),
            Some(at) if at.elapsed() >= RECORD_INTERVAL => {
                self.node.lock().outputs.wrote(self.place.key, now);
            }
            Some(_) => return,
        }
        self.recorded = Some(Instant::now());
    }

    /// Records that the run is dropped because its server is silent.
    pub(crate) fn dropped_in_silence(&self) {
        let now = self.node.now();
        self.node.lock().outputs.dropped(self.place.key, now);
    }

    /// Records that the response is complete.
    pub(crate) fn completed(&self) {
        let node = &self.node;
        if !node.lock().quarantine.is_empty() {
            crashes::run_began(node, &self.parts, self.parts.keys());
        }
    }

    /// Returns whether the server is gone that has closed the connection of this run.
    pub(crate) async fn is_server_gone(&self) -> bool {
        crash_checks::is_gone(&self.node, &self.place).await
    }

    /// Records that the connection ended before the response did.
    pub(crate) fn connection_lost(&self, head: bool) {
        self.node.metrics.run_lost(self.outputs > 0);
        let run = self.lost_run();
        log_event!(
            RUN_LOST,
            "request={} backend={} parts={} {} head={head} outputs={}{}",
            self.request,
            self.place.entry.id,
            list(self.parts.shared()),
            run.identity,
            self.outputs,
            describe_connection(self.sent_on)
        );
        crash_checks::run_lost(&self.node, run);
    }

    fn lost_run(&self) -> LostRun {
        let parts = &self.parts;
        let last = parts.last().map(|part| part.to_string());
        let is_early = self.is_suspected();
        LostRun {
            request: self.request.clone(),
            place: self.place.clone(),
            identity: format!(
                "last_part={} identity={}",
                last.unwrap_or_default(),
                parts.identity()
            ),
            suspects: match is_early {
                true => parts.early().to_vec(),
                false => vec![parts.late()],
            },
            is_early,
            at: self.node.now(),
        }
    }
}
