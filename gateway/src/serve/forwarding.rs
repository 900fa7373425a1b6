//! Forwards calls about jobs to an instance that is a replica of their partition.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::header::{
    CONNECTION,
    HeaderName,
    HeaderValue,
    TRANSFER_ENCODING, //
};
use hyper::http::request;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    Body,
    SendOptions,
    TrafficClass, //
};

use super::lines::{
    JOB_REFUSED,
    log_event, //
};
use super::node::Node;
use super::replies::{
    plain,
    retry_later, //
};
use super::state::ReplicaStatus;
use super::store_relay;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::positions::CallKind;

/// Header of a call that another instance has forwarded; it is not forwarded again. The value is the
/// version of the configuration that allows the call. Older builds send 1, and no version in force
/// is older.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("x-limpetweir-passed-on");

/// Time limit for all attempts at peers together; callers wait for four seconds.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time that must be left for another replica to find out what has become of a lost call. A replica that
/// gives no outcome for longer waits for a slow store, on which a second one would be a further load.
const LOST_CALL_REST: Duration = Duration::from_millis(1_500);

/// Maximum size of a response of a replica in bytes: an encoded page of results.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// `Retry-After` of a call to which no replica responds.
const RETRY: Duration = Duration::from_millis(500);

/// A call about jobs that the configuration allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllowedCall<'a> {
    pub(crate) head: &'a request::Parts,
    pub(crate) body: &'a Bytes,
    pub(crate) kind: CallKind,
    /// Version of the configuration.
    pub(crate) version: u64,
}

/// Returns the version of the configuration that allows the call at the instance that forwarded it;
/// `None` if no instance has forwarded it.
pub(crate) fn sender_version(head: &request::Parts) -> Option<u64> {
    head.headers.get(FORWARDED)?.to_str().ok()?.parse().ok()
}

/// Forwards a call about the jobs of `partition`; returns `None` if this instance handles it
/// itself.
pub(crate) async fn forward<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
    call: AllowedCall<'_>,
) -> Option<Response<Body>> {
    let mut peers = target_addrs(node, partition, call.kind)?;
    let forwarded = call.head.headers.contains_key(FORWARDED);
    if forwarded && call.kind != CallKind::Read && writes_through_peer(node, partition) {
        return None;
    }
    if forwarded {
        peers.clear();
    }
    let deadline = Instant::now() + TIMEOUT;
    let mut rejection = None;
    let mut lost = None;
    for addr in peers {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || (lost.is_some() && remaining < LOST_CALL_REST) {
            break;
        }
        match send_call(node, addr, call, remaining).await {
            ForwardOutcome::Answered(response)
                if lost.is_some() && !call.kind.is_final_after_loss(response.status()) => {}
            ForwardOutcome::Answered(response) => return Some(response),
            ForwardOutcome::Rejected(response) => rejection = Some(response),
            ForwardOutcome::NoResponse => {}
            ForwardOutcome::Lost(cause) => lost = Some(cause),
        }
    }
    if let Some(cause) = lost {
        return Some(unknown_outcome(&cause));
    }
    if rejection.is_some() {
        return rejection;
    }
    log_event!(
        JOB_REFUSED,
        "partition={partition} status=503 cause=\"no replica responds\" passed_on={forwarded}"
    );
    let text = "no instance that holds the job answers; the call has no effect";
    Some(retry_later(StatusCode::SERVICE_UNAVAILABLE, text, RETRY))
}

/// Returns whether this instance is a replica whose appends a peer can make.
fn writes_through_peer<P>(node: &Node<P>, partition: usize) -> bool {
    node.lock().partitions[partition].is_loaded() && store_relay::is_possible(node)
}

/// Outcome of a call that was forwarded to a peer.
enum ForwardOutcome {
    /// The response is final and goes to the caller.
    Answered(Response<Body>),
    /// The peer rejected the call without executing it; another peer may accept it.
    Rejected(Response<Body>),
    /// There was no complete response, and the call has no effect.
    NoResponse,
    /// There was no complete response. The call may have taken effect, and may be repeated: a job that is
    /// submitted twice is the same job.
    Lost(String),
}

async fn send_call<P>(
    node: &Node<P>,
    addr: SocketAddr,
    call: AllowedCall<'_>,
    timeout: Duration,
) -> ForwardOutcome {
    let options = SendOptions::within(TrafficClass::Platform, timeout);
    let req = forwarded_request(call);
    let response = match node.client.send(addr, req, options).await {
        Ok(response) => response,
        Err(err) if err.verdict().allows_retry(call.kind.is_repeatable()) => {
            log::debug!("{addr} does not respond to a call about a job: {err}");
            return no_response(call.kind, err.verdict(), &err);
        }
        Err(err) => return ForwardOutcome::Lost(err.to_string()),
    };
    let (mut head, body) = response.into_parts();
    let bytes = match body.collect_bytes(MAX_RESPONSE_BYTES).await {
        Ok(bytes) => bytes,
        Err(err) => {
            log::debug!("the response of {addr} was interrupted: {err}");
            return no_response(call.kind, Verdict::Ran, &err);
        }
    };
    head.headers.remove(CONNECTION);
    head.headers.remove(TRANSFER_ENCODING);
    let response = Response::from_parts(head, Body::from(bytes));
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => ForwardOutcome::Rejected(response),
        // As from an instance that stops while it writes.
        StatusCode::GATEWAY_TIMEOUT if call.kind == CallKind::Submit => {
            ForwardOutcome::Lost("status 504".to_owned())
        }
        _ => ForwardOutcome::Answered(response),
    }
}

fn no_response(kind: CallKind, verdict: Verdict, err: &impl std::fmt::Display) -> ForwardOutcome {
    match kind.may_have_effect(verdict) {
        true => ForwardOutcome::Lost(err.to_string()),
        false => ForwardOutcome::NoResponse,
    }
}

fn unknown_outcome(err: &impl std::fmt::Display) -> Response<Body> {
    log_event!(
        JOB_REFUSED,
        "status=504 cause=\"the replica of the job did not respond: {err}\""
    );
    let text = "the holder of the job gave no answer; the call may have taken effect";
    plain(StatusCode::GATEWAY_TIMEOUT, text)
}

/// Returns the addresses of the peers to which the call is forwarded, in the order in which they
/// are tried, or `None` if this instance handles it itself.
fn target_addrs<P>(
    node: &Arc<Node<P>>,
    partition: usize,
    kind: CallKind,
) -> Option<Vec<SocketAddr>> {
    let now = node.now();
    let state = node.lock();
    let mut chosen = state.forward_targets(partition, kind, now);
    let is_loaded_here = state.replica_status[partition] == ReplicaStatus::Active
        || state.partitions[partition].is_loaded();
    if chosen.is_empty() && is_loaded_here {
        return None;
    }
    if !is_loaded_here {
        // New replicas may not have reported the partition yet, so the selected ones are tried too.
        let selected = state.replicas.partitions().get(partition);
        chosen.extend(selected.into_iter().flatten().map(String::as_str));
    }
    let public = |name: &str| Some(state.members.get(name)?.report.as_ref()?.public);
    let mut addrs: Vec<SocketAddr> = chosen.into_iter().filter_map(public).collect();
    let mut seen = HashSet::new();
    addrs.retain(|addr| seen.insert(*addr));
    Some(addrs)
}

fn forwarded_request(call: AllowedCall<'_>) -> Request<Bytes> {
    let head = call.head;
    let mut req = Request::new(call.body.clone());
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    *req.headers_mut() = head.headers.clone();
    req.headers_mut().remove(CONNECTION);
    req.headers_mut().remove(TRANSFER_ENCODING);
    req.headers_mut()
        .insert(FORWARDED, HeaderValue::from(call.version));
    req
}
