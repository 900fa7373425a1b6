//! Attempts at backend servers: sending a request to the selected one, and what its failure means.

use std::sync::Arc;
use std::time::Instant;

use futures_lite::future;
use hyper::Response;
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    ClientBody,
    ClientError,
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
    NotRun(String),
    /// No process listens at the address of the backend server.
    Refused(String),
    /// The backend server may have run the request.
    MayHaveRun(String),
    /// The connection ended, and the backend server may have run the request.
    Lost(String),
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
        return Attempt::NotRun(ZONE_EVACUATED.to_owned());
    }
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
