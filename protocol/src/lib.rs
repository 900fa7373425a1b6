//! Wire types of the log records, the peer links, the HTTP interfaces and the settings.

mod bytes;
mod config;
mod config_check;
mod config_fault;
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
pub use config_fault::{ConfigDocumentError, ConfigFault};
pub use quota::QuotaMessageError;
