//! What a call to the store is about.

use crate::platform::Topic;

/// How a call uses a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// It reads or lists records.
    Read,
    /// It appends records.
    Append,
}

/// Calls that succeed or fail together: those of one kind about one partition. Each partition may fail for
/// itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallTarget {
    /// The topic.
    pub topic: Topic,
    /// Its partition.
    pub partition: u32,
    /// How it is used.
    pub access: Access,
}

impl CallTarget {
    /// Returns the target of reads and listings.
    pub const fn read(topic: Topic, partition: u32) -> Self {
        Self {
            topic,
            partition,
            access: Access::Read,
        }
    }

    /// Returns the target of appends.
    pub const fn append(topic: Topic, partition: u32) -> Self {
        Self {
            topic,
            partition,
            access: Access::Append,
        }
    }
}
