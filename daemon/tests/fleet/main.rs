//! Several instances over loopback; the log service and the platform's list run as processes.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

#[path = "../common/mod.rs"]
mod common;
mod configuration;
mod outages;
mod ownership;
mod support;
