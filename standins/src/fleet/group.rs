//! A fleet: running instances and their platform.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use snafu::OptionExt;

use super::error::{
    FleetError,
    NoInstanceSnafu,
    check_expected, //
};
use super::instance::Instance;
use super::platform::{
    Platform,
    live_backends, //
};
use super::settings::{
    OPERATOR_KEY,
    bearer, //
};
use super::wait::wait_for;
use crate::client::{
    self,
    Exchange,
    Received, //
};
use crate::list::ListControl;

/// The platform and the running instances by name.
#[derive(Debug)]
pub struct Fleet<I> {
    // Fields are dropped in this order, so that the instances terminate before the stand-ins.
    instances: BTreeMap<String, I>,
    platform: Platform,
    /// Timeout of each wait.
    timeout: Duration,
}

impl<I: Instance> Fleet<I> {
    /// Returns a fleet without instances; `timeout` is the timeout of its waits.
    pub fn new(platform: Platform, timeout: Duration) -> Self {
        Self {
            instances: BTreeMap::new(),
            platform,
            timeout,
        }
    }

    /// Returns the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Adds a running instance; the list is not changed.
    pub fn add(&mut self, instance: I) {
        let name = instance.addresses().name.clone();
        self.instances.insert(name, instance);
    }

    /// Removes an instance from the fleet and returns it; the list is not changed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no instance with this name.
    pub fn remove(&mut self, name: &str) -> Result<I, FleetError> {
        let removed = self.instances.remove(name);
        removed.context(NoInstanceSnafu { name })
    }

    /// Returns the names of the running instances in sorted order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.instances.keys().map(String::as_str)
    }

    /// Returns a running instance.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no instance with this name.
    pub fn get(&self, name: &str) -> Result<&I, FleetError> {
        self.instances.get(name).context(NoInstanceSnafu { name })
    }

    /// Returns a running instance for modification.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no instance with this name.
    pub fn get_mut(&mut self, name: &str) -> Result<&mut I, FleetError> {
        let found = self.instances.get_mut(name);
        found.context(NoInstanceSnafu { name })
    }

    /// Adds running instances and live backend servers to the list in one change.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance is not running or the list does not accept the change.
    pub fn enlist<'a>(
        &self,
        names: impl IntoIterator<Item = &'a str>,
        backends: impl IntoIterator<Item = String>,
    ) -> Result<(), FleetError> {
        let listed = |name| Ok(self.get(name)?.addresses().listed());
        let instances: Result<_, FleetError> = names.into_iter().map(listed).collect();
        self.platform.control_list(&ListControl {
            instances: instances?,
            backends: live_backends(backends),
            ..ListControl::default()
        })
    }

    /// Sends a request to the public listener of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is not running or sends no response.
    pub fn public(
        &self,
        name: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Received, FleetError> {
        let address = &self.get(name)?.addresses().public;
        Ok(client::send(Exchange {
            address,
            method,
            path,
            headers,
            body,
        })?)
    }

    /// Sends a request with the operator key to the admin listener of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is not running or sends no response.
    pub fn admin(
        &self,
        name: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Received, FleetError> {
        let address = &self.get(name)?.addresses().admin;
        Ok(client::send(Exchange {
            address,
            method,
            path,
            headers: &[("authorization", &bearer(OPERATOR_KEY))],
            body: body.as_bytes().to_vec(),
        })?)
    }

    /// Publishes a document based on version `base` and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is not running or sends no response.
    pub fn publish(
        &self,
        name: &str,
        base: u64,
        id: &str,
        document: &str,
    ) -> Result<Received, FleetError> {
        let path = format!("/admin/config?base={base}&id={id}");
        self.admin(name, "POST", &path, document)
    }

    /// Publishes a document and checks that it is accepted as version `base + 1`.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not decided in time or not accepted.
    pub fn publish_accepted(
        &self,
        name: &str,
        base: u64,
        id: &str,
        document: &str,
    ) -> Result<(), FleetError> {
        let received = wait_for("the publication is decided", self.timeout, || {
            let received = self.publish(name, base, id, document);
            // An instance rejects publications until it reaches a majority.
            let rejected = matches!(&received, Ok(received) if received.status == 503);
            (!rejected).then_some(received)
        })??;
        let response: Value = received.json()?;
        let accepted = received.status == 200 && response["version"] == base + 1;
        check_expected(received, accepted).map(drop)
    }
}
