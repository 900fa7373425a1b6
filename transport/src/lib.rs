//! HTTP, WebSocket, log and list connections on async-io.

pub mod http;
mod runtime;

pub use runtime::{Clock, Runtime, Spawner, sleep, until};
