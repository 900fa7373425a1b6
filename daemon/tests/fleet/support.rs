//! A fleet of instances in the test's process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_protocol::http::{
    FleetStatus,
    ListAnswer,
    PublicationAnswer,
    ReadAnswer, //
};
use limpetweir_protocol::records::{
    self,
    StreamRecord, //
};
use limpetweir_protocol::settings::{
    Override,
    Settings, //
};
use limpetweir_standins::client::{
    self,
    Exchange,
    Received, //
};
use limpetweir_standins::harness::{
    Launch,
    Process, //
};
use limpetweir_standins::list::{
    Instance,
    ListControl,
    ServerState, //
};
use limpetweir_standins::log::LogControl;
use limpetweir_state::{
    Entry,
    KeyDigest,
    Offset, //
};
use limpetweir_transport::Runtime;
use limpetweird::{
    BoundAddresses,
    Daemon, //
};

/// Far beyond any wait of a test; reaching it means that the test hangs.
const HANG: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

const OPERATOR_KEY: &str = "operator-key-of-the-test";

/// Groups of each kind; few, so that hand-overs end soon.
pub(crate) const GROUPS: usize = 4;

/// Kinds of groups.
const KINDS: usize = 3;

/// A document with one organisation of this rate.
pub(crate) fn document(rate: u32) -> String {
    format!("[[organisation]]\nid = \"fapapucs\"\nrate = {rate}\nburst = {rate}\nservices = []\n")
}

/// Waits until `condition` returns a value.
pub(crate) fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + HANG;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::sleep(POLL);
    }
}

/// One running instance; dropping it ends it without a graceful stop.
pub(crate) struct Member {
    // Dropped in this order: the daemon ends before its threads.
    daemon: Daemon,
    runtime: Runtime,
}

impl Member {
    fn addresses(&self) -> BoundAddresses {
        self.daemon.addresses()
    }
}

/// The platform and the instances.
pub(crate) struct Fleet {
    members: BTreeMap<String, Member>,
    log: Process,
    list: Process,
    retention_ms: u64,
}

impl Fleet {
    /// Starts the platform and instances with these names, and lists them all at once.
    pub(crate) fn start(names: &[&str]) -> Self {
        Self::with_retention(names, 3_600_000)
    }

    /// As [`Fleet::start`], with a retention that the instances write snapshots for.
    pub(crate) fn with_retention(names: &[&str], retention_ms: u64) -> Self {
        let launch = |name| Launch::standin(name).unwrap().spawn().unwrap();
        let mut fleet = Self {
            members: BTreeMap::new(),
            log: launch("log"),
            list: launch("list"),
            retention_ms,
        };
        names.iter().for_each(|name| fleet.run(name));
        fleet.enlist(names);
        fleet
    }

    /// Starts an instance; a former one of the same name has ended.
    pub(crate) fn run(&mut self, name: &str) {
        let runtime = Runtime::start(2).unwrap();
        let daemon = Daemon::start(&runtime.spawner(), self.settings(name)).unwrap();
        self.members
            .insert(name.to_owned(), Member { daemon, runtime });
    }

    /// Adds running instances to the list.
    pub(crate) fn enlist(&self, names: &[&str]) {
        let instances = names.iter().map(|name| {
            let addresses = self.members[*name].addresses();
            Instance {
                name: (*name).to_owned(),
                zone: "z1".to_owned(),
                public: addresses.public.to_string(),
                peer: addresses.peer.to_string(),
                state: ServerState::Live,
            }
        });
        let control = ListControl {
            instances: instances.collect(),
            ..ListControl::default()
        };
        let received = client::post(self.list.address(), "/control", &control).unwrap();
        assert_eq!(received.status, 200);
    }

    fn settings(&self, name: &str) -> Settings {
        let digest = KeyDigest::of_key(OPERATOR_KEY.as_bytes()).to_hex();
        let overrides: Vec<Override> = [
            format!("name={name}"),
            "zone=z1".to_owned(),
            "listen.public=127.0.0.1:0".to_owned(),
            "listen.peer=127.0.0.1:0".to_owned(),
            "listen.admin=127.0.0.1:0".to_owned(),
            format!("platform.log={}", self.log.address()),
            format!("platform.list={}", self.list.address()),
            "timing.discovery_ttl_ms=1".to_owned(),
            format!("timing.log_retention_ms={}", self.retention_ms),
            format!("runtime.groups={GROUPS}"),
            format!("operator.key_digest={digest}"),
        ]
        .iter()
        .map(|text| text.parse().unwrap())
        .collect();
        Settings::load("test", "", &overrides).unwrap()
    }

    /// Ends an instance without a graceful stop.
    pub(crate) fn kill(&mut self, name: &str) {
        drop(self.members.remove(name).unwrap());
    }

    /// Stops an instance gracefully; returns whether no request was cut.
    pub(crate) fn stop(&mut self, name: &str) -> bool {
        let Member { daemon, runtime } = self.members.remove(name).unwrap();
        runtime.block_on(daemon.stop())
    }

    pub(crate) fn control_log(&self, control: &LogControl) {
        let received = client::post(self.log.address(), "/control", control).unwrap();
        assert_eq!(received.status, 200);
    }

    fn admin(&self, name: &str) -> SocketAddr {
        self.members[name].addresses().admin
    }

    fn call(&self, name: &str, method: &str, path: &str, body: &str) -> Received {
        let key = format!("Bearer {OPERATOR_KEY}");
        client::send(Exchange {
            address: &self.admin(name).to_string(),
            method,
            path,
            headers: &[("authorization", &key)],
            body: body.as_bytes().to_vec(),
        })
        .unwrap()
    }

    pub(crate) fn get(&self, name: &str, path: &str) -> Received {
        self.call(name, "GET", path, "")
    }

    pub(crate) fn publish(&self, name: &str, base: u64, id: &str, text: &str) -> Received {
        let path = format!("/admin/config?base={base}&id={id}");
        self.call(name, "POST", &path, text)
    }

    /// Publishes a document that has to be accepted.
    pub(crate) fn publish_accepted(&self, name: &str, base: u64, id: &str, text: &str) {
        let received = wait_for("an answer that the publication was decided", || {
            let received = self.publish(name, base, id, text);
            // An instance refuses publications until it hears a majority.
            (received.status != 503).then_some(received)
        });
        assert_eq!(received.status, 200, "{}", received.text());
        let answer: PublicationAnswer = received.json().unwrap();
        assert_eq!(answer.version.0, base + 1);
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
        let mut views: Vec<_> = self.members.keys().map(|name| self.owners(name)).collect();
        let first = views.pop()??;
        let agreed = views.iter().all(|view| view.as_ref() == Some(&first));
        agreed.then_some(first)
    }

    /// Returns the owners as one instance knows them, if each group has a running owner.
    fn owners(&self, name: &str) -> Option<BTreeMap<String, (String, u64)>> {
        let groups = self.status(name).groups.into_iter();
        let owned = groups.map(|group| {
            let holder = group.holder?.to_string();
            let runs = self.members.contains_key(&holder);
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
        let answer: ReadAnswer = client::get(self.log.address(), &path)
            .unwrap()
            .json()
            .unwrap();
        let records = answer.records.into_iter();
        records
            .map(|record| (record.offset, records::decode(&record.data).unwrap()))
            .collect()
    }

    pub(crate) fn names_in_list(&self) -> usize {
        let list: ListAnswer = client::get(self.list.address(), "/list")
            .unwrap()
            .json()
            .unwrap();
        list.instances.len()
    }
}
