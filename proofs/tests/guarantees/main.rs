//! Tests of the guarantees in docs/design.md with several instances, in virtual time.

mod batch;
mod fleet;
mod fuzz;
mod log;
mod network;
mod node;
mod oracle;
mod scenario;
