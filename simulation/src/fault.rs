//! Faults of a plan and their positions.

use std::fmt;

use snafu::Snafu;
use toml::Spanned;
use toml::de::{
    DeTable,
    DeValue, //
};

/// A fault of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanFault {
    /// Line in the plan, counted from 1; 0 if the plan was not read from text.
    pub line: usize,
    /// Path of the field, such as `class[0].rate`; `plan` for faults of syntax and types.
    pub field: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for PlanFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            field,
            message,
        } = self;
        write!(f, "line {line}: {field}: {message}")
    }
}

/// A plan was rejected because of its faults.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("plan not accepted: {}", join(faults)))]
pub struct PlanError {
    /// All faults, at least one, ordered by line.
    faults: Vec<PlanFault>,
}

impl PlanError {
    pub(crate) fn new(mut faults: Vec<PlanFault>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self { faults }
    }

    /// Creates the error of a text that is no TOML or has a wrong or missing field.
    pub(crate) fn parse(text: &str, cause: &toml::de::Error) -> Self {
        let start = cause.span().map_or(0, |span| span.start);
        Self::new(vec![PlanFault {
            line: line_at(text, start),
            field: "plan".to_owned(),
            message: cause.message().replace('\n', ", "),
        }])
    }

    /// Returns all faults, ordered by line.
    pub fn faults(&self) -> &[PlanFault] {
        &self.faults
    }
}

fn join(faults: &[PlanFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Lines of the fields of a plan.
#[derive(Debug, Default)]
pub(crate) struct FieldLines {
    lines: Vec<(String, usize)>,
}

impl FieldLines {
    /// Collects the fields of `text`; a text that is no TOML has none.
    pub(crate) fn new(text: &str) -> Self {
        let mut fields = Self::default();
        if let Ok(table) = DeTable::parse(text) {
            fields.add_table(text, "", table.get_ref());
        }
        fields
    }

    fn add_table(&mut self, text: &str, prefix: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let path = format!("{prefix}{}", key.get_ref());
            let line = line_at(text, Spanned::span(key).start);
            self.add_value(text, path, line, value);
        }
    }

    fn add_value(&mut self, text: &str, path: String, line: usize, value: &Spanned<DeValue<'_>>) {
        match value.get_ref() {
            DeValue::Table(inner) => self.add_table(text, &format!("{path}."), inner),
            DeValue::Array(items) => {
                for (index, item) in items.iter().enumerate() {
                    let line = line_at(text, item.span().start);
                    self.add_value(text, format!("{path}[{index}]"), line, item);
                }
            }
            _ => (),
        }
        self.lines.push((path, line));
    }

    /// Returns the line of `field`, or of the closest field around it; 0 if there is none.
    pub(crate) fn line(&self, field: &str) -> usize {
        let found = self.lines.iter().find(|(path, _)| path == field);
        match (found, field.rfind(['.', '['])) {
            (Some((_, line)), _) => *line,
            (None, Some(end)) => self.line(&field[..end]),
            (None, None) => 0,
        }
    }
}

fn line_at(text: &str, at: usize) -> usize {
    let before = text.as_bytes().iter().take(at);
    before.filter(|byte| **byte == b'\n').count() + 1
}
