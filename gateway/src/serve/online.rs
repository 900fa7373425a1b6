//! Requests of callers: routing, keys, quotas and attempts at backend servers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::http::request;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    Body,
    BodyError,
    ClientBody,
    ClientError,
    RequestBody,
    SendOptions,
    TrafficClass, //
};
use rand::Rng;

use super::choose::{
    Placed,
    Refusal,
    choose, //
};
use super::lines::{
    ATTEMPT_FAILED,
    BACKEND_SUSPECTED,
    REFUSED,
    REQUEST_FAILED,
    line, //
};
use super::node::{
    Node,
    OpenCall, //
};
use super::relay::{
    self,
    Source, //
};
use super::replies::{
    plain,
    retry_later, //
};
use super::{
    forwarding,
    job_calls, //
};
use crate::backend::BackendKey;
use crate::config::{
    Organisation,
    Route,
    RouteKind, //
};
use crate::platform::{
    CallHead,
    Dialect,
    Forward,
    JobCall,
    Store, //
};
use crate::positions::CallKind;

/// How long a backend server that refused a connection is used last.
pub(crate) const SUSPICION: Duration = Duration::from_millis(1_000);

/// How long a caller without any news of a configuration should wait.
pub(crate) const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Longest wait for a caller that states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that has been admitted.
pub(crate) struct Admitted {
    pub(crate) head: request::Parts,
    pub(crate) call: CallHead,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Instant,
    /// Time by which the caller has its final answer.
    pub(crate) deadline: Instant,
    /// Version of the configuration that admitted it.
    pub(crate) version: u64,
}

/// Answers a request of a caller.
pub(crate) async fn handle<P: Store + Dialect>(
    node: Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let _open = OpenCall::new(&node.open_calls);
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let call = node.platform.call(&head);
    let id = call.request_id.clone();
    let Some(config) = node.lock().config.clone() else {
        line!(REFUSED, "request={id} status=503 cause=no-configuration");
        let text = "no configuration is known yet";
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, text, NO_CONFIG_RETRY);
    };
    let version = config.version();
    let path = head.uri.path();
    let route = config.route(&call.host, path).cloned();
    let job_call = match &route {
        Some(_) => None,
        None if config.has_host(&call.host) => node.platform.job_call(&head),
        None => None,
    };
    if route.is_none() && job_call.is_none() {
        let host = &call.host;
        line!(
            REFUSED,
            "request={id} status=404 cause=no-route host={host} version={version}"
        );
        return plain(StatusCode::NOT_FOUND, "no route for this host and path");
    }
    let public = route.as_ref().is_some_and(|route| route.public);
    let organisation = call
        .key
        .as_ref()
        .and_then(|key| config.organisation_by_key(key))
        .cloned();
    if organisation.is_none() && !public {
        line!(
            REFUSED,
            "request={id} status=401 cause=unknown-key version={version}"
        );
        return plain(StatusCode::UNAUTHORIZED, "the key is not known");
    }
    if let (Some(job_call), Some(organisation)) = (job_call, &organisation) {
        let partition = node.partition_of(&organisation.name);
        let empty = Bytes::new();
        let kind = match job_call {
            JobCall::Results { .. } | JobCall::Content { .. } => CallKind::Read,
            JobCall::End { .. } => CallKind::End,
        };
        let passed = forwarding::pass_on(&node, partition, &head, &empty, kind);
        if let Some(response) = passed.await {
            return response;
        }
        return job_calls::answer(&node, job_call, organisation).await;
    }
    let Some(route) = route else {
        return plain(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let limit = config
        .limits()
        .map_or(usize::MAX, |limits| limits.body_bytes);
    let body = match body.limited(limit).collect_bytes().await {
        Ok(body) => body,
        Err(err) => return body_refused(&id, &err),
    };
    if let (RouteKind::Batch, Some(organisation)) = (route.kind, &organisation) {
        let partition = node.partition_of(&organisation.name);
        let passed = forwarding::pass_on(&node, partition, &head, &body, CallKind::Submit);
        if let Some(response) = passed.await {
            return response;
        }
        return job_calls::submit(&node, &route, organisation, &call, &body).await;
    }
    let caller_timeout = call.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let service = route.service(node.lock().rng.random()).to_owned();
    let admitted = Admitted {
        deadline: arrived + caller_timeout.min(route.timeout),
        head,
        call,
        body,
        service,
        route,
        organisation,
        arrived,
        version,
    };
    serve(node.clone(), admitted).await
}

fn body_refused(id: &str, err: &BodyError) -> Response<Body> {
    let status = match err {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Stalled { .. } => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::BAD_REQUEST,
    };
    line!(
        REFUSED,
        "request={id} status={} cause=\"{err}\"",
        status.as_u16()
    );
    plain(status, &err.to_string())
}

/// What became of one attempt at a backend server.
enum Attempt<P: Store + Dialect> {
    /// It answered.
    Answered(Box<Source<P>>),
    /// It did not run the request.
    NotRun(String),
    /// It may have run the request.
    MayHaveRun(String),
}

/// State of a request across its attempts.
pub(crate) struct Course {
    /// Backend servers that turned the request away or failed it.
    pub(crate) tried: Vec<BackendKey>,
    /// Backend servers that may have run it.
    pub(crate) runs: u32,
    /// Number of the last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

/// Finds a backend server for an admitted request and passes its answer on.
async fn serve<P: Store + Dialect>(node: Arc<Node<P>>, admitted: Admitted) -> Response<Body> {
    let id = admitted.call.request_id.clone();
    if let Some(refusal) = over_quota(&node, &admitted) {
        return refusal;
    }
    let mut course = Course {
        tried: Vec::new(),
        runs: 0,
        last_event: admitted.call.last_event,
    };
    loop {
        let placed = match choose(&node, &admitted, &course) {
            Ok(placed) => placed,
            Err(refusal) => return refused(&node, &admitted, &course, refusal),
        };
        let backend = placed.entry.clone();
        course.tried.push(placed.key);
        match attempt(&node, &admitted, &course, placed).await {
            Attempt::Answered(source) => return relay::start(node, admitted, course, *source),
            Attempt::NotRun(cause) => {
                line!(
                    ATTEMPT_FAILED,
                    "request={id} backend={} verdict=not-run cause=\"{cause}\"",
                    backend.id
                );
            }
            Attempt::MayHaveRun(cause) => {
                course.runs += 1;
                line!(
                    ATTEMPT_FAILED,
                    "request={id} backend={} verdict=may-have-run cause=\"{cause}\"",
                    backend.id
                );
                let again = admitted.route.idempotent() && course.runs < admitted.route.attempts;
                if !again || admitted.deadline <= Instant::now() {
                    return failed(&node, &admitted, &cause);
                }
            }
        }
    }
}

fn over_quota<P>(node: &Node<P>, admitted: &Admitted) -> Option<Response<Body>> {
    let organisation = admitted.organisation.as_ref()?;
    let now = node.now();
    let over = node.lock().quotas.admit(&organisation.name, now).err()?;
    let id = &admitted.call.request_id;
    line!(
        REFUSED,
        "request={id} status=429 cause=over-quota organisation={} tokens={:.1} version={}",
        organisation.name,
        over.tokens,
        admitted.version
    );
    node.metrics
        .online("over-quota", admitted.arrived.elapsed());
    let text = "the organisation is over its rate";
    Some(retry_later(
        StatusCode::TOO_MANY_REQUESTS,
        text,
        over.retry_after,
    ))
}

/// Answers a request that no backend server takes.
fn refused<P>(
    node: &Node<P>,
    admitted: &Admitted,
    course: &Course,
    refusal: Refusal,
) -> Response<Body> {
    if let Some(organisation) = &admitted.organisation {
        node.lock().quotas.refund(&organisation.name);
    }
    if course.runs > 0 {
        return failed(node, admitted, refusal.cause);
    }
    let id = &admitted.call.request_id;
    line!(
        REFUSED,
        "request={id} status=503 cause={} route={} tried={} retry_after_ms={} version={}",
        refusal.cause,
        admitted.route.name,
        course.tried.len(),
        refusal.retry_after.as_millis(),
        admitted.version
    );
    node.metrics
        .online(refusal.cause, admitted.arrived.elapsed());
    let text = "no backend server can take the request now; it has not run";
    retry_later(StatusCode::SERVICE_UNAVAILABLE, text, refusal.retry_after)
}

/// Answers a request that may have run without an answer.
fn failed<P>(node: &Node<P>, admitted: &Admitted, cause: &str) -> Response<Body> {
    let late = admitted.deadline <= Instant::now();
    let status = if late {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    let id = &admitted.call.request_id;
    let status_code = status.as_u16();
    line!(
        REQUEST_FAILED,
        "request={id} status={status_code} route={} cause=\"{cause}\" version={}",
        admitted.route.name,
        admitted.version
    );
    node.metrics.online("failed", admitted.arrived.elapsed());
    plain(
        status,
        "the backend server gave no answer; the request may have run",
    )
}

/// Sends a request to the chosen backend server and waits for the head of its answer.
async fn attempt<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    course: &Course,
    placed: Placed<P>,
) -> Attempt<P> {
    let key = placed.key;
    match send(node, admitted, course, &placed).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let answer = node.platform.answer(&head);
            let ours = answer.request_id.as_deref() == Some(admitted.call.request_id.as_str());
            if answer.not_run {
                let cause = format!("status {}", head.status.as_u16());
                return Attempt::NotRun(cause);
            }
            if !ours {
                body.close();
                let cause = "the answer belongs to another request".to_owned();
                return Attempt::MayHaveRun(cause);
            }
            Attempt::Answered(Box::new(Source {
                response: Response::from_parts(head, body),
                head: answer,
                placed,
            }))
        }
        Err(err) => {
            suspect(node, key, &err.to_string());
            match err.verdict() {
                Verdict::NotRun => Attempt::NotRun(err.to_string()),
                Verdict::MayHaveRun | Verdict::Ran => Attempt::MayHaveRun(err.to_string()),
            }
        }
    }
}

/// Sends a request, or what is left of its stream, to a backend server.
pub(crate) async fn send<P: Store + Dialect>(
    node: &Node<P>,
    admitted: &Admitted,
    course: &Course,
    placed: &Placed<P>,
) -> Result<Response<ClientBody>, ClientError> {
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let forward = Forward {
        backend: &placed.entry.id,
        organisation: admitted.organisation.as_ref().map(|o| o.name.as_str()),
        left: Some(left),
        last_event: course.last_event,
    };
    let body = admitted.body.clone();
    let req = node.platform.forward(&admitted.head, body, &forward);
    let options = SendOptions {
        class: TrafficClass::Online,
        deadline: Some(admitted.deadline),
    };
    node.client.send(placed.entry.addr, req, options).await
}

/// Uses a backend server that gave no answer last for a while.
pub(crate) fn suspect<P>(node: &Arc<Node<P>>, key: BackendKey, cause: &str) {
    let now = node.now();
    let mut state = node.lock();
    let known = state.load.suspected(key, now);
    state.load.suspect(key, now + SUSPICION);
    let id = state.backends.get(key).map(|b| b.entry.id.clone());
    drop(state);
    if !known {
        let id = id.unwrap_or_default();
        line!(
            BACKEND_SUSPECTED,
            "backend={id} for_ms={} cause=\"{cause}\"",
            SUSPICION.as_millis()
        );
        node.report_due.notify(usize::MAX);
    }
}
