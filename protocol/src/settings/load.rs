//! Loading of settings from TOML text and overrides.

use std::str::FromStr;

use snafu::{
    OptionExt,
    Snafu, //
};
use toml::de::{
    DeTable,
    DeValue, //
};
use toml::{
    Spanned,
    Table,
    Value, //
};

use super::check::{
    FieldError,
    Settings, //
};
use super::raw::RawSettings;

/// Error of loading settings.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The text is not valid TOML, or a field is unknown or has the wrong type.
    #[snafu(display("{file}:{line}: {field}: {message}"))]
    Parse {
        /// Name of the file.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// Path of the field in the line, or `settings` if there is none.
        field: String,
        /// Error message of the parser, which includes what is expected.
        message: String,
    },
    /// A field of the file has an invalid value.
    #[snafu(display("{file}:{line}: {error}"))]
    Field {
        /// Name of the file.
        file: String,
        /// Line of the field, or the last line if the field is missing.
        line: usize,
        /// The field and its valid values.
        error: FieldError,
    },
    /// An override is not of the form `key=value`.
    #[snafu(display("--set {text}: expected key=value, such as runtime.threads=4"))]
    OverrideForm {
        /// Text of the override.
        text: String,
    },
    /// The field of an override is unknown, or its value has the wrong type.
    #[snafu(display("--set {key}: {message}"))]
    OverrideType {
        /// Path of the field.
        key: String,
        /// Error message of the parser, which includes what is expected.
        message: String,
    },
    /// An override has an invalid value.
    #[snafu(display("--set {key}: {error}"))]
    OverrideValue {
        /// Path of the field.
        key: String,
        /// The field and its valid values.
        error: FieldError,
    },
}

/// Override of a single field of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Path of the field, for example `listen.public`.
    key: String,
    value: Value,
}

impl FromStr for Override {
    type Err = SettingsError;

    /// Parses `key=value`; a value that is not valid TOML is treated as a string.
    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let (key, value) = text.split_once('=').context(OverrideFormSnafu { text })?;
        let key = key.trim();
        if key.split('.').any(str::is_empty) {
            return OverrideFormSnafu { text }.fail();
        }
        Ok(Self {
            key: key.to_owned(),
            value: parse_value(value.trim()),
        })
    }
}

fn parse_value(text: &str) -> Value {
    let parsed = Table::from_str(&format!("value = {text}"));
    let value = parsed.ok().filter(|table| table.len() == 1);
    value
        .and_then(|mut table| table.remove("value"))
        .unwrap_or_else(|| Value::String(text.to_owned()))
}

impl Settings {
    /// Loads settings from the text of `file` and applies `overrides`.
    ///
    /// An error includes the file and line, or the override, then the field and its valid values.
    pub fn load(file: &str, text: &str, overrides: &[Override]) -> Result<Self, SettingsError> {
        let fields = field_lines(text);
        let parse_error = |err: toml::de::Error| parse_error(file, text, &fields, &err);
        let from_file: RawSettings = toml::from_str(text).map_err(parse_error)?;
        let raw = if overrides.is_empty() {
            from_file
        } else {
            apply_overrides(Table::from_str(text).map_err(parse_error)?, overrides)?
        };
        Self::try_from(raw).map_err(|error| locate(file, text, &fields, overrides, error))
    }
}

/// Applies overrides one by one, so that an error refers to the override that caused it.
fn apply_overrides(mut table: Table, overrides: &[Override]) -> Result<RawSettings, SettingsError> {
    let mut raw = RawSettings::default();
    for change in overrides {
        let type_error = |message: String| SettingsError::OverrideType {
            key: change.key.clone(),
            message,
        };
        insert(&mut table, &change.key, change.value.clone()).map_err(type_error)?;
        let parsed = RawSettings::deserialize_table(table.clone());
        raw = parsed.map_err(|err| type_error(err.message().to_owned()))?;
    }
    Ok(raw)
}

impl RawSettings {
    fn deserialize_table(table: Table) -> Result<Self, toml::de::Error> {
        table.try_into()
    }
}

fn insert(table: &mut Table, key: &str, value: Value) -> Result<(), String> {
    let Some((section, rest)) = key.split_once('.') else {
        table.insert(key.to_owned(), value);
        return Ok(());
    };
    let entry = table.entry(section).or_insert_with(|| Table::new().into());
    match entry {
        Value::Table(inner) => insert(inner, rest, value),
        _ => Err(format!("{section} is a single value, not a section")),
    }
}

/// Path and line of all fields in the text, ordered by line.
type FieldLines = Vec<(String, usize)>;

fn field_lines(text: &str) -> FieldLines {
    let mut fields = FieldLines::new();
    // Syntax errors are reported when the settings are deserialized.
    if let Ok(table) = DeTable::parse(text) {
        collect_fields(text, "", table.get_ref(), &mut fields);
    }
    fields.sort_by_key(|(_, line)| *line);
    fields
}

fn collect_fields(text: &str, prefix: &str, table: &DeTable<'_>, fields: &mut FieldLines) {
    for (key, value) in table {
        let path = format!("{prefix}{}", key.get_ref());
        fields.push((path.clone(), line_at(text, Spanned::span(key).start)));
        if let DeValue::Table(inner) = value.get_ref() {
            collect_fields(text, &format!("{path}."), inner, fields);
        }
    }
}

fn line_at(text: &str, at: usize) -> usize {
    let before = text.as_bytes().iter().take(at);
    before.filter(|byte| **byte == b'\n').count() + 1
}

fn parse_error(
    file: &str,
    text: &str,
    fields: &FieldLines,
    err: &toml::de::Error,
) -> SettingsError {
    let line = line_at(text, err.span().map_or(0, |span| span.start));
    let field = fields.iter().rev().find(|(_, at)| *at == line);
    SettingsError::Parse {
        file: file.to_owned(),
        line,
        field: field.map_or_else(|| "settings".to_owned(), |(path, _)| path.clone()),
        message: err.message().replace('\n', ", "),
    }
}

fn locate(
    file: &str,
    text: &str,
    fields: &FieldLines,
    overrides: &[Override],
    error: FieldError,
) -> SettingsError {
    let change = overrides.iter().rev().find(|c| c.key == error.field);
    if let Some(change) = change {
        let key = change.key.clone();
        return SettingsError::OverrideValue { key, error };
    }
    let field = fields.iter().find(|(path, _)| path == error.field);
    SettingsError::Field {
        file: file.to_owned(),
        line: field.map_or_else(|| text.lines().count().max(1), |(_, line)| *line),
        error,
    }
}
