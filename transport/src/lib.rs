//! HTTP, WebSocket, log and list connections on async-io.

pub mod http;
mod list_client;
mod log_client;
pub mod peer;
mod runtime;

pub use list_client::{ListClient, ListError};
pub use log_client::{AppendOutcome, LogClient, ReadOutcome, ReadRequest};
pub use runtime::{Clock, Runtime, Spawner, sleep, timeout_at};
