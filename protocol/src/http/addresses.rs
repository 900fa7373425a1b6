//! Answer of `GET /v1/addresses`.

use std::net::SocketAddr;

use limpetweir_state::{
    InstanceId,
    ZoneId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Instances a caller may connect to, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The instances in order of preference.
    pub addresses: Vec<AddressEntry>,
    /// Milliseconds for which the caller may keep the answer.
    pub ttl_ms: u64,
}

/// One instance of [`Addresses`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Public address.
    pub address: SocketAddr,
}
