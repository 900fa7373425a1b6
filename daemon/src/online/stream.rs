//! Streamed completions: relay, resume on another engine and explicit ends.

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
    Answer,
    Call,
    Failed, //
};
use super::chunk::Chunks;
use super::completions::accepted;
use super::metrics::Outcome;
use crate::event;
use crate::events::{
    CALLER_LEFT,
    STREAM_BROKEN,
    STREAM_RESUMED, //
};
use crate::responses::Problem;

/// Longest pause of an engine within a stream, the first token included.
pub(super) const PAUSE_LIMIT: Duration = Duration::from_secs(30);

/// Longest wait for the end of the body after the end marker.
const TAIL_LIMIT: Duration = Duration::from_millis(100);

/// Largest rest of a body after the end marker in bytes.
const MAX_TAIL_BYTES: usize = 4 << 10;

pub(super) const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

/// Waits for an engine that takes the request and relays its stream.
pub(super) async fn answer(mut call: Call, resumable: bool) -> Result<Response<Body>, Problem> {
    let answer = loop {
        let failed = match call.attempt(0).await {
            Ok(answer) => match accepted(&call, answer).await? {
                Ok(answer) => break answer,
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        call.retry(failed)?;
    };
    call.record_added_time();
    let (sender, body) = Body::channel();
    let spawner = call.node.spawner.clone();
    let relay = Relay {
        call,
        resumable,
        writer: EventWriter::new(sender),
        chunks: Chunks::default(),
    };
    spawner.spawn(relay.run(answer)).detach();
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    response.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    Ok(response)
}

/// How the stream of one engine ended.
enum End {
    /// With its end marker.
    Complete,
    /// The caller is gone.
    CallerLeft,
    /// Without its end marker, because of this.
    Broken(String),
    /// With an error event of a working engine.
    Failed(String),
}

struct Relay {
    call: Call,
    resumable: bool,
    writer: EventWriter,
    chunks: Chunks,
}

impl Relay {
    async fn run(mut self, mut answer: Answer) {
        let reason = loop {
            let backend = answer.backend.clone();
            let reason = match self.relay(answer).await {
                End::Complete => return self.complete().await,
                End::CallerLeft => return self.caller_left(),
                End::Broken(reason) => {
                    self.call.broken(&backend, &reason);
                    reason
                }
                End::Failed(reason) => reason,
            };
            let reason = format!("backend server {backend}: {reason}");
            match self.resume(&reason).await {
                Some(Ok(next)) => answer = next,
                Some(Err(problem)) => break problem.message,
                None => return self.caller_left(),
            }
        };
        self.fail(&reason).await;
    }

    /// Relays events until the end marker or a failure; dropping the answer cancels the request.
    async fn relay(&mut self, answer: Answer) -> End {
        let Answer {
            response, flight, ..
        } = answer;
        let mut reader = EventReader::new(response.into_body());
        let end = loop {
            let left = async {
                self.writer.closed().await;
                None
            };
            let next = async { Some(next_event(&mut reader).await) };
            let event = match future::or(left, next).await {
                None => break End::CallerLeft,
                Some(Err(reason)) => break End::Broken(reason),
                Some(Ok(event)) => event,
            };
            if event.is_done() {
                break End::Complete;
            }
            match self.chunks.accept(&event) {
                Err(reason) => break End::Failed(reason),
                Ok(None) => {}
                Ok(Some(data)) => {
                    if self.writer.data(&data).await.is_err() {
                        break End::CallerLeft;
                    }
                }
            }
        };
        drop(flight);
        if matches!(end, End::Complete) {
            // The connection goes back to its pool only after the end of the body.
            let rest = reader.into_body().collect_bytes(MAX_TAIL_BYTES);
            timeout_at(Instant::now() + TAIL_LIMIT, rest).await;
        }
        end
    }

    /// Finds another engine that continues; `None` if the caller leaves.
    async fn resume(&mut self, reason: &str) -> Option<Result<Answer, Problem>> {
        let mut problem = Problem::not_run(StatusCode::BAD_GATEWAY, "stream_broken", reason);
        problem.verdict = Verdict::MayHaveRun;
        self.call.note(&problem);
        while self.resumable && self.call.may_resume() {
            let delivered = self.chunks.resume();
            let call = &mut self.call;
            let left = async {
                self.writer.closed().await;
                None
            };
            let trying = async {
                Some(match call.attempt(delivered).await {
                    Ok(answer) => accepted(call, answer).await,
                    Err(failed) => Ok(Err(failed)),
                })
            };
            match future::or(left, trying).await? {
                Ok(Ok(answer)) => {
                    let backend = &answer.backend;
                    event!(
                        STREAM_RESUMED,
                        "service={} backend={backend} tokens={delivered} {reason}",
                        self.call.service
                    );
                    return Some(Ok(answer));
                }
                Ok(Err(Failed::NoBackend)) => break,
                Ok(Err(Failed::Attempt(failed))) => self.call.note(&failed),
                // An engine that refuses what another one accepted does not continue it.
                Err(_) => {}
            }
        }
        Some(Err(problem))
    }

    async fn complete(self) {
        let outcome = match self.writer.done().await {
            Ok(()) => Outcome::Complete,
            Err(_) => Outcome::CallerLeft,
        };
        self.call.node.online.metrics.outcome(outcome);
    }

    fn caller_left(self) {
        event!(CALLER_LEFT, "service={}", self.call.service);
        self.call.node.online.metrics.outcome(Outcome::CallerLeft);
    }

    /// Ends the stream with an explicit error event and without the end marker.
    async fn fail(self, reason: &str) {
        event!(STREAM_BROKEN, "service={} {reason}", self.call.service);
        self.call.node.online.metrics.outcome(Outcome::Broken);
        let status = StatusCode::BAD_GATEWAY.as_u16();
        let message = format!("the answer is incomplete: {reason}");
        let body = ErrorBody::new(status, "stream_broken", message, Verdict::MayHaveRun);
        if let Ok(data) = serde_json::to_string(&body)
            && self.writer.data(&data).await.is_ok()
        {
            // The reader is gone only if the caller left.
            let _ = self.writer.finish().await;
        }
    }
}

async fn next_event(reader: &mut EventReader<ClientBody>) -> Result<Event, String> {
    match timeout_at(Instant::now() + PAUSE_LIMIT, reader.next_event()).await {
        Some(Ok(Some(event))) => Ok(event),
        Some(Ok(None)) => Err("the stream ended without its end marker".to_owned()),
        Some(Err(err)) => Err(err.to_string()),
        None => Err("the engine sent nothing for too long".to_owned()),
    }
}
