//! Response body of the platform's list service.

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

/// Response body of `GET /list`; it may lag behind the actual state of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Listed instances of the daemon.
    pub instances: Vec<InstanceEntry>,
    /// Listed backend servers.
    pub backends: Vec<BackendEntry>,
}

/// An instance in the list.
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
    /// Whether the instance serves or is being stopped.
    pub state: MemberState,
}

/// A backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendEntry {
    /// Name of the backend server; its address is in the configuration.
    pub name: BackendId,
    /// Whether the backend server serves or is being stopped.
    pub state: MemberState,
}

/// State of a listed process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The process serves requests.
    Live,
    /// The process is being stopped.
    Leaving,
}
