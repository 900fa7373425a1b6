//! A partition of the jobs for tests of its fold.

use limpetweir_gateway::{
    LoadedPartition,
    Partition,
    Record,
    RecordError, //
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

/// Applies the next record of the store.
pub(crate) fn apply_next(partition: &mut Partition, record: &Record) -> Result<(), RecordError> {
    let offset = partition.next();
    assert!(partition.take_next(offset));
    partition.apply(offset, record)
}
