//! Plans of days under load and the bounds of what any schedule can earn on them.
//!
//! Everything here is pure: a plan and a seed determine the result.

mod arrivals;
mod bounds;
mod capacity;
mod check;
mod fault;
mod plan;
mod prices;
mod raw;
mod request;
mod schedule;
mod server;
mod slots;

pub use arrivals::{Arrival, arrivals};
pub use bounds::{BoundOptions, Bounds, Earnings, bounds};
pub use fault::{PlanError, PlanFault};
pub use plan::{
    Amount, Class, Instances, Limit, Load, Organisation, Plan, Rate, ServerGroup, SlowSpan, Window,
    Work,
};
pub use raw::{
    LoadKind, RawAmount, RawClass, RawDay, RawInstances, RawLoad, RawOrganisation, RawPlan,
    RawServers, RawSlowSpan, WorkKind,
};
