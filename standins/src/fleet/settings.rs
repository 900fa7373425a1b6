//! Settings of an instance under test.

use std::fmt;

use sha2::{
    Digest,
    Sha256, //
};

use super::platform::Platform;

/// Key of the operator in every fleet of the harness.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test";

/// Address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:1";

/// Returns the value of the authorization header for a key.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Returns the digest of a key as settings and configuration name it.
pub(crate) fn key_digest(key: &str) -> String {
    format!("{:x}", Sha256::digest(key.as_bytes()))
}

/// Settings of an instance, displayed as a settings file.
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
    /// Groups of each kind; `None` for the default.
    pub groups: Option<usize>,
    /// Fields of the section `timing`, in milliseconds.
    pub timing: Vec<(&'static str, u64)>,
}

impl InstanceSettings {
    /// Returns settings that differ from the defaults in nothing but the addresses.
    pub fn new(name: &str, zone: &str, platform: &Platform) -> Self {
        Self {
            log: platform.log().to_owned(),
            list: platform.list().to_owned(),
            ..Self::without_platform(name, zone)
        }
    }

    /// Returns settings of an instance that reaches no platform service.
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
