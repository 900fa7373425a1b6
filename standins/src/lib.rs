//! Stand-ins for the platform services and backend servers.

mod bucket;
pub mod client;
mod clock;
pub mod harness;
mod http;
mod lagged;
pub mod list;
pub mod log;

pub use http::bind;
