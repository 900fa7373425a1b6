//! Parses the server-sent events of a streamed response.

use serde_json::Value;
use snafu::OptionExt;

use super::error::{
    FleetError,
    UnexpectedSnafu, //
};
use crate::client::{
    ClientError,
    Received, //
};

/// Data of the last event of a complete stream.
const END_MARKER: &str = "[DONE]";

/// Returns the data of the events.
///
/// # Errors
///
/// Returns an error if a block is not an event with data.
pub fn events(response: &Received) -> Result<Vec<String>, FleetError> {
    let text = response.text();
    let blocks = text.split("\n\n").filter(|block| !block.is_empty());
    let data = blocks.map(|block| block.strip_prefix("data: ").map(str::to_owned));
    let events: Option<_> = data.collect();
    events.context(UnexpectedSnafu {
        status: response.status,
        text,
    })
}

/// Returns the parsed events without the end marker.
///
/// # Errors
///
/// Returns an error if a block is not an event, or an event is not JSON.
pub fn chunks(response: &Received) -> Result<Vec<Value>, FleetError> {
    let parse = |data: String| {
        let parsed = serde_json::from_str(&data);
        parsed.map_err(|source| ClientError::Json { source }.into())
    };
    let events = events(response)?.into_iter();
    events
        .filter(|data| data != END_MARKER)
        .map(parse)
        .collect()
}

/// Returns the received text of a streamed completion or chat.
///
/// # Errors
///
/// See [`chunks`].
pub fn streamed_text(response: &Received) -> Result<String, FleetError> {
    let chunks = chunks(response)?;
    let choices = chunks.iter().map(|chunk| &chunk["choices"][0]);
    let texts = choices.filter_map(|c| c["text"].as_str().or(c["delta"]["content"].as_str()));
    Ok(texts.collect())
}

/// Returns whether the last event is the end marker.
///
/// # Errors
///
/// Returns an error if a block is not an event with data.
pub fn is_done(response: &Received) -> Result<bool, FleetError> {
    let events = events(response)?;
    Ok(events.last().is_some_and(|event| event == END_MARKER))
}
