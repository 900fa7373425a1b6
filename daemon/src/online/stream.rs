//! Streamed completions: relays events, resumes broken streams on another engine, and marks how
//! each stream ends.

use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use hyper::header::{
    CACHE_CONTROL,
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_protocol::http::ErrorBody;
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    Body,
    ClientBody,
    Event,
    EventReader,
    EventWriter, //
};
use limpetweir_transport::timeout_at;

use super::call::{
    AttemptError,
    BackendResponse,
    Call, //
};
use super::chunk::ChunkJoiner;
use super::completions::check_status;
use super::metrics::Outcome;
use crate::event;
use crate::events::{
    CALLER_LEFT,
    STREAM_BROKEN,
    STREAM_RESUMED, //
};
use crate::responses::Problem;

/// Longest wait for the response head and for each event of a stream.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for the end of the body after the end marker.
const TAIL_TIMEOUT: Duration = Duration::from_millis(100);

/// Most bytes that are read of a body after the end marker.
const MAX_TAIL_BYTES: usize = 4 << 10;

pub(super) const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

/// Sends the request to an engine, with retries, and starts to relay its stream.
pub(super) async fn respond(mut call: Call, resumable: bool) -> Result<Response<Body>, Problem> {
    let received = loop {
        let error = match call.attempt(0).await {
            Ok(received) => match check_status(&call, received).await? {
                Ok(received) => break received,
                Err(error) => error,
            },
            Err(error) => error,
        };
        call.retry(error)?;
    };
    call.record_added_time();
    let (sender, body) = Body::channel();
    let spawner = call.node.spawner.clone();
    let relay = Relay {
        call,
        resumable,
        writer: EventWriter::new(sender),
        chunks: ChunkJoiner::default(),
    };
    spawner.spawn(relay.run(received)).detach();
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    response.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    Ok(response)
}

/// How the stream of one engine ended.
enum StreamEnd {
    /// The engine sent the end marker.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The stream broke without the end marker, for this reason; a failure of the engine.
    Broken(String),
    /// The engine sent an error event or an invalid chunk; not recorded as a failure of the engine.
    Failed(String),
}

struct Relay {
    call: Call,
    resumable: bool,
    writer: EventWriter,
    chunks: ChunkJoiner,
}

impl Relay {
    async fn run(mut self, mut received: BackendResponse) {
        let reason = loop {
            let backend = received.backend.clone();
            let reason = match self.relay(received).await {
                StreamEnd::Complete => return self.complete().await,
                StreamEnd::CallerLeft => return self.caller_left(),
                StreamEnd::Broken(reason) => {
                    self.call.record_broken_response(&backend, &reason);
                    reason
                }
                StreamEnd::Failed(reason) => reason,
            };
            let reason = format!("backend server {backend}: {reason}");
            match self.resume(&reason).await {
                Some(Ok(next)) => received = next,
                Some(Err(problem)) => break problem.message,
                None => return self.caller_left(),
            }
        };
        self.fail(&reason).await;
    }

    /// Relays events until the end marker or a failure; dropping the response cancels the request.
    async fn relay(&mut self, received: BackendResponse) -> StreamEnd {
        let BackendResponse {
            response, guard, ..
        } = received;
        let mut reader = EventReader::new(response.into_body());
        let end = loop {
            let disconnected = async {
                self.writer.closed().await;
                None
            };
            let next = async { Some(next_event(&mut reader).await) };
            let event = match future::or(disconnected, next).await {
                None => break StreamEnd::CallerLeft,
                Some(Err(reason)) => break StreamEnd::Broken(reason),
                Some(Ok(event)) => event,
            };
            if event.is_done() {
                break StreamEnd::Complete;
            }
            match self.chunks.accept(&event) {
                Err(reason) => break StreamEnd::Failed(reason),
                Ok(None) => {}
                Ok(Some(data)) => {
                    if self.writer.data(&data).await.is_err() {
                        break StreamEnd::CallerLeft;
                    }
                }
            }
        };
        drop(guard);
        if matches!(end, StreamEnd::Complete) {
            // The connection can be reused only after the end of the body was read.
            let rest = reader.into_body().collect_bytes(MAX_TAIL_BYTES);
            timeout_at(Instant::now() + TAIL_TIMEOUT, rest).await;
        }
        end
    }

    /// Continues the stream on another engine; `None` if the caller disconnects.
    async fn resume(&mut self, reason: &str) -> Option<Result<BackendResponse, Problem>> {
        let mut problem = Problem::not_run(StatusCode::BAD_GATEWAY, "stream_broken", reason);
        problem.verdict = Verdict::MayHaveRun;
        self.call.record_error(&problem);
        while self.resumable && self.call.may_resume() {
            let delivered = self.chunks.resume();
            let call = &mut self.call;
            let disconnected = async {
                self.writer.closed().await;
                None
            };
            let trying = async {
                Some(match call.attempt(delivered).await {
                    Ok(received) => check_status(call, received).await,
                    Err(error) => Ok(Err(error)),
                })
            };
            match future::or(disconnected, trying).await? {
                Ok(Ok(received)) => {
                    let backend = &received.backend;
                    event!(
                        STREAM_RESUMED,
                        "service={} backend={backend} tokens={delivered} {reason}",
                        self.call.service
                    );
                    return Some(Ok(received));
                }
                Ok(Err(AttemptError::NoBackend)) => break,
                Ok(Err(AttemptError::Attempt(error))) => self.call.record_error(&error),
                // The engine rejected a request that another one accepted; the next one is tried.
                Err(_) => {}
            }
        }
        Some(Err(problem))
    }

    async fn complete(self) {
        // Counted first, so that a caller that has read the end marker finds it in the metrics. One
        // that leaves now has received the whole output.
        let metrics = &self.call.node.online.metrics;
        metrics.count_outcome(Outcome::Complete);
        if self.writer.done().await.is_err() {
            event!(CALLER_LEFT, "service={}", self.call.service);
        }
    }

    fn caller_left(self) {
        event!(CALLER_LEFT, "service={}", self.call.service);
        self.call
            .node
            .online
            .metrics
            .count_outcome(Outcome::CallerLeft);
    }

    /// Ends the stream with an explicit error event and without the end marker.
    async fn fail(self, reason: &str) {
        event!(STREAM_BROKEN, "service={} {reason}", self.call.service);
        self.call.node.online.metrics.count_outcome(Outcome::Broken);
        let status = StatusCode::BAD_GATEWAY.as_u16();
        let message = format!("the answer is incomplete: {reason}");
        let body = ErrorBody::new(status, "stream_broken", message, Verdict::MayHaveRun);
        if let Ok(data) = serde_json::to_string(&body)
            && self.writer.data(&data).await.is_ok()
        {
            // Fails only if the caller has disconnected.
            let _ = self.writer.finish().await;
        }
    }
}

async fn next_event(reader: &mut EventReader<ClientBody>) -> Result<Event, String> {
    match timeout_at(Instant::now() + STALL_TIMEOUT, reader.next_event()).await {
        Some(Ok(Some(event))) => Ok(event),
        Some(Ok(None)) => Err("the stream ended without its end marker".to_owned()),
        Some(Err(err)) => Err(err.to_string()),
        None => Err("the engine sent nothing for too long".to_owned()),
    }
}
