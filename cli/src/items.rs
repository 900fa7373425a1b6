//! Files of job items: JSON lines or one JSON array.

use std::collections::HashMap;

use limpetweir_protocol::http::{
    JobItem,
    MAX_JOB_ITEMS, //
};
use serde_json::value::RawValue;

/// One fault of a file of items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemFault {
    /// Line in the file, from 1.
    pub line: usize,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl ItemFault {
    fn new(line: usize, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { line, message }
    }
}

/// An item as text and the line on which it begins.
struct Located<'a> {
    line: usize,
    text: &'a str,
}

/// Reads the items of a job and checks each.
///
/// Fails with every fault, in order of lines; a file that is not JSON as a whole has one fault.
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

fn split_lines(text: &str) -> Vec<Located<'_>> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, text)| !text.trim().is_empty())
        .map(|(index, text)| Located {
            line: index + 1,
            text,
        })
        .collect()
}

fn split_array(text: &str) -> Result<Vec<Located<'_>>, ItemFault> {
    let raw: Vec<&RawValue> = serde_json::from_str(text)
        .map_err(|cause| ItemFault::new(cause.line(), describe(&cause)))?;
    let mut located = Vec::with_capacity(raw.len());
    let mut line = 1;
    let mut counted = 0;
    for value in raw {
        let item = value.get();
        // The values borrow from the text, so the distance of the addresses is the offset.
        let offset = item.as_ptr().addr() - text.as_ptr().addr();
        line += text[counted..offset].matches('\n').count();
        counted = offset;
        located.push(Located { line, text: item });
    }
    Ok(located)
}

fn check(located: &[Located<'_>]) -> Result<Vec<JobItem>, Vec<ItemFault>> {
    let mut items = Vec::with_capacity(located.len());
    let mut faults = Vec::new();
    let mut first = HashMap::new();
    for Located { line, text } in located {
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
        if let Some(earlier) = first.insert(item.id.clone(), *line) {
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
    let cut = text.rfind(" at line ").unwrap_or(text.len());
    let message = &text[..cut];
    format!("{message}; an item is {{\"id\": text, \"prompt\": text, \"max_tokens\": number}}")
}
