//! Shared context of the tasks of an instance.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    OnceLock,
    PoisonError, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use async_channel::Sender;
use event_listener::Event as Signal;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    Client,
    ConnectionLimits,
    Released,
    Responses, //
};
use limpetweir_transport::{
    Clock,
    Spawner, //
};

use super::ends::Ends;
use super::metrics::Metrics;
use super::shared_read::SharedRead;
use super::state::State;
use super::stop_window::StopWindow;
use super::supervisor::Supervisor;
use super::write_request::WriteRequest;
use crate::backend::BackendKey;
use crate::config_transfer::ConfigSends;
use crate::memory::{
    Bodies,
    ByteBudget,
    Plan, //
};
use crate::platform::StoreError;
use crate::settings::Settings;
use crate::speed::PaceMeter;
use crate::store_relay::RelayGate;
use crate::supervision;

/// Shared context of the tasks of an instance.
pub(crate) struct Node<P> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// Start time of the instance in Unix milliseconds.
    pub(crate) boot: u64,
    pub(crate) client: Client,
    pub(crate) metrics: Arc<Metrics>,
    /// Limits of the connections of callers, once their listener is bound.
    pub(crate) caller_limits: OnceLock<Arc<ConnectionLimits>>,
    /// Connections that the listeners have closed in favour of others, once the listeners are bound.
    pub(crate) released: OnceLock<Vec<Arc<Released>>>,
    pub(crate) supervisor: Supervisor,
    /// Ends of the requests of callers.
    pub(crate) ends: Arc<Ends>,
    /// Memory for what backend servers send.
    pub(crate) output_budget: Arc<ByteBudget>,
    /// Store calls that are made for peers.
    pub(crate) relay_gate: RelayGate,
    /// The configuration on its way to peers.
    pub(crate) config_sends: ConfigSends,
    /// Memory for request bodies and the items of submissions.
    pub(crate) bodies: Bodies,
    /// Memory for the responses that wait for their callers, on all listeners.
    pub(crate) responses: Arc<Responses>,
    state: Mutex<State>,
    pub(crate) leaving: AtomicBool,
    /// The time in which this instance can still answer requests.
    pub(crate) stop: StopWindow,
    /// Notified when a report should be sent.
    pub(crate) report_due: Signal,
    /// Notified when the others are to be told about crashes.
    pub(crate) crash_news: Signal,
    /// Notified when it has changed which requests are suspected or held back.
    pub(crate) suspicion_changed: Signal,
    /// Notified when a check of a server has ended.
    pub(crate) crash_checked: Signal,
    /// Notified for a partition of the jobs of which peers have read more. A read that the store
    /// has not completed is then repeated.
    pub(crate) jobs_behind: Vec<Signal>,
    /// Reads to the end of each partition of the jobs.
    pub(crate) catch_ups: Vec<SharedRead<Result<u64, StoreError>>>,
    /// Notified when reports have changed which instances are reachable or what they may run.
    pub(crate) members_changed: Signal,
    /// Notified when jobs have changed.
    pub(crate) jobs_changed: Signal,
    /// Notified when items may have to start or stop.
    pub(crate) balance_due: Signal,
    /// Notified when the record of this instance may have to be written.
    pub(crate) registration_changed: Signal,
    /// Queues of the writer tasks, one for each partition of the jobs.
    pub(crate) writers: Vec<Sender<WriteRequest>>,
}

impl<P> Node<P> {
    pub(crate) fn new(
        platform: P,
        settings: Settings,
        spawner: &Spawner,
        client: Client,
        metrics: Metrics,
        writers: Vec<Sender<WriteRequest>>,
    ) -> Self {
        let mut state = State::new(&settings, writers.len());
        let metrics = Arc::new(metrics);
        state.update_reserved(&settings);
        let plan = Plan::new(settings.memory, settings.descriptors);
        let relay_gate = RelayGate::new(plan.relayed_calls);
        Self {
            platform,
            settings,
            supervisor: Supervisor::new(spawner, &metrics),
            clock: Clock::start(),
            boot: unix_ms(),
            client,
            caller_limits: OnceLock::new(),
            released: OnceLock::new(),
            ends: Arc::new(Ends::new(metrics.clone())),
            metrics,
            relay_gate,
            config_sends: ConfigSends::default(),
            output_budget: ByteBudget::new(plan.outputs),
            bodies: Bodies::new(plan.bodies),
            responses: Responses::new(plan.responses),
            state: Mutex::new(state),
            leaving: AtomicBool::new(false),
            stop: StopWindow::default(),
            report_due: Signal::new(),
            crash_news: Signal::new(),
            suspicion_changed: Signal::new(),
            crash_checked: Signal::new(),
            jobs_behind: writers.iter().map(|_| Signal::new()).collect(),
            catch_ups: writers.iter().map(|_| SharedRead::default()).collect(),
            members_changed: Signal::new(),
            jobs_changed: Signal::new(),
            balance_due: Signal::new(),
            registration_changed: Signal::new(),
            writers,
        }
    }

    /// Locks the state, also after a panic of another task with the lock held. Each value is valid then,
    /// but a change of several values may be half done; docs/design.md says how that is repaired.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns whether the instance accepts requests: it is not shutting down, requests can be
    /// routed and placed, and it need not leave them to instances that read the store.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock();
        state.can_serve() && !self.steps_back(&state)
    }

    /// Returns whether callers and items are left to the other instances: this one is shutting down,
    /// or its reader of the store has stopped while those of enough others have not.
    pub(crate) fn steps_back(&self, state: &State) -> bool {
        if self.is_leaving() {
            return true;
        }
        if !self.supervisor.is_reader_stalled() {
            return false;
        }
        // Whether a peer is stalled does not depend on its peers, so that instances never step back
        // and return in turn.
        let now = self.now();
        let (mut sound, mut stalled) = (0, 1);
        for report in state.members.reachable(now).filter(|r| !r.leaving) {
            stalled += usize::from(report.stalled);
            sound += usize::from(report.ready && !report.stalled);
        }
        supervision::steps_back(sound, stalled)
    }

    /// Counts an event of a stream from `backend` and records its pace.
    pub(crate) fn measure(&self, backend: BackendKey, pace: &mut PaceMeter) {
        let now = self.now();
        if let Some(gap) = pace.event(now) {
            self.lock().speeds.record(backend, gap, now);
        }
    }

    /// Returns the partition that contains all jobs of an organisation. They share one partition,
    /// so that a single conditional append can enforce the limit of waiting tokens.
    pub(crate) fn partition_of(&self, organisation: &str) -> usize {
        let hash = xxhash_rust::xxh3::xxh3_64(organisation.as_bytes());
        // The remainder is below the number of partitions.
        (hash % self.writers.len().max(1) as u64) as usize
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
