//! The instances of a fleet with their platform.

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

/// The platform and the running instances by their names.
#[derive(Debug)]
pub struct Fleet<I> {
    // Dropped in this order: the instances end before the stand-ins.
    instances: BTreeMap<String, I>,
    platform: Platform,
    /// Bound of every wait.
    bound: Duration,
}

impl<I: Instance> Fleet<I> {
    /// Returns a fleet without instances; `bound` limits its waits.
    pub fn new(platform: Platform, bound: Duration) -> Self {
        Self {
            instances: BTreeMap::new(),
            platform,
            bound,
        }
    }

    /// Returns the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Adds a running instance, which is not listed yet.
    pub fn add(&mut self, instance: I) {
        let name = instance.addresses().name.clone();
        self.instances.insert(name, instance);
    }

    /// Takes an instance out of the fleet; the list is not changed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none of this name.
    pub fn remove(&mut self, name: &str) -> Result<I, FleetError> {
        let removed = self.instances.remove(name);
        removed.context(NoInstanceSnafu { name })
    }

    /// Returns the names of the running instances in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.instances.keys().map(String::as_str)
    }

    /// Returns a running instance.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none of this name.
    pub fn get(&self, name: &str) -> Result<&I, FleetError> {
        self.instances.get(name).context(NoInstanceSnafu { name })
    }

    /// Returns a running instance for a change.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none of this name.
    pub fn get_mut(&mut self, name: &str) -> Result<&mut I, FleetError> {
        let found = self.instances.get_mut(name);
        found.context(NoInstanceSnafu { name })
    }

    /// Adds running instances and live backend servers to the list at once.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance does not run or the list does not accept the change.
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
    /// Returns an error if the instance does not run or gives no response.
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
    /// Returns an error if the instance does not run or gives no response.
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

    /// Publishes a document on version `base` and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not run or gives no response.
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

    /// Publishes a document that has to be accepted as version `base + 1`.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not decided within the bound, or decided otherwise.
    pub fn publish_accepted(
        &self,
        name: &str,
        base: u64,
        id: &str,
        document: &str,
    ) -> Result<(), FleetError> {
        let received = wait_for("the publication is decided", self.bound, || {
            let received = self.publish(name, base, id, document);
            // An instance refuses publications until it hears a majority.
            let rejected = matches!(&received, Ok(received) if received.status == 503);
            (!rejected).then_some(received)
        })??;
        let response: Value = received.json()?;
        let accepted = received.status == 200 && response["version"] == base + 1;
        check_expected(received, accepted).map(drop)
    }
}
