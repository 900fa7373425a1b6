//! Record of the received requests, for tests.

use serde::{
    Deserialize,
    Serialize, //
};

/// State or outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// Waiting or running.
    Running,
    /// All tokens were generated and passed to the connection.
    Completed,
    /// The caller closed the connection.
    Cancelled,
    /// Rejected without running.
    Rejected,
    /// Failed because of `POISON_MARKER` in its prompt.
    Poisoned,
    /// Failed after some tokens because of an injected fault.
    Failed,
    /// Connection closed after some tokens because of an injected fault.
    Cut,
    /// Stream ended without end marker because of an injected fault.
    EndedEarly,
}

/// A request in the response of `GET /record`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Position in the order of arrival.
    pub seq: usize,
    /// Value of `x-attempt-id`.
    pub attempt_id: Option<String>,
    /// Path.
    pub path: String,
    /// Headers as received.
    pub headers: Vec<(String, String)>,
    /// `text::request_hash` of model, prompt and token limit; empty for a malformed request.
    pub content_hash: String,
    /// Requested model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens delivered by earlier attempts.
    pub resume_tokens: usize,
    /// Maximum number of tokens of the complete response.
    pub max_tokens: usize,
    /// Tokens that this attempt generated.
    pub generated: usize,
    /// Whether the response contained the attempt id and text of the previous request.
    pub crossed: bool,
    /// State or outcome.
    pub outcome: RequestOutcome,
    /// Time of arrival, in milliseconds since the start of the engine.
    pub arrived_ms: u64,
    /// Time of the end, in milliseconds since the start of the engine.
    pub ended_ms: Option<u64>,
}
