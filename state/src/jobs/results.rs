//! Pages of results.

use super::job::{
    Item,
    ItemState,
    Job, //
};
use super::record::{
    Outcome,
    Usage, //
};

/// Consecutive items of a job with what is known about them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage<'a> {
    /// The items in order, including open ones.
    pub items: Vec<ItemResult<'a>>,
    /// Index of the first item of the next page; `None` if there is none.
    pub next: Option<u32>,
}

/// What is known about an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemResult<'a> {
    /// Index in the job.
    pub index: u32,
    /// Name that the caller gave to the item.
    pub id: &'a str,
    /// Status of the item.
    pub status: ItemStatus<'a>,
}

/// Status of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus<'a> {
    /// The item has no outcome yet.
    Open,
    /// The item ran to its end.
    Finished {
        /// Generated text.
        text: &'a str,
        /// Tokens billed.
        usage: Usage,
    },
    /// All attempts failed.
    Failed {
        /// One sentence for a person.
        message: &'a str,
        /// Tokens billed.
        usage: Usage,
    },
    /// The job was cancelled before the item had an outcome.
    Cancelled,
}

impl Job {
    /// Returns at most `limit` items, beginning with index `from`.
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
