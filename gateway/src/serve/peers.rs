//! Tracking of the other instances by their records and reports, and fetching of a newer
//! configuration from one of them.

use std::net::{
    IpAddr,
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    Body,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};
use rand::Rng;

use super::apply;
use super::case_records;
use super::cold_servers;
use super::crash_messages;
use super::crashes;
use super::evacuation;
use super::heads;
use super::items;
use super::leases;
use super::lines::{
    CONFIG_FETCH_FAILED,
    CONFIG_UNREADABLE,
    PEER_DOWN,
    PEER_UP,
    log_event, //
};
use super::node::Node;
use super::registration;
use super::replies;
use super::state::ReplicaStatus;
use super::supervisor::Steps;
use super::task_kinds::OneShot;
use crate::backend::LeavingSource;
use crate::crash_message::CaseRecord;
use crate::crash_news::CrashNews;
use crate::instance::InstanceRecord;
use crate::leases::{
    LeaseAck,
    LeaseNews, //
};
use crate::members::{
    MIN_REPORT_TIMEOUT,
    Member,
    Members,
    ReportUpdate, //
};
use crate::platform::{
    Dialect,
    Record,
    Store,
    Topic, //
};
use crate::report::Report;

/// Time between two looks at which peers are reachable.
const LOOK_INTERVAL: Duration = MIN_REPORT_TIMEOUT.checked_div(4).unwrap();

/// Time in which changes of the other instances are combined, for each of them. The work that a change
/// leads to grows with their number.
const COALESCE_TIME_PER_PEER: Duration = Duration::from_micros(100);

/// Maximum size of a fetched configuration in bytes.
const MAX_CONFIG_BYTES: usize = 8 << 20;

/// Path of the configuration on the peer port.
pub(crate) const CONFIG_PATH: &str = "/configuration";

/// Applies a record of an instance from the store.
pub(crate) fn apply_record<P: Store + Dialect>(node: &Arc<Node<P>>, record: &Record) {
    if CaseRecord::has_key(&record.key) {
        case_records::apply_record(node, record);
        return;
    }
    let now = node.now();
    let mut state = node.lock();
    if record.key == node.settings.name {
        registration::apply_record(node, &mut state, record);
        return;
    }
    if record.value.is_empty() {
        state.skipped.read(Topic::Instances, &record.key);
        state.members.remove(&record.key);
        state.load.remove_peer(&record.key, now);
        state.arrivals.remove_peer(&record.key);
        state.quotas.remove_peer(&record.key);
        state.limits.remove_peer(&record.key);
        return;
    }
    let text = String::from_utf8_lossy(&record.value);
    match text.parse::<InstanceRecord>() {
        Ok(instance) => {
            state.skipped.read(Topic::Instances, &record.key);
            let addr = SocketAddr::new(instance.addr, node.settings.peer_port);
            state.members.upsert(&record.key, instance, now);
            state.backends.reserve([addr]);
        }
        Err(err) => apply::skip_record(&mut state, Topic::Instances, &record.key, &err),
    }
}

/// Applies a message of another instance.
pub(crate) fn apply_message<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    socket: &UdpSocket,
    message: &[u8],
    from: IpAddr,
) {
    if let Some(news) = CrashNews::decode(message) {
        crashes::merge(node, &news);
        return;
    }
    if let Some(news) = LeaseNews::decode(message) {
        for reply in leases::hear(node, &news) {
            crash_messages::send_to(node, socket, &reply, &[from]);
        }
        return;
    }
    if let Some(ack) = LeaseAck::decode(message) {
        leases::acknowledged(node, &ack);
        return;
    }
    let report = Report::decode(message);
    if let Some(report) = report.filter(|r| r.name != node.settings.name) {
        apply_report(node, report, from);
    }
}

fn apply_report<P: Store + Dialect>(node: &Arc<Node<P>>, report: Report, from: IpAddr) {
    node.metrics.report_received();
    let now = node.now();
    let report = Arc::new(report);
    let name = report.name.as_str();
    let version = report.version;
    let mut state = node.lock();
    let was_unreachable = !state
        .members
        .get(name)
        .is_some_and(|member| member.is_reachable(now));
    let update = state.members.apply_report(report.clone(), from, now);
    if was_unreachable || update.has_started(&report) {
        crash_messages::peer_is_back(node, &mut state, from);
    }
    if update.has_started(&report) {
        // The started peer would otherwise get no report of this instance until the next tick.
        state.started_peers.push(name.to_owned());
        let addrs = [
            SocketAddr::new(from, node.settings.peer_port),
            report.public,
        ];
        state.backends.reserve(addrs);
        node.report_due.notify(usize::MAX);
    }
    let changed = match update {
        ReportUpdate::First => true,
        ReportUpdate::Replaced(before) => {
            was_unreachable || before.changes_item_assignment(&report)
        }
        ReportUpdate::Stale => return,
    };
    let placed = state.load.apply_report(&report, now);
    if state.cells.is_own_instance(name) {
        state.arrivals.reported(name, placed, now);
    } else {
        state.arrivals.remove_peer(name);
    }
    for (backend, remaining) in &report.suspects {
        let remaining = Duration::from_millis(u64::from(*remaining));
        state.load.suspect_reported(*backend, now + remaining);
    }
    let admitted = state
        .quotas
        .apply_report(name, report.boot, &report.admitted, now);
    for (organisation, count) in admitted {
        state.usage.admitted(organisation, count, now);
    }
    state.shortages.apply_report(&report.shortages, now);
    let limits = report.limits.as_deref().unwrap_or_default();
    let limit_changes = state.limits.apply_report(name, report.boot, limits, now);
    heads::log_changes(&state, &limit_changes, name);
    cold_servers::reported(&mut state, name, &report, now);
    state.positions_reported(&report.positions, now);
    state
        .backends
        .leaving_reported(&report.leaving_backends, now);
    for run in &report.leaving_runs {
        heads::says_leaving(&mut state, *run, LeavingSource::Report, now, name);
    }
    // Before the configuration of the peer is fetched, so that nothing is served without it.
    evacuation::apply_report(node, &mut state, &report, now);
    state.config_freshness.reported(version);
    let own_version = state.config_version();
    let fetch_time = state.config_fetch.begin(version, own_version, now);
    let concerns_items = state.reports_concern_items();
    state.members_changed |= changed;
    drop(state);
    if was_unreachable {
        log_event!(PEER_UP, "peer={name} addr={from} version={version}");
    }
    if changed {
        node.members_changed.notify(usize::MAX);
    }
    if let Some(limit) = fetch_time {
        let shared = node.clone();
        let name = name.to_owned();
        let fetch = async move {
            fetch_config(&shared, name, from, limit).await;
            end_fetch(&shared);
        };
        let shared = node.clone();
        let clean_up = async move { end_fetch(&shared) };
        let task = OneShot::FetchConfiguration;
        node.supervisor.spawn_once(task, fetch, clean_up);
    }
    // Most instances of a large fleet have no items, and hear hundreds of reports per second.
    if concerns_items {
        node.balance_due.notify(usize::MAX);
    }
}

/// Lets the next fetch of a configuration begin.
fn end_fetch<P>(node: &Node<P>) {
    let now = node.now();
    let mut state = node.lock();
    let spread = state.rng.random_range(0.0..1.0);
    state.config_fetch.end(now, spread);
}

/// Updates the number of unreachable instances in the quotas, once the existing ones are known.
pub(crate) fn update_unreachable(state: &mut super::state::State, now: Timestamp) {
    let (unreachable, all) = state.members.unreachable_count(now);
    if state.instances_read_at.is_none() && all == 1 {
        return;
    }
    state.quotas.set_unreachable(unreachable, all, now);
    let (silent, senders) = state.limit_senders(now);
    state.limits.set_senders(silent, senders, now);
    cold_servers::update_senders(state, now);
}

/// Follows which peers report. Reports that arrive together count as one change: each change is compared
/// with all instances, and hundreds of them may start at the same time.
pub(crate) async fn watch<P: Store + Dialect>(node: Arc<Node<P>>, steps: Arc<Steps>) {
    // A run before this one may have ended before it had taken a change into account.
    node.lock().members_changed = true;
    let mut reachable = Vec::new();
    let mut next_look = Instant::now() + LOOK_INTERVAL;
    let mut changed = node.members_changed.listen();
    loop {
        if timeout_at(next_look, changed).await.is_some() {
            let members = node.lock().members.count();
            let members = u32::try_from(members).unwrap_or(u32::MAX);
            sleep(COALESCE_TIME_PER_PEER * members).await;
        }
        steps.step();
        changed = node.members_changed.listen();
        members_changed(&node);
        if Instant::now() >= next_look {
            next_look = Instant::now() + LOOK_INTERVAL;
            look(&node, &mut reachable);
        }
    }
}

/// Decides anew what depends on the members, if they have changed.
fn members_changed<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let now = node.now();
    let mut state = node.lock();
    if !std::mem::take(&mut state.members_changed) {
        return;
    }
    update_unreachable(&mut state, now);
    drop(state);
    items::jobs_changed(node);
}

/// Detects peers that have become unreachable and removes their load.
fn look<P: Store + Dialect>(node: &Arc<Node<P>>, reachable: &mut Vec<String>) {
    let now = node.now();
    let mut state = node.lock();
    let unreachable = update_reachable(&state.members, reachable, now);
    for (name, _) in &unreachable {
        state.load.remove_peer(name, now);
        state.arrivals.remove_peer(name);
    }
    for name in state.members.sweep(now) {
        state.quotas.remove_peer(&name);
        state.limits.remove_peer(&name);
    }
    let ended = state.limits.sweep(now);
    heads::log_changes(&state, &ended, "age");
    node.metrics.cold_servers(state.limits.cold().count(now));
    update_unreachable(&mut state, now);
    state.update_reserved(&node.settings);
    drop(state);
    for (name, timeout) in &unreachable {
        log_event!(PEER_DOWN, "peer={name} silent_ms={}", timeout.as_millis());
    }
    let may_change = node
        .lock()
        .replica_status
        .iter()
        .any(|status| *status != ReplicaStatus::Active);
    if !unreachable.is_empty() {
        items::jobs_changed(node);
    } else if may_change {
        items::time_passed(node);
    }
}

/// Updates the names of the reachable peers. Returns those that are so no longer, and the time without a
/// report after which they count as unreachable.
fn update_reachable(
    members: &Members,
    reachable: &mut Vec<String>,
    now: Timestamp,
) -> Vec<(String, Duration)> {
    let names = || members.reachable(now).map(|r| r.name.as_str());
    if names().eq(reachable.iter().map(String::as_str)) {
        return Vec::new();
    }
    let before = std::mem::replace(reachable, names().map(str::to_owned).collect());
    // Members are in the order of their names.
    let unreachable = before.into_iter();
    let unreachable = unreachable.filter(|name| reachable.binary_search(name).is_err());
    let timeout = |name: &str| {
        let member = members.get(name);
        member.map_or(MIN_REPORT_TIMEOUT, Member::report_timeout)
    };
    let unreachable = unreachable.map(|name| {
        let timeout = timeout(&name);
        (name, timeout)
    });
    unreachable.collect()
}

/// Sends the configuration in force to a peer, unless enough others are being sent it.
pub(crate) fn send_config<P>(node: &Node<P>) -> Response<Body> {
    let record = node.lock().config_record.clone();
    let Some(record) = record else {
        return Response::new(Body::empty());
    };
    let Some(send) = node.config_sends.admit(node.now()) else {
        let text = "the configuration is being sent to others";
        return replies::plain(StatusCode::SERVICE_UNAVAILABLE, text);
    };
    let body = Body::from(encode_record(&record));
    // The send ends with the body.
    let body = body.map_frame(move |frame| {
        let _held = &send;
        frame
    });
    Response::new(Body::boxed(body))
}

/// Fetches the configuration from a peer that has a newer one.
async fn fetch_config<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    peer: String,
    addr: IpAddr,
    limit: Duration,
) {
    let addr = SocketAddr::new(addr, node.settings.peer_port);
    let Ok(req) = Request::get(CONFIG_PATH).body(Bytes::new()) else {
        return;
    };
    let options = SendOptions::within(TrafficClass::Platform, limit);
    let body = match node.client.send(addr, req, options).await {
        Ok(response) if response.status() != StatusCode::OK => {
            let status = response.status().as_u16();
            log_event!(CONFIG_FETCH_FAILED, "peer={peer} cause=\"status {status}\"");
            return;
        }
        Ok(response) => response.into_body().collect_bytes(MAX_CONFIG_BYTES).await,
        Err(err) => {
            log_event!(CONFIG_FETCH_FAILED, "peer={peer} cause=\"{err}\"");
            return;
        }
    };
    let record = match body {
        Ok(body) => decode_record(&body),
        Err(err) => {
            log_event!(CONFIG_FETCH_FAILED, "peer={peer} cause=\"{err}\"");
            return;
        }
    };
    let Some(record) = record else {
        log_event!(
            CONFIG_FETCH_FAILED,
            "peer={peer} cause=\"the response is no record\""
        );
        return;
    };
    match node.platform.configuration(&record) {
        Some(Ok(config)) => apply::apply_config(node, config, &record, &peer),
        Some(Err(err)) => log_event!(CONFIG_UNREADABLE, "peer={peer} cause=\"{err}\""),
        None => {}
    }
}

/// Encodes a record for a peer: its key, a line feed and its value.
fn encode_record(record: &Record) -> Bytes {
    let mut buf = Vec::with_capacity(record.key.len() + 1 + record.value.len());
    buf.extend_from_slice(record.key.as_bytes());
    buf.push(b'\n');
    buf.extend_from_slice(&record.value);
    buf.into()
}

fn decode_record(body: &Bytes) -> Option<Record> {
    let end = body.iter().position(|byte| *byte == b'\n')?;
    let key = std::str::from_utf8(&body[..end]).ok()?.to_owned();
    Some(Record {
        key,
        value: body.slice(end + 1..),
    })
}
