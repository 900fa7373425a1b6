//! Reading and parsing of request bodies.

use hyper::StatusCode;
use hyper::body::Bytes;
use limpetweir_transport::http::{
    BodyError,
    RequestBody, //
};
use serde::Deserialize;
use serde_json::Value;

use crate::responses::Problem;

/// Largest body of an online request in bytes.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;

/// Length of the prompt prefix that routing uses, in bytes.
const PREFIX_BYTES: usize = 256;

/// The two forms of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

impl Form {
    /// Returns the path, which is the same at the daemon and at engines.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// Fields of a completion request that the daemon uses; the body is forwarded unchanged.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    /// Requested model.
    pub(super) model: String,
    /// Whether a streamed response is requested.
    pub(super) stream: bool,
    /// Start of the prompt, for routing.
    pub(super) prefix: Vec<u8>,
    /// Whether another engine can continue the stream: the response is a single sequence of tokens.
    pub(super) resumable: bool,
}

#[derive(Deserialize)]
struct RawCompletion {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    prompt: Option<Value>,
    messages: Option<Vec<Message>>,
    n: Option<u32>,
    best_of: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

impl CompletionRequest {
    /// Parses a body; fields that are not read here are validated by the engine.
    pub(super) fn parse(form: Form, body: &[u8]) -> Result<Self, Problem> {
        let raw: RawCompletion = serde_json::from_slice(body)
            .map_err(|err| malformed(format!("the body is not a completion request: {err}")))?;
        let prefix = match form {
            Form::Completion => prompt_prefix(raw.prompt.as_ref())?,
            Form::Chat => chat_prefix(raw.messages.as_deref())?,
        };
        let one = |count: Option<u32>| count.is_none_or(|count| count == 1);
        Ok(Self {
            model: raw.model,
            stream: raw.stream.unwrap_or(false),
            prefix,
            resumable: one(raw.n) && one(raw.best_of),
        })
    }
}

fn prompt_prefix(prompt: Option<&Value>) -> Result<Vec<u8>, Problem> {
    let mut prefix = Vec::new();
    match prompt {
        Some(Value::String(text)) => append_prefix(&mut prefix, text),
        // A prompt may also be a list of texts or of token ids.
        Some(Value::Array(parts)) if !parts.is_empty() => {
            for part in parts.iter().take(PREFIX_BYTES) {
                append_prefix(&mut prefix, &part.to_string());
            }
        }
        _ => return Err(malformed("prompt is missing, empty or of another type")),
    }
    Ok(prefix)
}

fn chat_prefix(messages: Option<&[Message]>) -> Result<Vec<u8>, Problem> {
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or_else(|| malformed("messages is missing or empty"))?;
    let mut prefix = Vec::new();
    for message in messages.iter().take(PREFIX_BYTES) {
        append_prefix(&mut prefix, &message.role);
        match &message.content {
            Value::String(text) => append_prefix(&mut prefix, text),
            content => append_prefix(&mut prefix, &content.to_string()),
        }
    }
    Ok(prefix)
}

/// Appends `text` to `prefix`, up to [`PREFIX_BYTES`] in total.
fn append_prefix(prefix: &mut Vec<u8>, text: &str) {
    let remaining = PREFIX_BYTES - prefix.len();
    prefix.extend(text.bytes().take(remaining));
}

/// Reads the body of an online request, at most [`MAX_BODY_BYTES`].
pub(super) async fn read(body: RequestBody) -> Result<Bytes, Problem> {
    let read = body.limited(MAX_BODY_BYTES).collect_bytes().await;
    read.map_err(|err| {
        let (status, code) = match &err {
            BodyError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            BodyError::Stalled { .. } => (StatusCode::REQUEST_TIMEOUT, "body_stalled"),
            _ => (StatusCode::BAD_REQUEST, "body_cut"),
        };
        Problem::not_run(status, code, err.to_string())
    })
}

fn malformed(message: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "invalid_body", message)
}
