//! Errors of the fleet harness and the check of error responses.

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

/// A fleet could not be started or controlled, or did not do what was expected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A process could not be started or controlled.
    #[snafu(transparent)]
    Harness {
        /// Cause.
        source: HarnessError,
    },
    /// A request got no response.
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
    /// The response has another status or form than expected.
    #[snafu(display("unexpected answer with status {status}: {text}"))]
    Unexpected {
        /// Status code.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// No instance of this name runs.
    #[snafu(display("no instance {name:?} runs"))]
    NoInstance {
        /// Name of the instance.
        name: String,
    },
    /// A condition did not hold within its bound.
    #[snafu(display("{what}: not within {bound:?}"))]
    TimedOut {
        /// The condition.
        what: String,
        /// The bound.
        bound: Duration,
    },
    /// An instance ended without success after a graceful stop.
    #[snafu(display("the instance ended with {status}"))]
    Failed {
        /// Exit status.
        status: std::process::ExitStatus,
    },
}

/// Passes a response on if it is as expected.
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

/// Checks that a response is an error of the documented form and returns its code.
///
/// # Errors
///
/// Returns an error if status, verdict or any field of the body differ from the documented form.
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
