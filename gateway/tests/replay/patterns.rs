//! What is asked of a fleet, the choices that are compared, and what callers got.

/// A time or a duration in microseconds.
pub(crate) type Micros = u64;

/// What is asked of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Backend servers.
    pub(crate) servers: u32,
    /// Instances.
    pub(crate) instances: usize,
    /// Online requests a second in the mean; they swing between 0.378 and 1.85 of it.
    pub(crate) online: f64,
    /// Jobs of ten items a second.
    pub(crate) jobs: f64,
    /// Time in which requests and jobs arrive.
    pub(crate) time: Micros,
    /// Time at which all instances are lost for a second and a half, if they are.
    pub(crate) loss: Option<Micros>,
    /// Seed of all that is drawn.
    pub(crate) seed: u64,
}

/// The choices that are compared.
#[derive(Clone, Copy)]
pub(crate) struct Policy {
    /// Slots that items leave free, from the online requests and the servers.
    pub(crate) reserve: fn(u32, u32, bool) -> u32,
    /// Whether late items wait for the others.
    pub(crate) late_last: bool,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Served {
    /// Online requests.
    pub(crate) online: u32,
    /// Those whose first event was late.
    pub(crate) online_late: u32,
    /// Those that were refused for good, or lost.
    pub(crate) online_failed: u32,
    /// Items of jobs.
    pub(crate) items: u32,
    /// Those that were complete after their time.
    pub(crate) items_late: u32,
    /// Runs of items that were cut.
    pub(crate) stops: u32,
}

/// Nine servers of eight slots, of which online requests take 31 and items 26 in the mean.
pub(crate) const CALM: Demand = Demand {
    servers: 9,
    instances: 11,
    online: 41.0,
    jobs: 0.515,
    time: 60_000_000,
    loss: None,
    seed: 1,
};

/// Two servers have left and all instances are lost in the middle.
pub(crate) const LOSS: Demand = Demand {
    servers: 7,
    loss: Some(34_000_000),
    time: 44_000_000,
    ..CALM
};
