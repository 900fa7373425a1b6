//! Sends what this instance has placed, admitted and read to the other instances.

use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_io::Async;
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::lines::{
    REPORTS_FAILED,
    line, //
};
use super::node::{
    Node,
    State,
    unix_ms, //
};
use crate::instance::is_large;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::report::Report;
use crate::report_schedule::{
    OutgoingReport,
    PeerRelation,
    Receiver,
    ReportSchedule, //
};

/// Time between two regular rounds of reports.
const INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time in which changes are gathered into one report.
const GATHER: Duration = Duration::from_millis(2);

/// Time in which changes are gathered for each instance that hears of them, so that the number of
/// reports that an instance receives per second does not grow with their number.
const GATHER_PER_PEER: Duration = Duration::from_micros(100);

/// Sends reports to the other instances: to the nearest ones in every regular round, and between
/// these to those of them with work, whose decisions depend on every change; to the others in turn.
pub(crate) async fn send<P: Store + Dialect>(node: Arc<Node<P>>, socket: Arc<Async<UdpSocket>>) {
    let mut sequence = 0;
    let mut round: usize = 0;
    let mut last_round = Instant::now();
    let mut schedule = ReportSchedule::default();
    let mut failing = false;
    let mut announced = None;
    loop {
        let due = node.report_due.listen();
        if timeout_at(last_round + INTERVAL, due).await.is_some() {
            sleep(gather_time(&node)).await;
        }
        let regular = last_round.elapsed() >= INTERVAL;
        if regular {
            last_round = Instant::now();
            round += 1;
        }
        sequence += 1;
        let (report, mut receivers) = prepare(&node, sequence);
        // Callers must not be sent to an instance that stops.
        let readiness = Some((report.ready, report.leaving));
        if announced != readiness {
            announced = readiness;
            receivers.iter_mut().for_each(|r| r.full = true);
        }
        let mut failed = None;
        for outgoing in schedule.outgoing(&report, &receivers, regular.then_some(round)) {
            send_to(&node, &socket, &outgoing, &mut failed);
        }
        if let Some(failure) = &failed
            && !failing
        {
            line!(REPORTS_FAILED, "{failure}");
        }
        failing = failed.is_some();
    }
}

fn gather_time<P>(node: &Node<P>) -> Duration {
    let mut state = node.lock();
    state.divide(&node.settings);
    let near = state.members.iter();
    let near = near
        .filter(|(name, _)| state.cells.is_own_instance(name))
        .count();
    let near = u32::try_from(near).unwrap_or(u32::MAX);
    GATHER.max(GATHER_PER_PEER * near)
}

fn send_to<P>(
    node: &Node<P>,
    socket: &Async<UdpSocket>,
    outgoing: &OutgoingReport,
    failed: &mut Option<String>,
) {
    let bytes = outgoing.report.encode();
    for addr in &outgoing.addrs {
        let addr = SocketAddr::new(*addr, node.settings.peer_port);
        // A report that the system cannot take now is superseded by the next one.
        if let Err(err) = socket.get_ref().send_to(&bytes, addr) {
            *failed = Some(format!("addr={addr} cause=\"{err}\""));
        }
    }
}

/// Builds the report of this instance and lists the others with how often they hear of it.
fn prepare<P>(node: &Arc<Node<P>>, sequence: u64) -> (Report, Vec<Receiver>) {
    let now = node.now();
    let mut state = node.lock();
    state.divide(&node.settings);
    let waiting = state.items.waiting(now, unix_ms());
    let in_time = waiting.iter().filter(|w| !w.late).count();
    let suspects = state.load.suspects(now).into_iter();
    let version = state.config.as_ref().map_or(0, |config| config.version());
    let report = Report {
        name: node.settings.name.clone(),
        boot: node.boot,
        sequence,
        // The interval is far below the range.
        next_ms: INTERVAL.as_millis() as u32,
        ready: state.can_serve() && !node.is_leaving(),
        leaving: node.is_leaving(),
        zone: node.settings.zone.clone(),
        public: node.settings.public,
        capacity: node.settings.capacity,
        version,
        online: state.load.own_online(),
        batch: state.load.own_batch().copied().collect(),
        held: state.items.held(),
        waiting: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
        waiting_in_time: u32::try_from(in_time).unwrap_or(u32::MAX),
        admitted: state.quotas.admitted(),
        suspects: suspects
            .map(|(key, left)| (key, u32::try_from(left.as_millis()).unwrap_or(u32::MAX)))
            .collect(),
        leaving_backends: state.backends.leaving(),
        positions: state.positions(),
    };
    let started = std::mem::take(&mut state.started_peers);
    let receivers = receivers(node, &state, &report, &started);
    (report, receivers)
}

fn receivers<P>(
    node: &Node<P>,
    state: &State,
    report: &Report,
    started: &[String],
) -> Vec<Receiver> {
    let settings = &node.settings;
    // Until a first peer is known the seeds may know more.
    if state.members.count() == 0 {
        let seeds = settings.seeds.iter();
        let seeds = seeds.filter(|addr| **addr != settings.address);
        let seeds = seeds.map(|addr| Receiver {
            addr: *addr,
            interval_ticks: 1,
            immediate: false,
            full: false,
        });
        return seeds.collect();
    }
    let used_cells = state.used_cells(node.now());
    let largest = state.members.instances().map(|i| i.capacity).max();
    let largest = largest.unwrap_or(0).max(settings.capacity);
    let busy = report.has_work() || is_large(settings.capacity, largest);
    let divided = state.cells.is_divided();
    let receivers = state.members.iter().map(|(name, member)| {
        let near = state.is_near(name, member, &used_cells);
        let relation = PeerRelation {
            near,
            shares_jobs: state.shares_jobs(member),
            sender_busy: busy,
            receiver_busy: member.has_work() || is_large(member.capacity, largest),
        };
        let instances = state.members.count() + 1;
        Receiver {
            addr: member.addr,
            interval_ticks: if divided {
                relation.interval_ticks(instances)
            } else {
                1
            },
            immediate: near && member.has_work(),
            full: started.contains(name),
        }
    });
    receivers.collect()
}
