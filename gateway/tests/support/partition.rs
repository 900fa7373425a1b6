//! A partition of the jobs for tests of its fold.

use limpetweir_gateway::{
    LoadedPartition,
    Partition, //
};

/// Returns a partition without records that has been read.
pub(crate) fn empty() -> Partition {
    let mut partition = Partition::default();
    partition.begin_listing();
    partition.end_listing(0);
    partition
}

/// Returns the jobs of a partition that has been read.
pub(crate) fn jobs(partition: &Partition) -> LoadedPartition<'_> {
    partition.loaded().expect("a partition that has been read")
}
