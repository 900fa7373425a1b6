//! Rate limit of backend servers that have just started.
//!
//! Load pattern: a zone comes back with all its backend servers empty and cold, or 40 % of the servers
//! are replaced one after the other at full load. The empty servers are the least loaded ones, so all
//! instances choose them at the same moment, while each of them crashes well above its rate.

mod cold_servers;
mod pace;
mod terms;
mod turns;

pub use cold_servers::{
    ColdReport,
    ColdServers,
    ColdSource,
    ColdSpan, //
};
pub use terms::{
    ColdTime,
    MAX_COLD_RATE,
    MAX_COLD_TIME,
    MIN_COLD_RATE,
    WarmUp, //
};
pub use turns::Sender;
