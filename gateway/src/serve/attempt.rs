//! Attempts at backend servers: sending a request to the selected one, and what its failure means.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use hyper::Response;
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    ClientBody,
    ClientError,
    SendOptions,
    TrafficClass, //
};

use super::choose::PlacedRequest;
use super::heads::{
    self, //
    SentRequest,
};
use super::lines::{
    BACKEND_SUSPECTED,
    log_event, //
};
use super::node::Node;
use super::online::Admitted;
use super::relay::Source;
use super::run_watch::RunWatch;
use crate::backend::BackendKey;
use crate::config::Route;
use crate::platform::{
    Dialect,
    Forward,
    Store, //
};

/// Time for which a suspected backend server is used only if there is no other one.
pub(crate) const SUSPICION_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a backend server that refused a connection gets no request. A server that has
/// crashed is listed for some seconds more, and looks idle.
const REFUSAL_TIME: Duration = Duration::from_millis(1_000);

/// Cause of the end of a run whose request is blamed for crashes meanwhile.
pub(crate) const WITHDRAWN: &str = "the request crashes backend servers";

/// Outcome of one attempt at a backend server.
pub(crate) enum Attempt<P: Store + Dialect> {
    /// The backend server responded.
    Answered(Box<Source<P>>),
    /// The backend server did not run the request.
    NotRun(String),
    /// No process listens at the address of the backend server.
    Refused(String),
    /// The backend server may have run the request.
    MayHaveRun(String),
    /// The connection ended, and the backend server may have run the request.
    Lost(String),
}

/// What an attempt sends to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum AttemptKind {
    /// A request that no server has been sent yet.
    First,
    /// A request that another server has failed to serve.
    Again,
    /// A request for the rest of a stream.
    Rest,
    /// An item of a batch job.
    Item,
}

/// History of the attempts of one request.
pub(crate) struct AttemptHistory {
    /// Backend servers to which the request has been sent already.
    pub(crate) tried: Vec<BackendKey>,
    /// Number of attempts that may have run the request.
    pub(crate) runs: u32,
    /// Number of attempts that a backend server rejected or that took long to fail.
    pub(crate) rejections: u32,
    /// Number of runs that ended with the connection before they wrote output.
    pub(crate) silent_losses: u32,
    /// Whether the request is a probe of parts that are held back.
    pub(crate) is_probe: bool,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

impl AttemptHistory {
    /// Returns the kind of the next attempt.
    pub(crate) fn kind(&self) -> AttemptKind {
        if self.last_event.is_some() {
            AttemptKind::Rest
        } else if self.tried.is_empty() {
            AttemptKind::First
        } else {
            AttemptKind::Again
        }
    }

    /// Returns whether the request may run once more on `route`.
    pub(crate) fn may_run_again(&self, route: &Route) -> bool {
        let may_crash = self.silent_losses >= MAX_SILENT_LOSSES || self.is_probe;
        route.idempotent() && self.runs < route.attempts && !may_crash
    }
}

/// Runs of one request that may end with the connection before they write output; the request may
/// be what ends them.
const MAX_SILENT_LOSSES: u32 = 2;

/// Sends a request to the selected backend server and waits for the response head.
pub(crate) async fn attempt<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &AttemptHistory,
    placed: PlacedRequest<P>,
) -> Attempt<P> {
    let key = placed.key;
    let id = &admitted.call.request_id;
    let watch = RunWatch::new(node, id, &admitted.parts, placed.place());
    let sent = async { Some(send(node, admitted, history, &placed).await) };
    let withdrawn = async {
        watch.blamed().await;
        None
    };
    let Some(sent) = future::or(sent, withdrawn).await else {
        return Attempt::MayHaveRun(WITHDRAWN.to_owned());
    };
    match sent {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let sent = SentRequest {
                id,
                entry: &placed.entry,
                at: placed.chosen_at,
            };
            match heads::examine(node, sent, &head) {
                heads::Verdict::Response(decoded) => Attempt::Answered(Box::new(Source {
                    response: Response::from_parts(head, body),
                    head: decoded,
                    placed,
                })),
                heads::Verdict::NotRun(cause) => Attempt::NotRun(cause),
                heads::Verdict::Foreign(cause) => {
                    body.close();
                    Attempt::MayHaveRun(cause)
                }
            }
        }
        Err(err) => {
            unresponsive(node, key, &err);
            if err.is_lost_run() {
                watch.connection_lost(false);
                return Attempt::Lost(err.to_string());
            }
            if err.is_refused() {
                return Attempt::Refused(err.to_string());
            }
            match err.verdict() {
                Verdict::NotRun => Attempt::NotRun(err.to_string()),
                Verdict::MayHaveRun | Verdict::Ran => Attempt::MayHaveRun(err.to_string()),
            }
        }
    }
}

/// Sends a request to a backend server, or requests the rest of its stream there.
pub(crate) async fn send<P: Store + Dialect>(
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
    placed: &PlacedRequest<P>,
) -> Result<Response<ClientBody>, ClientError> {
    let remaining = admitted.deadline.saturating_duration_since(Instant::now());
    let forward = Forward {
        backend: &placed.entry.id,
        organisation: admitted.organisation.as_ref().map(|o| o.name.as_str()),
        remaining: Some(remaining),
        last_event: history.last_event,
    };
    let body = admitted.body.clone();
    let req = node.platform.forward(&admitted.head, body, &forward);
    let options = SendOptions {
        class: TrafficClass::Online,
        deadline: Some(admitted.deadline),
    };
    node.client.send(placed.entry.addr, req, options).await
}

/// Records that an attempt at a backend server failed without a response.
pub(crate) fn unresponsive<P>(node: &Arc<Node<P>>, key: BackendKey, err: &ClientError) {
    // Nothing was sent to the server before the deadline of the request.
    if matches!(err, ClientError::Deadline { verdict, .. } if *verdict == Verdict::NotRun) {
        return;
    }
    if err.is_refused() {
        let until = node.now() + REFUSAL_TIME;
        node.lock().load.refused(key, until);
    }
    suspect(node, key, &err.to_string());
}

/// Marks a backend server that did not respond as suspected, so that it is used last for a while.
pub(crate) fn suspect<P>(node: &Arc<Node<P>>, key: BackendKey, cause: &str) {
    let now = node.now();
    let mut state = node.lock();
    let known = state.load.suspected(key, now);
    state.load.suspect(key, now + SUSPICION_TIME);
    let id = state.backends.get(key).map(|b| b.entry.id.clone());
    drop(state);
    if !known {
        let id = id.unwrap_or_default();
        log_event!(
            BACKEND_SUSPECTED,
            "backend={id} for_ms={} cause=\"{cause}\"",
            SUSPICION_TIME.as_millis()
        );
        node.report_due.notify(usize::MAX);
    }
}
