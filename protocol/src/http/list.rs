//! Answer of the platform's list.

use std::net::SocketAddr;

use limpetweir_state::{
    BackendId,
    InstanceId,
    ZoneId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

/// Answer of `GET /list`; it lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Instances of the daemon.
    pub instances: Vec<InstanceEntry>,
    /// Backend servers.
    pub backends: Vec<BackendEntry>,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub public: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether the instance is being stopped.
    pub state: MemberState,
}

/// One backend server of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendEntry {
    /// Name of the backend server; the configuration has its address.
    pub name: BackendId,
    /// Whether the backend server is being stopped.
    pub state: MemberState,
}

/// State of a listed process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It serves.
    Live,
    /// It is being stopped.
    Leaving,
}
