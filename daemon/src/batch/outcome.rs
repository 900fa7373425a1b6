//! Outcomes of items that are to be recorded in the log.

use limpetweir_coordination::BufferedSize;
use limpetweir_protocol::records::MAX_RECORD_BYTES;
use limpetweir_state::{
    Completion,
    Outcome,
    Usage, //
};

/// Largest text of an outcome in bytes, so that its record stays below the size limit.
const MAX_TEXT_BYTES: usize = MAX_RECORD_BYTES - 4_096;

/// Largest message of a failed item in bytes; a longer one is truncated.
const MAX_MESSAGE_BYTES: usize = 1_024;

/// Outcome of an item and its billed usage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ItemOutcome {
    outcome: Outcome,
    usage: Usage,
}

impl ItemOutcome {
    /// Returns the outcome of an item that ran to completion.
    ///
    /// A text that exceeds the record size becomes a failure, because it could never be recorded.
    pub(super) fn finished(text: String, usage: Usage) -> Self {
        if text.len() > MAX_TEXT_BYTES {
            return Self::failed(format!("the result has more than {MAX_TEXT_BYTES} bytes"));
        }
        let outcome = Outcome::Finished(text.into());
        Self { outcome, usage }
    }

    /// Returns the outcome of an item whose attempts failed; the item is not billed.
    pub(super) fn failed(mut message: String) -> Self {
        let mut end = message.len().min(MAX_MESSAGE_BYTES);
        while !message.is_char_boundary(end) {
            end -= 1;
        }
        message.truncate(end);
        Self {
            outcome: Outcome::Failed(message.into()),
            usage: Usage::default(),
        }
    }

    /// Converts the outcome of the item at `index` to its form in the log.
    pub(super) fn completion(&self, index: u32) -> Completion {
        Completion {
            index,
            outcome: self.outcome.clone(),
            usage: self.usage,
        }
    }
}

impl BufferedSize for ItemOutcome {
    fn buffered_size(&self) -> usize {
        let (Outcome::Finished(text) | Outcome::Failed(text)) = &self.outcome;
        text.len() + size_of::<Self>()
    }
}
