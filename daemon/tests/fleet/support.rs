//! Fleet of instances in the process of the test.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::time::Duration;

use limpetweir_protocol::http::{
    FleetStatus,
    ListResponse,
    ReadResponse, //
};
use limpetweir_protocol::records::{
    self,
    StreamRecord, //
};
use limpetweir_standins::client::{
    self,
    Received, //
};
use limpetweir_standins::fleet::{
    self,
    Document,
    InstanceSettings,
    Platform, //
};
use limpetweir_standins::log::LogControl;
use limpetweir_state::{
    Entry,
    Offset, //
};

use crate::common::LocalInstance;

/// Limit of every wait; far beyond any wait of a passing test, so reaching it means a hang.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Number of groups of each kind; low, so that hand-overs are short.
pub(crate) const GROUPS: usize = 4;

/// Number of kinds of groups.
const KINDS: usize = 3;

/// Returns a document with one organisation that has this rate limit.
pub(crate) fn document(rate: u32) -> String {
    let limit = (f64::from(rate), f64::from(rate));
    let document = Document::new().organisation("fapapucs", limit, &[], &[]);
    document.to_string()
}

/// Waits until `condition` returns a value.
pub(crate) fn wait_for<T>(what: &str, condition: impl FnMut() -> Option<T>) -> T {
    fleet::wait_for(what, WAIT_LIMIT, condition).unwrap()
}

/// A platform and its instances.
pub(crate) struct Fleet {
    members: fleet::Fleet<LocalInstance>,
    retention_ms: u64,
}

impl Deref for Fleet {
    type Target = fleet::Fleet<LocalInstance>;

    fn deref(&self) -> &Self::Target {
        &self.members
    }
}

impl Fleet {
    /// Starts the platform and instances with these names, and adds all to the list together.
    pub(crate) fn start(names: &[&str]) -> Self {
        Self::with_retention(names, 3_600_000)
    }

    /// As [`Fleet::start`], with a log retention, which sets the interval of snapshots.
    pub(crate) fn with_retention(names: &[&str], retention_ms: u64) -> Self {
        let platform = Platform::start(&[]).unwrap();
        let mut fleet = Self {
            members: fleet::Fleet::new(platform, WAIT_LIMIT),
            retention_ms,
        };
        names.iter().for_each(|name| fleet.run(name));
        fleet.enlist(names);
        fleet
    }

    /// Starts an instance; an earlier one of the same name must have ended.
    pub(crate) fn run(&mut self, name: &str) {
        let settings = InstanceSettings {
            groups: Some(GROUPS),
            timing: vec![
                ("discovery_ttl_ms", 1),
                ("log_retention_ms", self.retention_ms),
            ],
            ..InstanceSettings::new(name, "z1", self.platform())
        };
        self.members.add(LocalInstance::start(&settings));
    }

    /// Adds running instances to the list.
    pub(crate) fn enlist(&self, names: &[&str]) {
        self.members.enlist(names.iter().copied(), []).unwrap();
    }

    /// Terminates an instance without a graceful stop.
    pub(crate) fn kill(&mut self, name: &str) {
        drop(self.members.remove(name).unwrap());
    }

    /// Stops an instance gracefully; returns whether no request was interrupted.
    pub(crate) fn stop(&mut self, name: &str) -> bool {
        self.members.remove(name).unwrap().stop()
    }

    pub(crate) fn control_log(&self, control: &LogControl) {
        self.platform().control_log(control).unwrap();
    }

    pub(crate) fn get(&self, name: &str, path: &str) -> Received {
        self.admin(name, "GET", path, "").unwrap()
    }

    pub(crate) fn publish(&self, name: &str, base: u64, id: &str, text: &str) -> Received {
        self.members.publish(name, base, id, text).unwrap()
    }

    /// Publishes a document and panics unless it is accepted.
    pub(crate) fn publish_accepted(&self, name: &str, base: u64, id: &str, text: &str) {
        self.members.publish_accepted(name, base, id, text).unwrap();
    }

    /// Returns the version and document that an instance has read, if it has read one.
    pub(crate) fn document(&self, name: &str) -> Option<(u64, String)> {
        let received = self.get(name, "/admin/config");
        let version = received.header("x-limpetweir-version")?.parse().ok()?;
        (received.status == 200).then(|| (version, received.text()))
    }

    pub(crate) fn is_serving(&self, name: &str) -> bool {
        self.get(name, "/health").status == 200
    }

    pub(crate) fn status(&self, name: &str) -> FleetStatus {
        self.get(name, "/admin/status").json().unwrap()
    }

    /// Returns holder and epoch of each group once all instances report the same running holders.
    pub(crate) fn wait_settled(&self) -> BTreeMap<String, (String, u64)> {
        wait_for("the instances agree on all owners", || self.settled())
    }

    fn settled(&self) -> Option<BTreeMap<String, (String, u64)>> {
        let mut views: Vec<_> = self.names().map(|name| self.owners(name)).collect();
        let first = views.pop()??;
        let agreed = views.iter().all(|view| view.as_ref() == Some(&first));
        agreed.then_some(first)
    }

    /// Returns the owners that one instance reports, if each group has a running owner.
    fn owners(&self, name: &str) -> Option<BTreeMap<String, (String, u64)>> {
        let groups = self.status(name).groups.into_iter();
        let owned = groups.map(|group| {
            let holder = group.holder?.to_string();
            let is_running = self.members.get(&holder).is_ok();
            is_running.then_some((group.group, (holder, group.epoch.0)))
        });
        let owned: BTreeMap<_, _> = owned.collect::<Option<_>>()?;
        (owned.len() == GROUPS * KINDS).then_some(owned)
    }

    /// Returns the value of a metric that has a single series.
    pub(crate) fn metric(&self, name: &str, metric: &str) -> Option<usize> {
        let text = self.get(name, "/metrics").text();
        let mut lines = text.lines();
        let line = lines.find(|line| {
            let labels = line.strip_prefix(metric);
            labels.is_some_and(|labels| labels.starts_with(['{', ' ']))
        })?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Reads all records of a stream from the log service.
    pub(crate) fn records<R: StreamRecord>(&self, stream: &str) -> Vec<(Offset, Entry<R>)> {
        let path = format!("/streams/{stream}/records?from=0&limit=10000");
        let response: ReadResponse = client::get(self.platform().log(), &path)
            .unwrap()
            .json()
            .unwrap();
        let records = response.records.into_iter();
        records
            .map(|record| (record.offset, records::decode(&record.data).unwrap()))
            .collect()
    }

    pub(crate) fn listed_instances(&self) -> usize {
        let list: ListResponse = client::get(self.platform().list(), "/list")
            .unwrap()
            .json()
            .unwrap();
        list.instances.len()
    }
}
