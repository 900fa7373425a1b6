//! Chooses the backend server of an online request and counts the request there.

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

use super::lines::{
    PLACED,
    line, //
};
use super::node::{
    Node,
    State, //
};
use super::online::{
    Admitted,
    Course,
    NO_CONFIG_RETRY, //
};
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::placement::{
    Candidate,
    Limits,
    Placement,
    place,
    retry_after,
    starts_immediately, //
};
use crate::platform::{
    Dialect,
    Store, //
};

/// Online requests that may wait at a backend server beyond its slots. With eight slots that are
/// held for three quarters of a second each, two wait at most a fifth of a second.
const QUEUE: u32 = 2;

/// Backend servers that a request is offered to while they turn it away.
const MAX_OFFERS: u32 = 4;

/// Counts a request at a backend server until it is dropped.
pub(crate) struct Placed<P: Store + Dialect> {
    node: Arc<Node<P>>,
    pub(crate) key: BackendKey,
    pub(crate) entry: Arc<BackendEntry>,
    started: Instant,
}

impl<P: Store + Dialect> Drop for Placed<P> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = self.node.lock();
        state.load.online_ended(self.key, now);
        let held = self.started.elapsed().as_secs_f64();
        state.holding_s += HOLDING_WEIGHT * (held - state.holding_s);
        drop(state);
        self.node.report_due.notify(usize::MAX);
        self.node.balance_due.notify(usize::MAX);
    }
}

/// Weight of one request in the mean time that a slot is held.
const HOLDING_WEIGHT: f64 = 0.05;

/// Why no backend server was chosen.
pub(crate) struct Refusal {
    pub(crate) cause: &'static str,
    pub(crate) retry_after: Duration,
}

/// Chooses a backend server and counts the request there.
pub(crate) fn choose<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    course: &Course,
) -> Result<Placed<P>, Refusal> {
    let now = node.now();
    let mut state = node.lock();
    state.draws = state.rng.random();
    state.divide(&node.settings);
    let (candidates, placement) = find(&state, node, admitted, course, now);
    let key = match placement {
        _ if course.tried.len() >= MAX_OFFERS as usize => {
            return Err(full(&state, &candidates, "turned-away"));
        }
        Placement::Send(key) => key,
        Placement::Full => return Err(full(&state, &candidates, "full")),
        Placement::NoBackend => return Err(NO_BACKEND),
    };
    let known = state.backends.get(key);
    let Some((entry, seen)) = known.map(|b| (b.entry.clone(), b.seen)) else {
        return Err(NO_BACKEND);
    };
    let before = state.load.placed(key);
    state.load.online_started(key, now);
    drop(state);
    // An instance that is killed leaves no later line about the request.
    line!(
        PLACED,
        "request={} backend={} online={} batch={} servers={} entry_age_ms={} version={}",
        admitted.call.request_id,
        entry.id,
        before.online,
        before.batch,
        candidates.len(),
        now.since(seen).as_millis(),
        admitted.version
    );
    node.report_due.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
    Ok(Placed {
        node: node.clone(),
        key,
        entry,
        started: Instant::now(),
    })
}

/// A refusal because no backend server is known for the service.
const NO_BACKEND: Refusal = Refusal {
    cause: "no-backend",
    retry_after: NO_CONFIG_RETRY,
};

/// Returns the refusal of a request for which all candidates are full.
fn full(state: &State, candidates: &[Candidate], cause: &'static str) -> Refusal {
    let online = candidates.iter().map(|c| (c.placed.online, c.slots));
    let running = online.clone().map(|(n, slots)| n.min(slots)).sum();
    let queued = online.map(|(n, slots)| n.saturating_sub(slots)).sum();
    let holding = Duration::from_secs_f64(state.holding_s.clamp(0.05, 10.0));
    Refusal {
        cause,
        retry_after: retry_after(running, queued, holding),
    }
}

/// Looks for a place on the backend servers of the own cell, and on all of them if the request would
/// wait there.
fn find<P>(
    state: &State,
    node: &Node<P>,
    admitted: &Admitted,
    course: &Course,
    now: Timestamp,
) -> (Vec<Candidate>, Placement) {
    let limits = Limits { queue: QUEUE };
    let mut found = candidates(state, node, admitted, course, now, false);
    if state.cells.is_divided() && !found.iter().any(starts_immediately) {
        found.extend(candidates(state, node, admitted, course, now, true));
    }
    let placement = place(&found, limits);
    (found, placement)
}

/// Returns the servers that the own cell takes first, or the `far` ones.
fn candidates<P>(
    state: &State,
    node: &Node<P>,
    admitted: &Admitted,
    course: &Course,
    now: Timestamp,
    other_cell: bool,
) -> Vec<Candidate> {
    let config = state.config.as_ref();
    let service = config.and_then(|config| config.service(&admitted.service));
    let default_slots = service.map_or(1, |service| service.slots);
    let mut rng = SmallRng::seed_from_u64(state.draws);
    let backends = state.backends.serving(&admitted.service, now);
    let backends =
        backends.filter(|b| state.cells.is_own_backend(b.key, &b.entry.zone) != other_cell);
    let slowness = state.speeds.compare(now);
    let candidates = backends.map(|backend| Candidate {
        key: backend.key,
        slots: backend.entry.slots.unwrap_or(default_slots),
        placed: state.load.placed(backend.key),
        suspect: state.load.suspected(backend.key, now),
        tried: course.tried.contains(&backend.key),
        slowness: slowness.of(backend.key),
        connected: node
            .client
            .has_idle(backend.entry.addr, TrafficClass::Online),
        local: backend.entry.zone == node.settings.zone,
        other_cell,
        draw: rng.random(),
    });
    candidates.collect()
}
