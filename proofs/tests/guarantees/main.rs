//! Proofs of the guarantees of docs/design.md on several instances together, in virtual time.

mod batch;
mod fleet;
mod fuzz;
mod log;
mod network;
mod node;
mod oracle;
mod scenario;
