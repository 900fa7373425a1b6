//! Joins the chunks of a streamed completion that several engines produced.

use limpetweir_transport::http::Event;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;

/// Counts the tokens of a stream and rewrites the chunks of later engines to continue the first
/// engine's stream.
#[derive(Debug, Default)]
pub(super) struct ChunkJoiner {
    /// Tokens forwarded to the caller.
    delivered: u64,
    /// Tokens of earlier engines; the usage that the current engine reports does not include them.
    resumed_from: u64,
    /// Whether a later engine than the first produces the chunks.
    resumed: bool,
    /// Whether a chunk with a finish reason was forwarded.
    finished: bool,
    /// Whether a chunk with the usage was forwarded.
    usage: bool,
    /// Fields `id` and `created` of the first chunk.
    identity: Option<(Value, Value)>,
}

#[derive(Deserialize)]
struct RawChunk {
    #[serde(default)]
    id: Value,
    #[serde(default)]
    created: Value,
    #[serde(default)]
    choices: Vec<RawChoice>,
    error: Option<Value>,
    usage: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct RawChoice {
    text: Option<IgnoredAny>,
    delta: Option<RawDelta>,
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct RawDelta {
    content: Option<IgnoredAny>,
}

impl RawChoice {
    /// Returns whether the choice holds a token; engines send one token in each chunk.
    fn is_token(&self) -> bool {
        let delta = self.delta.as_ref();
        let text = self.text.is_some() || delta.is_some_and(|delta| delta.content.is_some());
        text && self.finish_reason.is_none()
    }
}

impl ChunkJoiner {
    /// Prepares for chunks of the next engine; returns the number of tokens that it continues after.
    pub(super) fn resume(&mut self) -> u64 {
        self.resumed = self.resumed || self.identity.is_some();
        self.resumed_from = self.delivered;
        self.delivered
    }

    /// Processes an event of the engine and returns the data for the caller, if there is any.
    ///
    /// A repeated finish reason or usage is dropped. Fails with the reason if the event is an error
    /// or not a valid chunk.
    pub(super) fn accept(&mut self, event: &Event) -> Result<Option<String>, String> {
        let chunk: RawChunk = serde_json::from_str(&event.data)
            .map_err(|err| format!("the engine sent no valid chunk: {err}"))?;
        if let Some(error) = &chunk.error {
            let message = error["message"].as_str();
            return Err(message.unwrap_or("the engine failed").to_owned());
        }
        let finish = chunk.choices.iter().any(|c| c.finish_reason.is_some());
        let repeated_finish = finish && self.finished;
        let repeated_usage = chunk.usage.is_some() && self.usage;
        if repeated_finish || repeated_usage {
            return Ok(None);
        }
        self.finished |= finish;
        self.usage |= chunk.usage.is_some();
        if chunk.choices.iter().any(RawChoice::is_token) {
            self.delivered += 1;
        }
        let RawChunk { id, created, .. } = chunk;
        let identity = self.identity.get_or_insert((id, created));
        if !self.resumed {
            return Ok(Some(event.data.clone()));
        }
        let data = rewrite(&event.data, identity, self.resumed_from);
        data.map(Some)
    }
}

/// Rewrites a chunk of a later engine as the next chunk of the first engine's stream.
///
/// It gets the first engine's `id` and `created`, no role and the usage of all engines.
fn rewrite(data: &str, identity: &(Value, Value), resumed_from: u64) -> Result<String, String> {
    let mut chunk: Value = serde_json::from_str(data).map_err(|err| err.to_string())?;
    let (id, created) = identity;
    chunk["id"] = id.clone();
    chunk["created"] = created.clone();
    let choices = chunk["choices"].as_array_mut();
    for choice in choices.into_iter().flatten() {
        if let Some(delta) = choice["delta"].as_object_mut() {
            delta.remove("role");
        }
    }
    if let Some(usage) = chunk["usage"].as_object_mut() {
        for field in ["completion_tokens", "total_tokens"] {
            if let Some(tokens) = usage.get(field).and_then(Value::as_u64) {
                usage.insert(field.to_owned(), Value::from(tokens + resumed_from));
            }
        }
    }
    Ok(chunk.to_string())
}
