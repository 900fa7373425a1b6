//! Outcomes of items on their way to the log.

use limpetweir_coordination::BufferedSize;
use limpetweir_protocol::records::MAX_RECORD_BYTES;
use limpetweir_state::{
    Completion,
    Outcome,
    Usage, //
};

/// Longest text of an outcome, so that its record stays below the size limit.
const MAX_TEXT_BYTES: usize = MAX_RECORD_BYTES - 4_096;

/// Longest message of a failed item.
const MAX_MESSAGE_BYTES: usize = 1_024;

/// Outcome of an item with what it used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ItemOutcome {
    outcome: Outcome,
    usage: Usage,
}

impl ItemOutcome {
    /// Returns the outcome of an item that ran to its end.
    ///
    /// A text that no record can hold becomes a failure, because it would never be recorded.
    pub(super) fn finished(text: String, usage: Usage) -> Self {
        if text.len() > MAX_TEXT_BYTES {
            return Self::failed(format!("the result has more than {MAX_TEXT_BYTES} bytes"));
        }
        let outcome = Outcome::Finished(text.into());
        Self { outcome, usage }
    }

    /// Returns the outcome of an item whose attempts failed; it is not billed.
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

    /// Returns the outcome as the log records it.
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
