//! What the harness has to know of a running instance.

use crate::list::{
    Instance as Listed,
    ServerState, //
};

/// Name, zone and listeners of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// Name of the instance.
    pub name: String,
    /// Availability zone that the list names.
    pub zone: String,
    /// Address of the public listener.
    pub public: String,
    /// Address of the peer listener.
    pub peer: String,
    /// Address of the admin listener.
    pub admin: String,
}

impl Addresses {
    /// Returns the entry of the instance in the list.
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

/// A running instance, as a process or inside the calling one; dropping it ends it.
pub trait Instance {
    /// Returns name, zone and listeners.
    fn addresses(&self) -> &Addresses;
}
