//! Batch jobs on a fleet of instance processes with stand-ins for the platform and the engines.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

mod failures;
mod fleet;
mod inputs;
mod jobs;
mod orders;
mod preemptions;
