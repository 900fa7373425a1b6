//! State that is shared by all request handlers and background tasks of an instance.

use std::sync::atomic::{
    AtomicU8,
    Ordering, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use limpetweir_protocol::settings::Settings;
use limpetweir_state::{
    Incarnation,
    UnixMillis, //
};
use limpetweir_transport::http::{
    Client,
    ClientLimits, //
};
use limpetweir_transport::{
    Clock,
    ListClient,
    LogClient,
    Spawner, //
};
use strum::{
    Display,
    FromRepr,
    IntoStaticStr, //
};

use crate::batch::Batch;
use crate::control::Control;
use crate::event;
use crate::events::PHASE_CHANGED;
use crate::metrics::Metrics;
use crate::online::Online;

/// Whether an instance accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Phase {
    /// The instance has no configuration yet.
    Starting,
    /// The configuration is confirmed to be current; requests are accepted.
    Serving,
    /// The configuration cannot be confirmed to be current; requests are rejected.
    Stale,
    /// The instance is being stopped; it serves until callers no longer use its address.
    Leaving,
}

/// One instance: its identity, its clients and the state of each request path.
#[derive(Debug)]
pub struct Node {
    /// Validated settings.
    pub settings: Settings,
    /// Identity of this run of the process.
    pub incarnation: Incarnation,
    /// Clock of all timestamps that are passed to the coordination logic, which reads no clock.
    pub clock: Clock,
    /// Spawns tasks on the executor threads.
    pub spawner: Spawner,
    /// Client for backend servers.
    pub client: Client,
    /// Client of the log service.
    pub log: LogClient,
    /// Client of the list service.
    pub list: ListClient,
    /// Metrics.
    pub metrics: Metrics,
    /// State of the online path, sharded by organisation.
    pub online: Online,
    /// State of the batch path, sharded by job group.
    pub batch: Batch,
    /// State of the control loops.
    pub control: Control,
    /// A [`Phase`] as `u8`; `Leaving` is final.
    phase: AtomicU8,
}

impl Node {
    /// Creates the state of an instance without starting any task.
    pub fn new(spawner: &Spawner, settings: Settings, metrics: Metrics) -> Self {
        let clock = Clock::start();
        let client = Client::new(spawner, ClientLimits::default());
        let incarnation = Incarnation {
            instance: settings.name.clone(),
            started: unix_millis().0,
        };
        let log = LogClient::new(client.clone(), settings.log, clock);
        Self {
            control: Control::new(&settings, incarnation.clone(), &log, clock),
            online: Online::new(&incarnation, settings.groups, metrics.meter()),
            incarnation,
            clock,
            spawner: spawner.clone(),
            log,
            list: ListClient::new(client.clone(), settings.list),
            client,
            batch: Batch::new(settings.groups, metrics.meter()),
            metrics,
            phase: AtomicU8::new(Phase::Starting as u8),
            settings,
        }
    }

    /// Returns the phase, which determines whether the instance accepts requests.
    ///
    /// After a pause of the process it is [`Phase::Stale`] until the control loops have run again.
    pub fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::Acquire);
        match Phase::from_repr(phase).unwrap_or(Phase::Starting) {
            Phase::Serving if !self.control.is_decision_valid(self.clock.now()) => Phase::Stale,
            phase => phase,
        }
    }

    /// Returns whether the instance is being stopped.
    pub(crate) fn is_leaving(&self) -> bool {
        self.phase.load(Ordering::Acquire) == Phase::Leaving as u8
    }

    /// Changes the phase, unless it is [`Phase::Leaving`].
    pub fn set_phase(&self, phase: Phase) {
        let change = |old| (old != Phase::Leaving as u8).then_some(phase as u8);
        let old = self
            .phase
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, change);
        if old.is_ok_and(|old| old != phase as u8) {
            event!(PHASE_CHANGED, "phase={phase}");
        }
    }
}

/// Returns the wall-clock time.
pub(crate) fn unix_millis() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(since).unwrap_or(u64::MAX))
}
