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
    ClientBody,
    ClientError,
    RequestBody,
    SendOptions,
    TrafficClass, //
};
use rand::Rng;

use super::choose::{
    PlacedRequest,
    Rejection,
    choose, //
};
use super::forwarding::AllowedCall;
use super::heads::SentRequest;
use super::lines::{
    ATTEMPT_FAILED,
    BACKEND_SUSPECTED,
    REFUSED,
    REQUEST_FAILED,
    log_event, //
};
use super::node::{
    Node,
    OpenCallGuard, //
};
use super::relay::{
    self,
    Source, //
};
use super::replies::{
    plain,
    retry_later, //
};
use super::run_watch::RunWatch;
use super::{
    crashes,
    forwarding,
    heads,
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
use crate::prompt::SharedParts;
use crate::routing::{
    Denial,
    Destination,
    destination, //
};

/// Time for which a suspected backend server is used only if there is no other one.
pub(crate) const SUSPICION_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a backend server that refused a connection gets no request. A server that has
/// crashed is listed for some seconds more, and looks idle.
const REFUSAL_TIME: Duration = Duration::from_millis(1_000);

/// `Retry-After` of a request while no configuration or no backend server of the service is known.
pub(crate) const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` of a request that a newer configuration may allow. A newer one that a peer has is
/// usually fetched within this time.
const OUTDATED_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Time limit of a request if the caller states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// An online request after routing and authentication.
pub(crate) struct Admitted {
    pub(crate) head: request::Parts,
    pub(crate) call: CallHead,
    /// Parts of the prompt that other requests may have too.
    pub(crate) parts: SharedParts,
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
    let call = node.platform.call(&head);
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
    let admitted = Admitted {
        parts: call.shared_parts.clone(),
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

/// Returns a rejection if another instance has forwarded the call and has a newer configuration
/// than `version`, which may deny what the newer one allows. The sender tries the next replica. The
/// version in the header is not recorded, because callers can send the header too.
fn reject_newer_sender(
    call: &CallHead,
    head: &request::Parts,
    version: u64,
) -> Option<Response<Body>> {
    let sender_version = forwarding::sender_version(head)?;
    if sender_version <= version {
        return None;
    }
    let id = &call.request_id;
    log_event!(
        REFUSED,
        "request={id} status=503 cause=outdated-configuration version={version} sender_version={sender_version}"
    );
    Some(outdated())
}

/// Returns the response to a request that the configuration `version` does not allow.
///
/// Callers do not retry after 404, 401 and 413, so these are returned only if no newer
/// configuration can allow the request.
fn deny<P>(node: &Node<P>, call: &CallHead, version: u64, denial: Denial) -> Response<Body> {
    let now = node.now();
    let (is_current, age) = {
        let freshness = &node.lock().config_freshness;
        (freshness.is_current(version, now), freshness.age(now))
    };
    let (id, host) = (&call.request_id, &call.host);
    let confirmed_ms = age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
    if !is_current {
        log_event!(
            REFUSED,
            "request={id} status=503 cause=outdated-configuration denial={denial} host={host} version={version} confirmed_ms={confirmed_ms}"
        );
        return outdated();
    }
    let (status, text) = match denial {
        Denial::NoRoute => {
            let text = "no route for this host and path".to_owned();
            (StatusCode::NOT_FOUND, text)
        }
        Denial::UnknownKey => {
            let text = "the key is not known".to_owned();
            (StatusCode::UNAUTHORIZED, text)
        }
        Denial::BodyTooLarge { limit } => {
            let text = format!("the body is longer than {limit} bytes");
            (StatusCode::PAYLOAD_TOO_LARGE, text)
        }
    };
    log_event!(
        REFUSED,
        "request={id} status={} cause={denial} host={host} version={version} confirmed_ms={confirmed_ms}",
        status.as_u16()
    );
    plain(status, &text)
}

/// Returns the response to a request that a newer configuration may allow.
fn outdated() -> Response<Body> {
    let text = "the configuration may be outdated; the request has not run";
    retry_later(StatusCode::SERVICE_UNAVAILABLE, text, OUTDATED_CONFIG_RETRY)
}

fn reject_body(id: &str, err: &BodyError) -> Response<Body> {
    let status = match err {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Stalled { .. } => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::BAD_REQUEST,
    };
    log_event!(
        REFUSED,
        "request={id} status={} cause=\"{err}\"",
        status.as_u16()
    );
    plain(status, &err.to_string())
}

/// Outcome of one attempt at a backend server.
enum Attempt<P: Store + Dialect> {
    /// The backend server responded.
    Answered(Box<Source<P>>),
    /// The backend server did not run the request.
    NotRun(String),
    /// No process listens at the address of the backend server.
    Refused(String),
    /// The backend server may have run the request.
    MayHaveRun(String),
    /// The connection ended, and the backend server may have run the request.
    Lost(String),
}

/// What an attempt sends to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum AttemptKind {
    /// A request that no server has been sent yet.
    First,
    /// A request that another server has failed to serve.
    Again,
    /// A request for the rest of a stream.
    Rest,
    /// An item of a batch job.
    Item,
}

/// History of the attempts of one request.
pub(crate) struct AttemptHistory {
    /// Backend servers to which the request has been sent already.
    pub(crate) tried: Vec<BackendKey>,
    /// Number of attempts that may have run the request.
    pub(crate) runs: u32,
    /// Number of attempts that a backend server rejected or that took long to fail.
    pub(crate) rejections: u32,
    /// Number of runs that ended with the connection before they wrote output.
    pub(crate) silent_losses: u32,
    /// Whether the request is a probe of parts that are held back.
    pub(crate) is_probe: bool,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

impl AttemptHistory {
    /// Returns the kind of the next attempt.
    pub(crate) fn kind(&self) -> AttemptKind {
        if self.last_event.is_some() {
            AttemptKind::Rest
        } else if self.tried.is_empty() {
            AttemptKind::First
        } else {
            AttemptKind::Again
        }
    }

    /// Returns whether the request may run once more on `route`.
    pub(crate) fn may_run_again(&self, route: &Route) -> bool {
        let may_crash = self.silent_losses >= MAX_SILENT_LOSSES || self.is_probe;
        route.idempotent() && self.runs < route.attempts && !may_crash
    }
}

/// Runs of one request that may end with the connection before they write output; the request may
/// be what ends them.
const MAX_SILENT_LOSSES: u32 = 2;

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
            if !crashes::claim_probe(&node, &id, &admitted.parts).await {
                drop(placed);
                return reject_held(&node, &admitted, &history);
            }
            history.is_probe = true;
        }
        let backend = placed.entry.clone();
        history.tried.push(placed.key);
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
    }
}

/// Returns the response to a request that another instance probes, or none now.
fn reject_held<P>(node: &Node<P>, admitted: &Admitted, history: &AttemptHistory) -> Response<Body> {
    let now = node.now();
    let hold = node.lock().quarantine.hold(&admitted.parts, now);
    let rejection = match hold {
        Some(hold) => Rejection::held(hold.case),
        // The case was closed meanwhile.
        None => Rejection {
            cause: "held-back",
            retry_after: NO_CONFIG_RETRY,
            case: None,
            limits: None,
        },
    };
    reject(node, admitted, history, rejection)
}

fn reject_over_quota<P>(node: &Node<P>, admitted: &Admitted) -> Option<Response<Body>> {
    let organisation = admitted.organisation.as_ref()?;
    let now = node.now();
    let over = node.lock().quotas.admit(&organisation.name, now).err()?;
    let id = &admitted.call.request_id;
    log_event!(
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

/// Returns the response to a request that no backend server accepts.
fn reject<P>(
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
    rejection: Rejection,
) -> Response<Body> {
    if let Some(organisation) = &admitted.organisation {
        node.lock().quotas.refund(&organisation.name);
    }
    if history.runs > 0 {
        return fail(node, admitted, rejection.cause);
    }
    let id = &admitted.call.request_id;
    let case = rejection.case.as_deref().map(crashes::describe);
    let limits = rejection.limits.map(heads::describe_limits);
    log_event!(
        REFUSED,
        "request={id} status=503 cause={} route={} tried={} retry_after_ms={} version={} {}",
        rejection.cause,
        admitted.route.name,
        history.tried.len(),
        rejection.retry_after.as_millis(),
        admitted.version,
        case.or(limits).unwrap_or_default()
    );
    node.metrics
        .online(rejection.cause, admitted.arrived.elapsed());
    let text = if rejection.case.is_some() {
        "backend servers crashed under requests with parts of this prompt; it has not run"
    } else {
        "no backend server can take the request now; it has not run"
    };
    retry_later(StatusCode::SERVICE_UNAVAILABLE, text, rejection.retry_after)
}

/// Returns the response to a request that may have run but received no response.
fn fail<P>(node: &Node<P>, admitted: &Admitted, cause: &str) -> Response<Body> {
    let late = admitted.deadline <= Instant::now();
    let status = if late {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    let id = &admitted.call.request_id;
    let status_code = status.as_u16();
    log_event!(
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

/// Sends a request to the selected backend server and waits for the response head.
async fn attempt<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &AttemptHistory,
    placed: PlacedRequest<P>,
) -> Attempt<P> {
    let key = placed.key;
    match send(node, admitted, history, &placed).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let sent = SentRequest {
                id: &admitted.call.request_id,
                entry: &placed.entry,
                at: placed.chosen_at,
            };
            match heads::examine(node, sent, &head) {
                heads::Verdict::Response(decoded) => Attempt::Answered(Box::new(Source {
                    response: Response::from_parts(head, body),
                    head: decoded,
                    placed,
                })),
                heads::Verdict::NotRun(cause) => Attempt::NotRun(cause),
                heads::Verdict::Foreign(cause) => {
                    body.close();
                    Attempt::MayHaveRun(cause)
                }
            }
        }
        Err(err) => {
            unresponsive(node, key, &err);
            if err.is_lost_run() {
                let id = &admitted.call.request_id;
                let watch = RunWatch::new(id, &admitted.parts, placed.entry.clone());
                watch.connection_lost(node, false);
                return Attempt::Lost(err.to_string());
            }
            if err.is_refused() {
                return Attempt::Refused(err.to_string());
            }
            match err.verdict() {
                Verdict::NotRun => Attempt::NotRun(err.to_string()),
                Verdict::MayHaveRun | Verdict::Ran => Attempt::MayHaveRun(err.to_string()),
            }
        }
    }
}

/// Sends a request to a backend server, or requests the rest of its stream there.
pub(crate) async fn send<P: Store + Dialect>(
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
    placed: &PlacedRequest<P>,
) -> Result<Response<ClientBody>, ClientError> {
    let remaining = admitted.deadline.saturating_duration_since(Instant::now());
    let forward = Forward {
        backend: &placed.entry.id,
        organisation: admitted.organisation.as_ref().map(|o| o.name.as_str()),
        remaining: Some(remaining),
        last_event: history.last_event,
    };
    let body = admitted.body.clone();
    let req = node.platform.forward(&admitted.head, body, &forward);
    let options = SendOptions {
        class: TrafficClass::Online,
        deadline: Some(admitted.deadline),
    };
    node.client.send(placed.entry.addr, req, options).await
}

/// Records that an attempt at a backend server failed without a response.
pub(crate) fn unresponsive<P>(node: &Arc<Node<P>>, key: BackendKey, err: &ClientError) {
    if err.is_refused() {
        let until = node.now() + REFUSAL_TIME;
        node.lock().load.refused(key, until);
    }
    suspect(node, key, &err.to_string());
}

/// Marks a backend server that did not respond as suspected, so that it is used last for a while.
pub(crate) fn suspect<P>(node: &Arc<Node<P>>, key: BackendKey, cause: &str) {
    let now = node.now();
    let mut state = node.lock();
    let known = state.load.suspected(key, now);
    state.load.suspect(key, now + SUSPICION_TIME);
    let id = state.backends.get(key).map(|b| b.entry.id.clone());
    drop(state);
    if !known {
        let id = id.unwrap_or_default();
        log_event!(
            BACKEND_SUSPECTED,
            "backend={id} for_ms={} cause=\"{cause}\"",
            SUSPICION_TIME.as_millis()
        );
        node.report_due.notify(usize::MAX);
    }
}
