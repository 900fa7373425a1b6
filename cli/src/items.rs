//! Parses files of job items: JSON lines or one JSON array.

use std::collections::HashMap;

use limpetweir_protocol::http::{
    JobItem,
    MAX_JOB_ITEMS, //
};
use serde_json::value::RawValue;

/// A fault in a file of items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemFault {
    /// Line in the file, from 1.
    pub line: usize,
    /// Description of the fault and of the accepted format.
    pub message: String,
}

impl ItemFault {
    fn new(line: usize, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { line, message }
    }
}

/// The text of an item and the line on which it begins.
struct LocatedItem<'a> {
    line: usize,
    text: &'a str,
}

/// Parses and validates the items of a job.
///
/// Returns all faults, ordered by line; a file that is not a valid JSON array has a single fault.
pub fn parse_items(text: &str) -> Result<Vec<JobItem>, Vec<ItemFault>> {
    let located = if text.trim_start().starts_with('[') {
        split_array(text).map_err(|fault| vec![fault])?
    } else {
        split_lines(text)
    };
    let count = located.len();
    if !(1..=MAX_JOB_ITEMS).contains(&count) {
        let message = format!("a job has 1 to {MAX_JOB_ITEMS} items, not {count}");
        return Err(vec![ItemFault::new(1, message)]);
    }
    check(&located)
}

fn split_lines(text: &str) -> Vec<LocatedItem<'_>> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, text)| !text.trim().is_empty())
        .map(|(index, text)| LocatedItem {
            line: index + 1,
            text,
        })
        .collect()
}

fn split_array(text: &str) -> Result<Vec<LocatedItem<'_>>, ItemFault> {
    let raw: Vec<&RawValue> = serde_json::from_str(text)
        .map_err(|cause| ItemFault::new(cause.line(), describe(&cause)))?;
    let mut located = Vec::with_capacity(raw.len());
    let mut line = 1;
    let mut counted_until = 0;
    for value in raw {
        let item = value.get();
        // The value borrows from `text`, so the difference of the addresses is its offset.
        let offset = item.as_ptr().addr() - text.as_ptr().addr();
        line += text[counted_until..offset].matches('\n').count();
        counted_until = offset;
        located.push(LocatedItem { line, text: item });
    }
    Ok(located)
}

fn check(located: &[LocatedItem<'_>]) -> Result<Vec<JobItem>, Vec<ItemFault>> {
    let mut items = Vec::with_capacity(located.len());
    let mut faults = Vec::new();
    let mut first_lines = HashMap::new();
    for LocatedItem { line, text } in located {
        let item: JobItem = match serde_json::from_str(text) {
            Ok(item) => item,
            Err(cause) => {
                let at = line + cause.line().saturating_sub(1);
                faults.push(ItemFault::new(at, describe(&cause)));
                continue;
            }
        };
        if item.max_tokens == 0 {
            faults.push(ItemFault::new(*line, "max_tokens must be at least 1"));
        }
        if let Some(earlier) = first_lines.insert(item.id.clone(), *line) {
            let message = format!("the id {:?} is already used in line {earlier}", item.id);
            faults.push(ItemFault::new(*line, message));
        }
        items.push(item);
    }
    if faults.is_empty() {
        Ok(items)
    } else {
        Err(faults)
    }
}

/// Returns the message of `cause` without its position, which is relative to the item.
fn describe(cause: &serde_json::Error) -> String {
    let text = cause.to_string();
    let end = text.rfind(" at line ").unwrap_or(text.len());
    let message = &text[..end];
    format!("{message}; an item is {{\"id\": text, \"prompt\": text, \"max_tokens\": number}}")
}
