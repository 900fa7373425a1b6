//! Error bodies of the HTTP interfaces.

use limpetweir_state::Verdict;
use serde::{
    Deserialize,
    Serialize, //
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

use crate::peer::CallError;

/// Response header with the verdict of the error body.
pub const VERDICT_HEADER: &str = "x-limpetweir-verdict";

/// JSON body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ApiError,
}

/// Error of an HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Stable error code, for example `rate_limited`.
    pub code: String,
    /// Human-readable description in one sentence.
    pub message: String,
    /// Error type for OpenAI-compatible clients.
    #[serde(rename = "type")]
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Milliseconds after which a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Error type for OpenAI-compatible clients.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or refers to an object that does not exist.
    InvalidRequestError,
    /// The key is missing, unknown or revoked.
    AuthenticationError,
    /// The key is not permitted to make the request.
    PermissionError,
    /// A rate limit or a bound is exceeded.
    RateLimitError,
    /// The fleet or a backend server failed.
    ServerError,
}

impl ErrorKind {
    /// Returns the error type of an HTTP status code.
    pub fn from_status(status: u16) -> Self {
        match status {
            401 => Self::AuthenticationError,
            403 => Self::PermissionError,
            429 => Self::RateLimitError,
            400..=499 => Self::InvalidRequestError,
            _ => Self::ServerError,
        }
    }
}

impl ErrorBody {
    /// Creates the body of an error response with `status`.
    pub fn new(status: u16, code: &str, message: impl Into<String>, verdict: Verdict) -> Self {
        let error = ApiError {
            code: code.to_owned(),
            message: message.into(),
            kind: ErrorKind::from_status(status),
            verdict,
            retry_after_ms: None,
        };
        Self { error }
    }

    /// Creates the body of a response with `status` for a failed call to another instance.
    pub fn from_call_error(status: u16, err: &CallError) -> Self {
        let body = Self::new(status, &err.code, err.message.as_str(), err.verdict);
        body.retry_after_ms(err.retry_after_ms)
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after_ms(mut self, ms: Option<u64>) -> Self {
        self.error.retry_after_ms = ms;
        self
    }
}
