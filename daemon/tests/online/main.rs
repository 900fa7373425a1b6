//! Tests of the online path over real connections between instances, platform and backend servers.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod backends;
mod bodies;
#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod heads;
mod keys;
mod plain;
mod quota;
mod raw;
mod stop;
mod streams;
