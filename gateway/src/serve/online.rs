//! Handling of callers' requests: routing, authentication, quotas and attempts at backend servers.

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
    RequestBody, //
};
use rand::Rng;

use super::attempt::{
    Attempt,
    AttemptHistory,
    attempt, //
};
use super::choose::choose;
use super::forwarding::AllowedCall;
use super::lines::{
    ATTEMPT_FAILED,
    REFUSED,
    log_event, //
};
use super::node::{
    Node,
    OpenCallGuard, //
};
use super::rejections::{
    NO_CONFIG_RETRY,
    deny,
    fail,
    reject,
    reject_body,
    reject_held,
    reject_newer_sender,
    reject_over_quota, //
};
use super::replies::retry_later;
use super::{
    crashes,
    forwarding,
    job_calls,
    relay, //
};
use crate::config::{
    Organisation,
    Route,
    RouteKind, //
};
use crate::platform::{
    CallHead,
    Dialect,
    JobCall,
    Store, //
};
use crate::positions::CallKind;
use crate::request_parts::RequestParts;
use crate::routing::{
    Denial,
    Destination,
    destination, //
};

/// Time limit of a request if the caller states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// An online request after routing and authentication.
pub(crate) struct Admitted {
    pub(crate) head: request::Parts,
    pub(crate) call: CallHead,
    /// What identifies it, and what it shares with others.
    pub(crate) parts: RequestParts,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Instant,
    /// Time by which the response must be complete.
    pub(crate) deadline: Instant,
    /// Version of the configuration by which it was routed.
    pub(crate) version: u64,
}

/// Handles a request of a caller.
pub(crate) async fn handle<P: Store + Dialect>(
    node: Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let _open = OpenCallGuard::new(&node.open_calls);
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let mut call = node.platform.call(&head);
    let id = call.request_id.clone();
    let Some(config) = node.lock().config.clone() else {
        log_event!(REFUSED, "request={id} status=503 cause=no-configuration");
        let text = "no configuration is known yet";
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, text, NO_CONFIG_RETRY);
    };
    let version = config.version();
    if let Some(response) = reject_newer_sender(&call, &head, version) {
        return response;
    }
    let path = head.uri.path();
    let job_call = || node.platform.job_call(&head);
    let (route, organisation) = match destination(&config, &call, path, job_call) {
        Ok(Destination::Route {
            route,
            organisation,
        }) => (route, organisation),
        Ok(Destination::Job { call, organisation }) => {
            return handle_job_call(&node, &head, call, &organisation, version).await;
        }
        Err(denial) => return deny(&node, &call, version, denial),
    };
    let limit = config
        .limits()
        .map_or(usize::MAX, |limits| limits.body_bytes);
    let body = match body.limited(limit).collect_bytes().await {
        Ok(body) => body,
        // The limit of the listener is not part of the configuration.
        Err(BodyError::TooLarge { limit: exceeded }) if exceeded == limit => {
            return deny(&node, &call, version, Denial::BodyTooLarge { limit });
        }
        Err(err) => return reject_body(&id, &err),
    };
    if let (RouteKind::Batch, Some(organisation)) = (route.kind, &organisation) {
        let allowed = AllowedCall {
            head: &head,
            body: &body,
            kind: CallKind::Submit,
            version,
        };
        return submit_job(&node, &call, allowed, &route, organisation).await;
    }
    let caller_timeout = call.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let service = route.service(node.lock().rng.random()).to_owned();
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let prompt = std::mem::take(&mut call.prompt);
    let admitted = Admitted {
        parts: RequestParts::of_request(&head.method, &call.host, target, prompt, &body),
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
async fn serve<P: Store + Dialect>(node: Arc<Node<P>>, admitted: Admitted) -> Response<Body> {
    let id = admitted.call.request_id.clone();
    if let Some(rejection) = reject_over_quota(&node, &admitted) {
        return rejection;
    }
    let mut history = AttemptHistory {
        tried: Vec::new(),
        runs: 0,
        rejections: 0,
        silent_losses: 0,
        is_probe: false,
        last_event: admitted.call.last_event,
    };
    loop {
        let placed = match choose(&node, &admitted, &history) {
            Ok(placed) => placed,
            Err(rejection) => return reject(&node, &admitted, &history, rejection),
        };
        if placed.needs_probe {
            if !crashes::claim_probe(&node, &id, admitted.parts.keys()).await {
                drop(placed);
                return reject_held(&node, &admitted, &history);
            }
            history.is_probe = true;
        }
        let backend = placed.entry.clone();
        let key = placed.key;
        history.tried.push(key);
        let (verdict, cause) = match attempt(&node, &admitted, &history, placed).await {
            Attempt::Answered(source) => return relay::start(node, admitted, history, *source),
            Attempt::NotRun(cause) => {
                history.rejections += 1;
                (Verdict::NotRun, cause)
            }
            Attempt::Refused(cause) => (Verdict::NotRun, cause),
            Attempt::MayHaveRun(cause) => (Verdict::MayHaveRun, cause),
            Attempt::Lost(cause) => {
                history.silent_losses += 1;
                (Verdict::MayHaveRun, cause)
            }
        };
        log_event!(
            ATTEMPT_FAILED,
            "request={id} backend={} verdict={verdict} cause=\"{cause}\"",
            backend.id
        );
        if verdict == Verdict::NotRun {
            continue;
        }
        history.runs += 1;
        let may_run_again = history.may_run_again(&admitted.route);
        if !may_run_again || admitted.deadline <= Instant::now() {
            return fail(&node, &admitted, &cause);
        }
        crashes::checked(&node, key).await;
    }
}
