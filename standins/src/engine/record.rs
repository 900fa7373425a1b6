//! Record of requests for tests.

use serde::{
    Deserialize,
    Serialize, //
};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// Waits or runs.
    Running,
    /// All tokens were generated and handed to the connection.
    Completed,
    /// The caller closed the connection.
    Cancelled,
    /// Rejected before it ran.
    Rejected,
    /// Failed because of the marker in its prompt.
    Poisoned,
    /// Failed after some tokens by control.
    Failed,
    /// Connection closed after some tokens by control.
    Cut,
    /// Stream ended without its end marker by control.
    EndedEarly,
}

/// One request in the response of `GET /record`.
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
    /// Tokens that an earlier attempt delivered.
    pub resume_tokens: usize,
    /// Most tokens of the whole response.
    pub max_tokens: usize,
    /// Tokens that this attempt generated.
    pub generated: usize,
    /// Whether the response carried the attempt id and text of the previous request.
    pub crossed: bool,
    /// What became of the request.
    pub outcome: RequestOutcome,
    /// Arrival, in milliseconds since the start of the engine.
    pub arrived_ms: u64,
    /// End, in milliseconds since the start of the engine.
    pub ended_ms: Option<u64>,
}
