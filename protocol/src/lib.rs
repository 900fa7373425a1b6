//! Wire types of the log records, the peer links, the HTTP interfaces and the settings.

mod bytes;
mod config;
mod config_check;
mod config_differences;
mod config_fault;
mod config_findings;
mod heartbeat;
pub mod http;
pub mod peer;
mod quota;
pub mod records;
pub mod settings;

pub use config::{
    MAX_DOCUMENT_BYTES, RawBackend, RawConfiguration, RawDigest, RawKey, RawOrganisation,
    RawService, parse_configuration, write_configuration,
};
pub use config_differences::{
    Change, Difference, EntryList, FieldDifference, configuration_differences, differences,
};
pub use config_fault::{ConfigDocumentError, ConfigFault};
pub use config_findings::{Finding, FindingCode, Severity, configuration_warnings};
pub use quota::QuotaMessageError;
