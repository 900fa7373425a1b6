//! Attempts at backend servers: sending a request to the selected one, and what its failure means.

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use futures_lite::future;
use hyper::Response;
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    ClientBody,
    ClientError,
    ConnectionUse,
    SendOptions,
    TrafficClass, //
};

use super::admitted::Admitted;
use super::attempt_history::AttemptHistory;
use super::choose::PlacedRequest;
use super::evacuation::{
    self, //
    ZONE_EVACUATED,
};
use super::heads::{
    self, //
    SentRequest,
};
use super::lines::describe_connection;
use super::node::Node;
use super::relay::Source;
use super::run_watch::{
    RunWatch,
    WITHDRAWN, //
};
use super::suspicion::unresponsive;
use crate::platform::{
    Dialect,
    Forward,
    Store, //
};

/// Outcome of one attempt at a backend server.
pub(crate) enum Attempt<P: Store + Dialect> {
    /// The backend server responded.
    Answered(Box<Source<P>>),
    /// The backend server did not run the request.
    NotRun(Failure),
    /// No process listens at the address of the backend server.
    Refused(Failure),
    /// The backend server may have run the request.
    MayHaveRun(Failure),
    /// The connection ended, and the backend server may have run the request.
    Lost(Failure),
}

/// Why an attempt failed, and on which connection.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) cause: String,
    /// `None` if the request was not sent, or if the attempt ended before its connection was known.
    sent_on: Option<ConnectionUse>,
}

impl Failure {
    pub(crate) fn new(cause: impl Into<String>, sent_on: Option<ConnectionUse>) -> Self {
        Self {
            cause: cause.into(),
            sent_on,
        }
    }
}

impl From<&ClientError> for Failure {
    fn from(err: &ClientError) -> Self {
        Self::new(err.to_string(), err.sent_on())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let connection = describe_connection(self.sent_on);
        write!(f, "cause=\"{}\"{connection}", self.cause)
    }
}

/// Sends a request to the selected backend server and waits for the response head.
pub(crate) async fn attempt<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &AttemptHistory,
    placed: PlacedRequest<P>,
) -> Attempt<P> {
    let key = placed.key;
    let id = &admitted.call.request_id;
    if !evacuation::may_send(node, &placed.entry) {
        return Attempt::NotRun(Failure::new(ZONE_EVACUATED, None));
    }
    let mut watch = RunWatch::new(node, id, &admitted.parts, placed.place());
    let sent = async { Some(send(node, admitted, history, &placed).await) };
    let withdrawn = async {
        watch.blamed().await;
        None
    };
    let Some(sent) = future::or(sent, withdrawn).await else {
        return Attempt::MayHaveRun(Failure::new(WITHDRAWN, None));
    };
    match sent {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let sent = SentRequest::new(admitted, &placed, body.sent_on());
            let failed = |cause| Failure::new(cause, Some(sent.sent_on));
            match heads::examine(node, sent, &head) {
                heads::Verdict::Response(decoded) => Attempt::Answered(Box::new(Source {
                    response: Response::from_parts(head, body),
                    head: decoded,
                    placed,
                })),
                heads::Verdict::NotRun(cause) => Attempt::NotRun(failed(cause)),
                heads::Verdict::Foreign(cause) | heads::Verdict::Unstated(cause) => {
                    body.close();
                    Attempt::MayHaveRun(failed(cause))
                }
            }
        }
        Err(err) => {
            unresponsive(node, key, &err);
            let failure = Failure::from(&err);
            if err.is_lost_run() {
                watch.set_sent_on(err.sent_on());
                watch.connection_lost(false);
                return Attempt::Lost(failure);
            }
            if err.is_refused() {
                return Attempt::Refused(failure);
            }
            match err.verdict() {
                Verdict::NotRun => Attempt::NotRun(failure),
                Verdict::MayHaveRun | Verdict::Ran => Attempt::MayHaveRun(failure),
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
