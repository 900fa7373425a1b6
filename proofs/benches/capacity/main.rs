//! Measures how bytes, CPU time and memory of control-plane work grow with the size of the fleet.
//!
//! Each output line has one quantity at three sizes and the slopes between them; docs/CAPACITY.md
//! derives its figures from these slopes.

mod documents;
mod heartbeats;
mod jobs;
mod quota;
mod report;
mod routing;
mod streams;

use std::alloc::System;

use stats_alloc::{
    INSTRUMENTED_SYSTEM,
    StatsAlloc, //
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    report::heading();
    heartbeats::measure();
    routing::measure();
    quota::measure();
    streams::measure();
    documents::measure();
    jobs::measure();
}
