//! Content of the list and its lag.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::lagged::Lagged;

/// State of an instance or backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Accepts new work.
    #[default]
    Live,
    /// Accepts no new work and will be removed.
    Leaving,
}

/// An instance of the serving layer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the public listener.
    pub public: String,
    /// Address of the peer listener.
    pub peer: String,
    /// Live or leaving; live if absent.
    #[serde(default)]
    pub state: ServerState,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Unique name.
    pub name: String,
    /// Live or leaving; live if absent.
    #[serde(default)]
    pub state: ServerState,
}

/// Response of `GET /list`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Instances, sorted by name.
    pub instances: Vec<Instance>,
    /// Backend servers, sorted by name.
    pub backends: Vec<Backend>,
}

impl Listing {
    /// Adds an instance or replaces the one of the same name.
    pub fn put_instance(&mut self, instance: Instance) {
        match self
            .instances
            .binary_search_by(|other| other.name.cmp(&instance.name))
        {
            Ok(at) => self.instances[at] = instance,
            Err(at) => self.instances.insert(at, instance),
        }
    }

    /// Adds a backend server or replaces the one of the same name.
    pub fn put_backend(&mut self, backend: Backend) {
        match self
            .backends
            .binary_search_by(|other| other.name.cmp(&backend.name))
        {
            Ok(at) => self.backends[at] = backend,
            Err(at) => self.backends.insert(at, backend),
        }
    }

    /// Removes the instance or backend server of this name.
    pub fn remove(&mut self, name: &str) {
        self.instances.retain(|instance| instance.name != name);
        self.backends.retain(|backend| backend.name != name);
    }
}

/// The list with its lag. Time is passed as an argument, so that tests can use virtual time.
#[derive(Debug)]
pub struct ListState {
    listing: Lagged<Listing>,
}

impl ListState {
    /// Returns an empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            listing: Lagged::new(Listing::default(), lag),
        }
    }

    /// Changes the list; the change becomes visible after the lag.
    pub fn change(&mut self, now: Duration, change: impl FnOnce(&mut Listing)) {
        let mut listing = self.listing.newest().clone();
        change(&mut listing);
        self.listing.push(now, listing);
    }

    /// Changes the lag, also for changes that are not yet visible.
    pub fn set_lag(&mut self, lag: Duration) {
        self.listing.set_lag(lag);
    }

    /// Returns the list that is visible at `now`.
    pub fn visible(&mut self, now: Duration) -> &Listing {
        self.listing.visible(now)
    }
}
