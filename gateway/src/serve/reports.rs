//! Sends what this instance has placed, admitted and read to the other instances.

use std::collections::HashMap;
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

use async_io::Async;
use limpetweir_transport::{
    sleep,
    until, //
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
use crate::platform::{
    Dialect,
    Store, //
};
use crate::quota::OrganisationKey;
use crate::report::Report;

/// Time between two regular rounds of reports.
const INTERVAL: Duration = Duration::from_millis(250);

/// Instances of other cells that a regular round goes to; the rounds go to all of them in turn. An
/// instance then receives about 300 reports a second of them; at 12 us each, they take 3% of a
/// machine with 0.12 cores.
const FAR_PER_ROUND: usize = 75;

/// Fewest regular rounds in which all instances of other cells are told. Once a second is often enough
/// for them, and most of these reports cross zones.
const FEWEST_TURNS: usize = 4;

/// How many times longer the turns of an instance are that serves no callers: nothing that it states
/// changes, and instances of other cells only need to know that it lives.
const IDLE_TURNS: usize = 4;

/// Shortest time in which changes are gathered into one report.
const GATHER: Duration = Duration::from_millis(2);

/// Time in which changes are gathered for each instance that hears of them, so that the number of
/// reports that an instance receives per second does not grow with their number.
const GATHER_PER_PEER: Duration = Duration::from_micros(100);

/// Regular rounds after which the counts of all organisations are stated again; reports between
/// state what has changed since the last regular round. A lost report is made up for within two
/// seconds, and one to another cell within eight regular ones.
const FULL_COUNTS_EVERY: u64 = 8;

/// Instances that get the same reports, and what was last stated to them in a regular round.
#[derive(Debug, Default)]
struct Audience {
    admitted: HashMap<OrganisationKey, u64>,
    rounds: u64,
}

impl Audience {
    /// Leaves the counts out of `report` that were stated already.
    fn shorten(&mut self, report: &mut Report, regular: bool) {
        let all = report.admitted.clone();
        if !regular || !self.rounds.is_multiple_of(FULL_COUNTS_EVERY) {
            let stated = &self.admitted;
            let changed = |(key, count): &(_, u64)| stated.get(key) != Some(count);
            report.admitted.retain(changed);
        }
        if regular {
            self.rounds += 1;
            self.admitted = all.into_iter().collect();
        }
    }
}

/// Who is told of the present round.
#[derive(Debug, Default)]
struct Receivers {
    /// Those who hear of a change at once, and in a regular round also those who hold the same jobs.
    near: Vec<IpAddr>,
    /// Those who hear in some of the regular rounds only.
    far: Vec<IpAddr>,
    /// Those of the far ones that have just started.
    started: Vec<IpAddr>,
    /// Regular rounds until each far one has been told.
    turns: usize,
}

/// Returns the regular rounds in which all `far` instances are told; `idle` instances have nothing to
/// tell but that they live.
fn turns(far: usize, idle: bool) -> usize {
    if far == 0 {
        return 0;
    }
    let turns = far.div_ceil(FAR_PER_ROUND).max(FEWEST_TURNS);
    if idle { turns * IDLE_TURNS } else { turns }
}

/// Sends reports to the other instances: to the near ones in regular rounds, and between these to
/// those of them with work, whose decisions depend on every change; to the far ones in turn.
pub(crate) async fn send<P: Store + Dialect>(node: Arc<Node<P>>, socket: Arc<Async<UdpSocket>>) {
    let mut sequence = 0;
    let mut rounds: usize = 0;
    let mut last_round = Instant::now();
    let mut near = Audience::default();
    let mut far: Vec<Audience> = Vec::new();
    let mut failing = false;
    let mut announced = None;
    loop {
        let due = node.report_due.listen();
        if until(last_round + INTERVAL, due).await.is_some() {
            sleep(gather_time(&node)).await;
        }
        let regular = last_round.elapsed() >= INTERVAL;
        sequence += 1;
        let (mut report, receivers) = prepare(&node, sequence, regular);
        let mut failed = None;
        let mut own = report.clone();
        near.shorten(&mut own, regular);
        send_to(&node, &socket, &own, &receivers.near, &mut failed);
        let turns = receivers.turns;
        if far.len() != turns {
            // Everyone is in another audience now, to which other counts were stated.
            far.clear();
            far.resize_with(turns, Audience::default);
        }
        report.next_ms *= u32::try_from(turns).unwrap_or(u32::MAX);
        // Callers must not be sent to an instance that stops.
        let readiness = Some((report.ready, report.leaving));
        let told = if announced == readiness {
            &receivers.started
        } else {
            &receivers.far
        };
        announced = readiness;
        send_to(&node, &socket, &report, told, &mut failed);
        if regular {
            last_round = Instant::now();
            if let Some(turn) = rounds.checked_rem(turns) {
                far[turn].shorten(&mut report, true);
                let told = receivers.far.iter().skip(turn).step_by(turns);
                let told: Vec<IpAddr> = told.copied().collect();
                send_to(&node, &socket, &report, &told, &mut failed);
            }
            rounds += 1;
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
    let near = near.filter(|(name, _)| state.cells.holds(name)).count();
    let near = u32::try_from(near).unwrap_or(u32::MAX);
    GATHER.max(GATHER_PER_PEER * near)
}

fn send_to<P>(
    node: &Node<P>,
    socket: &Async<UdpSocket>,
    report: &Report,
    addrs: &[IpAddr],
    failed: &mut Option<String>,
) {
    if addrs.is_empty() {
        return;
    }
    let bytes = report.encode();
    for addr in addrs {
        let addr = SocketAddr::new(*addr, node.settings.peer_port);
        // A report that the system cannot take now is superseded by the next one.
        if let Err(err) = socket.get_ref().send_to(&bytes, addr) {
            *failed = Some(format!("addr={addr} cause=\"{err}\""));
        }
    }
}

/// Builds the report of this instance and lists who gets it in a round of this kind.
fn prepare<P>(node: &Arc<Node<P>>, sequence: u64, regular: bool) -> (Report, Receivers) {
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
    let mut receivers = receivers(node, &state, regular, &started);
    let idle = !report.has_work() && !state.is_large(&node.settings);
    receivers.turns = turns(receivers.far.len(), idle);
    (report, receivers)
}

fn receivers<P>(node: &Node<P>, state: &State, regular: bool, started: &[String]) -> Receivers {
    let mut receivers = Receivers::default();
    let used_cells = state.used_cells(node.now());
    for (name, member) in state.members.iter() {
        if state.is_near(name, member, &used_cells) {
            if regular || member.has_work() {
                receivers.near.push(member.addr);
            }
        } else if state.shares_jobs(member) {
            if regular {
                receivers.near.push(member.addr);
            }
        } else {
            receivers.far.push(member.addr);
            if started.contains(name) {
                receivers.started.push(member.addr);
            }
        }
    }
    // Until a first peer is known the seeds may know more.
    if state.members.count() == 0 {
        let own = node.settings.address;
        let seeds = node.settings.seeds.iter().filter(|addr| **addr != own);
        receivers.near.extend(seeds);
    }
    receivers
}
