//! Failures of a command and the exit codes they lead to.

use std::io;
use std::path::PathBuf;

use limpetweir_protocol::ConfigDocumentError;
use limpetweir_state::Verdict;
use serde_json::json;
use snafu::Snafu;

use crate::document::EditError;
use crate::items::ItemFault;
use crate::retry::Failure;

/// The operation was refused or failed.
pub const EXIT_FAILED: u8 = 1;

/// The arguments or the environment do not say what to do.
pub const EXIT_USAGE: u8 = 2;

/// A command that did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The arguments or the environment do not say what to do.
    #[snafu(display("{message}"))]
    Usage {
        /// What is missing or not accepted.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause given by the operating system.
        source: io::Error,
    },
    /// A file or the standard output cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// The file, or `-` for the standard output.
        path: PathBuf,
        /// Cause given by the operating system.
        source: io::Error,
    },
    /// A configuration document has faults.
    #[snafu(display("{}", document_faults(file, source)))]
    Document {
        /// Name of the document.
        file: String,
        /// The faults.
        source: ConfigDocumentError,
    },
    /// A configuration document cannot be changed as asked.
    #[snafu(context(false), display("{source}"))]
    Edit {
        /// Cause.
        source: EditError,
    },
    /// A file of items has faults.
    #[snafu(display("{}", item_faults(file, faults)))]
    Items {
        /// Name of the file.
        file: String,
        /// The faults, in order of lines.
        faults: Vec<ItemFault>,
    },
    /// The fleet refused the request or gave no answer.
    #[snafu(context(false), display("{source}"))]
    Fleet {
        /// Cause.
        #[snafu(source(from(Failure, Box::new)))]
        source: Box<Failure>,
    },
    /// An answer is not of the expected form.
    #[snafu(display("the answer to {request} is not of the expected form: {cause}"))]
    Malformed {
        /// Method and path.
        request: String,
        /// Cause given by the parser.
        cause: String,
    },
    /// Another publication was accepted first.
    #[snafu(display(
        "not published: the base is version {base}, but version {current} is in force; \
         compare with `limpetweir config diff` and publish again with --base {current}"
    ))]
    Conflict {
        /// Base of the publication.
        base: u64,
        /// Current version.
        current: u64,
    },
    /// The publication was not answered, so it may have been accepted.
    #[snafu(display(
        "{source}; the publication may have been accepted: run the same command again with \
         --base {base} --id {id}, which cannot publish it twice"
    ))]
    PublicationUnknown {
        /// Base of the publication.
        base: u64,
        /// Identity of the publication.
        id: String,
        /// Cause.
        #[snafu(source(from(Failure, Box::new)))]
        source: Box<Failure>,
    },
    /// The publication of a key change was not answered, so it may have been accepted.
    #[snafu(display(
        "{source}; key {key} of {organisation} may be changed all the same: {advice}"
    ))]
    KeyUnknown {
        /// The organisation.
        organisation: String,
        /// The key.
        key: String,
        /// How to find out.
        advice: &'static str,
        /// Cause.
        #[snafu(source(from(Failure, Box::new)))]
        source: Box<Failure>,
    },
    /// A version was accepted but is not in force everywhere.
    #[snafu(display("version {version} is accepted but not in force on: {missing}"))]
    NotEverywhere {
        /// The accepted version.
        version: u64,
        /// Instances without it and what they have.
        missing: String,
    },
    /// A submission was not answered, so the job may have been accepted.
    #[snafu(display(
        "{source}; the job may have been accepted: run the same command again with \
         --idempotency-key {key} --deadline {deadline_s}s, which cannot submit it twice"
    ))]
    SubmissionUnknown {
        /// Seconds to the deadline, which are part of the job.
        deadline_s: u64,
        /// Idempotency key of the job.
        key: String,
        /// Cause.
        #[snafu(source(from(Failure, Box::new)))]
        source: Box<Failure>,
    },
    /// A job ended without its results.
    #[snafu(display("job {job} was cancelled"))]
    JobCancelled {
        /// The job.
        job: String,
    },
    /// A streamed answer is not complete.
    #[snafu(display("the answer is not complete ({verdict}): {cause}"))]
    Incomplete {
        /// Whether the request may have run.
        verdict: Verdict,
        /// What ended the stream.
        cause: String,
    },
    /// The system starts no thread for the connections.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// Cause given by the operating system.
        source: io::Error,
    },
}

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            _ => EXIT_FAILED,
        }
    }

    /// Returns what is printed on the standard error: text, or one line of JSON.
    pub fn report(&self, json: bool) -> String {
        let message = self.to_string();
        if !json {
            return match self {
                // Each fault begins with its file and line, as editors expect it.
                Self::Document { .. } | Self::Items { .. } => message,
                _ => format!("error: {message}"),
            };
        }
        let mut error = json!({"message": message, "exit_code": self.exit_code()});
        if let Some(failure) = self.failure() {
            error["verdict"] = failure.verdict().to_string().into();
        }
        if let Some(Failure::Refused {
            status, error: api, ..
        }) = self.failure()
        {
            error["status"] = (*status).into();
            error["code"] = api.code.as_str().into();
            error["retry_after_ms"] = api.retry_after_ms.into();
        }
        json!({"error": error}).to_string()
    }

    /// Returns the failed request that caused the error.
    fn failure(&self) -> Option<&Failure> {
        match self {
            Self::Fleet { source }
            | Self::PublicationUnknown { source, .. }
            | Self::KeyUnknown { source, .. }
            | Self::SubmissionUnknown { source, .. } => Some(source),
            _ => None,
        }
    }

    /// Returns an error of wrong usage.
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

fn item_faults(file: &str, faults: &[ItemFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|f| format!("{file}:{}: {}", f.line, f.message))
        .collect();
    lines.join("\n")
}
