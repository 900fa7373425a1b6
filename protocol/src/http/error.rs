//! Error bodies with a verdict.

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

/// Response header that repeats the verdict of an error body.
pub const VERDICT_HEADER: &str = "x-limpetweir-verdict";

/// JSON body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ApiError,
}

/// One error of an HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Short stable name, for example `rate_limited`.
    pub code: String,
    /// One sentence for a person.
    pub message: String,
    /// Class of the error as OpenAI-compatible clients know it.
    #[serde(rename = "type")]
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Milliseconds after which another try is useful.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Class of an error.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or refers to something that does not exist.
    InvalidRequestError,
    /// The key is missing, unknown or revoked.
    AuthenticationError,
    /// The key does not allow the request.
    PermissionError,
    /// A rate or a bound is exceeded.
    RateLimitError,
    /// The fault lies with the fleet or a backend server.
    ServerError,
}

impl ErrorKind {
    /// Returns the class that goes with an HTTP status code.
    pub fn of_status(status: u16) -> Self {
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
    /// Returns the body of an error answered with `status`.
    pub fn new(status: u16, code: &str, message: impl Into<String>, verdict: Verdict) -> Self {
        let error = ApiError {
            code: code.to_owned(),
            message: message.into(),
            kind: ErrorKind::of_status(status),
            verdict,
            retry_after_ms: None,
        };
        Self { error }
    }

    /// Returns the body of a failed call to another instance, answered with `status`.
    pub fn of_call(status: u16, err: &CallError) -> Self {
        let body = Self::new(status, &err.code, err.message.as_str(), err.verdict);
        body.retry_after_ms(err.retry_after_ms)
    }

    /// Sets the time after which another try is useful.
    pub fn retry_after_ms(mut self, ms: Option<u64>) -> Self {
        self.error.retry_after_ms = ms;
        self
    }
}
