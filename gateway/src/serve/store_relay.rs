//! Makes store calls about the jobs directly or through a peer, and makes such calls for peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    Body,
    RequestBody,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::timeout_at;

use super::lines::{
    STORE_CALL_RELAYED,
    log_event, //
};
use super::node::Node;
use super::replies::plain;
use super::store_call::{
    StoreCall,
    StoreCallEnd, //
};
use super::store_calls::MAX_STORE_QUEUE_TIME;
use crate::checked::excerpt;
use crate::platform::{
    Dialect,
    Page,
    Record,
    RecordRange,
    Store,
    StoreError,
    Topic, //
};
use crate::store_relay::{
    Attempts,
    JobsAnswer,
    JobsCall,
    RelayPeer,
    Way,
    ways, //
};

/// Path on the peer port to which store calls are sent.
pub(crate) const STORE_CALLS_PATH: &str = "/store-calls";

/// Time after which a call is attempted in the next way while the attempts before go on. The store
/// usually answers within 10 ms, and two such times leave a submission 200 ms of its 600 ms.
const OVERLAP_AFTER: Duration = Duration::from_millis(200);

/// Time limit of a request to a peer; its own call to the store may take one second.
const TIMEOUT: Duration = Duration::from_millis(1_200);

/// The same for a page, which the peer may request after a small call.
const PAGE_TIMEOUT: Duration = TIMEOUT
    .saturating_mul(2)
    .saturating_add(MAX_STORE_QUEUE_TIME);

/// Largest response with an outcome in bytes: a page of 1 MB in an encoding that needs a little more.
const MAX_OUTCOME_BYTES: usize = 4 << 20;

/// Bytes of a request in addition to the records, each of which has a frame of its own.
const CALL_MARGIN_BYTES: usize = 64 << 10;

/// Appends records to a partition of the jobs if it ends at `at`.
pub(crate) async fn append<P: Store + Dialect>(
    node: &Node<P>,
    partition: u32,
    at: u64,
    records: &[Record],
) -> Result<u64, StoreError> {
    let call = JobsCall::Append {
        partition,
        at,
        records: records.to_vec(),
    };
    match attempt(node, &call).await? {
        JobsAnswer::Appended(end) => Ok(end),
        JobsAnswer::Range(_) | JobsAnswer::Page(_) => Err(other_answer()),
    }
}

/// Reads the records of a partition of the jobs from offset `from` on without waiting for new ones.
pub(crate) async fn read<P: Store + Dialect>(
    node: &Node<P>,
    partition: u32,
    from: u64,
) -> Result<RecordRange, StoreError> {
    match attempt(node, &JobsCall::Read { partition, from }).await? {
        JobsAnswer::Range(range) => Ok(range),
        JobsAnswer::Appended(_) | JobsAnswer::Page(_) => Err(other_answer()),
    }
}

/// Returns a page of the newest records of a partition of the jobs.
pub(crate) async fn list<P: Store + Dialect>(
    node: &Node<P>,
    partition: u32,
    after: Option<&str>,
) -> Result<Page, StoreError> {
    let after = after.map(str::to_owned);
    let call = JobsCall::List { partition, after };
    // A page is large, so it is requested in one way only, and never twice at the same time. After a failure
    // another way may be the first one.
    let way = chosen_ways(node).into_iter().next().unwrap_or(Way::Direct);
    let result = make(node, &way, &call).await;
    log_relayed(node, &call, &way, &result);
    match result? {
        JobsAnswer::Page(page) => Ok(page),
        JobsAnswer::Appended(_) | JobsAnswer::Range(_) => Err(other_answer()),
    }
}

/// The kind of an answer is checked when it is decoded, so this does not happen.
fn other_answer() -> StoreError {
    StoreError::Unknown {
        reason: "the answer is that of another call".to_owned(),
    }
}

/// Returns whether a peer can make the calls of this instance.
pub(crate) fn is_possible<P>(node: &Node<P>) -> bool {
    let ways = chosen_ways(node);
    ways.iter().any(|way| matches!(way, Way::Peer(_)))
}

/// Returns whether the store turns this instance away while a peer can make its calls.
pub(crate) fn is_needed<P>(node: &Node<P>) -> bool {
    let ways = chosen_ways(node);
    matches!(ways.first(), Some(Way::Peer(_)))
}

/// A peer that makes a call.
#[derive(Clone, Debug)]
struct Relay {
    name: String,
    addr: SocketAddr,
}

fn chosen_ways<P>(node: &Node<P>) -> Vec<Way<Relay>> {
    let now = node.now();
    let settings = &node.settings;
    let state = node.lock();
    let peers = state.members.reachable(now).map(|report| RelayPeer {
        name: &report.name,
        same_zone: report.zone == settings.zone,
        has_access: report.store_answers && !report.leaving,
        has_failed: state.access.has_failed(&report.name, now),
    });
    let peers: Vec<RelayPeer<'_>> = peers.collect();
    let ways = ways(&settings.name, state.access.is_turned_away(), &peers);
    let ways = ways.into_iter().filter_map(|way| match way {
        Way::Direct => Some(Way::Direct),
        Way::Peer(name) => Some(Way::Peer(Relay {
            name: name.to_owned(),
            addr: SocketAddr::new(state.members.get(name)?.addr, settings.peer_port),
        })),
    });
    ways.collect()
}

/// Makes a call in one way after the other until one of them gives an outcome. The next one begins when
/// all before have failed, or when they take long; then they go on.
async fn attempt<P: Store>(node: &Node<P>, call: &JobsCall) -> Result<JobsAnswer, StoreError> {
    let ways = chosen_ways(node);
    let started = node.now();
    let mut next = 0;
    let mut overlaps = 0;
    let mut starts = true;
    let mut attempts = Attempts::default();
    let mut running = FuturesUnordered::new();
    let mut unanswered: Vec<usize> = Vec::new();
    loop {
        if let Some(way) = ways.get(next).filter(|_| starts) {
            let number = next;
            running.push(async move { (number, make(node, way, call).await) });
            unanswered.push(number);
            attempts.started();
            next += 1;
        }
        let ended = match next < ways.len() {
            true => timeout_at(Instant::now() + OVERLAP_AFTER, running.next()).await,
            false => Some(running.next().await),
        };
        match ended {
            Some(Some((number, result))) => {
                unanswered.retain(|other| *other != number);
                log_relayed(node, call, &ways[number], &result);
                if let Some(outcome) = attempts.ended(result) {
                    let late = unanswered.into_iter().filter(|other| *other < number);
                    let late: Vec<&Way<Relay>> = late.map(|n| &ways[n]).collect();
                    record_late(node, &late, started);
                    if outcome.is_ok() {
                        node.lock().access.succeeded(overlaps, number > 0);
                    }
                    return outcome;
                }
                // Another one beside those that go on is an overlap too.
                starts = unanswered.is_empty() || take_overlap(node, &mut overlaps);
            }
            Some(None) => return Err(attempts.all_ended()),
            None => {
                starts = take_overlap(node, &mut overlaps);
            }
        }
    }
}

/// Returns whether an attempt may begin beside others, and counts it.
fn take_overlap<P>(node: &Node<P>, overlaps: &mut u32) -> bool {
    let is_granted = node.lock().access.take_overlap();
    *overlaps += u32::from(is_granted);
    is_granted
}

/// Records that the ways in `late` had not answered a call that began at `started` when a later one had.
fn record_late<P: Store>(node: &Node<P>, late: &[&Way<Relay>], started: Timestamp) {
    let now = node.now();
    for way in late {
        match way {
            Way::Direct => node.store_call_overtaken(started),
            Way::Peer(peer) => node.lock().access.peer_failed(&peer.name, now),
        }
    }
}

/// Counts a call that was sent to a peer, and logs appends.
fn log_relayed<P>(
    node: &Node<P>,
    call: &JobsCall,
    way: &Way<Relay>,
    result: &Result<JobsAnswer, StoreError>,
) {
    let Way::Peer(peer) = way else {
        return;
    };
    let outcome = outcome_name(result);
    node.metrics.relayed_call("asked", call.kind(), outcome);
    if let JobsCall::Append { partition, at, .. } = call {
        let cause = result.as_ref().err().map(ToString::to_string);
        log_event!(
            STORE_CALL_RELAYED,
            "partition={partition} at={at} peer={} outcome={outcome} cause=\"{}\"",
            peer.name,
            cause.unwrap_or_default()
        );
    }
}

fn outcome_name(result: &Result<JobsAnswer, StoreError>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(StoreError::OffsetMismatch) => "offset-mismatch",
        Err(StoreError::NotDone { .. }) => "not-done",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Failed { .. }) => "failed",
        Err(StoreError::Unknown { .. }) => "unknown",
        Err(StoreError::Trimmed { .. }) => "trimmed",
    }
}

async fn make<P: Store>(
    node: &Node<P>,
    way: &Way<Relay>,
    call: &JobsCall,
) -> Result<JobsAnswer, StoreError> {
    match way {
        Way::Direct => make_directly(node, call).await,
        Way::Peer(peer) => {
            let result = send(node, peer.addr, call).await;
            let now = node.now();
            let mut state = node.lock();
            match StoreCallEnd::from(&result) {
                StoreCallEnd::Ok => state.store_load.answered(call.target()),
                StoreCallEnd::Rejected | StoreCallEnd::Unanswered => {
                    state.store_load.failed(call.target(), now);
                }
            }
            if matches!(
                result,
                Err(StoreError::NotDone { .. } | StoreError::Unknown { .. })
            ) {
                state.access.peer_failed(&peer.name, now);
            }
            drop(state);
            result
        }
    }
}

async fn make_directly<P: Store>(
    node: &Node<P>,
    call: &JobsCall,
) -> Result<JobsAnswer, StoreError> {
    match call {
        JobsCall::Append {
            partition,
            at,
            records,
        } => {
            let end = node.append_records(Topic::Jobs, *partition, Some(*at), records);
            end.await.map(JobsAnswer::Appended)
        }
        JobsCall::Read { partition, from } => {
            let kind = StoreCall::CatchUp;
            let range = node.read_records(kind, Topic::Jobs, *partition, *from, Duration::ZERO);
            range.await.map(JobsAnswer::Range)
        }
        JobsCall::List { partition, after } => {
            let page = node.list_records(Topic::Jobs, *partition, after.as_deref());
            page.await.map(JobsAnswer::Page)
        }
    }
}

/// Has the peer at `addr` make a call.
async fn send<P>(
    node: &Node<P>,
    addr: SocketAddr,
    call: &JobsCall,
) -> Result<JobsAnswer, StoreError> {
    let unknown = |reason: String| StoreError::Unknown { reason };
    let not_done = |reason: String| StoreError::NotDone { reason };
    let req = Request::post(STORE_CALLS_PATH).body(call.encode());
    let req = req.map_err(|err| not_done(err.to_string()))?;
    let timeout = match call {
        JobsCall::List { .. } => PAGE_TIMEOUT,
        JobsCall::Append { .. } | JobsCall::Read { .. } => TIMEOUT,
    };
    let options = SendOptions::within(TrafficClass::Platform, timeout);
    let response = node.client.send(addr, req, options).await;
    let response = response.map_err(|err| match err.verdict().allows_retry(false) {
        true => not_done(err.to_string()),
        false => unknown(err.to_string()),
    })?;
    match response.status() {
        StatusCode::OK => {
            let body = response.into_body().collect_bytes(MAX_OUTCOME_BYTES).await;
            let body = body.map_err(|err| unknown(err.to_string()))?;
            let outcome = call.decode_outcome(&body);
            outcome.map_err(|err| unknown(err.to_string()))?
        }
        // The peer has not made the call; older builds do not know the path.
        status @ (StatusCode::BAD_REQUEST
        | StatusCode::NOT_FOUND
        | StatusCode::REQUEST_TIMEOUT
        | StatusCode::LENGTH_REQUIRED
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::SERVICE_UNAVAILABLE) => Err(not_done(format!("{addr}: status {status}"))),
        status => Err(unknown(format!("{addr}: status {status}"))),
    }
}

/// Handles a request of a peer to make a store call. The call is made directly or not at all, so that no
/// call is relayed twice.
pub(crate) async fn receive<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    head: &request::Parts,
    body: RequestBody,
) -> Response<Body> {
    let refused = |status: StatusCode, cause: &str| {
        node.metrics.relayed_call("made", "none", "refused");
        plain(status, cause)
    };
    let Some(bytes) = content_length(head) else {
        return refused(StatusCode::LENGTH_REQUIRED, "the length is missing");
    };
    // The encoding is at most a quarter larger than the records.
    let most = (node.settings.store.call_bytes / 4).saturating_mul(5);
    let most = most.saturating_add(CALL_MARGIN_BYTES);
    if bytes > most {
        return refused(StatusCode::PAYLOAD_TOO_LARGE, "the call is too large");
    }
    let now = node.now();
    if !node.lock().access.answers(now) {
        let text = "the store does not answer this instance";
        return refused(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    let Some(_admission) = node.relay_gate.admit(bytes) else {
        let text = "too many calls of peers are in progress";
        return refused(StatusCode::SERVICE_UNAVAILABLE, text);
    };
    // Later the sender has given up.
    let body = match timeout_at(Instant::now() + TIMEOUT, body.collect_bytes()).await {
        Some(Ok(body)) => body,
        Some(Err(err)) => return refused(StatusCode::BAD_REQUEST, &err.to_string()),
        None => return refused(StatusCode::REQUEST_TIMEOUT, "the call is late"),
    };
    let call = match JobsCall::decode(&body) {
        Ok(call) => call,
        Err(err) => return refused(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    drop(body);
    if call.partition() >= node.platform.partitions(Topic::Jobs) {
        return refused(StatusCode::BAD_REQUEST, "no such partition");
    }
    let outcome = make_directly(node, &call).await;
    let name = outcome_name(&outcome);
    node.metrics.relayed_call("made", call.kind(), name);
    if let Err(err) = &outcome {
        log::debug!(
            "a store call of a peer failed: {}",
            excerpt(&err.to_string())
        );
    }
    Response::new(Body::from(JobsCall::encode_outcome(&outcome)))
}

fn content_length(head: &request::Parts) -> Option<usize> {
    head.headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
