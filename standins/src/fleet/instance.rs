//! Interface of a running instance to the harness.

use crate::list::{
    Instance as Listed,
    ServerState, //
};

/// Name, zone and listeners of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// Name of the instance.
    pub name: String,
    /// Availability zone for the list entry.
    pub zone: String,
    /// Address of the public listener.
    pub public: String,
    /// Address of the peer listener.
    pub peer: String,
    /// Address of the admin listener.
    pub admin: String,
}

impl Addresses {
    /// Returns the list entry of the instance.
    pub fn listed(&self) -> Listed {
        Listed {
            name: self.name.clone(),
            zone: self.zone.clone(),
            public: self.public.clone(),
            peer: self.peer.clone(),
            state: ServerState::Live,
        }
    }
}

/// A running instance, in a process of its own or in the calling one; dropping it terminates it.
pub trait Instance {
    /// Returns the name, zone and listener addresses.
    fn addresses(&self) -> &Addresses;
}
