//! Relays the responses of backend servers to callers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::{
    CONTENT_LENGTH,
    HeaderMap,
    TRANSFER_ENCODING, //
};
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    BodySender,
    ClientBody, //
};
use limpetweir_transport::timeout_at;

use super::attempt::{
    AttemptHistory,
    WITHDRAWN,
    suspect, //
};
use super::choose::PlacedRequest;
use super::ends::{
    CallerGot,
    OpenRequest,
    RequestEnd, //
};
use super::lines::{
    ANSWERED,
    CALLER_LEFT,
    REQUEST_FAILED,
    log_event, //
};
use super::node::Node;
use super::online::Admitted;
use super::run_watch::RunWatch;
use super::stream::watched;
use super::supervisor::OneShot;
use crate::platform::{
    Dialect,
    ResponseHead,
    Store, //
};

/// A response and the backend server that it comes from.
pub(crate) struct Source<P: Store + Dialect> {
    pub(crate) response: Response<ClientBody>,
    pub(crate) head: ResponseHead,
    pub(crate) placed: PlacedRequest<P>,
}

/// Reason why a response was interrupted.
pub(crate) enum Interruption {
    /// The caller disconnected.
    CallerDisconnected,
    /// The instance stops and must close the connection.
    Stopped,
    /// The deadline of the request has expired.
    Deadline,
    /// The connection to the backend server ended before the response did.
    ConnectionLost(String),
    /// The backend server ended the response early.
    Backend(String),
    /// The request is blamed for crashes, and the run had no output yet.
    Withdrawn,
}

/// Progress of the part of a response that has been forwarded.
#[derive(Debug, Default)]
pub(crate) struct Forwarded {
    pub(crate) first: Option<Duration>,
    pub(crate) events: u64,
}

impl Forwarded {
    fn first_ms(&self) -> u128 {
        self.first.map_or(0, |first| first.as_millis())
    }

    /// Returns what the caller of a response that is not complete has got.
    fn got(&self) -> CallerGot {
        match self.first {
            Some(_) => CallerGot::Part,
            None => CallerGot::Head,
        }
    }
}

/// A response that is being relayed.
pub(crate) struct Relay<'a, P: Store + Dialect> {
    pub(crate) node: &'a Arc<Node<P>>,
    pub(crate) admitted: &'a Admitted,
    pub(crate) sender: &'a BodySender,
    pub(crate) history: AttemptHistory,
    pub(crate) forwarded: Forwarded,
    /// Identifier of the backend server from which the response comes at present.
    pub(crate) backend: String,
}

/// Starts to relay a response.
pub(crate) fn start<P: Store + Dialect>(
    node: Arc<Node<P>>,
    mut open: OpenRequest,
    admitted: Admitted,
    history: AttemptHistory,
    source: Source<P>,
) -> Response<Body> {
    open.passed_on(CallerGot::Head);
    let (sender, body) = Body::channel();
    let mut response = Response::new(body);
    *response.status_mut() = source.response.status();
    *response.headers_mut() = node.platform.forwarded_headers(source.response.headers());
    if source.head.events {
        // Another backend server may continue the stream, so its total length is not known yet.
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    node.metrics.first_byte(admitted.arrived.elapsed());
    let shared = node.clone();
    let task = async move {
        relay(&shared, open, admitted, history, source, sender).await;
    };
    // A panic drops the sender, which breaks the response off, and the request, which counts its end.
    let clean_up = std::future::ready(());
    node.supervisor.spawn_once(OneShot::Relay, task, clean_up);
    response
}

async fn relay<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    mut open: OpenRequest,
    admitted: Admitted,
    mut history: AttemptHistory,
    source: Source<P>,
    sender: BodySender,
) {
    history.runs += 1;
    let mut relay = Relay {
        node,
        admitted: &admitted,
        sender: &sender,
        history,
        forwarded: Forwarded::default(),
        backend: source.placed.entry.id.clone(),
    };
    let events = source.head.events && source.response.status() == StatusCode::OK;
    let status = source.response.status();
    let forwarded = async {
        match events {
            true => relay.forward_stream(source).await,
            false => relay.forward_bytes(source).await,
        }
    };
    // A request that came before the stop may have more time than this instance.
    let stopped = async {
        node.stop.overdue().await;
        Err(Interruption::Stopped)
    };
    let result = future::or(forwarded, stopped).await;
    open.passed_on(relay.forwarded.got());
    let (end, cause) = match result {
        Ok(()) => {
            relay.log_answer(status);
            // If the caller disconnected during the last chunk, nothing is left to do.
            let finished = timeout_at(admitted.deadline, sender.finish()).await;
            if finished.is_none() {
                open.end(RequestEnd::CutAtDeadline);
                return;
            }
            open.passed_on(CallerGot::Whole);
            open.end(RequestEnd::Answered);
            return;
        }
        Err(Interruption::CallerDisconnected) => {
            relay.log_departure();
            open.disconnected();
            return;
        }
        Err(Interruption::Stopped) => {
            open.end(RequestEnd::CutAtStop);
            return;
        }
        Err(Interruption::Deadline) => {
            let cause = "the deadline of the request has expired".to_owned();
            (RequestEnd::CutAtDeadline, cause)
        }
        Err(Interruption::Backend(cause) | Interruption::ConnectionLost(cause)) => {
            (RequestEnd::BrokenOff, cause)
        }
        Err(Interruption::Withdrawn) => (RequestEnd::BrokenOff, WITHDRAWN.to_owned()),
    };
    // Dropping the sender aborts the response, so that the caller cannot take it for complete.
    relay.log_cut(&cause);
    open.end(end);
}

impl<P: Store + Dialect> Relay<'_, P> {
    /// Waits for `step`, for as long as the caller is there and the request has time.
    pub(crate) async fn bounded<T>(
        &self,
        step: impl Future<Output = Result<T, Interruption>> + Send,
    ) -> Result<T, Interruption> {
        bounded(self.sender, self.admitted.deadline, step).await
    }

    /// Sends a part of the response to the caller, which may read slowly or not at all.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), Interruption> {
        let sent = async {
            let sent = self.sender.send(bytes).await;
            sent.map_err(|_| Interruption::CallerDisconnected)
        };
        self.bounded(sent).await
    }

    async fn forward_bytes(&mut self, source: Source<P>) -> Result<(), Interruption> {
        let Source {
            response,
            head,
            placed,
        } = source;
        let is_success = response.status().is_success();
        let ends_with_connection = ends_with_connection(response.headers());
        let mut body = response.into_body();
        let id = &self.admitted.call.request_id;
        let parts = &self.admitted.parts;
        let mut watch = RunWatch::new(self.node, id, parts, placed.place());
        let forwarded = loop {
            match self.bounded(watched(&watch, &mut body)).await {
                Ok(None) => break check_end(ends_with_connection, head.signed),
                Err(interruption) => break Err(interruption),
                Ok(Some(bytes)) => {
                    let arrived = self.admitted.arrived;
                    self.forwarded
                        .first
                        .get_or_insert_with(|| arrived.elapsed());
                    if is_success {
                        watch.output();
                    }
                    if let Err(interruption) = self.send(bytes).await {
                        break Err(interruption);
                    }
                }
            }
        };
        match &forwarded {
            Ok(()) if is_success => watch.completed(),
            Err(Interruption::ConnectionLost(cause)) => {
                watch.connection_lost(true);
                suspect(self.node, placed.key, cause);
            }
            Err(Interruption::Backend(cause)) => suspect(self.node, placed.key, cause),
            Ok(())
            | Err(
                Interruption::CallerDisconnected
                | Interruption::Deadline
                | Interruption::Stopped
                | Interruption::Withdrawn,
            ) => {}
        }
        forwarded
    }

    fn log_answer(&self, status: StatusCode) {
        let admitted = self.admitted;
        log_event!(
            ANSWERED,
            "request={} status={} backend={} first_ms={} ms={} events={} runs={} route={} version={}",
            admitted.call.request_id,
            status.as_u16(),
            self.backend,
            self.forwarded.first_ms(),
            admitted.arrived.elapsed().as_millis(),
            self.forwarded.events,
            self.history.runs,
            admitted.route.name,
            admitted.version
        );
        let metrics = &self.node.metrics;
        metrics.online("answered", admitted.arrived.elapsed());
    }

    fn log_departure(&self) {
        let admitted = self.admitted;
        log_event!(
            CALLER_LEFT,
            "request={} backend={} got={} ms={} events={}",
            admitted.call.request_id,
            self.backend,
            self.forwarded.got(),
            admitted.arrived.elapsed().as_millis(),
            self.forwarded.events
        );
        let metrics = &self.node.metrics;
        metrics.online("caller-left", admitted.arrived.elapsed());
    }

    fn log_cut(&self, cause: &str) {
        let admitted = self.admitted;
        log_event!(
            REQUEST_FAILED,
            "request={} status=cut got={} backend={} events={} ms={} runs={} route={} cause=\"{cause}\" version={}",
            admitted.call.request_id,
            self.forwarded.got(),
            self.backend,
            self.forwarded.events,
            admitted.arrived.elapsed().as_millis(),
            self.history.runs,
            admitted.route.name,
            admitted.version
        );
        self.node.metrics.online("cut", admitted.arrived.elapsed());
    }
}

/// Waits for `step` until `deadline`, for as long as the caller reads from `sender`.
async fn bounded<T>(
    sender: &BodySender,
    deadline: Instant,
    step: impl Future<Output = Result<T, Interruption>> + Send,
) -> Result<T, Interruption> {
    let disconnected = async {
        sender.closed().await;
        Err(Interruption::CallerDisconnected)
    };
    match timeout_at(deadline, future::or(step, disconnected)).await {
        // The body ends with an error at the same time.
        Some(Err(Interruption::Backend(_))) | None if Instant::now() >= deadline => {
            Err(Interruption::Deadline)
        }
        Some(result) => result,
        None => Err(Interruption::Deadline),
    }
}

/// Returns whether the body has neither a length nor chunks, so that only the end of the connection
/// ends it.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Checks that a body that has ended is whole. One that ends with its connection may have been cut off
/// anywhere, and only a signature says that the server had the whole response.
fn check_end(ends_with_connection: bool, signed: bool) -> Result<(), Interruption> {
    if ends_with_connection && !signed {
        let cause = "a response without a signature ended with its connection".to_owned();
        return Err(Interruption::ConnectionLost(cause));
    }
    Ok(())
}
