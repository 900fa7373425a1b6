//! Passes the answers of backend servers on to callers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::CONTENT_LENGTH;
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

use super::choose::{
    Placed,
    choose, //
};
use super::lines::{
    ANSWERED,
    ATTEMPT_FAILED,
    CALLER_LEFT,
    REQUEST_FAILED,
    STREAM_RESUMED,
    line, //
};
use super::node::{
    Node,
    OpenCall, //
};
use super::online::{
    Admitted,
    Course,
    send,
    suspect, //
};
use super::runs::PaceMeter;
use crate::platform::{
    AnswerHead,
    Dialect,
    Store, //
};
use crate::sse::Splitter;

/// Time without an event after which a backend server counts as not answering; bytes that complete no
/// event are no progress. Events come several times per second also from a server that works five
/// times as long as usual.
const SILENCE: Duration = Duration::from_millis(700);

/// An answer and the place it comes from.
pub(crate) struct Source<P: Store + Dialect> {
    pub(crate) response: Response<ClientBody>,
    pub(crate) head: AnswerHead,
    pub(crate) placed: Placed<P>,
}

/// Why an answer did not come to its end.
enum Cut {
    /// The caller is gone.
    CallerLeft,
    /// The time of the request is over.
    Deadline,
    /// The backend server broke off or fell silent.
    Backend(String),
}

/// Starts passing an answer on.
pub(crate) fn start<P: Store + Dialect>(
    node: Arc<Node<P>>,
    admitted: Admitted,
    course: Course,
    source: Source<P>,
) -> Response<Body> {
    let (sender, body) = Body::channel();
    let mut response = Response::new(body);
    *response.status_mut() = source.response.status();
    *response.headers_mut() = node.platform.forwarded_headers(source.response.headers());
    if source.head.events {
        // Another backend server may continue the stream, so its length is not known here.
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    node.metrics.first_byte(admitted.arrived.elapsed());
    let spawner = node.spawner.clone();
    let task = async move {
        let _open = OpenCall::new(&node.open_calls);
        pass_on(&node, admitted, course, source, sender).await;
    };
    spawner.spawn(task).detach();
    response
}

async fn pass_on<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: Admitted,
    mut course: Course,
    mut source: Source<P>,
    sender: BodySender,
) {
    let id = &admitted.call.request_id;
    let status = source.response.status();
    let events = source.head.events && status == StatusCode::OK;
    let resumable = events && admitted.route.idempotent();
    course.runs += 1;
    let mut passed = Passed::default();
    loop {
        let backend = source.placed.entry.id.clone();
        let key = source.placed.key;
        let body = source.response.into_body();
        let result = if events {
            {
                let mut pace = PaceMeter::new(key);
                let on_event = || pace.event(node);
                pass_events(
                    &admitted,
                    &mut course,
                    body,
                    &sender,
                    &mut passed,
                    resumable,
                    on_event,
                )
                .await
            }
        } else {
            pass_bytes(&admitted, body, &sender, &mut passed).await
        };
        drop(source.placed);
        let cut = match result {
            Ok(()) => {
                // The caller may have left within the last piece, which changes nothing here.
                let _ = sender.finish().await;
                let ms = admitted.arrived.elapsed().as_millis();
                let status = status.as_u16();
                line!(
                    ANSWERED,
                    "request={id} status={status} backend={backend} first_ms={} ms={ms} events={} runs={} route={} version={}",
                    passed.first_ms(),
                    passed.events,
                    course.runs,
                    admitted.route.name,
                    admitted.version
                );
                node.metrics.online("answered", admitted.arrived.elapsed());
                return;
            }
            Err(cut) => cut,
        };
        let cause = match cut {
            Cut::CallerLeft => {
                let ms = admitted.arrived.elapsed().as_millis();
                line!(
                    CALLER_LEFT,
                    "request={id} backend={backend} ms={ms} events={}",
                    passed.events
                );
                node.metrics
                    .online("caller-left", admitted.arrived.elapsed());
                return;
            }
            Cut::Deadline => "the time of the request is over".to_owned(),
            Cut::Backend(cause) => {
                suspect(node, key, &cause);
                let again = resumable && course.runs < admitted.route.attempts;
                let next = if again {
                    resume(node, &admitted, &mut course).await
                } else {
                    None
                };
                if let Some(next) = next {
                    let to = &next.placed.entry.id;
                    let last = course.last_event.unwrap_or(0);
                    line!(
                        STREAM_RESUMED,
                        "request={id} from={backend} to={to} after_event={last} cause=\"{cause}\""
                    );
                    source = next;
                    continue;
                }
                cause
            }
        };
        // Dropping the sender cuts the answer off, so it cannot look complete.
        let ms = admitted.arrived.elapsed().as_millis();
        line!(
            REQUEST_FAILED,
            "request={id} status=cut backend={backend} events={} ms={ms} runs={} route={} cause=\"{cause}\" version={}",
            passed.events,
            course.runs,
            admitted.route.name,
            admitted.version
        );
        node.metrics.online("cut", admitted.arrived.elapsed());
        return;
    }
}

/// What has been passed on.
#[derive(Debug, Default)]
struct Passed {
    first: Option<Duration>,
    events: u64,
}

impl Passed {
    fn first_ms(&self) -> u128 {
        self.first.map_or(0, |first| first.as_millis())
    }
}

/// Waits for the next piece of an answer.
async fn next_piece(
    admitted: &Admitted,
    body: &mut ClientBody,
    sender: &BodySender,
    silent_at: Option<Instant>,
) -> Result<Option<Bytes>, Cut> {
    let piece = async {
        loop {
            match body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(err)) => return Err(Cut::Backend(err.to_string())),
            }
        }
    };
    let left = async {
        sender.closed().await;
        Err(Cut::CallerLeft)
    };
    let limit = silent_at.map_or(admitted.deadline, |at| at.min(admitted.deadline));
    match timeout_at(limit, future::or(piece, left)).await {
        Some(result) => result,
        None if Instant::now() >= admitted.deadline => Err(Cut::Deadline),
        None => Err(Cut::Backend("no event came".to_owned())),
    }
}

async fn pass_bytes(
    admitted: &Admitted,
    mut body: ClientBody,
    sender: &BodySender,
    passed: &mut Passed,
) -> Result<(), Cut> {
    while let Some(bytes) = next_piece(admitted, &mut body, sender, None).await? {
        passed
            .first
            .get_or_insert_with(|| admitted.arrived.elapsed());
        sender.send(bytes).await.map_err(|_| Cut::CallerLeft)?;
    }
    Ok(())
}

/// Passes whole events on, so that a stream can continue elsewhere after the last one.
async fn pass_events(
    admitted: &Admitted,
    course: &mut Course,
    mut body: ClientBody,
    sender: &BodySender,
    passed: &mut Passed,
    resumable: bool,
    mut on_event: impl FnMut(),
) -> Result<(), Cut> {
    let mut splitter = Splitter::default();
    // The silence of a server is no reason to end an answer that nobody else can continue.
    let again = resumable && course.runs < admitted.route.attempts;
    let silent_after = |progressed: Instant| again.then(|| progressed + SILENCE);
    let mut silent_at = silent_after(Instant::now());
    loop {
        let Some(bytes) = next_piece(admitted, &mut body, sender, silent_at).await? else {
            break;
        };
        let events = splitter.push(&bytes);
        let events = events.map_err(|err| Cut::Backend(err.to_string()))?;
        for event in events {
            if let Some(id) = event.id {
                let expected = course.last_event.map(|last| last + 1);
                if expected.is_some_and(|expected| id != expected) {
                    return Err(Cut::Backend(format!(
                        "event {id} follows {:?}",
                        course.last_event
                    )));
                }
                course.last_event = Some(id);
            }
            if passed.first.is_none() {
                passed.first = Some(admitted.arrived.elapsed());
            }
            if event.is_output() {
                silent_at = silent_after(Instant::now());
                passed.events += 1;
                on_event();
            }
            sender.send(event.raw).await.map_err(|_| Cut::CallerLeft)?;
        }
    }
    if splitter.is_partial() {
        return Err(Cut::Backend("the stream ended within an event".to_owned()));
    }
    Ok(())
}

/// Asks other backend servers to continue a stream.
async fn resume<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    course: &mut Course,
) -> Option<Source<P>> {
    loop {
        let placed = choose(node, admitted, course).ok()?;
        course.tried.push(placed.key);
        let id = &admitted.call.request_id;
        let backend = &placed.entry.id;
        let response = match send(node, admitted, course, &placed).await {
            Ok(response) => response,
            Err(err) => {
                let verdict = err.verdict();
                line!(
                    ATTEMPT_FAILED,
                    "request={id} backend={backend} verdict={verdict} cause=\"{err}\""
                );
                course.runs += u32::from(verdict != Verdict::NotRun);
                if course.runs >= admitted.route.attempts {
                    return None;
                }
                continue;
            }
        };
        let (head, body) = response.into_parts();
        let answer = node.platform.answer(&head);
        let status = head.status.as_u16();
        if answer.not_run {
            line!(
                ATTEMPT_FAILED,
                "request={id} backend={backend} verdict=not-run cause=\"status {status}\""
            );
            continue;
        }
        course.runs += 1;
        let ours = answer.request_id.as_deref() == Some(admitted.call.request_id.as_str());
        if !ours || !answer.events || head.status != StatusCode::OK {
            line!(
                ATTEMPT_FAILED,
                "request={id} backend={backend} verdict=ran cause=\"status {status}, not the rest of the stream\""
            );
            body.close();
            return None;
        }
        return Some(Source {
            response: Response::from_parts(head, body),
            head: answer,
            placed,
        });
    }
}
