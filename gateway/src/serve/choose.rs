//! Selects the backend server for an online request and counts the request in its load.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::Timestamp;
use limpetweir_transport::http::TrafficClass;
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};

use super::admission;
use super::admitted::Admitted;
use super::attempt_history::AttemptHistory;
use super::cold_servers;
use super::evacuation;
use super::heads;
use super::leases::Lease;
use super::lines::{
    PLACED,
    log_event, //
};
use super::lost_run::RunPlace;
use super::node::{
    Node,
    unix_ms, //
};
use super::rejections::{
    NO_CONFIG_RETRY,
    Room, //
};
use super::state::State;
use crate::backend::{
    Backend,
    BackendEntry,
    BackendKey, //
};
use crate::crash_news::Case;
use crate::placement::{
    Candidate,
    Limits,
    Placement,
    Staleness,
    is_limited,
    place_stale,
    queue_limit,
    retry_after,
    starts_immediately, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::quarantine::Knowledge;
use crate::server_limit::Statement;
use crate::server_limits::{
    Permit,
    Purpose, //
};
use crate::shards::shard;

/// Maximum number of backend servers to which a request is sent while each of them rejects it.
const MAX_REJECTIONS: u32 = 4;

/// Maximum number of backend servers to which a request is sent in all. A refused connection takes
/// no time, but in a large fleet hundreds of servers may be down.
const MAX_TRIED: usize = 16;

/// Guard that counts a request in the load of a backend server until it is dropped.
pub(crate) struct PlacedRequest<P: Store + Dialect> {
    node: Arc<Node<P>>,
    pub(crate) key: BackendKey,
    pub(crate) entry: Arc<BackendEntry>,
    /// Whether the request would be held back and may only be sent as a probe.
    pub(crate) needs_probe: bool,
    /// What was known about the request then.
    pub(crate) known: Knowledge,
    /// Lease of the request, if it is suspected; it ends with the run.
    pub(crate) lease: Option<Lease<P>>,
    /// When the server was chosen; the request is sent later.
    pub(crate) chosen_at: Timestamp,
    started: Instant,
}

impl<P: Store + Dialect> PlacedRequest<P> {
    /// Returns where and when the request was placed.
    pub(crate) fn place(&self) -> RunPlace {
        RunPlace {
            key: self.key,
            entry: self.entry.clone(),
            at: self.chosen_at,
            known: self.known,
        }
    }
}

impl<P: Store + Dialect> Drop for PlacedRequest<P> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = self.node.lock();
        state.load.online_ended(self.key, now);
        let occupied_s = self.started.elapsed().as_secs_f64();
        state.mean_holding_s += HOLDING_TIME_WEIGHT * (occupied_s - state.mean_holding_s);
        drop(state);
        self.node.report_due.notify(usize::MAX);
        self.node.balance_due.notify(usize::MAX);
    }
}

/// Weight of one request in the moving average of the time that a slot is occupied.
const HOLDING_TIME_WEIGHT: f64 = 0.05;

/// Reason why no backend server was selected.
pub(crate) struct Rejection {
    pub(crate) cause: &'static str,
    pub(crate) retry_after: Duration,
    /// The parts because of which the request is held back.
    pub(crate) case: Option<Box<Case>>,
    /// The limits that keep the request away.
    pub(crate) limits: Option<LimitsMet>,
    /// The servers that were full.
    pub(crate) room: Option<Room>,
    /// Whether no known server may take the request later either.
    pub(crate) is_final: bool,
}

/// The backend servers from which one is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eligible {
    /// All servers that have not been tried.
    All,
    /// The same, for the rest of a stream: its caller is not refused and gets no time to return.
    Rest,
    /// Only servers at which the request starts at once and that are not suspected or silent.
    AtOnce,
}

/// Limits of backend servers that keep a request away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitsMet {
    /// Number of limited servers.
    pub(crate) servers: usize,
    /// Sum of their limits in requests per second.
    pub(crate) rate: f64,
    /// Age of the oldest statement among them.
    pub(crate) oldest: Duration,
}

impl Rejection {
    /// Returns the rejection of a request that is held back because of `case`.
    pub(crate) fn held(case: Case) -> Self {
        Self {
            cause: "held-back",
            retry_after: case.probe_in.max(MIN_HELD_RETRY),
            case: Some(Box::new(case)),
            limits: None,
            room: None,
            is_final: true,
        }
    }
}

/// Shortest `Retry-After` of a request that is held back while a probe is due.
const MIN_HELD_RETRY: Duration = Duration::from_millis(500);

/// Selects a backend server and counts the request in its load.
pub(crate) fn choose<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &AttemptHistory,
    eligible: Eligible,
) -> Result<PlacedRequest<P>, Rejection> {
    let now = node.now();
    let mut state = node.lock();
    let hold = state.hold(&admitted.parts, now);
    let hold = hold.filter(|_| !history.is_probe);
    if let Some(hold) = &hold
        && (!hold.probe_due || history.runs > 0 || history.last_event.is_some())
    {
        return Err(Rejection::held(hold.case.clone()));
    }
    // Two runs of a request beside each other could end two servers.
    if eligible == Eligible::AtOnce && state.knowledge(&admitted.parts) != Knowledge::Nothing {
        return Err(NO_ROOM);
    }
    state.draw_seed = state.rng.random();
    state.update_cells(&node.settings);
    cold_servers::refresh_senders(&mut state, now);
    let (candidates, placement) = find_placement(&state, node, admitted, history, eligible, now);
    let may_wait =
        eligible == Eligible::All && history.rejections < MAX_REJECTIONS && !candidates.is_empty();
    let held_back =
        may_wait.then(|| admission::held_back(node, &state, admitted, history, &candidates, now));
    if let Some(hold) = held_back.flatten() {
        node.metrics.request_yielded(hold);
        return Err(Rejection {
            cause: hold.into(),
            ..rejection_when_full(node, &mut state, &candidates, admitted, "full", now)
        });
    }
    let is_cold = |c: &Candidate| is_limited(c) && state.limits.cold().is_cold(c.run, now);
    if state.limits.cold().any_cold(now) && candidates.iter().any(is_cold) {
        node.metrics.cold_request_denied();
    }
    let key = match placement {
        _ if history.rejections >= MAX_REJECTIONS || history.tried.len() >= MAX_TRIED => {
            let rejection =
                rejection_when_full(node, &mut state, &candidates, admitted, "turned-away", now);
            return Err(Rejection {
                is_final: true,
                ..rejection
            });
        }
        Placement::Send(key) => key,
        _ if eligible != Eligible::All => {
            return Err(Rejection {
                is_final: candidates.iter().all(|c| c.tried),
                ..NO_ROOM
            });
        }
        Placement::Full => {
            admission::refused(node, &mut state, admitted, now);
            return Err(rejection_when_full(
                node,
                &mut state,
                &candidates,
                admitted,
                "full",
                now,
            ));
        }
        Placement::NoBackend => {
            return Err(evacuation::without_server(
                &mut state,
                &admitted.service,
                now,
            ));
        }
    };
    let known = state.backends.get(key);
    let Some((entry, seen)) = known.map(|b| (b.entry.clone(), b.seen)) else {
        return Err(NO_BACKEND);
    };
    let before = state.load.placed(key);
    let limit = state.limits.limit(entry.run());
    node.metrics.placed(state.arrivals.age(now));
    let known = state.knowledge(&admitted.parts);
    state.load.online_started(key, now);
    admission::placed(&mut state, admitted, now);
    state.limits.sent(entry.run(), now);
    drop(state);
    // Logged before the request is sent, as an instance that is killed logs nothing later about it.
    log_event!(
        PLACED,
        "request={} backend={} online={} batch={} servers={} entry_age_ms={} version={}{}",
        admitted.call.request_id,
        entry.id,
        before.online,
        before.batch,
        candidates.len(),
        now.since(seen).as_millis(),
        admitted.version,
        heads::describe(limit, now)
    );
    if limit.is_some() {
        node.metrics.limited_request(history.kind());
    }
    node.report_due.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
    Ok(PlacedRequest {
        node: node.clone(),
        key,
        entry,
        needs_probe: hold.is_some(),
        known,
        lease: None,
        chosen_at: now,
        started: Instant::now(),
    })
}

/// Rejection of the rest of a stream, which waits for room.
const NO_ROOM: Rejection = Rejection {
    cause: "full",
    retry_after: Duration::ZERO,
    case: None,
    limits: None,
    room: None,
    is_final: false,
};

/// Rejection of a request for a service that has no known backend server.
pub(crate) const NO_BACKEND: Rejection = Rejection {
    cause: "no-backend",
    retry_after: NO_CONFIG_RETRY,
    case: None,
    limits: None,
    room: None,
    is_final: true,
};

/// Returns the rejection of a request for which no candidate has free capacity.
fn rejection_when_full<P>(
    node: &Node<P>,
    state: &mut State,
    candidates: &[Candidate],
    admitted: &Admitted,
    cause: &'static str,
    now: Timestamp,
) -> Rejection {
    let states_limit = |c: &&Candidate| state.limits.limit(c.run).is_some();
    if candidates.iter().filter(states_limit).any(is_limited) {
        return rejection_by_limits(state, candidates, admitted, now);
    }
    let online = candidates.iter().map(|c| (c.placed.online, c.slots));
    let running = online.clone().map(|(n, slots)| n.min(slots));
    let running = running.fold(0, u32::saturating_add);
    let queued = online.map(|(n, slots)| n.saturating_sub(slots));
    let queued = queued.fold(0, u32::saturating_add);
    let holding = state.mean_holding();
    let retry_after = match node.settings.admission_by_priority {
        true => {
            let rate = f64::from(running) / holding.as_secs_f64();
            admission::return_time(state, admitted, rate, now)
        }
        false => retry_after(running, queued, holding),
    };
    Rejection {
        cause,
        retry_after,
        case: None,
        limits: None,
        room: Some(Room::of(candidates)),
        is_final: candidates.iter().all(|c| c.tried),
    }
}

/// Returns the rejection of a request that the limits of backend servers keep away.
fn rejection_by_limits(
    state: &mut State,
    candidates: &[Candidate],
    admitted: &Admitted,
    now: Timestamp,
) -> Rejection {
    let limited = candidates.iter().filter(|c| !c.other_cell);
    let stated = limited.filter_map(|c| state.limits.limit(c.run));
    let stated: Vec<Statement> = stated.collect();
    let met = LimitsMet {
        servers: stated.len(),
        rate: stated.iter().filter_map(|s| s.rate).sum(),
        oldest: stated.iter().map(|s| s.age(now)).max().unwrap_or_default(),
    };
    let (_, senders) = state.limit_senders(now);
    // Instance counts are far below the precision of f64.
    let rate = met.rate / senders as f64;
    let remaining = admitted.deadline.saturating_duration_since(Instant::now());
    // Later the caller has no time left for the response.
    let longest = (remaining / 3).min(MAX_RETURN_TIME);
    Rejection {
        cause: "server-limits",
        retry_after: state.return_times.assign(now, rate, longest),
        case: None,
        limits: Some(met),
        room: Some(Room::of(candidates)),
        is_final: false,
    }
}

/// Longest `Retry-After` of a request that limits keep away.
const MAX_RETURN_TIME: Duration = Duration::from_secs(5);

/// Places the request on a backend server of the own cell. The servers of the other cells are
/// candidates too if the request would have to wait in the own cell.
fn find_placement<P>(
    state: &State,
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
    eligible: Eligible,
    now: Timestamp,
) -> (Vec<Candidate>, Placement) {
    let config = state.config.as_ref();
    let service = config.and_then(|config| config.service(&admitted.service));
    let slots = service.map_or(1, |service| service.slots);
    let objective = admitted.route.objective;
    let limits = Limits {
        queue: queue_limit(slots, state.mean_holding(), objective),
    };
    let mut found = candidates(state, node, admitted, history, now, false);
    if state.cells.is_divided() && !found.iter().any(starts_immediately) {
        found.extend(candidates(state, node, admitted, history, now, true));
    }
    if eligible == Eligible::AtOnce {
        found.retain(starts_immediately);
    }
    let staleness = match node.settings.spread_stale_load {
        // The candidates draw from a generator with this seed, which is independent of its upper half.
        true => state.staleness((state.draw_seed >> 32) as u32, now),
        false => Staleness::FRESH,
    };
    let placement = place_stale(&found, limits, staleness);
    (found, placement)
}

/// Returns the candidates among the backend servers that the own cell prefers, or among all others
/// if `other_cell` is set.
fn candidates<P>(
    state: &State,
    node: &Node<P>,
    admitted: &Admitted,
    history: &AttemptHistory,
    now: Timestamp,
    other_cell: bool,
) -> Vec<Candidate> {
    let config = state.config.as_ref();
    let service = config.and_then(|config| config.service(&admitted.service));
    let default_slots = service.map_or(1, |service| service.slots);
    let mut rng = SmallRng::seed_from_u64(state.draw_seed);
    let backends = state.backends.serving(&admitted.service, now);
    let backends =
        backends.filter(|b| state.cells.is_own_backend(b.key, &b.entry.zone) != other_cell);
    // The next servers by rank take the place of those that refuse connections. If all others did, copies
    // would spread once both servers of their shard have crashed.
    let backends = backends.filter(|b| !state.load.is_refusing(b.key, now));
    let backends: Vec<&Backend> = backends.collect();
    let runs = backends.iter().map(|backend| backend.run);
    let shard = shard(admitted.parts.identity(), runs);
    let backends = backends.into_iter();
    let slowness = state.speeds.compare(now);
    let any_limited = state.limits.any_limited() || state.limits.cold().any_cold(now);
    let purpose = Purpose::Online {
        items_wait: any_limited && state.items_wait(now),
    };
    let unix_ms = unix_ms();
    let permit = |run| match any_limited {
        true => state.limits.permit(run, purpose, now, unix_ms),
        false => Permit::Unlimited,
    };
    let candidates = backends.map(|backend| Candidate {
        key: backend.key,
        run: backend.run,
        permit: permit(backend.run),
        slots: backend.entry.slots.unwrap_or(default_slots),
        placed: state.load.placed(backend.key),
        suspect: state.load.suspected(backend.key, now)
            || state.outputs.is_silent(backend.key, now),
        tried: history.tried.contains(&backend.key),
        slowness: slowness.of(backend.key),
        connected: node.client.has_idle(
            backend.entry.addr,
            TrafficClass::Online,
            &admitted.call.request_id,
        ),
        local: backend.entry.zone == node.settings.zone,
        other_cell,
        in_shard: shard.contains(&backend.run),
        draw: rng.random(),
    });
    candidates.collect()
}
