//! Passes calls about jobs on to an instance that holds them.

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
use limpetweir_transport::http::{
    Body,
    SendOptions,
    TrafficClass, //
};

use super::lines::{
    JOB_REFUSED,
    line, //
};
use super::node::{
    Held,
    Node, //
};
use super::replies::{
    plain,
    retry_later, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::positions::CallKind;
use crate::replicas::replicas;

/// Header of a call that another instance has passed on; it is not passed on again.
const PASSED_ON: HeaderName = HeaderName::from_static("x-limpetweir-passed-on");

/// Longest wait for the answers of peers; callers wait for four seconds.
const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Largest answer of a holder: a page of results in its encoding.
const ANSWER_BYTES: usize = 4 << 20;

/// When a caller should repeat a call while no holder answers.
const RETRY: Duration = Duration::from_millis(500);

/// Passes a call about the jobs of `partition` on; returns `None` if this instance answers it.
pub(crate) async fn pass_on<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
    head: &request::Parts,
    body: &Bytes,
    kind: CallKind,
) -> Option<Response<Body>> {
    let mut peers = others(node, partition, kind)?;
    let passed_on = head.headers.contains_key(PASSED_ON);
    if passed_on {
        peers.clear();
    }
    let deadline = Instant::now() + TIMEOUT;
    let mut refusal = None;
    for addr in peers {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        match ask(node, addr, again(head, body), left, kind).await {
            Asked::Answered(answer) => return Some(answer),
            Asked::Refused(answer) => refusal = Some(answer),
            Asked::Lost => {}
        }
    }
    if refusal.is_some() {
        return refusal;
    }
    line!(
        JOB_REFUSED,
        "partition={partition} status=503 cause=\"no holder answers\" passed_on={passed_on}"
    );
    let text = "no instance that holds the job answers; the call has no effect";
    Some(retry_later(StatusCode::SERVICE_UNAVAILABLE, text, RETRY))
}

/// What came of a call at a peer.
enum Asked {
    /// The caller gets this answer.
    Answered(Response<Body>),
    /// The peer refused and did nothing; another one may take the call.
    Refused(Response<Body>),
    /// There was no answer, and the call may be made again.
    Lost,
}

async fn ask<P>(
    node: &Node<P>,
    addr: SocketAddr,
    req: Request<Bytes>,
    timeout: Duration,
    kind: CallKind,
) -> Asked {
    let options = SendOptions::within(TrafficClass::Platform, timeout);
    let response = match node.client.send(addr, req, options).await {
        Ok(response) => response,
        Err(err) if err.verdict().allows_retry(kind.is_repeatable()) => {
            log::debug!("{addr} does not answer a call about a job: {err}");
            return Asked::Lost;
        }
        Err(err) => return Asked::Answered(unknown(&err)),
    };
    let (mut head, body) = response.into_parts();
    let bytes = match body.collect_bytes(ANSWER_BYTES).await {
        Ok(bytes) => bytes,
        Err(err) if kind.is_repeatable() => {
            log::debug!("the answer of {addr} was cut off: {err}");
            return Asked::Lost;
        }
        Err(err) => return Asked::Answered(unknown(&err)),
    };
    head.headers.remove(CONNECTION);
    head.headers.remove(TRANSFER_ENCODING);
    let answer = Response::from_parts(head, Body::from(bytes));
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        Asked::Refused(answer)
    } else {
        Asked::Answered(answer)
    }
}

fn unknown(err: &impl std::fmt::Display) -> Response<Body> {
    line!(
        JOB_REFUSED,
        "status=504 cause=\"the holder of the job gave no answer: {err}\""
    );
    let text = "the holder of the job gave no answer; the call may have taken effect";
    plain(StatusCode::GATEWAY_TIMEOUT, text)
}

/// Returns the addresses of the instances that answer the call, the best one first, or `None` if
/// this one does.
fn others<P>(node: &Arc<Node<P>>, partition: usize, kind: CallKind) -> Option<Vec<SocketAddr>> {
    let now = node.now();
    let state = node.lock();
    let mut chosen = state.forward_targets(partition, kind, now);
    let here = state.held[partition] == Held::Yes || state.partitions[partition].is_loaded();
    if chosen.is_empty() && here {
        return None;
    }
    if !here {
        // A holder that has just taken the partition over has not stated it yet.
        chosen.extend(replicas(partition, &state.ready_peers(now)));
    }
    let public = |name: &str| Some(state.members.get(name)?.report.as_ref()?.public);
    let mut addrs: Vec<SocketAddr> = chosen.into_iter().filter_map(public).collect();
    let mut seen = HashSet::new();
    addrs.retain(|addr| seen.insert(*addr));
    Some(addrs)
}

fn again(head: &request::Parts, body: &Bytes) -> Request<Bytes> {
    let mut req = Request::new(body.clone());
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    *req.headers_mut() = head.headers.clone();
    req.headers_mut().remove(CONNECTION);
    req.headers_mut().remove(TRANSFER_ENCODING);
    req.headers_mut()
        .insert(PASSED_ON, HeaderValue::from_static("1"));
    req
}
