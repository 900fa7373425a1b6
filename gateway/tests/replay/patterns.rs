//! Demand patterns, the compared policies, and the results for callers.

/// Point in time or duration in microseconds.
pub(crate) type Micros = u64;

/// Demand on the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Backend servers.
    pub(crate) servers: u32,
    /// Instances.
    pub(crate) instances: usize,
    /// Mean online requests per second; the rate varies between 0.378 and 1.85 times this.
    pub(crate) online: f64,
    /// Jobs of ten items per second.
    pub(crate) jobs: f64,
    /// Time during which requests and jobs arrive.
    pub(crate) time: Micros,
    /// Time at which all instances fail for 1.5 s, if any.
    pub(crate) loss: Option<Micros>,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
}

/// A policy for items.
#[derive(Clone, Copy)]
pub(crate) struct Policy {
    /// Computes the slots that items leave free from the online requests, the servers and whether
    /// items are late.
    pub(crate) reserve: fn(u32, u32, bool) -> u32,
    /// Whether late items are ranked after the others.
    pub(crate) late_last: bool,
}

/// Results for callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Served {
    /// Online requests.
    pub(crate) online: u32,
    /// Those whose first event was late.
    pub(crate) online_late: u32,
    /// Those that were rejected permanently, or lost.
    pub(crate) online_failed: u32,
    /// Items of jobs.
    pub(crate) items: u32,
    /// Those that were completed after their deadline.
    pub(crate) items_late: u32,
    /// Preempted runs of items.
    pub(crate) stops: u32,
}

/// Nine servers with eight slots each, of which online requests occupy 31 and items 26 on average.
pub(crate) const CALM: Demand = Demand {
    servers: 9,
    instances: 11,
    online: 41.0,
    jobs: 0.515,
    time: 60_000_000,
    loss: None,
    seed: 1,
};

/// Two servers have left, and all instances fail in the middle.
pub(crate) const LOSS: Demand = Demand {
    servers: 7,
    loss: Some(34_000_000),
    time: 44_000_000,
    ..CALM
};
