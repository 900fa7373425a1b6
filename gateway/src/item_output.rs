//! The output of an item, collected over its runs.

use std::sync::Arc;

use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};

use crate::memory::{
    ByteBudget,
    OverBudget,
    Share, //
};

/// Output of an item so far.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Data of the events in order, separated by line feeds.
    text: String,
    /// Number of events.
    events: usize,
    /// Number of the last event.
    last: Option<u64>,
    /// Bytes of the text.
    share: Share,
}

/// Reason why an output cannot grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum OutputError {
    /// The result could not be listed.
    #[snafu(display("the output exceeds {limit} bytes"))]
    TooLarge {
        /// Largest text of a result in bytes.
        limit: usize,
    },
    /// There is no memory for it.
    #[snafu(display("{source}"))]
    NoMemory {
        /// The limit that it exceeds.
        source: OverBudget,
    },
}

impl Progress {
    /// Returns the data of all events, separated by line feeds.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the data of all events, separated by line feeds.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Returns the number of events.
    pub fn events(&self) -> usize {
        self.events
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Adds the data of event `id`, within `limit` bytes of text and the budget.
    pub fn add(
        &mut self,
        id: u64,
        data: &str,
        limit: usize,
        budget: &Arc<ByteBudget>,
    ) -> Result<(), OutputError> {
        let separator = usize::from(self.events > 0);
        let len = self.text.len() + separator + data.len();
        ensure!(len <= limit, TooLargeSnafu { limit });
        if self.events == 0 {
            self.share = budget.share();
        }
        self.share.resize(len).context(NoMemorySnafu)?;
        if separator > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.events += 1;
        self.last = Some(id);
        Ok(())
    }
}
