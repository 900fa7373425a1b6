//! A fleet of instances in the test's process.

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

/// Far beyond any wait of a test; reaching it means that the test hangs.
const HANG: Duration = Duration::from_secs(60);

/// Groups of each kind; few, so that hand-overs end soon.
pub(crate) const GROUPS: usize = 4;

/// Kinds of groups.
const KINDS: usize = 3;

/// A document with one organisation of this rate.
pub(crate) fn document(rate: u32) -> String {
    let limit = (f64::from(rate), f64::from(rate));
    let document = Document::new().organisation("fapapucs", limit, &[], &[]);
    document.to_string()
}

/// Waits until `condition` returns a value.
pub(crate) fn wait_for<T>(what: &str, condition: impl FnMut() -> Option<T>) -> T {
    fleet::wait_for(what, HANG, condition).unwrap()
}

/// The platform and the instances.
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
    /// Starts the platform and instances with these names, and lists them all at once.
    pub(crate) fn start(names: &[&str]) -> Self {
        Self::with_retention(names, 3_600_000)
    }

    /// As [`Fleet::start`], with a retention that the instances write snapshots for.
    pub(crate) fn with_retention(names: &[&str], retention_ms: u64) -> Self {
        let platform = Platform::start(&[]).unwrap();
        let mut fleet = Self {
            members: fleet::Fleet::new(platform, HANG),
            retention_ms,
        };
        names.iter().for_each(|name| fleet.run(name));
        fleet.enlist(names);
        fleet
    }

    /// Starts an instance; a former one of the same name has ended.
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

    /// Ends an instance without a graceful stop.
    pub(crate) fn kill(&mut self, name: &str) {
        drop(self.members.remove(name).unwrap());
    }

    /// Stops an instance gracefully; returns whether no request was cut.
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

    /// Publishes a document that has to be accepted.
    pub(crate) fn publish_accepted(&self, name: &str, base: u64, id: &str, text: &str) {
        self.members.publish_accepted(name, base, id, text).unwrap();
    }

    /// Returns the version and document that an instance serves, if it serves one.
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

    /// Returns holder and epoch of each group once every instance names the same live holders.
    pub(crate) fn wait_settled(&self) -> BTreeMap<String, (String, u64)> {
        wait_for("agreement on an owner of each group", || self.settled())
    }

    fn settled(&self) -> Option<BTreeMap<String, (String, u64)>> {
        let mut views: Vec<_> = self.names().map(|name| self.owners(name)).collect();
        let first = views.pop()??;
        let agreed = views.iter().all(|view| view.as_ref() == Some(&first));
        agreed.then_some(first)
    }

    /// Returns the owners as one instance knows them, if each group has a running owner.
    fn owners(&self, name: &str) -> Option<BTreeMap<String, (String, u64)>> {
        let groups = self.status(name).groups.into_iter();
        let owned = groups.map(|group| {
            let holder = group.holder?.to_string();
            let runs = self.members.get(&holder).is_ok();
            runs.then_some((group.group, (holder, group.epoch.0)))
        });
        let owned: BTreeMap<_, _> = owned.collect::<Option<_>>()?;
        (owned.len() == GROUPS * KINDS).then_some(owned)
    }

    /// Returns the value of a metric that has one series.
    pub(crate) fn metric(&self, name: &str, metric: &str) -> Option<usize> {
        let text = self.get(name, "/metrics").text();
        let mut lines = text.lines();
        let line = lines.find(|line| {
            let labels = line.strip_prefix(metric);
            labels.is_some_and(|labels| labels.starts_with(['{', ' ']))
        })?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Reads a whole stream from the log.
    pub(crate) fn records<R: StreamRecord>(&self, stream: &str) -> Vec<(Offset, Entry<R>)> {
        let path = format!("/streams/{stream}/records?from=0&limit=10000");
        let answer: ReadResponse = client::get(self.platform().log(), &path)
            .unwrap()
            .json()
            .unwrap();
        let records = answer.records.into_iter();
        records
            .map(|record| (record.offset, records::decode(&record.data).unwrap()))
            .collect()
    }

    pub(crate) fn names_in_list(&self) -> usize {
        let list: ListResponse = client::get(self.platform().list(), "/list")
            .unwrap()
            .json()
            .unwrap();
        list.instances.len()
    }
}
