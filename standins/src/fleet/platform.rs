//! Stand-in processes of the platform, and control calls to any stand-in.

use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::Value;
use snafu::OptionExt;

use super::error::{
    FleetError,
    UnexpectedSnafu,
    check_expected, //
};
use crate::client;
use crate::harness::{
    Launch,
    Process, //
};
use crate::list::{
    Backend,
    ListControl,
    ServerState, //
};
use crate::log::LogControl;

/// Stand-in processes of the log service and the list.
#[derive(Debug)]
pub struct Platform {
    log: Process,
    list: Process,
}

impl Platform {
    /// Starts both processes; `list_args` are passed to the list.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn start(list_args: &[&str]) -> Result<Self, FleetError> {
        Ok(Self {
            log: Launch::standin("log")?.spawn()?,
            list: Launch::standin("list")?.args(list_args).spawn()?,
        })
    }

    /// Returns the address of the log service.
    pub fn log(&self) -> &str {
        self.log.address()
    }

    /// Returns the address of the list.
    pub fn list(&self) -> &str {
        self.list.address()
    }

    /// Changes the behaviour of the log service.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is not accepted.
    pub fn control_log(&self, change: &LogControl) -> Result<(), FleetError> {
        control(&self.log, change)
    }

    /// Changes the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is not accepted.
    pub fn control_list(&self, change: &ListControl) -> Result<(), FleetError> {
        control(&self.list, change)
    }
}

/// Changes the behaviour of a stand-in.
///
/// # Errors
///
/// Returns an error if the call is not accepted.
pub fn control<T: Serialize>(standin: &Process, change: &T) -> Result<(), FleetError> {
    let received = client::post(standin.address(), "/control", change)?;
    let accepted = received.status == 200;
    check_expected(received, accepted).map(drop)
}

/// Returns the records in `field` of a backend server's record.
///
/// # Errors
///
/// Returns an error if there is no response, or if it has no records of this type.
pub fn records<T: DeserializeOwned>(standin: &Process, field: &str) -> Result<Vec<T>, FleetError> {
    let received = client::get(standin.address(), "/record")?;
    let body: Value = received.json()?;
    let found = body.get(field).and_then(|v| Vec::deserialize(v).ok());
    found.context(UnexpectedSnafu {
        status: received.status,
        text: received.text(),
    })
}

/// Returns list entries of live backend servers.
pub fn live_backends(names: impl IntoIterator<Item = String>) -> Vec<Backend> {
    let live = |name| Backend {
        name,
        state: ServerState::Live,
    };
    names.into_iter().map(live).collect()
}
