//! Relays the responses of backend servers to callers.

use std::fmt;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use hyper::body::Bytes;
use hyper::header::{
    CONTENT_LENGTH,
    TRANSFER_ENCODING, //
};
use hyper::{
    Method,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    BodySender,
    ClientBody,
    ConnectionUse, //
};
use limpetweir_transport::{
    Deadline,
    MovingTimer,
    timeout_at, //
};

use super::admitted::Admitted;
use super::attempt_history::AttemptHistory;
use super::choose::PlacedRequest;
use super::ends::OpenRequest;
use super::first_output::{
    Output,
    Rest,
    Started, //
};
use super::lines::{
    ANSWERED,
    CALLER_LEFT,
    REQUEST_FAILED,
    log_event, //
};
use super::node::Node;
use super::request_end::{
    CallerGot,
    RequestEnd, //
};
use super::run_watch::{
    RunWatch,
    WITHDRAWN, //
};
use super::suspicion::suspect;
use super::task_kinds::OneShot;
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

impl<P: Store + Dialect> Source<P> {
    /// Returns whether the response to a request with `method` is a stream that another server may
    /// continue.
    pub(crate) fn is_stream(&self, method: &Method) -> bool {
        self.head.events && self.response.status() == StatusCode::OK && method != Method::HEAD
    }
}

/// Returns whether the end of the body of a response shows: it has a length or chunks, or there is none.
/// The end of the connection ends the others, wherever they are cut off.
pub(crate) fn has_end<T>(method: &Method, response: &Response<T>) -> bool {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let status = response.status();
    let has_body = status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    is_framed || !has_body || method == Method::HEAD
}

/// Cause of the loss of a response whose end only the end of its connection shows.
pub(crate) const ENDED_WITH_SERVER: &str = "a response without a length ended with its server";

/// Splits a response into the status and the headers for the caller, and the body.
pub(crate) fn forwarded<P: Dialect>(
    node: &Node<P>,
    response: Response<ClientBody>,
) -> (Response<()>, ClientBody) {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = node.platform.forwarded_headers(response.headers());
    (head, response.into_body())
}

/// Reason why a response was interrupted.
#[derive(Debug)]
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

impl fmt::Display for Interruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CallerDisconnected => "the caller disconnected",
            Self::Stopped => "the instance stops",
            Self::Deadline => "the deadline of the request has expired",
            Self::ConnectionLost(cause) | Self::Backend(cause) => cause,
            Self::Withdrawn => WITHDRAWN,
        })
    }
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

/// A request whose response is waited for or relayed.
pub(crate) struct Relay<'a, P: Store + Dialect> {
    pub(crate) node: &'a Arc<Node<P>>,
    pub(crate) admitted: &'a Admitted,
    /// Writes the response to the caller; `None` until there is output. A caller that leaves before drops
    /// the request.
    pub(crate) sender: Option<&'a BodySender>,
    pub(crate) history: &'a mut AttemptHistory,
    pub(crate) forwarded: Forwarded,
    /// Identifier of the backend server from which the response comes at present.
    pub(crate) backend: String,
    /// Connection to it on which the request was sent.
    pub(crate) sent_on: ConnectionUse,
    /// Time limit of the request.
    pub(crate) deadline: Deadline,
    /// Fires when a stream has been silent for too long.
    pub(crate) silence: MovingTimer,
}

/// Passes the head of a response on with its first output, and starts to relay the rest.
pub(crate) fn start<P: Store + Dialect>(
    node: Arc<Node<P>>,
    mut open: OpenRequest,
    admitted: Admitted,
    history: AttemptHistory,
    started: Started<P>,
) -> Response<Body> {
    let Output { head, first, rest } = started.output;
    open.passed_on(match first.is_empty() {
        true => CallerGot::Head,
        false => CallerGot::Part,
    });
    let (sender, body) = Body::channel_with(first);
    let status = head.status();
    let elapsed = admitted.arrived.elapsed();
    let shared = node.clone();
    let task = async move {
        shared.metrics.first_byte(elapsed);
        let mut history = history;
        let relay = Relay {
            node: &shared,
            admitted: &admitted,
            sender: Some(&sender),
            history: &mut history,
            forwarded: started.forwarded,
            backend: started.backend,
            sent_on: started.sent_on,
            deadline: Deadline::new(admitted.deadline),
            silence: MovingTimer::default(),
        };
        let end = relay.relay(rest, &sender, status).await;
        finish(open, end, sender, admitted.deadline).await;
    };
    // A panic drops the sender, which breaks the response off, and the request, which counts its end.
    let clean_up = std::future::ready(());
    node.supervisor.spawn_once(OneShot::Relay, task, clean_up);
    head.map(|()| body)
}

/// Ends a request whose response was relayed. Dropping the sender aborts the response, so that the
/// caller cannot take it for complete.
async fn finish(
    mut open: OpenRequest,
    relayed: Result<(), Interruption>,
    sender: BodySender,
    deadline: Instant,
) {
    let end = match relayed {
        // If the caller disconnected during the last chunk, nothing is left to do.
        Ok(()) => match timeout_at(deadline, sender.finish()).await {
            Some(_) => RequestEnd::Answered,
            None => RequestEnd::CutAtDeadline,
        },
        Err(Interruption::CallerDisconnected) => return open.disconnected(),
        Err(Interruption::Stopped) => RequestEnd::CutAtStop,
        Err(Interruption::Deadline) => RequestEnd::CutAtDeadline,
        Err(
            Interruption::ConnectionLost(_) | Interruption::Backend(_) | Interruption::Withdrawn,
        ) => RequestEnd::BrokenOff,
    };
    if end == RequestEnd::Answered {
        open.passed_on(CallerGot::Whole);
    }
    open.end(end);
}

impl<P: Store + Dialect> Relay<'_, P> {
    /// Relays the rest of a response.
    async fn relay(
        mut self,
        rest: Rest<P>,
        sender: &BodySender,
        status: StatusCode,
    ) -> Result<(), Interruption> {
        let node = self.node;
        let forwarded = async {
            match rest {
                Rest::Stream(run) => self.forward_stream(*run, sender).await,
                Rest::Bytes(run) => self.forward_bytes(*run, sender).await,
                Rest::Nothing => Ok(()),
            }
        };
        // A request that came before the stop may have more time than this instance.
        let stopped = async {
            node.stop.overdue().await;
            Err(Interruption::Stopped)
        };
        let relayed = future::or(forwarded, stopped).await;
        match &relayed {
            Ok(()) => self.log_answer(status),
            Err(Interruption::CallerDisconnected) => self.log_departure(),
            // Logged with the end of the request.
            Err(Interruption::Stopped) => {}
            Err(cause) => self.log_cut(cause),
        }
        relayed
    }

    /// Waits for `step`, for as long as the caller is there and the request has time.
    pub(crate) async fn bounded<T>(
        &self,
        step: impl Future<Output = Result<T, Interruption>> + Send,
    ) -> Result<T, Interruption> {
        bounded(self.sender, &self.deadline, step).await
    }

    /// Sends a part of the response to the caller, which may read slowly or not at all.
    pub(crate) async fn send(&self, sender: &BodySender, bytes: Bytes) -> Result<(), Interruption> {
        let sent = async {
            let sent = sender.send(bytes).await;
            sent.map_err(|_| Interruption::CallerDisconnected)
        };
        self.bounded(sent).await
    }

    /// Records the end of a run that was interrupted.
    pub(crate) fn record_loss(&mut self, watch: &RunWatch<P>, interruption: &Interruption) {
        match interruption {
            Interruption::ConnectionLost(cause) => {
                self.history.silent_losses += u32::from(watch.is_suspected());
                watch.connection_lost(true);
                suspect(self.node, watch.key(), cause);
            }
            Interruption::Backend(cause) => suspect(self.node, watch.key(), cause),
            Interruption::CallerDisconnected
            | Interruption::Deadline
            | Interruption::Stopped
            | Interruption::Withdrawn => {}
        }
    }

    fn log_answer(&self, status: StatusCode) {
        let admitted = self.admitted;
        log_event!(
            ANSWERED,
            "request={} status={} backend={} {} first_ms={} ms={} events={} runs={} route={} version={}",
            admitted.call.request_id,
            status.as_u16(),
            self.backend,
            self.sent_on,
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

    fn log_cut(&self, cause: &Interruption) {
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
    sender: Option<&BodySender>,
    deadline: &Deadline,
    step: impl Future<Output = Result<T, Interruption>> + Send,
) -> Result<T, Interruption> {
    let disconnected = async {
        match sender {
            Some(sender) => sender.closed().await,
            None => future::pending().await,
        }
        Err(Interruption::CallerDisconnected)
    };
    match deadline.bound(future::or(step, disconnected)).await {
        // The body ends with an error at the same time.
        Some(Err(Interruption::Backend(_))) | None if Instant::now() >= deadline.at() => {
            Err(Interruption::Deadline)
        }
        Some(result) => result,
        None => Err(Interruption::Deadline),
    }
}
