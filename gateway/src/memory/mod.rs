//! Memory and descriptors of an instance: what clients and backend servers may make it hold, and whose
//! memory is released first.

mod bodies;
mod byte_budget;
mod plan;

pub(crate) use bodies::{
    Bodies,
    HeldBody,
    ReadError, //
};
pub use byte_budget::{
    ByteBudget,
    OverBudget,
    Share, //
};
pub use plan::Plan;
