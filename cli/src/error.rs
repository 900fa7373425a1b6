//! Errors of the commands and their exit codes.

use std::ffi::OsStr;
use std::io;
use std::path::PathBuf;

use limpetweir_protocol::{
    ConfigDocumentError,
    Finding,
    Severity, //
};
use limpetweir_simulation::PlanError;
use limpetweir_state::Verdict;
use serde_json::json;
use snafu::Snafu;

use crate::document::EditError;
use crate::items::ItemFault;
use crate::retry::{
    Failure,
    RequestError, //
};

/// Exit code: the operation was rejected or failed.
pub const EXIT_FAILED: u8 = 1;

/// Exit code: the arguments or the environment are invalid or incomplete.
pub const EXIT_USAGE: u8 = 2;

/// Exit code of a check: the document has errors or cannot be read.
pub const EXIT_INVALID: u8 = 2;

/// An error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The arguments or the environment are invalid or incomplete.
    #[snafu(display("{message}"))]
    Usage {
        /// What is missing or invalid.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A configuration document cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadDocument {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A configuration document has findings.
    #[snafu(display("{}", document_findings(file, findings)))]
    Findings {
        /// Name of the document.
        file: String,
        /// The findings, at least one.
        findings: Vec<Finding>,
    },
    /// A file or the standard output cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// The file, or `-` for the standard output.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A configuration document is invalid.
    #[snafu(display("{}", document_faults(file, source)))]
    Document {
        /// Name of the document.
        file: String,
        /// The faults.
        source: ConfigDocumentError,
    },
    /// A plan of a day is invalid.
    #[snafu(display("{}", plan_faults(file, source)))]
    Plan {
        /// Name of the file.
        file: String,
        /// The faults.
        source: PlanError,
    },
    /// The requested change to a configuration document is not possible.
    #[snafu(context(false), display("{source}"))]
    Edit {
        /// Cause.
        source: EditError,
    },
    /// A file of items is invalid.
    #[snafu(display("{}", item_faults(file, faults)))]
    Items {
        /// Name of the file.
        file: String,
        /// The faults, ordered by line.
        faults: Vec<ItemFault>,
    },
    /// The fleet rejected the request or did not respond.
    #[snafu(context(false), display("{source}"))]
    Fleet {
        /// Cause.
        #[snafu(source(from(RequestError, Box::new)))]
        source: Box<RequestError>,
    },
    /// A response cannot be parsed.
    #[snafu(display("malformed response to {request}: {cause}"))]
    MalformedResponse {
        /// Method and path of the request.
        request: String,
        /// What is malformed.
        cause: String,
    },
    /// The base of a publication is no longer in force, because another one was accepted first.
    #[snafu(display(
        "not published: the base is version {base}, but version {current} is in force; \
         compare with `limpetweir config diff` and publish again with --base {current}"
    ))]
    Conflict {
        /// Base of the publication.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// No response to the publication was received, so it may have been accepted.
    #[snafu(display(
        "{source}; the publication may have been accepted: run the same command again with \
         --base {base} --id {id}, which cannot publish it twice"
    ))]
    PublicationUnknown {
        /// Base of the publication.
        base: u64,
        /// Identifier of the publication.
        id: String,
        /// Cause.
        #[snafu(source(from(RequestError, Box::new)))]
        source: Box<RequestError>,
    },
    /// No response to the publication of a key change was received, so it may have been accepted.
    #[snafu(display(
        "{source}; key {key} of {organisation} may be changed nevertheless: {advice}"
    ))]
    KeyChangeUnknown {
        /// The organisation.
        organisation: String,
        /// The key.
        key: String,
        /// What the operator should do next.
        advice: &'static str,
        /// Cause.
        #[snafu(source(from(RequestError, Box::new)))]
        source: Box<RequestError>,
    },
    /// A version was accepted but is not in force everywhere.
    #[snafu(display("version {version} is accepted but not in force on: {missing}"))]
    NotInForceEverywhere {
        /// The accepted version.
        version: u64,
        /// Instances that do not have it, each with its state and version.
        missing: String,
    },
    /// No response to the submission was received, so the job may have been accepted.
    #[snafu(display(
        "{source}; the job may have been accepted: run the same command again with \
         --idempotency-key {key} --deadline {deadline_s}s, which cannot submit it twice"
    ))]
    SubmissionUnknown {
        /// Seconds from the submission to the deadline; part of the job's identity.
        deadline_s: u64,
        /// Idempotency key of the job.
        key: String,
        /// Cause.
        #[snafu(source(from(RequestError, Box::new)))]
        source: Box<RequestError>,
    },
    /// The watched job was cancelled.
    #[snafu(display("job {job} was cancelled"))]
    JobCancelled {
        /// The job.
        job: String,
    },
    /// A streamed response ended before its end marker.
    #[snafu(display("incomplete response ({verdict}): {cause}"))]
    Incomplete {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Why the stream ended.
        cause: String,
    },
    /// The I/O thread cannot be started or the system's random source cannot be read.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// Error of the operating system.
        source: io::Error,
    },
}

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            // The product's documents keep the code of an operation that failed.
            Self::ReadDocument { path, .. } if path.extension() != Some(OsStr::new("toml")) => {
                EXIT_INVALID
            }
            Self::Findings { findings, .. } => {
                let mut severities = findings.iter().map(|finding| finding.severity);
                match severities.any(|severity| severity == Severity::Error) {
                    true => EXIT_INVALID,
                    false => EXIT_FAILED,
                }
            }
            _ => EXIT_FAILED,
        }
    }

    /// Formats the error for standard error: as text, or as one line of JSON.
    pub fn report(&self, json: bool) -> String {
        let message = self.to_string();
        if !json {
            return match self {
                // Each fault starts with `file:line:`, the format that editors parse.
                Self::Document { .. }
                | Self::Findings { .. }
                | Self::Items { .. }
                | Self::Plan { .. } => message,
                _ => format!("error: {message}"),
            };
        }
        let mut error = json!({"message": message, "exit_code": self.exit_code()});
        if let Some(failure) = self.failure() {
            error["verdict"] = failure.verdict().to_string().into();
        }
        if let Some(Failure::ErrorResponse {
            status, error: api, ..
        }) = self.failure().map(RequestError::last)
        {
            error["status"] = (*status).into();
            error["code"] = api.code.as_str().into();
            error["retry_after_ms"] = api.retry_after_ms.into();
        }
        json!({"error": error}).to_string()
    }

    /// Returns the request failure that caused the error, if any.
    fn failure(&self) -> Option<&RequestError> {
        match self {
            Self::Fleet { source }
            | Self::PublicationUnknown { source, .. }
            | Self::KeyChangeUnknown { source, .. }
            | Self::SubmissionUnknown { source, .. } => Some(source),
            _ => None,
        }
    }

    /// Creates a usage error.
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        let message = message.into();
        Self::Usage { message }
    }
}

fn document_faults(file: &str, err: &ConfigDocumentError) -> String {
    let faults = err.faults().iter();
    let lines: Vec<String> = faults
        .map(|f| format!("{file}:{}: {}: {}", f.line, f.field, f.message))
        .collect();
    lines.join("\n")
}

fn document_findings(file: &str, findings: &[Finding]) -> String {
    let findings = findings.iter();
    let lines: Vec<String> = findings.map(|f| format!("{file}:{f}")).collect();
    lines.join("\n")
}

fn plan_faults(file: &str, err: &PlanError) -> String {
    let faults = err.faults().iter();
    let lines: Vec<String> = faults
        .map(|f| format!("{file}:{}: {}: {}", f.line, f.field, f.message))
        .collect();
    lines.join("\n")
}

fn item_faults(file: &str, faults: &[ItemFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|f| format!("{file}:{}: {}", f.line, f.message))
        .collect();
    lines.join("\n")
}
