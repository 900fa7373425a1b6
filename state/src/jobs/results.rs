//! Pages of the results of a job.

use super::job::{
    Item,
    ItemState,
    Job, //
};
use super::record::{
    Outcome,
    Usage, //
};

/// Consecutive items of a job with their status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage<'a> {
    /// Items in order, including open ones.
    pub items: Vec<ItemResult<'a>>,
    /// Index of the first item of the next page; `None` on the last page.
    pub next: Option<u32>,
}

/// An item with its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemResult<'a> {
    /// Index in the job.
    pub index: u32,
    /// Name of the item, chosen by the caller.
    pub id: &'a str,
    /// Status of the item.
    pub status: ItemStatus<'a>,
}

/// Status of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus<'a> {
    /// The item has no outcome yet.
    Open,
    /// The item ran to completion.
    Finished {
        /// Generated text.
        text: &'a str,
        /// Billed tokens.
        usage: Usage,
    },
    /// All attempts failed.
    Failed {
        /// Human-readable reason, one sentence.
        message: &'a str,
        /// Billed tokens.
        usage: Usage,
    },
    /// The job was cancelled before the item had an outcome.
    Cancelled,
}

impl Job {
    /// Returns a page of at most `limit` items, starting at index `from`.
    pub fn results(&self, from: u32, limit: u32) -> ResultPage<'_> {
        let items = (0..).zip(self.items());
        let page = items.skip(from as usize).take(limit as usize);
        let items = page.map(|(index, item)| item.result(index)).collect();
        let end = from.saturating_add(limit);
        let next = (end < self.len()).then_some(end);
        ResultPage { items, next }
    }
}

impl Item {
    fn result(&self, index: u32) -> ItemResult<'_> {
        let status = match &self.state {
            ItemState::Open { .. } => ItemStatus::Open,
            ItemState::Cancelled => ItemStatus::Cancelled,
            ItemState::Done(Outcome::Finished(text), usage) => ItemStatus::Finished {
                text,
                usage: *usage,
            },
            ItemState::Done(Outcome::Failed(message), usage) => ItemStatus::Failed {
                message,
                usage: *usage,
            },
        };
        let id = &self.id;
        ItemResult { index, id, status }
    }
}
