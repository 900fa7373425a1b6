//! Relays the responses of backend servers to callers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use http_body_util::BodyExt;
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
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    Body,
    BodySender,
    ClientBody, //
};
use limpetweir_transport::timeout_at;

use super::attempt::{
    AttemptHistory,
    send,
    suspect,
    unresponsive, //
};
use super::choose::{
    PlacedRequest,
    choose, //
};
use super::crashes;
use super::heads;
use super::heads::SentRequest;
use super::lines::{
    ANSWERED,
    ATTEMPT_FAILED,
    CALLER_LEFT,
    REQUEST_FAILED,
    STREAM_RESUMED,
    log_event, //
};
use super::node::{
    Node,
    OpenCallGuard, //
};
use super::online::Admitted;
use super::run_watch::RunWatch;
use super::runs::PaceMeter;
use crate::platform::{
    Dialect,
    ResponseHead,
    Store, //
};
use crate::sse::Splitter;

/// Time without a complete event after which a stream counts as stalled; bytes that complete no
/// event are no progress. Even a backend server that is five times slower than usual sends several
/// events per second.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A response and the backend server that it comes from.
pub(crate) struct Source<P: Store + Dialect> {
    pub(crate) response: Response<ClientBody>,
    pub(crate) head: ResponseHead,
    pub(crate) placed: PlacedRequest<P>,
}

/// Reason why a response was interrupted.
enum Interruption {
    /// The caller disconnected.
    CallerDisconnected,
    /// The deadline of the request has expired.
    Deadline,
    /// The connection to the backend server ended before the response did.
    ConnectionLost(String),
    /// The backend server ended the response early or became unresponsive.
    Backend(String),
}

/// Starts to relay a response.
pub(crate) fn start<P: Store + Dialect>(
    node: Arc<Node<P>>,
    admitted: Admitted,
    history: AttemptHistory,
    source: Source<P>,
) -> Response<Body> {
    let (sender, body) = Body::channel();
    let mut response = Response::new(body);
    *response.status_mut() = source.response.status();
    *response.headers_mut() = node.platform.forwarded_headers(source.response.headers());
    if source.head.events {
        // Another backend server may continue the stream, so its total length is not known yet.
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    node.metrics.first_byte(admitted.arrived.elapsed());
    let spawner = node.spawner.clone();
    let task = async move {
        let _open = OpenCallGuard::new(&node.open_calls);
        relay(&node, admitted, history, source, sender).await;
    };
    spawner.spawn(task).detach();
    response
}

async fn relay<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: Admitted,
    mut history: AttemptHistory,
    mut source: Source<P>,
    sender: BodySender,
) {
    let id = &admitted.call.request_id;
    let status = source.response.status();
    let events = source.head.events && status == StatusCode::OK;
    let resumable = events && admitted.route.idempotent();
    history.runs += 1;
    let mut forwarded = Forwarded::default();
    loop {
        let backend = source.placed.entry.id.clone();
        let key = source.placed.key;
        let ends_with_connection = ends_with_connection(source.response.headers());
        let body = source.response.into_body();
        let entry = source.placed.entry.clone();
        let signed = source.head.signed;
        let mut watch = RunWatch::new(id, &admitted.parts, entry);
        let result = if events {
            {
                let mut pace = PaceMeter::new(key);
                let on_event = || {
                    pace.event(node);
                    watch.output(node);
                };
                forward_events(
                    &admitted,
                    &mut history,
                    body,
                    &sender,
                    &mut forwarded,
                    resumable,
                    on_event,
                )
                .await
            }
        } else {
            let on_chunk = || {
                if status.is_success() {
                    watch.output(node);
                }
            };
            let whole = forward_bytes(&admitted, body, &sender, &mut forwarded, on_chunk);
            whole
                .await
                .and_then(|()| check_end(ends_with_connection, signed))
        };
        drop(source.placed);
        let interruption = match result {
            Ok(()) => {
                if status.is_success() {
                    watch.completed(node);
                }
                // If the caller disconnected during the last chunk, nothing is left to do.
                let _ = sender.finish().await;
                let ms = admitted.arrived.elapsed().as_millis();
                let status = status.as_u16();
                log_event!(
                    ANSWERED,
                    "request={id} status={status} backend={backend} first_ms={} ms={ms} events={} runs={} route={} version={}",
                    forwarded.first_ms(),
                    forwarded.events,
                    history.runs,
                    admitted.route.name,
                    admitted.version
                );
                node.metrics.online("answered", admitted.arrived.elapsed());
                return;
            }
            Err(interruption) => interruption,
        };
        if matches!(interruption, Interruption::ConnectionLost(_)) {
            history.silent_losses += u32::from(watch.is_suspected());
            watch.connection_lost(node, true);
        }
        let cause = match interruption {
            Interruption::CallerDisconnected => {
                let ms = admitted.arrived.elapsed().as_millis();
                log_event!(
                    CALLER_LEFT,
                    "request={id} backend={backend} ms={ms} events={}",
                    forwarded.events
                );
                node.metrics
                    .online("caller-left", admitted.arrived.elapsed());
                return;
            }
            Interruption::Deadline => "the deadline of the request has expired".to_owned(),
            Interruption::Backend(cause) | Interruption::ConnectionLost(cause) => {
                suspect(node, key, &cause);
                let next = if resumable && history.may_run_again(&admitted.route) {
                    crashes::checked(node, key).await;
                    resume(node, &admitted, &mut history).await
                } else {
                    None
                };
                if let Some(next) = next {
                    let to = &next.placed.entry.id;
                    let last = history.last_event.unwrap_or(0);
                    log_event!(
                        STREAM_RESUMED,
                        "request={id} from={backend} to={to} after_event={last} cause=\"{cause}\""
                    );
                    source = next;
                    continue;
                }
                cause
            }
        };
        // Dropping the sender aborts the response, so that the caller cannot take it for complete.
        let ms = admitted.arrived.elapsed().as_millis();
        log_event!(
            REQUEST_FAILED,
            "request={id} status=cut backend={backend} events={} ms={ms} runs={} route={} cause=\"{cause}\" version={}",
            forwarded.events,
            history.runs,
            admitted.route.name,
            admitted.version
        );
        node.metrics.online("cut", admitted.arrived.elapsed());
        return;
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

/// Progress of the part of a response that has been forwarded.
#[derive(Debug, Default)]
struct Forwarded {
    first: Option<Duration>,
    events: u64,
}

impl Forwarded {
    fn first_ms(&self) -> u128 {
        self.first.map_or(0, |first| first.as_millis())
    }
}

/// Waits for the next chunk of a response.
async fn next_chunk(
    admitted: &Admitted,
    body: &mut ClientBody,
    sender: &BodySender,
    stalled_at: Option<Instant>,
) -> Result<Option<Bytes>, Interruption> {
    let chunk = async {
        loop {
            match body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(err)) if err.is_interrupted() => {
                    return Err(Interruption::ConnectionLost(err.to_string()));
                }
                Some(Err(err)) => return Err(Interruption::Backend(err.to_string())),
            }
        }
    };
    let disconnected = async {
        sender.closed().await;
        Err(Interruption::CallerDisconnected)
    };
    let limit = stalled_at.map_or(admitted.deadline, |at| at.min(admitted.deadline));
    match timeout_at(limit, future::or(chunk, disconnected)).await {
        Some(result) => result,
        None if Instant::now() >= admitted.deadline => Err(Interruption::Deadline),
        None => Err(Interruption::Backend("no event arrived in time".to_owned())),
    }
}

async fn forward_bytes(
    admitted: &Admitted,
    mut body: ClientBody,
    sender: &BodySender,
    forwarded: &mut Forwarded,
    mut on_chunk: impl FnMut(),
) -> Result<(), Interruption> {
    while let Some(bytes) = next_chunk(admitted, &mut body, sender, None).await? {
        forwarded
            .first
            .get_or_insert_with(|| admitted.arrived.elapsed());
        on_chunk();
        sender
            .send(bytes)
            .await
            .map_err(|_| Interruption::CallerDisconnected)?;
    }
    Ok(())
}

/// Forwards complete events only, so that another backend server can continue the stream after the
/// last one.
async fn forward_events(
    admitted: &Admitted,
    history: &mut AttemptHistory,
    mut body: ClientBody,
    sender: &BodySender,
    forwarded: &mut Forwarded,
    resumable: bool,
    mut on_event: impl FnMut(),
) -> Result<(), Interruption> {
    let mut splitter = Splitter::default();
    // A response that no other server can continue is not ended when it stalls.
    let may_resume = resumable && history.runs < admitted.route.attempts;
    let stall_deadline = |progressed: Instant| may_resume.then(|| progressed + STALL_TIMEOUT);
    let mut stalled_at = stall_deadline(Instant::now());
    loop {
        let Some(bytes) = next_chunk(admitted, &mut body, sender, stalled_at).await? else {
            break;
        };
        let events = splitter.push(&bytes);
        let events = events.map_err(|err| Interruption::Backend(err.to_string()))?;
        for event in events {
            if let Some(id) = event.id {
                let expected = history.last_event.map(|last| last + 1);
                if expected.is_some_and(|expected| id != expected) {
                    return Err(Interruption::Backend(format!(
                        "event {id} follows {:?}",
                        history.last_event
                    )));
                }
                history.last_event = Some(id);
            }
            if forwarded.first.is_none() {
                forwarded.first = Some(admitted.arrived.elapsed());
            }
            if event.is_output() {
                stalled_at = stall_deadline(Instant::now());
                forwarded.events += 1;
                on_event();
            }
            sender
                .send(event.raw)
                .await
                .map_err(|_| Interruption::CallerDisconnected)?;
        }
    }
    // A response without a length and without chunks ends with its connection, whether it is
    // complete or not.
    if splitter.is_partial() {
        let cause = "the stream ended within an event".to_owned();
        return Err(Interruption::ConnectionLost(cause));
    }
    if forwarded.events == 0 && history.last_event.is_none() {
        let cause = "the stream ended without an event".to_owned();
        return Err(Interruption::ConnectionLost(cause));
    }
    Ok(())
}

/// Resumes an interrupted stream on another backend server.
async fn resume<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &mut AttemptHistory,
) -> Option<Source<P>> {
    loop {
        let placed = choose(node, admitted, history).ok()?;
        if placed.needs_probe {
            return None;
        }
        let key = placed.key;
        history.tried.push(key);
        let id = &admitted.call.request_id;
        let backend = &placed.entry.id;
        let response = match send(node, admitted, history, &placed).await {
            Ok(response) => response,
            Err(err) => {
                if err.is_lost_run() {
                    let entry = placed.entry.clone();
                    let watch = RunWatch::new(id, &admitted.parts, entry);
                    watch.connection_lost(node, false);
                    history.silent_losses += 1;
                }
                unresponsive(node, key, &err);
                if !err.is_refused() && !err.is_lost_run() {
                    history.rejections += 1;
                }
                let verdict = err.verdict();
                log_event!(
                    ATTEMPT_FAILED,
                    "request={id} backend={backend} verdict={verdict} cause=\"{err}\""
                );
                history.runs += u32::from(verdict != Verdict::NotRun);
                if !history.may_run_again(&admitted.route) {
                    return None;
                }
                crashes::checked(node, key).await;
                continue;
            }
        };
        let (head, body) = response.into_parts();
        let sent = SentRequest {
            id,
            entry: &placed.entry,
            at: placed.chosen_at,
        };
        let (verdict, cause) = match heads::examine(node, sent, &head) {
            heads::Verdict::Response(decoded) => {
                history.runs += 1;
                if decoded.events && head.status == StatusCode::OK {
                    return Some(Source {
                        response: Response::from_parts(head, body),
                        head: decoded,
                        placed,
                    });
                }
                let status = head.status.as_u16();
                let cause = format!("status {status}, not the rest of the stream");
                (Verdict::Ran, cause)
            }
            heads::Verdict::NotRun(cause) => (Verdict::NotRun, cause),
            heads::Verdict::Foreign(cause) => {
                history.runs += 1;
                (Verdict::MayHaveRun, cause)
            }
        };
        log_event!(
            ATTEMPT_FAILED,
            "request={id} backend={backend} verdict={verdict} cause=\"{cause}\""
        );
        if verdict != Verdict::NotRun {
            body.close();
            return None;
        }
        history.rejections += 1;
    }
}
