//! HTTP server and client, WebSocket peer links, and clients of the log and list services, on
//! async-io.

pub mod http;
mod list_client;
mod log_client;
pub mod peer;
mod runtime;
mod timers;

pub use list_client::{ListClient, ListError};
pub use log_client::{AppendOutcome, LogClient, ReadOutcome, ReadRequest};
pub use runtime::{Clock, Runtime, Spawner, panic_message, restart_on_panic, sleep, timeout_at};
pub use timers::{Deadline, MovingTimer};
