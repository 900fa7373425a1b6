//! The other instances: their records, their reports, their loss, and fetching a newer
//! configuration from one.

use std::collections::HashSet;
use std::net::{
    IpAddr,
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use hyper::Request;
use hyper::body::Bytes;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::sleep;

use super::follow;
use super::items;
use super::lines::{
    CONFIG_FETCH_FAILED,
    CONFIG_UNREADABLE,
    PEER_DOWN,
    PEER_UP,
    RECORD_SKIPPED,
    line, //
};
use super::node::{
    Held,
    Node, //
};
use crate::instance::InstanceRecord;
use crate::members::{
    MIN_REPORT_TIMEOUT,
    ReportUpdate, //
};
use crate::platform::{
    Dialect,
    Record,
    Store,
    StoreError,
    Topic, //
};
use crate::report::Report;

/// Largest report in bytes that is read; a datagram holds no more.
const MAX_REPORT: usize = 64 << 10;

/// Pause after a failed receipt.
const RECEIVE_RETRY: Duration = Duration::from_millis(2);

/// Longest time to fetch something from a peer.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest configuration that is fetched.
const MAX_CONFIG: usize = 8 << 20;

/// Path of the configuration at the peer port.
pub(crate) const CONFIG_PATH: &str = "/configuration";

/// Pause after a failed write of this instance's record.
const REGISTER_RETRY: Duration = Duration::from_millis(400);

/// Takes over the record of an instance.
pub(crate) fn learn<P>(node: &Arc<Node<P>>, record: &Record) {
    if record.key == node.settings.name {
        return;
    }
    let now = node.now();
    if record.value.is_empty() {
        let mut state = node.lock();
        state.members.remove(&record.key);
        state.load.remove_peer(&record.key, now);
        state.quotas.remove_peer(&record.key);
        return;
    }
    let text = String::from_utf8_lossy(&record.value);
    match text.parse::<InstanceRecord>() {
        Ok(instance) => node.lock().members.upsert(&record.key, instance, now),
        Err(err) => line!(
            RECORD_SKIPPED,
            "topic=instances key={} cause=\"{err}\"",
            record.key
        ),
    }
}

/// Writes this instance's record until the store takes it.
pub(crate) async fn register<P: Store + Dialect>(node: Arc<Node<P>>) {
    let settings = &node.settings;
    let content = InstanceRecord {
        addr: settings.address,
        capacity: settings.capacity,
        zone: settings.zone.clone(),
    };
    let record = Record {
        key: settings.name.clone(),
        value: Bytes::from(content.to_string()),
    };
    let records = [record];
    while let Err(err) = append(&node, &records).await {
        log::debug!("the record of this instance is not written: {err}");
        sleep(REGISTER_RETRY).await;
    }
}

/// Removes this instance's record; one attempt, as peers notice the silence in any case.
pub(crate) async fn deregister<P: Store + Dialect>(node: &Arc<Node<P>>) -> Result<(), StoreError> {
    let record = Record {
        key: node.settings.name.clone(),
        value: Bytes::new(),
    };
    append(node, &[record]).await
}

async fn append<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    records: &[Record],
) -> Result<(), StoreError> {
    let result = node
        .platform
        .append(Topic::Instances, 0, None, records)
        .await;
    node.metrics.store_call(result.is_ok());
    result.map(|_| ())
}

/// Receives the reports of the other instances.
pub(crate) async fn receive<P: Store + Dialect>(node: Arc<Node<P>>, socket: Arc<Async<UdpSocket>>) {
    let mut buf = vec![0; MAX_REPORT];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => {
                let report = Report::decode(&buf[..len]);
                if let Some(report) = report.filter(|r| r.name != node.settings.name) {
                    take(&node, report, from.ip());
                }
            }
            Err(err) => {
                // A peer without a listener is reported here on some systems.
                log::debug!("receiving a report failed: {err}");
                sleep(RECEIVE_RETRY).await;
            }
        }
    }
}

fn take<P: Store + Dialect>(node: &Arc<Node<P>>, report: Report, from: IpAddr) {
    let now = node.now();
    let name = report.name.clone();
    let version = report.version;
    let mut state = node.lock();
    let was_silent = !state
        .members
        .get(&name)
        .is_some_and(|member| member.is_reachable(now));
    let update = state.members.apply_report(report.clone(), from, now);
    if update.has_started(&report) {
        // It knows nothing of this instance until the next regular round.
        state.started_peers.push(name.clone());
        node.report_due.notify(usize::MAX);
    }
    let changed = match update {
        ReportUpdate::First => true,
        ReportUpdate::Replaced(before) => was_silent || before.changes_item_assignment(&report),
        ReportUpdate::Stale => return,
    };
    state.load.apply_report(&report, now);
    for (backend, left) in &report.suspects {
        let left = Duration::from_millis(u64::from(*left));
        state.load.suspect_reported(*backend, now + left);
    }
    state
        .quotas
        .apply_report(&name, report.boot, &report.admitted);
    state.positions_reported(&report.positions, now);
    state
        .backends
        .leaving_reported(&report.leaving_backends, now);
    if changed {
        refresh_silent(&mut state, now);
    }
    let own_version = state.config.as_ref().map_or(0, |config| config.version());
    let fetches = state.config_fetch.begin(version, own_version, now);
    drop(state);
    if was_silent {
        line!(PEER_UP, "peer={name} addr={from} version={version}");
    }
    if changed {
        items::jobs_changed(node);
    }
    if fetches {
        let node = node.clone();
        let spawner = node.spawner.clone();
        let task = async move {
            fetch_config(&node, name, from).await;
            let now = node.now();
            node.lock().config_fetch.end(now);
        };
        spawner.spawn(task).detach();
    }
    node.balance_due.notify(usize::MAX);
}

/// Tells the quotas how many instances are silent, once it is known which ones exist.
pub(crate) fn refresh_silent(state: &mut super::node::State, now: Timestamp) {
    let (silent, all) = state.members.unreachable_count(now);
    if !state.instances_read && all == 1 {
        return;
    }
    state.quotas.set_unreachable(silent, all, now);
}

/// Notices peers that have fallen silent.
pub(crate) async fn watch<P: Store + Dialect>(node: Arc<Node<P>>) {
    let mut alive: HashSet<String> = HashSet::new();
    loop {
        sleep(MIN_REPORT_TIMEOUT / 4).await;
        let now = node.now();
        let mut state = node.lock();
        let present: HashSet<String> = state
            .members
            .reachable(now)
            .map(|r| r.name.clone())
            .collect();
        let silence = |name: &str| {
            state
                .members
                .get(name)
                .map_or(MIN_REPORT_TIMEOUT, |m| m.report_timeout())
        };
        let lost = alive.iter().filter(|name| !present.contains(*name));
        let lost: Vec<(String, Duration)> =
            lost.map(|name| (name.clone(), silence(name))).collect();
        for (name, _) in &lost {
            state.load.remove_peer(name, now);
        }
        for name in state.members.sweep(now) {
            state.quotas.remove_peer(&name);
        }
        refresh_silent(&mut state, now);
        drop(state);
        for (name, silence) in &lost {
            line!(PEER_DOWN, "peer={name} silent_ms={}", silence.as_millis());
        }
        let unsettled = node.lock().held.iter().any(|h| *h != Held::Yes);
        if !lost.is_empty() || unsettled {
            items::jobs_changed(&node);
        }
        alive = present;
    }
}

/// Fetches the configuration of a peer that has a newer one.
async fn fetch_config<P: Store + Dialect>(node: &Arc<Node<P>>, peer: String, addr: IpAddr) {
    let addr = SocketAddr::new(addr, node.settings.peer_port);
    let Ok(req) = Request::get(CONFIG_PATH).body(Bytes::new()) else {
        return;
    };
    let options = SendOptions::within(TrafficClass::Platform, FETCH_TIMEOUT);
    let answer = match node.client.send(addr, req, options).await {
        Ok(response) => response.into_body().collect_bytes(MAX_CONFIG).await,
        Err(err) => {
            line!(CONFIG_FETCH_FAILED, "peer={peer} cause=\"{err}\"");
            return;
        }
    };
    let record = match answer {
        Ok(body) => decode_record(&body),
        Err(err) => {
            line!(CONFIG_FETCH_FAILED, "peer={peer} cause=\"{err}\"");
            return;
        }
    };
    let Some(record) = record else {
        return;
    };
    match node.platform.configuration(&record) {
        Some(Ok(config)) => follow::apply_config(node, config, &record, &peer),
        Some(Err(err)) => line!(CONFIG_UNREADABLE, "peer={peer} cause=\"{err}\""),
        None => {}
    }
}

/// Encodes a record for a peer: its key, a line feed and its content.
pub(crate) fn encode_record(record: &Record) -> Bytes {
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
