//! Control loops: log streams, heartbeats, ownership of groups, configuration and platform list.

mod admin;
mod decisions;
mod links;
mod listing;
mod metrics;
mod observers;
mod peers;
mod publication;
mod release;
mod state;
mod stream;
mod stream_tasks;
mod view;

use std::sync::{
    Arc,
    OnceLock,
    Weak, //
};

use async_executor::Task;
use limpetweir_coordination::timing::OWNER_LEASE;
use limpetweir_protocol::settings::Settings;
use limpetweir_state::Incarnation;
use limpetweir_transport::{
    Clock,
    LogClient,
    restart_on_panic, //
};

pub(crate) use admin::handle;
pub(crate) use peers::PeerService;
pub(crate) use release::hand_over;
pub(crate) use stream::{
    Stream,
    StreamObserver,
    StreamOptions,
    StreamStats,
    WriteError, //
};
pub(crate) use view::CurrentConfig;

use crate::node::Node;
use links::Links;
use observers::{
    ClaimsObserver,
    ConfigObserver, //
};
use state::Shared;

/// Largest number of queued entries of each of the streams `config` and `claims`.
const QUEUE_CAPACITY: usize = 4096;

/// State of the control loops.
#[derive(Debug)]
pub struct Control {
    own: Incarnation,
    /// Number of groups of each kind.
    groups: u16,
    shared: Arc<Shared>,
    config: Arc<Stream<ConfigObserver>>,
    claims: Arc<Stream<ClaimsObserver>>,
    links: Links,
    /// Set when the loops are started.
    node: OnceLock<Weak<Node>>,
}

impl Control {
    pub(crate) fn new(
        settings: &Settings,
        own: Incarnation,
        log: &LogClient,
        clock: Clock,
    ) -> Self {
        let shared = Shared::new(own.clone(), clock);
        let options = |name: &str| StreamOptions {
            name: name.to_owned(),
            incarnation: own.clone(),
            queue: QUEUE_CAPACITY,
            long_poll: settings.timing.long_poll,
            retention: settings.timing.log_retention,
        };
        let config = ConfigObserver {
            shared: shared.clone(),
        };
        let claims = ClaimsObserver {
            shared: shared.clone(),
            own: own.clone(),
        };
        Self {
            groups: settings.groups,
            config: Arc::new(Stream::new(log.clone(), clock, options("config"), config)),
            claims: Arc::new(Stream::new(log.clone(), clock, options("claims"), claims)),
            links: Links::default(),
            node: OnceLock::new(),
            shared,
            own,
        }
    }

    /// Abandons queued entries while the log cannot be read.
    ///
    /// Otherwise a claim appended after an outage would take a group from its new owner, and an
    /// operator would not receive the outcome of a publication.
    fn abandon_stale_entries(&self) {
        let now = self.shared.clock.now();
        let is_stale = |stats: StreamStats| {
            let confirmed_at = stats.confirmed_at;
            stats.queued > 0 && confirmed_at.is_none_or(|at| now.since(at) >= OWNER_LEASE)
        };
        if is_stale(self.claims.stats()) {
            self.claims.abandon();
        }
        if is_stale(self.config.stats()) {
            self.config.abandon();
        }
    }
}

/// Starts the control loops; dropping the returned tasks stops them.
pub(crate) fn start(node: &Arc<Node>) -> Vec<Task<()>> {
    let control = &node.control;
    let _ = control.node.set(Arc::downgrade(node));
    metrics::register(node);
    let mut tasks = Vec::new();
    tasks.extend(control.config.start(&node.spawner).into_tasks());
    tasks.extend(control.claims.start(&node.spawner).into_tasks());
    let shared = node.clone();
    let sweep = move || peers::sweep_connections(shared.clone());
    let sweep = restart_on_panic("sweep-connections", sweep);
    tasks.push(node.spawner.spawn(sweep));
    let shared = node.clone();
    let poll = move || listing::poll(shared.clone());
    tasks.push(node.spawner.spawn(restart_on_panic("poll-list", poll)));
    tasks.push(node.spawner.spawn(decisions::run(node.clone())));
    tasks
}
