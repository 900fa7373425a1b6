//! Passes calls about jobs on to an instance that holds them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use crate::members::holders;
use crate::platform::{
    Dialect,
    Store, //
};

/// Header of a call that another instance has passed on; it is not passed on again.
const PASSED_ON: HeaderName = HeaderName::from_static("x-limpetweir-passed-on");

/// Longest wait for the holder; callers wait for four seconds.
const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Largest answer of a holder: a page of results in its encoding.
const ANSWER_BYTES: usize = 4 << 20;

/// When a caller should repeat a call while no holder answers.
const RETRY: Duration = Duration::from_millis(500);

/// Whether a call may be made again after it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// It may.
    Safe,
    /// The caller decides.
    Never,
}

/// Passes a call about the jobs of `partition` on; returns `None` if this instance holds them.
pub(crate) async fn pass_on<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
    head: &request::Parts,
    body: &Bytes,
    repeat: Repeat,
) -> Option<Response<Body>> {
    let passed_on = head.headers.contains_key(PASSED_ON);
    let holders = others(node, partition)?;
    if !passed_on {
        for addr in holders {
            let req = again(head, body);
            let options = SendOptions::within(TrafficClass::Platform, TIMEOUT);
            match node.client.send(addr, req, options).await {
                Ok(response) => {
                    let (mut head, body) = response.into_parts();
                    match body.collect_bytes(ANSWER_BYTES).await {
                        Ok(bytes) => {
                            head.headers.remove(CONNECTION);
                            head.headers.remove(TRANSFER_ENCODING);
                            return Some(Response::from_parts(head, Body::from(bytes)));
                        }
                        Err(err) if repeat == Repeat::Never => return Some(unknown(&err)),
                        Err(err) => log::debug!("the answer of {addr} was cut off: {err}"),
                    }
                }
                Err(err) if err.verdict().allows_retry(repeat == Repeat::Safe) => {
                    log::debug!("{addr} does not answer a call about a job: {err}");
                }
                Err(err) => return Some(unknown(&err)),
            }
        }
    }
    line!(
        JOB_REFUSED,
        "partition={partition} status=503 cause=\"no holder answers\" passed_on={passed_on}"
    );
    let text = "no instance that holds the job answers; the call has no effect";
    Some(retry_later(StatusCode::SERVICE_UNAVAILABLE, text, RETRY))
}

fn unknown(err: &impl std::fmt::Display) -> Response<Body> {
    line!(
        JOB_REFUSED,
        "status=504 cause=\"the holder of the job gave no answer: {err}\""
    );
    let text = "the holder of the job gave no answer; the call may have taken effect";
    plain(StatusCode::GATEWAY_TIMEOUT, text)
}

/// Returns the addresses of the holders, or `None` if this instance holds the partition.
fn others<P>(node: &Arc<Node<P>>, partition: usize) -> Option<Vec<SocketAddr>> {
    let now = node.now();
    let state = node.lock();
    if state.held[partition] == Held::Yes || state.partitions[partition].is_loaded() {
        return None;
    }
    let alive: Vec<_> = state.members.alive(now).filter(|r| r.ready).collect();
    let names: Vec<&str> = alive.iter().map(|r| r.name.as_str()).collect();
    let holders = holders(partition, &names);
    let addr = |name: &&str| alive.iter().find(|r| r.name == *name).map(|r| r.public);
    Some(holders.iter().filter_map(addr).collect())
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
