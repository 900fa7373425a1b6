//! Responses to requests that are denied, rejected or have failed.

use std::time::{
    Duration,
    Instant, //
};

use hyper::header::{
    CONNECTION,
    HeaderValue, //
};
use hyper::http::request;
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    BodyError, //
};

use super::admitted::Admitted;
use super::attempt_history::AttemptHistory;
use super::choose::Rejection;
use super::lines::{
    JOB_REFUSED,
    REFUSED,
    REQUEST_FAILED,
    log_event, //
};
use super::node::Node;
use super::replies::{
    plain,
    retry_later, //
};
use super::{
    crashes,
    forwarding,
    heads, //
};
use crate::memory::ReadError;
use crate::placement::Candidate;
use crate::platform::CallHead;
use crate::routing::Denial;

/// `Retry-After` of a request while no configuration or no backend server of the service is known.
pub(crate) const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` of a request that a newer configuration may allow. A newer one that a peer has is
/// usually fetched within this time.
const OUTDATED_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Returns a rejection if another instance has forwarded the call and has a newer configuration
/// than `version`, which may deny what the newer one allows. The sender tries the next replica. The
/// version in the header is not recorded, because callers can send the header too.
pub(crate) fn reject_newer_sender(
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
/// Callers do not retry after 404, 401, 413 and 431, so these are returned only if no newer
/// configuration can allow the request, and 404 and 401 only if no instance can use an older one that
/// allows it: that instance may have forwarded it.
pub(crate) fn deny<P>(
    node: &Node<P>,
    call: &CallHead,
    version: u64,
    denial: Denial,
) -> Response<Body> {
    let now = node.now();
    let (is_current, age, unknown_until) = {
        let state = node.lock();
        let freshness = &state.config_freshness;
        let unknown_until = state.config.as_ref().and_then(|c| c.unknown_until());
        // Without other instances no other version is in use.
        let is_alone = state.instances_read_at.is_some() && state.members.count() == 0;
        let unknown_until = unknown_until.filter(|_| !is_alone);
        let is_current = freshness.is_current(version, now);
        (is_current, freshness.age(now), unknown_until)
    };
    let (id, host) = (&call.request_id, &call.host);
    let confirmed_ms = age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string());
    let until = denial.allowed_until().max(unknown_until);
    if is_current && until.is_some_and(|until| now < until) {
        log_event!(
            REFUSED,
            "request={id} status=503 cause=changed-configuration denial={denial} host={host} version={version}"
        );
        return outdated();
    }
    if !is_current {
        log_event!(
            REFUSED,
            "request={id} status=503 cause=outdated-configuration denial={denial} host={host} version={version} confirmed_ms={confirmed_ms}"
        );
        return outdated();
    }
    let (status, text) = match denial {
        Denial::NoRoute | Denial::RouteRemoved { .. } => {
            let text = "no route for this host and path".to_owned();
            (StatusCode::NOT_FOUND, text)
        }
        Denial::UnknownKey | Denial::KeyRemoved { .. } => {
            let text = "the key is not known".to_owned();
            (StatusCode::UNAUTHORIZED, text)
        }
        Denial::HeadTooLarge { limit } => {
            let text = format!("the head is longer than {limit} bytes");
            (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, text)
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

/// `Retry-After` of a request that comes too late in a stop; the caller has to use another instance.
const STOPPING_RETRY: Duration = Duration::ZERO;

/// Returns a rejection if a request that may take until `deadline` may outlast the stop of this
/// instance, which would close its connection without an answer.
pub(crate) fn reject_late_in_stop<P>(
    node: &Node<P>,
    id: &str,
    deadline: Instant,
) -> Option<Response<Body>> {
    if !node.stop.ends_before(deadline) {
        return None;
    }
    let left = node.stop.remaining().unwrap_or_default();
    let needs = deadline.saturating_duration_since(Instant::now());
    log_event!(
        REFUSED,
        "request={id} status=503 cause=stopping needs_ms={} left_ms={}",
        needs.as_millis(),
        left.as_millis()
    );
    let text = "this instance stops; the request has not run";
    Some(retry_later(
        StatusCode::SERVICE_UNAVAILABLE,
        text,
        STOPPING_RETRY,
    ))
}

/// Returns the response to a request that has no response when the stop of this instance ends.
pub(crate) fn fail_at_stop<P>(node: &Node<P>, admitted: &Admitted) -> Response<Body> {
    log_event!(
        REQUEST_FAILED,
        "request={} status=504 got=nothing route={} cause=stopping version={}",
        admitted.call.request_id,
        admitted.route.name,
        admitted.version
    );
    node.metrics.online("failed", admitted.arrived.elapsed());
    let text = "this instance stops; the request may have run";
    plain(StatusCode::GATEWAY_TIMEOUT, text)
}

/// Returns the response to a call about a job that has no response when the stop of this instance ends.
pub(crate) fn fail_call_at_stop(id: &str) -> Response<Body> {
    log_event!(JOB_REFUSED, "request={id} status=504 cause=stopping");
    let text = "this instance stops; the call may have taken effect";
    plain(StatusCode::GATEWAY_TIMEOUT, text)
}

/// `Retry-After` of a request for whose body there is no memory; about the time in which bodies arrive.
const NO_MEMORY_RETRY: Duration = Duration::from_millis(1_000);

/// Returns the response to a request whose body was not read.
pub(crate) fn reject_body<P>(node: &Node<P>, id: &str, err: &ReadError) -> Response<Body> {
    let err = match err {
        ReadError::Body(err) => err,
        ReadError::NoRoom => return reject_without_memory(node, "no-memory"),
        ReadError::Released => return reject_without_memory(node, "slow-body"),
    };
    let status = match err {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Stalled { .. } | BodyError::Deadline => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::BAD_REQUEST,
    };
    log_event!(
        REFUSED,
        "request={id} status={} cause=\"{err}\"",
        status.as_u16()
    );
    plain(status, &err.to_string())
}

/// Returns the response to a request that is refused for the memory of its body. It has no line of its own: many
/// may come at once, and LW2518 counts them.
fn reject_without_memory<P>(node: &Node<P>, cause: &'static str) -> Response<Body> {
    node.metrics.client_limited(cause, 1);
    let text = "no memory for the body now; the request has not run";
    let mut response = retry_later(StatusCode::SERVICE_UNAVAILABLE, text, NO_MEMORY_RETRY);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Returns the response to a request that another instance probes, or none now.
pub(crate) fn reject_held<P>(
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
) -> Response<Body> {
    let now = node.now();
    let hold = node.lock().hold(&admitted.parts, now);
    let rejection = match hold {
        Some(hold) => Rejection::held(hold.case),
        // The case was closed meanwhile.
        None => Rejection {
            cause: "held-back",
            retry_after: NO_CONFIG_RETRY,
            case: None,
            limits: None,
            room: None,
            is_final: true,
        },
    };
    reject(node, admitted, history, rejection)
}

pub(crate) fn reject_over_quota<P>(node: &Node<P>, admitted: &Admitted) -> Option<Response<Body>> {
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
pub(crate) fn reject<P>(
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
    rejection: Rejection,
) -> Response<Body> {
    if history.runs > 0 {
        return fail(node, admitted, rejection.cause);
    }
    if let Some(organisation) = &admitted.organisation {
        node.lock().quotas.refund(&organisation.name);
    }
    let id = &admitted.call.request_id;
    if let Some(case) = &rejection.case {
        node.lock().quarantine.count_held(case);
    }
    let case = rejection.case.as_deref().map(crashes::describe);
    let limits = rejection.limits.map(heads::describe_limits);
    let room = rejection.room.map(Room::describe);
    let details: Vec<String> = [case, limits, room].into_iter().flatten().collect();
    log_event!(
        REFUSED,
        "request={id} status=503 cause={} route={} tried={} retry_after_ms={} version={} {}",
        rejection.cause,
        admitted.route.name,
        history.tried.len(),
        rejection.retry_after.as_millis(),
        admitted.version,
        details.join(" ")
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

/// What the servers of a service run when a request finds no room.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    /// Number of servers that were considered.
    servers: usize,
    /// Number of those that are suspected or silent.
    suspected: usize,
    /// Sum of their slots.
    slots: u32,
    /// Online requests of all instances on them.
    online: u32,
    /// Items of all instances on them.
    batch: u32,
}

impl Room {
    pub(crate) fn of(candidates: &[Candidate]) -> Self {
        let mut room = Self::default();
        for candidate in candidates {
            room.servers += 1;
            room.suspected += usize::from(candidate.suspect);
            room.slots = room.slots.saturating_add(candidate.slots);
            room.online = room.online.saturating_add(candidate.placed.online);
            room.batch = room.batch.saturating_add(candidate.placed.batch);
        }
        room
    }

    /// Returns the fields of a line.
    fn describe(self) -> String {
        format!(
            "servers={} suspected={} slots={} online={} batch={}",
            self.servers, self.suspected, self.slots, self.online, self.batch
        )
    }
}

/// Returns the response to a request that may have run but received no response.
pub(crate) fn fail<P>(node: &Node<P>, admitted: &Admitted, cause: &str) -> Response<Body> {
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
        "request={id} status={status_code} got=nothing route={} cause=\"{cause}\" version={}",
        admitted.route.name,
        admitted.version
    );
    node.metrics.online("failed", admitted.arrived.elapsed());
    plain(
        status,
        "the backend server gave no answer; the request may have run",
    )
}
