//! Faults of a configuration document and their positions.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// A fault of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFault {
    /// Line in the document, counted from 1; 0 if the document was not read from text.
    pub line: usize,
    /// Table and field, such as `organisation.rate`; `document` for faults of syntax and types.
    pub field: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            field,
            message,
        } = self;
        write!(f, "line {line}: {field}: {message}")
    }
}

/// A configuration document was rejected because of its faults.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("configuration not accepted: {}", join(faults)))]
pub struct ConfigDocumentError {
    /// All faults, at least one, ordered by line.
    faults: Vec<ConfigFault>,
}

impl ConfigDocumentError {
    /// Creates an error with one fault.
    pub(crate) fn single(line: usize, field: &str, message: impl Into<String>) -> Self {
        let fault = ConfigFault {
            line,
            field: field.to_owned(),
            message: message.into(),
        };
        Self::new(vec![fault])
    }

    /// Creates an error with several faults, which need not be sorted.
    pub(crate) fn new(mut faults: Vec<ConfigFault>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self { faults }
    }

    /// Returns all faults, ordered by line.
    pub fn faults(&self) -> &[ConfigFault] {
        &self.faults
    }
}

fn join(faults: &[ConfigFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Maps byte offsets of a text to lines.
///
/// Built once per document, because a document contains thousands of names with a position.
pub(crate) struct LineIndex {
    /// Offsets of the line breaks, in ascending order.
    line_breaks: Vec<usize>,
    /// Whether the text is empty, so that there are no positions.
    empty: bool,
}

impl LineIndex {
    /// Builds the index of `text`.
    pub(crate) fn new(text: &str) -> Self {
        Self {
            line_breaks: text.match_indices('\n').map(|(offset, _)| offset).collect(),
            empty: text.is_empty(),
        }
    }

    /// Returns the line, counted from 1, of the byte at `offset`; 0 if the text is empty.
    pub(crate) fn line(&self, offset: usize) -> usize {
        if self.empty {
            return 0;
        }
        1 + self.line_breaks.partition_point(|at| *at < offset)
    }
}
