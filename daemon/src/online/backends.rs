//! Choice of a backend server, with in-flight counts and recent failures of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use limpetweir_coordination::{
    BackendHealth,
    Candidate,
    Choice,
    ListState,
    RetryBudget,
    RouteDecision,
    RouteRequest,
    route, //
};
use limpetweir_protocol::peer::PeerMessage;
use limpetweir_state::{
    Backend,
    BackendId,
    Configuration,
    GroupKind,
    Service,
    ServiceId,
    Timestamp, //
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::batch;
use crate::event;
use crate::events::{
    ROUTED,
    YIELD_SENT, //
};
use crate::node::Node;

/// Backend servers of the services of one shard.
#[derive(Debug)]
pub(super) struct BackendShard {
    /// Online requests of this instance in flight; counts of 0 have no entry.
    in_flight: BTreeMap<BackendId, u32>,
    health: BackendHealth,
    rng: SmallRng,
    /// Retry budgets of open services, by service; their callers belong to no organisation.
    pub(super) open_retries: RetryBudget,
}

impl BackendShard {
    /// Creates a shard without requests in flight; `seed` determines its random choices.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            in_flight: BTreeMap::new(),
            health: BackendHealth::default(),
            rng: SmallRng::seed_from_u64(seed),
            open_retries: RetryBudget::default(),
        }
    }

    fn own_in_flight(&self, backend: &BackendId) -> u32 {
        self.in_flight.get(backend).copied().unwrap_or(0)
    }
}

/// Input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteTarget<'a> {
    /// Service whose backend servers are the candidates.
    pub(super) service: &'a ServiceId,
    /// Start of the prompt; empty if there is none.
    pub(super) prompt: &'a [u8],
    /// Backend servers of earlier attempts.
    pub(super) tried: &'a [BackendId],
}

/// A chosen backend server, on which the request is counted as in flight.
#[derive(Debug)]
pub(super) struct Reservation {
    /// The backend server.
    pub(super) backend: BackendId,
    /// Its address.
    pub(super) address: SocketAddr,
    /// Counts the request until it is dropped.
    pub(super) guard: InFlightGuard,
}

/// Counts one request in flight on a backend server until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    node: Arc<Node>,
    service: ServiceId,
    backend: BackendId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut shard = self.node.online.backends.of_key(&self.service);
        if let Some(count) = shard.in_flight.get_mut(&self.backend) {
            *count -= 1;
            if *count == 0 {
                shard.in_flight.remove(&self.backend);
            }
        }
    }
}

/// A backend server with its state in the control loops.
struct ObservedBackend<'a> {
    backend: &'a Backend,
    listed: Option<ListState>,
    peers: u32,
}

/// Collects the state of a service's backend servers.
///
/// Called before a shard is locked, so that no lock of the control loops is taken meanwhile.
fn observe<'a>(
    node: &Node,
    cfg: &'a Configuration,
    service: &Service,
    now: Timestamp,
) -> Vec<ObservedBackend<'a>> {
    let observe = |name: &BackendId| {
        Some(ObservedBackend {
            backend: cfg.backend(name)?,
            listed: node.control.backend_state(name),
            peers: node.control.online_at_peers(now, name),
        })
    };
    service.backends.iter().filter_map(observe).collect()
}

fn decide(
    node: &Node,
    shard: &BackendShard,
    observed: &[ObservedBackend<'_>],
    target: &RouteTarget<'_>,
    now: Timestamp,
    rng: &mut SmallRng,
) -> RouteDecision {
    let candidate = |observed: &ObservedBackend<'_>| {
        let id = &observed.backend.id;
        (
            shard.health.in_cooldown(id, now),
            target.tried.contains(id),
            shard.own_in_flight(id),
        )
    };
    let candidates: Vec<Candidate<'_>> = observed
        .iter()
        .map(|observed| {
            let (in_cooldown, tried, own) = candidate(observed);
            Candidate {
                backend: observed.backend,
                listed: observed.listed,
                in_cooldown,
                tried,
                own,
                peers: observed.peers,
            }
        })
        .collect();
    let request = RouteRequest {
        prompt: target.prompt,
        zone: &node.settings.zone,
    };
    route(&candidates, &request, rng)
}

/// Chooses a backend server and counts the request on it.
///
/// Sends its manager a preemption message if online requests and batch items may fill it. Returns
/// `None` if no backend server of the service is available.
pub(super) fn reserve(node: &Arc<Node>, target: &RouteTarget<'_>) -> Option<Reservation> {
    let now = node.clock.now();
    let cfg = node.control.current()?.configuration;
    let service = cfg.service(target.service)?;
    let observed = observe(node, &cfg, service, now);
    let decision = {
        let mut shard = node.online.backends.of_key(target.service);
        let mut rng = shard.rng.clone();
        let decision = decide(node, &shard, &observed, target, now, &mut rng);
        shard.rng = rng;
        if let Some(choice) = &decision.choice {
            *shard.in_flight.entry(choice.backend.clone()).or_default() += 1;
        }
        decision
    };
    event!(ROUTED, "service={} {decision}", target.service);
    let choice = decision.choice?;
    let guard = InFlightGuard {
        node: node.clone(),
        service: target.service.clone(),
        backend: choice.backend.clone(),
    };
    let backend = cfg.backend(&choice.backend)?;
    batch::on_online_change(node, backend);
    if choice.full || batch::exceeds_reserve(backend, choice.free) {
        send_preemption(node, &choice, now);
    }
    Some(Reservation {
        address: backend.address,
        backend: choice.backend,
        guard,
    })
}

/// Returns the decision for a request without changing any state.
pub(super) fn preview(
    node: &Node,
    cfg: &Configuration,
    service: &Service,
    target: &RouteTarget<'_>,
) -> RouteDecision {
    let now = node.clock.now();
    let observed = observe(node, cfg, service, now);
    let shard = node.online.backends.of_key(target.service);
    let mut rng = shard.rng.clone();
    decide(node, &shard, &observed, target, now, &mut rng)
}

fn send_preemption(node: &Node, choice: &Choice, now: Timestamp) {
    let backend = choice.backend.clone();
    let key = backend.as_str().as_bytes();
    let group = node.control.group_of(GroupKind::Engine, key);
    if let Some(owner) = node.control.owner(now, group) {
        event!(YIELD_SENT, "backend={backend} manager={}", owner.instance);
        let message = PeerMessage::Yield { backend };
        node.control.notify(&owner.instance, message);
    }
}

/// Records a failure of a backend server, which starts its cooldown.
pub(super) fn record_failure(node: &Node, service: &ServiceId, backend: &BackendId) {
    let now = node.clock.now();
    let mut shard = node.online.backends.of_key(service);
    shard.health.on_failure(backend, now);
}

/// Returns the in-flight online requests of this instance for each backend server that has any.
pub(crate) fn in_flight(node: &Node) -> Vec<(BackendId, u32)> {
    let shards = node.online.backends.iter();
    shards
        .flat_map(|shard| {
            let counts = shard.in_flight.iter();
            let counts: Vec<_> = counts.map(|(id, count)| (id.clone(), *count)).collect();
            counts
        })
        .collect()
}

/// Returns the number of in-flight online requests of this instance on a backend server.
pub(crate) fn in_flight_on(node: &Node, backend: &Backend) -> u32 {
    let shard = node.online.backends.of_key(&backend.service);
    shard.own_in_flight(&backend.id)
}
