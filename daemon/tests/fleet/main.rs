//! Several instances over loopback, with the log and the list as processes.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "../common/mod.rs"]
mod common;
mod configuration;
mod outages;
mod ownership;
mod support;
