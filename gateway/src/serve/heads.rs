//! What backend servers say about themselves in the heads of their responses.

use std::sync::Arc;

use hyper::StatusCode;
use hyper::http::response;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::ConnectionUse;

use super::admitted::Admitted;
use super::choose::{
    LimitsMet,
    PlacedRequest, //
};
use super::cold_servers;
use super::lines::{
    BACKEND_LEAVES,
    LIMIT_BEGAN,
    LIMIT_CHANGED,
    LIMIT_ENDED,
    LIMIT_INVALID,
    log_event, //
};
use super::node::Node;
use super::state::State;
use crate::backend::{
    BackendEntry,
    LeavingSource,
    RunKey, //
};
use crate::platform::{
    Dialect,
    ResponseHead,
    Store, //
};
use crate::server_limit::{
    LimitChange,
    StatedLimit,
    Statement, //
};

/// A request or item that was sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest<'a> {
    /// Its identifier; empty if the caller sent none.
    pub(crate) id: &'a str,
    pub(crate) entry: &'a BackendEntry,
    /// When it was sent, or earlier.
    pub(crate) at: Timestamp,
    pub(crate) sent_on: ConnectionUse,
    /// Whether it may run once only, so that its caller relies on a refusal.
    pub(crate) runs_once: bool,
}

impl<'a> SentRequest<'a> {
    /// Describes a request of a caller.
    pub(crate) fn new<P: Store + Dialect>(
        admitted: &'a Admitted,
        placed: &'a PlacedRequest<P>,
        sent_on: ConnectionUse,
    ) -> Self {
        Self {
            id: &admitted.call.request_id,
            entry: &placed.entry,
            at: placed.chosen_at,
            sent_on,
            runs_once: !admitted.route.idempotent(),
        }
    }
}

/// What the head of a response says about the request that it was read for.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Verdict {
    /// It is the response to the request.
    Response(ResponseHead),
    /// The server did not run the request.
    NotRun(String),
    /// The response belongs to another request, at least in part, and says nothing about this one or its
    /// server. The connection must be closed.
    Foreign(String),
    /// The status promises the caller of a request that may run once only that it has not run, but the
    /// server does not state it. The response must not be passed on, and the connection must be closed.
    Unstated(String),
}

/// Statuses with which a caller is told that its request has not run. 421 is one too, and states it by itself.
const REFUSALS: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns the verdict of a head and counts it, and applies what the server says about itself.
pub(crate) fn examine<P: Dialect>(
    node: &Arc<Node<P>>,
    sent: SentRequest<'_>,
    head: &response::Parts,
) -> Verdict {
    let verdict = judge(node, sent, head);
    node.metrics.response_head((&verdict).into(), sent.sent_on);
    verdict
}

/// Returns the verdict of a head, and applies what the server says about itself.
///
/// The identifier is compared first: a refusal of an earlier request, or one without an identifier,
/// must not be taken for that of a request that the server runs.
fn judge<P: Dialect>(
    node: &Arc<Node<P>>,
    sent: SentRequest<'_>,
    head: &response::Parts,
) -> Verdict {
    let decoded = node.platform.response(head);
    let status = head.status.as_u16();
    // A server answers a request without an identifier without one.
    if decoded.request_id.as_deref().unwrap_or_default() != sent.id {
        let cause = format!("the response with status {status} belongs to another request");
        return Verdict::Foreign(cause);
    }
    if decoded.is_joined {
        let cause =
            format!("the head with status {status} is joined with that of another response");
        return Verdict::Foreign(cause);
    }
    apply(node, sent, &decoded);
    if decoded.not_run {
        return Verdict::NotRun(format!("status {status}"));
    }
    if sent.runs_once && REFUSALS.contains(&head.status) {
        return Verdict::Unstated(format!(
            "status {status} without a statement that it has not run"
        ));
    }
    Verdict::Response(decoded)
}

fn apply<P>(node: &Arc<Node<P>>, sent: SentRequest<'_>, head: &ResponseHead) {
    let SentRequest { entry, at, .. } = sent;
    let now = node.now();
    let run = entry.run();
    let mut state = node.lock();
    if let StatedLimit::Invalid(text) = &head.limit
        && state.limits.invalid(run, now)
    {
        log_event!(LIMIT_INVALID, "backend={} value={text:?}", entry.id);
    }
    if let Some(change) = state.limits.stated(run, &head.limit, at, now) {
        log_change(&entry.id, change, "response");
        node.report_due.notify(usize::MAX);
    }
    if let Some(stated) = &head.cold_remaining
        && cold_servers::responded(&mut state, entry, stated, now)
    {
        node.report_due.notify(usize::MAX);
    }
    let source = LeavingSource::Response;
    let teller = match head.misdirected {
        // The entry of a server that has ended may be out of date for as long as the store is.
        true => "misdirected",
        false => "response",
    };
    let leaves = head.leaving || head.misdirected;
    if leaves && says_leaving(&mut state, run, source, now, teller) {
        node.report_due.notify(usize::MAX);
    }
}

/// Records that `run` said that it leaves; returns whether that is new. `teller` is logged.
pub(crate) fn says_leaving(
    state: &mut State,
    run: RunKey,
    source: LeavingSource,
    now: Timestamp,
    teller: &str,
) -> bool {
    let is_new = state.backends.says_leaving(run, source, now);
    if is_new && let Some(backend) = state.backends.of_run(run) {
        let id = &backend.entry.id;
        log_event!(BACKEND_LEAVES, "backend={id} source={teller}");
    }
    is_new
}

/// Logs changes that another instance reports.
pub(crate) fn log_changes(state: &State, changes: &[(RunKey, LimitChange)], source: &str) {
    for (run, change) in changes {
        if let Some(backend) = state.backends.of_run(*run) {
            log_change(&backend.entry.id, *change, source);
        }
    }
}

fn log_change(backend: &str, change: LimitChange, source: &str) {
    match change {
        LimitChange::Began(rate) => {
            log_event!(LIMIT_BEGAN, "backend={backend} rate={rate} source={source}");
        }
        LimitChange::Changed { before, rate } => {
            log_event!(
                LIMIT_CHANGED,
                "backend={backend} rate={rate} before={before} source={source}"
            );
        }
        LimitChange::Ended(before) => {
            log_event!(
                LIMIT_ENDED,
                "backend={backend} before={before} source={source}"
            );
        }
    }
}

/// Returns the fields of a line about a server with a limit; empty without one.
pub(crate) fn describe(limit: Option<Statement>, now: Timestamp) -> String {
    let rate = limit.and_then(|s| Some((s.rate?, s.age(now))));
    rate.map_or_else(String::new, |(rate, age)| {
        format!(" limit={rate} limit_age_ms={}", age.as_millis())
    })
}

/// Returns the fields of a line about limits that keep a request away.
pub(crate) fn describe_limits(met: LimitsMet) -> String {
    format!(
        "limited_servers={} limits={:.1} oldest_ms={}",
        met.servers,
        met.rate,
        met.oldest.as_millis()
    )
}
