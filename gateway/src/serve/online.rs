//! Handling of callers' requests: routing, authentication, quotas and attempts at backend servers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use hyper::body::Bytes;
use hyper::http::request;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    BodyError,
    RequestBody, //
};
use rand::Rng;

use super::admitted::Admitted;
use super::attempt_history::AttemptHistory;
use super::ends::OpenRequest;
use super::find_response::find_response;
use super::forwarding::AllowedCall;
use super::lines::{
    REFUSED,
    log_event, //
};
use super::node::Node;
use super::rejections::{
    NO_CONFIG_RETRY,
    deny,
    fail_at_stop,
    fail_call_at_stop,
    reject_body,
    reject_late_in_stop,
    reject_newer_sender,
    reject_over_quota, //
};
use super::replies::retry_later;
use super::{
    caller_limits,
    forwarding,
    job_calls,
    relay, //
};
use crate::config::{
    Organisation,
    Route,
    RouteKind, //
};
use crate::memory::{
    HeldBody,
    ReadError, //
};
use crate::platform::{
    CallHead,
    Dialect,
    JobCall,
    Store, //
};
use crate::positions::CallKind;
use crate::request_parts::{
    RequestContent,
    RequestParts, //
};
use crate::routing::{
    Denial,
    Destination,
    destination, //
};

/// Time limit of a request if the caller states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles a request of a caller.
pub(crate) async fn handle<P: Store + Dialect>(
    node: Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let (head, body) = req.into_parts();
    let mut open = OpenRequest::new(&node.ends);
    let call = node.platform.call(&head);
    open.identify(&call.request_id);
    match admit(&node, call, head, body).await {
        Admission::Admitted(admitted) => serve(node, open, *admitted).await,
        Admission::Answered(response) => open.answer(response),
    }
}

/// Outcome of routing and authentication.
enum Admission {
    /// The request goes to a backend server.
    Admitted(Box<Admitted>),
    /// This instance has answered it: it is a call about a job, or it is refused or not allowed.
    Answered(Response<Body>),
}

impl From<Response<Body>> for Admission {
    fn from(response: Response<Body>) -> Self {
        Self::Answered(response)
    }
}

/// Routes and authenticates a request, reads its body, and handles calls about jobs.
async fn admit<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    mut call: CallHead,
    head: request::Parts,
    body: RequestBody,
) -> Admission {
    let arrived = Instant::now();
    let id = call.request_id.clone();
    let Some(config) = node.lock().config.clone() else {
        log_event!(REFUSED, "request={id} status=503 cause=no-configuration");
        let text = "no configuration is known yet";
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, text, NO_CONFIG_RETRY).into();
    };
    let version = config.version();
    if let Some(response) = reject_newer_sender(&call, &head, version) {
        return response.into();
    }
    if let Err(denial) = caller_limits::check_head(&head) {
        return deny(node, &call, version, denial).into();
    }
    let path = head.uri.path();
    let job_call = || node.platform.job_call(&head);
    let (route, organisation) = match destination(&config, &call, path, job_call) {
        Ok(Destination::Route {
            route,
            organisation,
        }) => (route, organisation),
        Ok(Destination::Job { call, organisation }) => {
            let response = handle_job_call(node, &head, call, &organisation, version);
            return within_stop(node, &id, response).await.into();
        }
        Err(denial) => return deny(node, &call, version, denial).into(),
    };
    let limit = config
        .limits()
        .map_or(usize::MAX, |limits| limits.body_bytes);
    let caller_timeout = call.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let timeout = match route.kind {
        // The time limit of a batch route is that of its items.
        RouteKind::Batch => caller_timeout,
        _ => caller_timeout.min(route.timeout),
    };
    let deadline = arrived + timeout;
    let held = match read_body(node, body.limited(limit), deadline).await {
        Ok(held) => held,
        // The limit of the listener is not part of the configuration.
        Err(ReadError::Body(BodyError::TooLarge { limit: exceeded })) if exceeded == limit => {
            return deny(node, &call, version, Denial::BodyTooLarge { limit }).into();
        }
        Err(err) => return reject_body(node, &id, &err).into(),
    };
    let HeldBody { bytes: body, share } = held;
    if let (RouteKind::Batch, Some(organisation)) = (route.kind, &organisation) {
        let longest = Instant::now() + forwarding::TIMEOUT;
        if let Some(response) = reject_late_in_stop(node, &id, longest) {
            return response.into();
        }
        let allowed = AllowedCall {
            head: &head,
            body: &body,
            kind: CallKind::Submit,
            version,
        };
        let response = submit_job(node, &call, allowed, &route, organisation);
        return within_stop(node, &id, response).await.into();
    }
    if let Some(response) = reject_late_in_stop(node, &id, deadline) {
        return response.into();
    }
    let service = route.service(node.lock().rng.random()).to_owned();
    let target = head.uri.path_and_query();
    let prompt = std::mem::take(&mut call.prompt);
    let content = RequestContent {
        organisation: organisation.as_ref().map(|o| o.name.as_str()),
        host: &call.host,
        method: &head.method,
        target: target.map_or("", |target| target.as_str()),
        body: &body,
    };
    let parts = RequestParts::new(content, prompt);
    let admitted = Admitted {
        parts: Arc::new(parts),
        deadline,
        head,
        call,
        body,
        _share: share,
        service,
        route,
        organisation,
        arrived,
        version,
    };
    Admission::Admitted(Box::new(admitted))
}

/// Returns the response to a call about a job, or 504 if it is still missing as the stop ends.
async fn within_stop<P>(
    node: &Node<P>,
    id: &str,
    response: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    let stopped = async {
        node.stop.overdue().await;
        fail_call_at_stop(id)
    };
    future::or(response, stopped).await
}

/// Reads the body of a request until `deadline`, and no longer than this instance can answer.
async fn read_body<P>(
    node: &Node<P>,
    body: RequestBody,
    deadline: Instant,
) -> Result<HeldBody, ReadError> {
    let stopped = async {
        node.stop.ended().await;
        Err(ReadError::Body(BodyError::Deadline))
    };
    future::or(node.bodies.read(body, deadline), stopped).await
}

async fn submit_job<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    call: &CallHead,
    allowed: AllowedCall<'_>,
    route: &Route,
    organisation: &Organisation,
) -> Response<Body> {
    let partition = node.partition_of(&organisation.name);
    let forwarded = forwarding::forward(node, partition, allowed);
    if let Some(response) = forwarded.await {
        return response;
    }
    job_calls::submit(node, route, organisation, call, allowed.body).await
}

async fn handle_job_call<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    head: &request::Parts,
    call: JobCall,
    organisation: &Organisation,
    version: u64,
) -> Response<Body> {
    let longest = Instant::now() + job_calls::LONGEST_CALL;
    if let Some(response) = reject_late_in_stop(node, call.job(), longest) {
        return response;
    }
    let partition = node.partition_of(&organisation.name);
    let kind = match call {
        JobCall::Results { .. } | JobCall::Content { .. } => CallKind::Read,
        JobCall::End { .. } => CallKind::End,
    };
    let allowed = AllowedCall {
        head,
        body: &Bytes::new(),
        kind,
        version,
    };
    let forwarded = forwarding::forward(node, partition, allowed);
    if let Some(response) = forwarded.await {
        return response;
    }
    job_calls::handle(node, call, organisation).await
}

/// Sends an admitted request to backend servers until one responds, and relays the response.
async fn serve<P: Store + Dialect>(
    node: Arc<Node<P>>,
    mut open: OpenRequest,
    admitted: Admitted,
) -> Response<Body> {
    open.set_deadline(admitted.deadline);
    if let Some(rejection) = reject_over_quota(&node, &admitted) {
        return open.answer(rejection);
    }
    let mut history = AttemptHistory {
        tried: Vec::new(),
        runs: 0,
        rejections: 0,
        silent_losses: 0,
        is_probe: false,
        last_event: admitted.call.last_event,
    };
    let found = async { Some(find_response(&node, &admitted, &mut history).await) };
    // A request that came before the stop may have more time than this instance.
    let stopped = async {
        node.stop.ended().await;
        None
    };
    match future::or(found, stopped).await {
        Some(Ok(started)) => relay::start(node, open, admitted, history, started),
        Some(Err(response)) => open.answer(response),
        None => {
            let response = fail_at_stop(&node, &admitted);
            open.answer(response)
        }
    }
}
