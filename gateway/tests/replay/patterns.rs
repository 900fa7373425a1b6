//! Demand patterns, the compared policies, and the results for callers.

use std::time::Duration;

use limpetweir_gateway::{
    ItemPacing,
    PacingTimes,
    Preemption, //
};

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
    /// Instances that run items; the first ones.
    pub(crate) runners: usize,
    /// Mean number of events of an online request.
    pub(crate) online_events: f64,
    /// Mean number of events of an item.
    pub(crate) item_events: f64,
    /// Time between two events of a stream.
    pub(crate) event: Micros,
    /// Whether instances and servers are unequal, so that some reports are late.
    pub(crate) unequal: bool,
    /// Whether servers become slow, and servers and instances fail.
    pub(crate) faults: bool,
    /// Time during which requests and jobs arrive.
    pub(crate) time: Micros,
    /// Time at which all instances fail for 1.5 s, if any.
    pub(crate) loss: Option<Micros>,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
}

/// When online requests are refused, and when their callers return.
#[derive(Clone, Copy)]
pub(crate) struct Refusal {
    /// Computes how many requests may wait at a server from its slots, the time for which a request
    /// occupies one, and the objective.
    pub(crate) queue: fn(u32, Duration, Duration) -> u32,
    /// Computes how late a caller may return from its remaining time. Callers of all instances are spread
    /// over the slots that get free; `None` to spread them over those of the requests in excess.
    pub(crate) longest: Option<fn(Duration) -> Duration>,
    /// Part of the slots that get free over which they are spread.
    pub(crate) share: f64,
}

/// A policy for items and online requests.
#[derive(Clone, Copy)]
pub(crate) struct Policy {
    /// Computes the slots that items leave free from the online requests, the servers and whether
    /// items are late.
    pub(crate) reserve: fn(u32, u32, bool) -> u32,
    /// Whether late items are ranked after the others.
    pub(crate) late_last: bool,
    /// Time before the latest start of an item from which it is urgent.
    pub(crate) urgent: Micros,
    /// Times of the pacing of items; `None` to stop items immediately.
    pub(crate) pacing: Option<PacingTimes>,
    /// Refusal of online requests.
    pub(crate) refusal: Refusal,
}

impl Policy {
    pub(crate) fn preemption(&self) -> Preemption {
        self.pacing
            .map_or(Preemption::Immediate, |_| Preemption::Lasting)
    }

    pub(crate) fn pacing(&self) -> ItemPacing {
        ItemPacing::new(self.pacing.unwrap_or_default())
    }
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
    /// Stops on slow servers.
    pub(crate) on_slow: u32,
    /// Stops on servers where an item started while all slots were taken.
    pub(crate) double_starts: u32,
    /// Stops while another server had a free slot.
    pub(crate) uneven: u32,
    /// Stops within a second of the start.
    pub(crate) early: u32,
    /// Starts on a server within 300 ms of a stop there.
    pub(crate) refilled: u32,
}

/// Nine servers with eight slots each, of which online requests occupy 31 and items 26 on average.
pub(crate) const CALM: Demand = Demand {
    servers: 9,
    instances: 11,
    online: 41.0,
    jobs: 0.515,
    runners: 11,
    online_events: 35.9,
    item_events: 247.0,
    event: 20_000,
    unequal: false,
    faults: false,
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

/// 56 servers with 448 slots, of which online requests occupy 160 and items 155 on average. Four
/// instances of each of four partitions run the items.
pub(crate) const HEAVY: Demand = Demand {
    servers: 56,
    instances: 70,
    online: 259.0,
    jobs: 3.2,
    runners: 16,
    online_events: 20.0,
    item_events: 140.0,
    event: 29_000,
    unequal: true,
    faults: false,
    time: 30_000_000,
    loss: None,
    seed: 1,
};

/// The same with slow servers, and failures of a fifth of the servers and of the instances.
pub(crate) const FAILURES: Demand = Demand {
    faults: true,
    ..HEAVY
};

/// The same with more items than there are slots for.
pub(crate) const OVERLOAD: Demand = Demand {
    jobs: 6.0,
    ..FAILURES
};

/// Peaks of 2.2 s with a third more online requests than there are slots, and few items.
pub(crate) const PEAKS: Demand = Demand {
    online: 520.0,
    jobs: 0.1,
    time: 10_400_000,
    ..HEAVY
};

impl Demand {
    /// Returns the time in which changes at an instance are gathered before they are reported. One
    /// in five machines is slow and takes longer.
    pub(crate) fn gather(&self, instance: usize) -> Micros {
        match instance % 10 {
            _ if !self.unequal => 2_000,
            _ if instance < self.runners => 7_000,
            7 => 30_000,
            9 => 100_000,
            _ => 7_000,
        }
    }

    /// Returns the mean time of an online request.
    pub(crate) fn mean_run(&self) -> Duration {
        Duration::from_micros(self.event).mul_f64(self.online_events)
    }
}
