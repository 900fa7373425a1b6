//! Sends reports of what this instance has placed, admitted and read to the other instances.

use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::{
    MovingTimer,
    sleep, //
};

use super::datagrams;
use super::lines::{
    REPORTS_FAILED,
    log_event, //
};
use super::node::{
    Node,
    unix_ms, //
};
use super::state::State;
use super::supervisor::Steps;
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

/// Time between two report ticks.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time in which changes are combined into one report.
const MIN_COALESCE_TIME: Duration = Duration::from_millis(2);

/// Time in which changes are combined into one report, for each instance in the own cell. The
/// number of reports that an instance receives per second thus does not grow with the number of
/// instances.
const COALESCE_TIME_PER_PEER: Duration = Duration::from_micros(100);

/// Sends reports to the other instances. The nearest ones get a report at every report tick; those
/// of them with work also get one after every change, because their decisions depend on it. The
/// others get one in turn, every few ticks.
///
/// `sequence` is the number of the last report of this process.
pub(crate) async fn send<P: Store + Dialect>(
    node: Arc<Node<P>>,
    socket: Arc<UdpSocket>,
    sequence: Arc<AtomicU64>,
    steps: Arc<Steps>,
) {
    let mut tick: usize = 0;
    let mut last_tick = Instant::now();
    let mut next_tick = MovingTimer::default();
    let mut schedule = ReportSchedule::default();
    let mut failing = false;
    let mut last_readiness = None;
    loop {
        let due = node.report_due.listen();
        let wait = next_tick.timeout_at(last_tick + REPORT_INTERVAL, due);
        if wait.await.is_some() {
            sleep(coalesce_time(&node)).await;
        }
        let is_tick = last_tick.elapsed() >= REPORT_INTERVAL;
        if is_tick {
            last_tick = Instant::now();
            tick += 1;
        }
        steps.step();
        let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (report, mut receivers) = prepare(&node, number);
        // A change of the readiness is sent to all peers immediately, because they must not direct
        // callers to an instance that is shutting down.
        let readiness = Some((report.ready, report.leaving));
        if last_readiness != readiness {
            last_readiness = readiness;
            receivers.iter_mut().for_each(|r| r.full = true);
        }
        let mut failed = None;
        for outgoing in schedule.outgoing(&report, &receivers, is_tick.then_some(tick)) {
            send_to(&node, &socket, &outgoing, &mut failed);
        }
        if let Some(failure) = &failed
            && !failing
        {
            log_event!(REPORTS_FAILED, "{failure}");
        }
        failing = failed.is_some();
    }
}

fn coalesce_time<P>(node: &Node<P>) -> Duration {
    let mut state = node.lock();
    state.update_cells(&node.settings);
    let near = state.members.iter();
    let near = near
        .filter(|(_, member)| member.cell == state.cells.own())
        .count();
    let near = u32::try_from(near).unwrap_or(u32::MAX);
    let time = MIN_COALESCE_TIME.max(COALESCE_TIME_PER_PEER * near);
    state.arrivals.set_gathering(time);
    time
}

fn send_to<P>(
    node: &Node<P>,
    socket: &UdpSocket,
    outgoing: &OutgoingReport,
    failed: &mut Option<String>,
) {
    let bytes = outgoing.report.encode();
    node.metrics.reports_sent(outgoing.addrs.len());
    for addr in &outgoing.addrs {
        let addr = SocketAddr::new(*addr, node.settings.peer_port);
        // A report that cannot be sent now is superseded by the next one.
        if let Err(err) = datagrams::send(socket, &bytes, addr) {
            *failed = Some(format!("addr={addr} cause=\"{err}\""));
        }
    }
}

/// Builds the report of this instance and the list of its receivers.
fn prepare<P>(node: &Arc<Node<P>>, sequence: u64) -> (Report, Vec<Receiver>) {
    let now = node.now();
    let mut state = node.lock();
    state.update_cells(&node.settings);
    let waiting = state.waiting_items(now, unix_ms());
    let in_time = waiting.iter().filter(|w| !w.late).count();
    let suspects = state.load.suspects(now).into_iter();
    let suspects = suspects.chain(state.outputs.recently_dropped(now));
    let version = state.config.as_ref().map_or(0, |config| config.version());
    let report = Report {
        name: node.settings.name.clone(),
        boot: node.boot,
        sequence,
        // The interval is far below the maximum of the type.
        next_ms: REPORT_INTERVAL.as_millis() as u32,
        ready: state.can_serve() && !node.steps_back(&state),
        leaving: node.is_leaving(),
        stalled: node.supervisor.is_reader_stalled(),
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
            .map(|(key, remaining)| {
                (
                    key,
                    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
                )
            })
            .collect(),
        leaving_backends: state.backends.leaving(),
        positions: state.positions(),
        limits: Some(state.limits.reports(now)),
        leaving_runs: state.backends.leaving_runs(),
        evacuations: Some(state.evacuations.report()),
        store_answers: state.access.answers(now),
        shortages: state.shortages.reports(now),
        cold: state.limits.cold().reports(now),
    };
    state.arrivals.sent(report.has_work(), now);
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
    // As long as no peer is known, the reports go to the seeds.
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
    let any_limited = state.limits.any_limited();
    let receivers = state.members.iter().map(|(name, member)| {
        let near = state.is_near(member, &used_cells);
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
            immediate: near && (any_limited || member.has_work()),
            full: started.contains(name),
        }
    });
    receivers.collect()
}
