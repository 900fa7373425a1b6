//! Progress of a listing of the newest record of each key of a partition.

use crate::platform::{
    Page,
    Record, //
};

/// A listing that may continue after a failed call.
///
/// The pages together are not a consistent snapshot, so reading continues at the end offset that the
/// first page contains.
#[derive(Debug, Default)]
pub struct Listing {
    /// Key after which the next page starts.
    after: Option<String>,
    /// End offset in the first page.
    end: Option<u64>,
    /// Keys of all pages so far.
    keys: Vec<String>,
}

impl Listing {
    /// Returns the key after which the next page starts; `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds the next page and returns its records with their offsets, in the order of the offsets, on
    /// which the fold of the jobs depends.
    pub fn add(&mut self, page: Page) -> impl Iterator<Item = (u64, Record)> + use<> {
        self.end.get_or_insert(page.end);
        self.after = page.next;
        let mut records = page.records;
        records.sort_by_key(|(offset, _)| *offset);
        let keys = records.iter().map(|(_, record)| record.key.clone());
        self.keys.extend(keys);
        records.into_iter()
    }

    /// Returns the offset at which reading continues after the last page.
    pub fn end(&self) -> u64 {
        self.end.unwrap_or(0)
    }

    /// Returns the keys of all pages.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }
}
