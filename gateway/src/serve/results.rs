//! Forwards results to a peer that writes them while the store rejects the calls of this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::timeout_at;
use serde::{
    Deserialize,
    Serialize, //
};

use super::catch_up;
use super::lines::{
    RESULTS_PASSED_ON,
    log_event, //
};
use super::node::Node;
use super::rejections::reject_body;
use super::replies::plain;
use super::state::State;
use super::write_request::Reply;
use super::writer;
use crate::jobs::{
    Change,
    ChangeQueue,
    Outcome,
    PassedOn, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::positions::CallKind;

/// Path on the peer port to which results are sent.
pub(crate) const RESULTS_PATH: &str = "/results";

/// Time limit of a request to a peer to write results; it writes them in one or two appends.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for writing the results of a peer; shorter than the time limit of the sender.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time limit for the confirmation by the store that a job does not exist; it leaves the rest of
/// [`WRITE_TIMEOUT`] for the append.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time for the body of a request of a peer, which has given up by then.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response with the outcomes of results in bytes; each takes about ten.
const MAX_OUTCOMES_BYTES: usize = 256 << 10;

/// Request body with results of one partition.
#[derive(Deserialize, Serialize)]
struct Wire {
    partition: usize,
    results: Vec<WireResult>,
}

#[derive(Deserialize, Serialize)]
struct WireResult {
    job: String,
    item: usize,
    outcome: Outcome,
    text: String,
}

/// Forwards the waiting results to a peer if the store responds to that peer but not to this
/// instance, and removes those that the peer has written. As every append is conditional, a result
/// counts once even if an earlier append by this instance took effect without a response.
pub(crate) async fn forward<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
    accepted: &mut ChangeQueue<Reply>,
) {
    let Some((peer, addr)) = chosen_peer(node, partition) else {
        return;
    };
    let mut bytes = 0;
    let passed_on = accepted.pass_on(|change| match change {
        Change::Finish { text, .. } if bytes < node.settings.store.call_bytes / 2 => {
            bytes += text.len();
            true
        }
        _ => false,
    });
    let results: Vec<_> = passed_on
        .iter()
        .filter_map(|q| wire_result(&q.change))
        .collect();
    if results.is_empty() {
        return;
    }
    let count = results.len();
    let outcome = send(node, addr, &Wire { partition, results }).await;
    log_event!(
        RESULTS_PASSED_ON,
        "partition={partition} results={count} peer={peer} outcome=\"{}\"",
        outcome
            .as_ref()
            .map_or_else(String::as_str, |outcomes| describe(outcomes))
    );
    accepted.passed_on_ended(&outcome.unwrap_or_default());
}

fn describe(outcomes: &[PassedOn]) -> &'static str {
    match outcomes.iter().all(|outcome| *outcome == PassedOn::Written) {
        true => "written",
        false => "partly written",
    }
}

/// Returns a peer that can write to the partition, if this instance cannot.
fn chosen_peer<P>(node: &Node<P>, partition: usize) -> Option<(String, SocketAddr)> {
    let now = node.now();
    let state = node.lock();
    let peers = state.forward_targets(partition, CallKind::Submit, now);
    let name = *peers.first()?;
    let addr = state.members.get(name)?.addr;
    let addr = SocketAddr::new(addr, node.settings.peer_port);
    Some((name.to_owned(), addr))
}

fn wire_result(change: &Change) -> Option<WireResult> {
    let Change::Finish {
        job,
        item,
        outcome,
        text,
    } = change
    else {
        return None;
    };
    Some(WireResult {
        job: job.clone(),
        item: *item,
        outcome: *outcome,
        text: text.clone(),
    })
}

/// Returns the outcome of each result.
async fn send<P>(node: &Node<P>, addr: SocketAddr, wire: &Wire) -> Result<Vec<PassedOn>, String> {
    let mut buf = Vec::new();
    ciborium::into_writer(wire, &mut buf).map_err(|err| err.to_string())?;
    let req = Request::post(RESULTS_PATH).body(Bytes::from(buf));
    let req = req.map_err(|err| err.to_string())?;
    let options = SendOptions::within(TrafficClass::Platform, TIMEOUT);
    let response = node.client.send(addr, req, options).await;
    let response = response.map_err(|err| err.to_string())?;
    match response.status() {
        StatusCode::OK => Ok(vec![PassedOn::Written; wire.results.len()]),
        StatusCode::MULTI_STATUS => {
            let body = response.into_body().collect_bytes(MAX_OUTCOMES_BYTES).await;
            let body = body.map_err(|err| err.to_string())?;
            ciborium::from_reader(&body[..]).map_err(|err| err.to_string())
        }
        status => Err(format!("status {status}")),
    }
}

/// Returns whether this instance knows the jobs of all results. It may have read less than the sender.
fn knows_jobs<P>(node: &Node<P>, wire: &Wire) -> bool {
    let state = node.lock();
    let mut results = wire.results.iter();
    results.all(|result| state.job(wire.partition, &result.job).is_some())
}

/// Handles a request of a peer to write its results.
pub(crate) async fn receive<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    body: RequestBody,
) -> Response<Body> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let held = match node.bodies.read(body, deadline).await {
        Ok(held) => held,
        Err(err) => return reject_body(node, "results", &err),
    };
    let wire: Wire = match ciborium::from_reader(&held.bytes[..]) {
        Ok(wire) => wire,
        Err(err) => return plain(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let partition = wire.partition;
    // Otherwise two instances that cannot reach the store could forward results to each other
    // endlessly.
    let lost = |state: &State| {
        state
            .freshness
            .get(partition)
            .is_none_or(|freshness| freshness.lost)
    };
    if lost(&node.lock()) {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "the store does not answer");
    }
    let deadline = Instant::now() + WRITE_TIMEOUT;
    if !knows_jobs(node, &wire) {
        // The sender gives up a result whose job does not exist, so an outdated copy must not say that.
        let confirmation = catch_up::confirm(node, partition, node.now(), CONFIRM_TIMEOUT).await;
        if confirmation.is_none() {
            let text = "it is not known whether the jobs exist";
            return plain(StatusCode::SERVICE_UNAVAILABLE, text);
        }
    }
    let writes = wire.results.into_iter().map(|result| {
        let change = Change::Finish {
            job: result.job,
            item: result.item,
            outcome: result.outcome,
            text: result.text,
        };
        timeout_at(deadline, writer::write(node, partition, change))
    });
    // The writer combines the queued changes into one append.
    let written = futures_util::future::join_all(writes).await;
    let outcomes = written
        .into_iter()
        .map(|w| w.map_or(PassedOn::Unknown, PassedOn::from));
    let outcomes: Vec<PassedOn> = outcomes.collect();
    if outcomes.iter().all(|outcome| *outcome == PassedOn::Written) {
        return plain(StatusCode::OK, "written");
    }
    let mut buf = Vec::new();
    if let Err(err) = ciborium::into_writer(&outcomes, &mut buf) {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string());
    }
    // Builds that know no outcomes of single results take any other status than 200 for a failure.
    let mut response = Response::new(Body::from(buf));
    *response.status_mut() = StatusCode::MULTI_STATUS;
    response
}
