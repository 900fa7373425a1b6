//! Entries, replicas and writers of a log stream.

mod assembly;
mod entry;
mod fold;
mod replica;
mod sequences;
mod writer;

pub use entry::{Body, Entry, SnapshotPart, WriterId};
pub(crate) use fold::decode;
pub use fold::{Fold, Snapshot, SnapshotError};
pub use replica::{Adoption, Applied, Replica, ReplicaStatus, Step};
pub use writer::{Abandoned, Answer, QueueFull, Ticket, Writer};
