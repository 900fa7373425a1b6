//! The configuration document as TOML, before it is checked.

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

/// Largest accepted document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// A whole configuration document.
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

/// One `[[organisation]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOrganisation {
    /// Name.
    pub id: Spanned<String>,
    /// Requests per second over the whole fleet.
    pub rate: Spanned<f64>,
    /// Requests that may come at once.
    pub burst: Spanned<f64>,
    /// Services that the organisation may call.
    #[serde(default)]
    pub services: Vec<Spanned<String>>,
    /// The `[[organisation.key]]` tables.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key: Vec<RawKey>,
}

/// One `[[organisation.key]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// Name, unique in the organisation.
    pub id: Spanned<String>,
    /// SHA-256 digest of the key as 64 hexadecimal digits.
    pub sha256: Spanned<RawDigest>,
}

/// Text of a digest; never printed, because it may be a key pasted by mistake.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RawDigest(pub String);

impl fmt::Debug for RawDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RawDigest(redacted)")
    }
}

/// One `[[service]]` table.
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
    /// HTTP methods that may be repeated; for kind `plain` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<Spanned<Vec<Spanned<String>>>>,
    /// Names of the backend servers.
    #[serde(default)]
    pub backends: Vec<Spanned<String>>,
}

/// One `[[backend]]` table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBackend {
    /// Name.
    pub id: Spanned<String>,
    /// Service whose requests the server runs.
    pub service: Spanned<String>,
    /// Availability zone.
    pub zone: Spanned<String>,
    /// IP address and port.
    pub address: Spanned<String>,
    /// Requests that run at the same time.
    pub slots: Spanned<i64>,
    /// Whether the server rejects orders with an old fencing number.
    pub checks_fencing: bool,
}

impl RawConfiguration {
    /// Reads a document without checking values and references.
    ///
    /// Fails with the first fault of syntax, missing or unknown field, or type.
    pub fn parse(text: &str) -> Result<Self, ConfigDocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let accepted = format!("a document of at most {MAX_DOCUMENT_BYTES} bytes");
            return Err(ConfigDocumentError::single(1, "document", accepted));
        }
        toml::from_str(text).map_err(|cause| {
            let start = cause.span().map_or(0, |span| span.start);
            // The message alone: the full text of the error quotes the line, which may hold a digest.
            ConfigDocumentError::single(
                LineIndex::of(text).line(start),
                "document",
                cause.message(),
            )
        })
    }

    /// Writes the document as TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

/// Reads and checks a whole document.
///
/// Fails with every fault of values and references, or with the first fault of syntax or type.
pub fn parse_configuration(text: &str) -> Result<Configuration, ConfigDocumentError> {
    let raw = RawConfiguration::parse(text)?;
    config_check::check(&raw, text)
}

/// Writes a checked configuration as a TOML document that [`parse_configuration`] accepts.
pub fn write_configuration(cfg: &Configuration) -> Result<String, toml::ser::Error> {
    RawConfiguration::from(cfg).to_toml()
}

impl TryFrom<&RawConfiguration> for Configuration {
    type Error = ConfigDocumentError;

    /// Checks a document that was not read from text; faults then carry no line.
    fn try_from(raw: &RawConfiguration) -> Result<Self, Self::Error> {
        config_check::check(raw, "")
    }
}

fn unlocated<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

fn texts<T: ToString>(ids: impl IntoIterator<Item = T>) -> Vec<Spanned<String>> {
    ids.into_iter()
        .map(|id| unlocated(id.to_string()))
        .collect()
}

impl From<&Configuration> for RawConfiguration {
    fn from(cfg: &Configuration) -> Self {
        Self {
            organisation: cfg.organisations().map(|o| unlocated(o.into())).collect(),
            service: cfg.services().map(|s| unlocated(s.into())).collect(),
            backend: cfg.backends().map(|b| unlocated(b.into())).collect(),
        }
    }
}

impl From<&Organisation> for RawOrganisation {
    fn from(organisation: &Organisation) -> Self {
        Self {
            id: unlocated(organisation.id.to_string()),
            rate: unlocated(organisation.limit.rate()),
            burst: unlocated(organisation.limit.burst()),
            services: texts(&organisation.services),
            key: organisation.keys.iter().map(RawKey::from).collect(),
        }
    }
}

impl From<&Key> for RawKey {
    fn from(key: &Key) -> Self {
        Self {
            id: unlocated(key.id.to_string()),
            sha256: unlocated(RawDigest(key.digest.to_hex())),
        }
    }
}

impl From<&Service> for RawService {
    fn from(service: &Service) -> Self {
        let mut raw = Self {
            id: unlocated(service.id.to_string()),
            kind: unlocated("model".to_owned()),
            models: None,
            access: None,
            idempotent: None,
            backends: texts(&service.backends),
        };
        match &service.kind {
            ServiceKind::Model { models } => raw.models = Some(unlocated(texts(models))),
            ServiceKind::Plain { access, idempotent } => {
                raw.kind = unlocated("plain".to_owned());
                raw.access = Some(unlocated(access.to_string()));
                raw.idempotent = Some(unlocated(texts(idempotent)));
            }
        }
        raw
    }
}

impl From<&Backend> for RawBackend {
    fn from(backend: &Backend) -> Self {
        Self {
            id: unlocated(backend.id.to_string()),
            service: unlocated(backend.service.to_string()),
            zone: unlocated(backend.zone.to_string()),
            address: unlocated(backend.address.to_string()),
            slots: unlocated(i64::from(backend.slots)),
            checks_fencing: backend.checks_fencing,
        }
    }
}

/// Returns the text of `access` values, for messages.
pub(crate) fn access_names() -> String {
    format!(
        "{:?} or {:?}",
        Access::Open.to_string(),
        Access::Keyed.to_string()
    )
}
