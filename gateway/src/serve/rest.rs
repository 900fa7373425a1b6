//! Asks a backend server for the rest of a stream.

use std::sync::Arc;

use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::http::ClientError;

use super::admitted::Admitted;
use super::attempt::{
    Failure,
    send, //
};
use super::attempt_history::AttemptHistory;
use super::choose::PlacedRequest;
use super::evacuation;
use super::heads;
use super::heads::SentRequest;
use super::lines::{
    ATTEMPT_FAILED,
    log_event, //
};
use super::node::Node;
use super::relay::Source;
use super::run_watch::RunWatch;
use super::suspicion::unresponsive;
use crate::platform::{
    Dialect,
    Store, //
};

/// Reason why a server does not send the rest of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoRest {
    /// No process listens at its address.
    Refused,
    /// It did not run the request.
    Rejected,
    /// It may have run the request, and its connection ended.
    Lost,
    /// It may have run the request, and did not respond.
    NoResponse,
    /// It responded with something else, or its stream was interrupted before an event.
    Ran,
}

impl NoRest {
    /// Returns whether the server did not run the request.
    pub(crate) fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Rejected)
    }
}

/// Asks a server for the rest of a stream, and waits for the head of the response.
pub(crate) async fn open_rest<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &AttemptHistory,
    placed: PlacedRequest<P>,
) -> Result<Source<P>, NoRest> {
    let id = &admitted.call.request_id;
    let backend = &placed.entry.id;
    if !evacuation::may_send(node, &placed.entry) {
        return Err(NoRest::Rejected);
    }
    let (no_rest, verdict, failure) = match send(node, admitted, history, &placed).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let sent = SentRequest::new(admitted, &placed, body.sent_on());
            let failed = |cause| Failure::new(cause, Some(sent.sent_on));
            match heads::examine(node, sent, &head) {
                heads::Verdict::Response(decoded)
                    if decoded.events && head.status == StatusCode::OK =>
                {
                    return Ok(Source {
                        response: Response::from_parts(head, body),
                        head: decoded,
                        placed,
                    });
                }
                heads::Verdict::Response(_) => {
                    body.close();
                    let status = head.status.as_u16();
                    let cause = format!("status {status}, not the rest of the stream");
                    (NoRest::Ran, Verdict::Ran, failed(cause))
                }
                heads::Verdict::NotRun(cause) => (NoRest::Rejected, Verdict::NotRun, failed(cause)),
                heads::Verdict::Foreign(cause) | heads::Verdict::Unstated(cause) => {
                    body.close();
                    (NoRest::Ran, Verdict::MayHaveRun, failed(cause))
                }
            }
        }
        Err(err) => {
            unresponsive(node, placed.key, &err);
            (
                no_response(node, admitted, &placed, &err),
                err.verdict(),
                Failure::from(&err),
            )
        }
    };
    log_event!(
        ATTEMPT_FAILED,
        "request={id} backend={backend} verdict={verdict} {failure}"
    );
    Err(no_rest)
}

/// Returns what an attempt without a response means, and records a run that was lost.
fn no_response<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    placed: &PlacedRequest<P>,
    err: &ClientError,
) -> NoRest {
    if err.is_lost_run() {
        let id = &admitted.call.request_id;
        let mut watch = RunWatch::new(node, id, &admitted.parts, placed.place());
        watch.set_sent_on(err.sent_on());
        watch.connection_lost(false);
        return NoRest::Lost;
    }
    match err.verdict() {
        Verdict::NotRun if err.is_refused() => NoRest::Refused,
        Verdict::NotRun => NoRest::Rejected,
        Verdict::MayHaveRun | Verdict::Ran => NoRest::NoResponse,
    }
}
