//! Errors of the fleet harness, and checks of responses.

use std::io;
use std::time::Duration;

use serde_json::Value;
use snafu::{
    OptionExt,
    Snafu,
    ensure, //
};

use crate::client::{
    ClientError,
    Received, //
};
use crate::harness::HarnessError;

/// A fleet could not be started or controlled, or behaved unexpectedly.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A process could not be started or controlled.
    #[snafu(transparent)]
    Harness {
        /// Cause.
        source: HarnessError,
    },
    /// A request received no response.
    #[snafu(transparent)]
    Client {
        /// Cause.
        source: ClientError,
    },
    /// A file of an instance could not be read or written.
    #[snafu(transparent)]
    File {
        /// Cause.
        source: io::Error,
    },
    /// The response has an unexpected status or format.
    #[snafu(display("unexpected response with status {status}: {text}"))]
    Unexpected {
        /// Status code.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// No instance with this name is running.
    #[snafu(display("no instance {name:?} is running"))]
    NoInstance {
        /// Name of the instance.
        name: String,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out after {timeout:?} waiting for: {what}"))]
    TimedOut {
        /// The condition.
        what: String,
        /// The timeout.
        timeout: Duration,
    },
    /// An instance exited with a failure status after a graceful stop.
    #[snafu(display("the instance exited with {status}"))]
    Failed {
        /// Exit status.
        status: std::process::ExitStatus,
    },
}

/// Returns the response if `expected` is true, an error otherwise.
pub(crate) fn check_expected(received: Received, expected: bool) -> Result<Received, FleetError> {
    ensure!(
        expected,
        UnexpectedSnafu {
            status: received.status,
            text: received.text(),
        }
    );
    Ok(received)
}

/// Checks that a response is an error in the documented format and returns its code.
///
/// # Errors
///
/// Returns an error if status, verdict or a field of the body differs from the documented format.
pub fn error_code(response: &Received, status: u16, verdict: &str) -> Result<String, FleetError> {
    let body: Value = response.json()?;
    let error = &body["error"];
    let timed = error["retry_after_ms"].is_u64();
    let expected = response.status == status
        && response.header("x-limpetweir-verdict") == Some(verdict)
        && error["verdict"] == verdict
        && error["message"].is_string()
        && error["type"].is_string()
        && timed == response.header("retry-after").is_some();
    let code = error["code"].as_str().filter(|_| expected);
    code.map(str::to_owned).context(UnexpectedSnafu {
        status: response.status,
        text: format!("{:?} {}", response.headers, response.text()),
    })
}
