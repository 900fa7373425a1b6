//! Settings file before validation.

use serde::{
    Deserialize,
    Serialize, //
};

/// Settings file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance, unique in the fleet; required.
    pub name: Option<String>,
    /// Availability zone; required.
    pub zone: Option<String>,
    /// Addresses to bind.
    #[serde(default)]
    pub listen: RawListen,
    /// Advertised addresses, where they differ from the bound ones.
    #[serde(default)]
    pub advertise: RawAdvertise,
    /// Services of the platform.
    #[serde(default)]
    pub platform: RawPlatform,
    /// Authentication of operators.
    #[serde(default)]
    pub operator: RawOperator,
    /// Resources of the process.
    #[serde(default)]
    pub runtime: RawRuntime,
    /// Time constants.
    #[serde(default)]
    pub timing: RawTiming,
}

/// Addresses to bind; port 0 lets the operating system choose.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// Listener for callers; required.
    pub public: Option<String>,
    /// Listener for other instances; required.
    pub peer: Option<String>,
    /// Listener for operators; required.
    pub admin: Option<String>,
}

/// Addresses at which callers and other instances reach the listeners.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAdvertise {
    /// Address for callers; defaults to the bound one.
    pub public: Option<String>,
    /// Address for other instances; defaults to the bound one.
    pub peer: Option<String>,
}

/// Services of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// Address of the log service; required.
    pub log: Option<String>,
    /// Address of the list service; required.
    pub list: Option<String>,
}

/// Authentication of operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperator {
    /// SHA-256 digest of the operator key as 64 hexadecimal digits; required.
    pub key_digest: Option<String>,
}

/// Resources of the process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRuntime {
    /// Number of executor threads.
    pub threads: Option<i64>,
    /// Number of groups of each kind; must be the same on all instances.
    pub groups: Option<i64>,
    /// Least severe level that is logged.
    pub log_level: Option<String>,
}

/// Time constants in milliseconds.
///
/// Leases and limits on which correctness across instances depends are not configurable, because
/// they must be the same on all instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTiming {
    /// Maximum wait of a long-poll read of the log.
    pub long_poll_ms: Option<i64>,
    /// Delay between reads of the list.
    pub list_poll_ms: Option<i64>,
    /// Timeout of a quota request.
    pub ask_timeout_ms: Option<i64>,
    /// Time for which callers cache a discovery response.
    pub discovery_ttl_ms: Option<i64>,
    /// Maximum duration of a graceful shutdown.
    pub drain_limit_ms: Option<i64>,
    /// Retention time of the log service, or a lower bound for it.
    pub log_retention_ms: Option<i64>,
    /// Maximum wait for the head of a plain service's response and for each part of its body.
    pub plain_silence_ms: Option<i64>,
}
