//! Calls of plain services.

use std::sync::Arc;
use std::time::Instant;

use hyper::header::{
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    HeaderName,
    HeaderValue,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE, //
};
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    Uri, //
};
use limpetweir_protocol::http::VERDICT_HEADER;
use limpetweir_state::{
    Configuration,
    Service,
    ServiceId,
    ServiceKind,
    Verdict, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};
use limpetweir_transport::timeout_at;

use super::auth::{
    self,
    Caller, //
};
use super::call::{
    ATTEMPT_ID,
    AttemptError,
    BackendResponse,
    Call,
    Progress,
    RESUME_TOKENS,
    RetryBudgetKey, //
};
use super::relayed_body::RelayedBody;
use super::{
    admission,
    body,
    serving, //
};
use crate::node::Node;
use crate::responses::Problem;

/// Path prefix of plain services.
pub(super) const PREFIX: &str = "/services/";

/// Headers that are not forwarded in either direction: hop-by-hop headers and those that the daemon
/// sets itself.
///
/// `Authorization` is included because the caller's key must not reach a backend server.
const REMOVED_HEADERS: [HeaderName; 14] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static(ATTEMPT_ID),
];

/// Handles a call of `/services/<service>/<path>`.
pub(super) async fn handle(
    node: &Arc<Node>,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let current = serving(node)?;
    let target = Target::parse(req.uri());
    let (caller, service) = authorise_caller(&current.configuration, &target, req.headers())?;
    let (idempotent, id) = (
        service.is_idempotent(req.method().as_str()),
        service.id.clone(),
    );
    let (mut head, body) = req.into_parts();
    head.uri = target.uri()?;
    remove_connection_headers(&mut head.headers);
    head.headers.remove(RESUME_TOKENS);
    let bytes = body::read(body).await?;
    let started = Instant::now();
    // The configuration may have changed while the body was read.
    let current = serving(node)?;
    reauthorise(&current.configuration, caller.as_ref(), &id)?;
    let retry_budget_key = match caller {
        Some(Caller { organisation, .. }) => {
            admission::admit(node, &current, &organisation).await?;
            RetryBudgetKey::Organisation(organisation)
        }
        None => RetryBudgetKey::Open,
    };
    let call = Call {
        node: node.clone(),
        retry_budget_key,
        service: id,
        head,
        body: bytes,
        prefix: Vec::new(),
        idempotent,
        head_timeout: node.settings.timing.plain_silence,
        progress: Progress::new(started),
    };
    call.add_to_retry_budget();
    forward(call).await
}

/// Service and path that a call addresses.
struct Target {
    service: String,
    /// Path and query that are sent to the backend server.
    path: String,
}

impl Target {
    fn parse(uri: &Uri) -> Self {
        let path = uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let (service, path) = path.split_once('/').unwrap_or((path, ""));
        let query = uri.query().map_or_else(String::new, |q| format!("?{q}"));
        Self {
            service: service.to_owned(),
            path: format!("/{path}{query}"),
        }
    }

    fn service<'a>(&self, cfg: &'a Configuration) -> Option<&'a Service> {
        let id = ServiceId::try_from(self.service.as_str()).ok()?;
        let service = cfg.service(&id)?;
        matches!(service.kind, ServiceKind::Plain { .. }).then_some(service)
    }

    fn uri(&self) -> Result<Uri, Problem> {
        self.path.parse().map_err(|_| {
            let status = StatusCode::BAD_REQUEST;
            Problem::not_run(status, "invalid_path", "the path of the call is not valid")
        })
    }
}

/// Returns the caller, if the service is keyed, and the service.
///
/// Without a valid key the error is the same for keyed and for unknown services, so that the
/// existence of keyed services is not disclosed.
fn authorise_caller<'a>(
    cfg: &'a Configuration,
    target: &Target,
    headers: &HeaderMap,
) -> Result<(Option<Caller>, &'a Service), Problem> {
    let service = target.service(cfg);
    if let Some(service) = service.filter(|service| service.is_open()) {
        return Ok((None, service));
    }
    let caller = auth::authenticate(cfg, headers)?;
    let service = service.ok_or_else(|| {
        let message = format!("plain service {:?} does not exist", target.service);
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
    })?;
    caller.check_access(cfg, &service.id)?;
    Ok((Some(caller), service))
}

fn reauthorise(
    cfg: &Configuration,
    caller: Option<&Caller>,
    id: &ServiceId,
) -> Result<(), Problem> {
    if let Some(caller) = caller {
        caller.check(cfg)?;
        return caller.check_access(cfg, id);
    }
    if cfg.service(id).is_some_and(Service::is_open) {
        return Ok(());
    }
    let message = "the service is no longer open to callers without a key";
    Err(Problem::not_run(
        StatusCode::UNAUTHORIZED,
        "key_required",
        message,
    ))
}

/// Removes [`REMOVED_HEADERS`] and the headers that `Connection` lists.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&REMOVED_HEADERS) {
        headers.remove(name);
    }
}

async fn forward(mut call: Call) -> Result<Response<Body>, Problem> {
    let response = loop {
        let error = match call.attempt(0).await {
            Ok(received) => match first_output(&mut call, received).await {
                Ok(response) => break response,
                Err(error) => error,
            },
            Err(error) => error,
        };
        call.retry(error)?;
    };
    call.record_added_time();
    let (mut head, body) = response.into_parts();
    let length = head.headers.remove(CONTENT_LENGTH);
    remove_connection_headers(&mut head.headers);
    if call.head.method == hyper::Method::HEAD
        && let Some(length) = length
    {
        head.headers.insert(CONTENT_LENGTH, length);
    }
    if head.status.is_client_error() || head.status.is_server_error() {
        let verdict = HeaderValue::from_static(Verdict::MayHaveRun.into());
        head.headers.insert(VERDICT_HEADER, verdict);
    }
    Ok(Response::from_parts(head, body))
}

/// Waits for the first bytes or the end of a response, before any of it is sent.
///
/// A caller that got the status of a response whose server is lost before its first byte would have
/// neither an answer nor an error.
async fn first_output(
    call: &mut Call,
    received: BackendResponse,
) -> Result<Response<Body>, AttemptError> {
    let BackendResponse {
        response,
        backend,
        guard,
    } = received;
    let (head, body) = response.into_parts();
    let mut body = RelayedBody::new(body, guard, call.head_timeout);
    let deadline = Instant::now() + call.head_timeout;
    let first = call.wait(timeout_at(deadline, body.read_first())).await;
    match first {
        Some(Ok(())) => Ok(Response::from_parts(head, body.into_body())),
        Some(Err(err)) => {
            Err(call.record_broken_response(&backend, &format!("broke its answer off: {err}")))
        }
        None => Err(call.record_broken_response(&backend, "sent nothing of its answer in time")),
    }
}
