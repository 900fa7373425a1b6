//! Faults of a configuration document and where they stand in it.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// One fault of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFault {
    /// Line in the document, from 1; 0 if the document was not read from text.
    pub line: usize,
    /// Table and field, as in `organisation.rate`; `document` for syntax and types.
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

/// A configuration document that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("configuration not accepted: {}", join(faults)))]
pub struct ConfigDocumentError {
    /// Every fault, in order of lines; at least one.
    faults: Vec<ConfigFault>,
}

impl ConfigDocumentError {
    /// Returns an error of one fault.
    pub(crate) fn single(line: usize, field: &str, message: impl Into<String>) -> Self {
        let fault = ConfigFault {
            line,
            field: field.to_owned(),
            message: message.into(),
        };
        Self::new(vec![fault])
    }

    /// Returns an error of several faults.
    pub(crate) fn new(mut faults: Vec<ConfigFault>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self { faults }
    }

    /// Returns every fault, in order of lines.
    pub fn faults(&self) -> &[ConfigFault] {
        &self.faults
    }
}

fn join(faults: &[ConfigFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Finds lines in a text; built once because a document holds thousands of located names.
pub(crate) struct LineIndex {
    /// Offsets of the line breaks, in rising order.
    breaks: Vec<usize>,
    /// Whether the text is empty, so that nothing can be located.
    empty: bool,
}

impl LineIndex {
    /// Indexes `text`.
    pub(crate) fn of(text: &str) -> Self {
        Self {
            breaks: text.match_indices('\n').map(|(offset, _)| offset).collect(),
            empty: text.is_empty(),
        }
    }

    /// Returns the line, from 1, that holds the byte `offset`; 0 for an empty text.
    pub(crate) fn line(&self, offset: usize) -> usize {
        if self.empty {
            return 0;
        }
        1 + self.breaks.partition_point(|at| *at < offset)
    }
}
