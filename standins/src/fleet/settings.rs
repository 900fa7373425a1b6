//! Settings of an instance under test.

use std::fmt;

use sha2::{
    Digest,
    Sha256, //
};

use super::platform::Platform;

/// Operator key of all fleets.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test";

/// Address without a listener.
const UNREACHABLE: &str = "127.0.0.1:1";

/// Returns the `authorization` header value for a key.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Returns the digest of a key in the format of settings and configuration.
pub(crate) fn key_digest(key: &str) -> String {
    format!("{:x}", Sha256::digest(key.as_bytes()))
}

/// Settings of an instance; `Display` writes them as a settings file.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the log service.
    pub log: String,
    /// Address of the list.
    pub list: String,
    /// Number of groups of each kind; `None` for the default.
    pub groups: Option<usize>,
    /// Fields of the section `timing`, in milliseconds.
    pub timing: Vec<(&'static str, u64)>,
}

impl InstanceSettings {
    /// Returns default settings with the addresses of the platform.
    pub fn new(name: &str, zone: &str, platform: &Platform) -> Self {
        Self {
            log: platform.log().to_owned(),
            list: platform.list().to_owned(),
            ..Self::without_platform(name, zone)
        }
    }

    /// Returns settings of an instance that cannot reach the platform services.
    pub fn without_platform(name: &str, zone: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            log: UNREACHABLE.to_owned(),
            list: UNREACHABLE.to_owned(),
            groups: None,
            timing: Vec::new(),
        }
    }
}

impl fmt::Display for InstanceSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "name = {:?}", self.name)?;
        writeln!(f, "zone = {:?}", self.zone)?;
        writeln!(f, "[listen]")?;
        for listener in ["public", "peer", "admin"] {
            writeln!(f, "{listener} = \"127.0.0.1:0\"")?;
        }
        writeln!(f, "[platform]")?;
        writeln!(f, "log = {:?}", self.log)?;
        writeln!(f, "list = {:?}", self.list)?;
        writeln!(f, "[operator]")?;
        writeln!(f, "key_digest = \"{}\"", key_digest(OPERATOR_KEY))?;
        if let Some(groups) = self.groups {
            writeln!(f, "[runtime]\ngroups = {groups}")?;
        }
        writeln!(f, "[timing]")?;
        let mut fields = self.timing.iter();
        fields.try_for_each(|(name, value)| writeln!(f, "{name} = {value}"))
    }
}
