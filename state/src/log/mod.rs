//! Entries, replicas and writers of log streams.

mod assembly;
mod entry;
mod fold;
mod replica;
mod sequences;
mod writer;

pub use entry::{Entry, EntryBody, SnapshotPart, WriterId};
pub(crate) use fold::decode;
pub use fold::{Fold, Snapshot, SnapshotError};
pub use replica::{AdoptOutcome, Applied, EntryOutcome, Replica, ReplicaStatus};
pub use writer::{Abandoned, AppendResult, QueueFull, Ticket, Writer};
