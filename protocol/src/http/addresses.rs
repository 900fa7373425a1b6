//! Response body of `GET /v1/addresses`.

use std::net::SocketAddr;

use limpetweir_state::{
    InstanceId,
    ZoneId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Instances that a caller may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The instances in order of preference.
    pub addresses: Vec<AddressEntry>,
    /// Milliseconds for which the caller may cache the response.
    pub ttl_ms: u64,
}

/// An instance in [`Addresses`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Public address.
    pub address: SocketAddr,
}
