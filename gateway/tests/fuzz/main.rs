//! Decoders of the gateway with odd input: none panics or takes long, and all results are in range.

mod bytes;
mod messages;
#[path = "../support/partition.rs"]
mod partition;
mod records;
mod texts;
