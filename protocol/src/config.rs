//! TOML form of the configuration document, before validation.

use std::fmt;

use limpetweir_state::{
    Access,
    Backend,
    Configuration,
    Key,
    Organisation,
    Service,
    ServiceKind, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use toml::Spanned;

use crate::config_check;
use crate::config_fault::{
    ConfigDocumentError,
    LineIndex, //
};

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Configuration document before validation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfiguration {
    /// The `[[organisation]]` tables.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub organisation: Vec<Spanned<RawOrganisation>>,
    /// The `[[service]]` tables.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<Spanned<RawService>>,
    /// The `[[backend]]` tables.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub backend: Vec<Spanned<RawBackend>>,
}

/// An `[[organisation]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOrganisation {
    /// Name.
    pub id: Spanned<String>,
    /// Rate limit over the whole fleet, in requests per second.
    pub rate: Spanned<f64>,
    /// Burst of the limit, in requests.
    pub burst: Spanned<f64>,
    /// Services that the organisation may call.
    #[serde(default)]
    pub services: Vec<Spanned<String>>,
    /// The `[[organisation.key]]` tables.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key: Vec<RawKey>,
}

/// An `[[organisation.key]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// Name, unique in the organisation.
    pub id: Spanned<String>,
    /// SHA-256 digest of the key as 64 hexadecimal digits.
    pub sha256: Spanned<RawDigest>,
}

/// Text of a digest, redacted in debug output because it may be a key pasted by mistake.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RawDigest(pub String);

impl fmt::Debug for RawDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RawDigest(redacted)")
    }
}

/// A `[[service]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name.
    pub id: Spanned<String>,
    /// `model` or `plain`.
    pub kind: Spanned<String>,
    /// Models; for kind `model` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Spanned<Vec<Spanned<String>>>>,
    /// `open` or `keyed`; for kind `plain` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub access: Option<Spanned<String>>,
    /// Idempotent HTTP methods, whose requests may be retried; for kind `plain` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<Spanned<Vec<Spanned<String>>>>,
    /// Names of the backend servers.
    #[serde(default)]
    pub backends: Vec<Spanned<String>>,
}

/// A `[[backend]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBackend {
    /// Name.
    pub id: Spanned<String>,
    /// Service whose requests the backend server runs.
    pub service: Spanned<String>,
    /// Availability zone.
    pub zone: Spanned<String>,
    /// IP address and port.
    pub address: Spanned<String>,
    /// Maximum number of concurrent requests.
    pub slots: Spanned<i64>,
    /// Whether the backend server rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

impl RawConfiguration {
    /// Parses a document without checking values and references.
    ///
    /// Returns the first fault: a syntax error, a missing or unknown field, or a wrong type.
    pub fn parse(text: &str) -> Result<Self, ConfigDocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let accepted = format!("a document of at most {MAX_DOCUMENT_BYTES} bytes");
            return Err(ConfigDocumentError::single(1, "document", accepted));
        }
        toml::from_str(text).map_err(|cause| {
            let start = cause.span().map_or(0, |span| span.start);
            // Only the message: the full error text quotes the line, which may contain a digest.
            ConfigDocumentError::single(
                LineIndex::new(text).line(start),
                "document",
                cause.message(),
            )
        })
    }

    /// Serializes the document as TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

/// Parses and checks a whole document.
///
/// Returns all faults of values and references, or the first fault of syntax or type.
pub fn parse_configuration(text: &str) -> Result<Configuration, ConfigDocumentError> {
    let raw = RawConfiguration::parse(text)?;
    config_check::check(&raw, text)
}

/// Serializes a checked configuration as a TOML document that [`parse_configuration`] accepts.
pub fn write_configuration(cfg: &Configuration) -> Result<String, toml::ser::Error> {
    RawConfiguration::from(cfg).to_toml()
}

impl TryFrom<&RawConfiguration> for Configuration {
    type Error = ConfigDocumentError;

    /// Checks a document that was not parsed from text; its faults have no line.
    fn try_from(raw: &RawConfiguration) -> Result<Self, Self::Error> {
        config_check::check(raw, "")
    }
}

fn unspanned<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

fn unspanned_all<T: ToString>(ids: impl IntoIterator<Item = T>) -> Vec<Spanned<String>> {
    ids.into_iter()
        .map(|id| unspanned(id.to_string()))
        .collect()
}

impl From<&Configuration> for RawConfiguration {
    fn from(cfg: &Configuration) -> Self {
        Self {
            organisation: cfg.organisations().map(|o| unspanned(o.into())).collect(),
            service: cfg.services().map(|s| unspanned(s.into())).collect(),
            backend: cfg.backends().map(|b| unspanned(b.into())).collect(),
        }
    }
}

impl From<&Organisation> for RawOrganisation {
    fn from(organisation: &Organisation) -> Self {
        Self {
            id: unspanned(organisation.id.to_string()),
            rate: unspanned(organisation.limit.rate()),
            burst: unspanned(organisation.limit.burst()),
            services: unspanned_all(&organisation.services),
            key: organisation.keys.iter().map(RawKey::from).collect(),
        }
    }
}

impl From<&Key> for RawKey {
    fn from(key: &Key) -> Self {
        Self {
            id: unspanned(key.id.to_string()),
            sha256: unspanned(RawDigest(key.digest.to_hex())),
        }
    }
}

impl From<&Service> for RawService {
    fn from(service: &Service) -> Self {
        let mut raw = Self {
            id: unspanned(service.id.to_string()),
            kind: unspanned("model".to_owned()),
            models: None,
            access: None,
            idempotent: None,
            backends: unspanned_all(&service.backends),
        };
        match &service.kind {
            ServiceKind::Model { models } => raw.models = Some(unspanned(unspanned_all(models))),
            ServiceKind::Plain { access, idempotent } => {
                raw.kind = unspanned("plain".to_owned());
                raw.access = Some(unspanned(access.to_string()));
                raw.idempotent = Some(unspanned(unspanned_all(idempotent)));
            }
        }
        raw
    }
}

impl From<&Backend> for RawBackend {
    fn from(backend: &Backend) -> Self {
        Self {
            id: unspanned(backend.id.to_string()),
            service: unspanned(backend.service.to_string()),
            zone: unspanned(backend.zone.to_string()),
            address: unspanned(backend.address.to_string()),
            slots: unspanned(i64::from(backend.slots)),
            checks_fencing: backend.checks_fencing,
        }
    }
}

/// Returns the values of `access`, for messages.
pub(crate) fn access_names() -> String {
    format!(
        "{:?} or {:?}",
        Access::Open.to_string(),
        Access::Keyed.to_string()
    )
}
