//! The limpetweir daemon: connects transport, protocol, coordination and state.

mod args;
pub mod batch;
pub mod control;
mod daemon;
pub mod events;
mod logging;
mod metrics;
mod node;
pub mod online;
mod responses;
mod router;
mod run;
mod sharded;

pub use daemon::{BoundAddresses, Daemon, StartError};
pub use metrics::{Listener, Metrics, MetricsError};
pub use node::{Node, Phase};
pub use run::run;
pub use sharded::Sharded;
