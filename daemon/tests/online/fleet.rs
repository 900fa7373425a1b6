//! Instances in the test process, with stand-ins for the platform and the backend servers.

use std::ops::Deref;
use std::time::Duration;

use limpetweir_standins::client::Received;
use limpetweir_standins::engine::{
    EngineControl,
    RequestOutcome,
    RequestRecord, //
};
pub(crate) use limpetweir_standins::fleet::bearer;
use limpetweir_standins::fleet::{
    self,
    Document,
    Instance,
    InstanceSettings,
    Platform,
    control,
    records, //
};
use limpetweir_standins::harness::{
    Launch,
    Process, //
};
use limpetweir_standins::list::ListControl;
use limpetweir_standins::plain::{
    CallRecord,
    PlainControl, //
};
use serde_json::{
    Value,
    json, //
};

use crate::common::LocalInstance;

/// Upper bound of any wait, far above what a test needs; reaching it means that the test hangs.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const MODEL: &str = "reef-1";

/// Key of the organisation that may use all services.
pub(crate) const KEY: &str = "key-of-the-reef-organisation";

/// Key of the organisation without access to any service.
pub(crate) const OTHER_KEY: &str = "key-of-the-gulf-organisation";

/// Size of a fleet and limit of its organisation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    /// Engines of the service `chat`.
    pub(crate) engines: usize,
    /// Backend servers of the keyed service `tanks`; the open service `notices` has one more.
    pub(crate) plains: usize,
    /// Rate and burst of the organisation `reef`.
    pub(crate) limit: (f64, f64),
    /// Longest silence of a plain service.
    pub(crate) plain_silence_ms: u64,
}

impl Setup {
    /// One instance and one backend server of each service; the limit is too high to take effect.
    pub(crate) const SMALL: Self = Self {
        instances: 1,
        engines: 1,
        plains: 1,
        limit: (100_000.0, 100_000.0),
        plain_silence_ms: 60_000,
    };
}

/// A running fleet.
pub(crate) struct Fleet {
    // Dropped in declaration order: the instances before the stand-ins that they connect to.
    members: fleet::Fleet<LocalInstance>,
    pub(crate) engines: Vec<Process>,
    pub(crate) plains: Vec<Process>,
    pub(crate) open: Process,
    setup: Setup,
    version: u64,
}

fn engine() -> Process {
    let fast = ["--step-base-us", "500", "--step-per-sequence-us", "10"];
    Launch::standin("engine")
        .unwrap()
        .args(fast)
        .spawn()
        .unwrap()
}

fn standin(name: &str) -> Process {
    Launch::standin(name).unwrap().spawn().unwrap()
}

/// Returns the name of an instance.
fn instance_name(index: usize) -> String {
    format!("a{}", index + 1)
}

fn start_instance(mut settings: InstanceSettings) -> LocalInstance {
    // High enough that quota requests do not time out on a busy machine; no test depends on it.
    let timing = [("ask_timeout_ms", 10_000), ("discovery_ttl_ms", 1000)];
    settings.timing.extend(timing);
    LocalInstance::start(&settings)
}

/// Starts an instance without reachable platform services.
pub(crate) fn lone_instance() -> LocalInstance {
    start_instance(InstanceSettings::without_platform("a1", "z1"))
}

impl Deref for Fleet {
    type Target = fleet::Fleet<LocalInstance>;

    fn deref(&self) -> &Self::Target {
        &self.members
    }
}

impl Fleet {
    /// Starts a fleet and waits until each instance serves the first configuration.
    pub(crate) fn start(setup: Setup) -> Self {
        let platform = Platform::start(&["--lag-ms", "0"]).unwrap();
        let mut fleet = Self {
            members: fleet::Fleet::new(platform, TEST_TIMEOUT),
            engines: (0..setup.engines).map(|_| engine()).collect(),
            plains: (0..setup.plains).map(|_| standin("plain")).collect(),
            open: standin("plain"),
            setup,
            version: 0,
        };
        for index in 0..setup.instances {
            let zone = format!("z{}", index + 1);
            let mut settings =
                InstanceSettings::new(&instance_name(index), &zone, fleet.platform());
            settings.timing = vec![("plain_silence_ms", setup.plain_silence_ms)];
            fleet.members.add(start_instance(settings));
        }
        fleet.enlist(fleet.names(), fleet.backend_names()).unwrap();
        let document = fleet.document(&[("k1", KEY)]);
        fleet.publish(&document);
        fleet.await_quota_owner();
        fleet
    }

    fn backend_names(&self) -> Vec<String> {
        let engines = (0..self.engines.len()).map(|n| format!("e{n}"));
        let plains = (0..self.plains.len()).map(|n| format!("p{n}"));
        let others = ["o0", "c0", "c1"].map(str::to_owned);
        engines.chain(plains).chain(others).collect()
    }

    /// Changes the list service's list.
    pub(crate) fn control_list(&self, control: &ListControl) {
        self.platform().control_list(control).unwrap();
    }

    /// Returns a configuration document in which the organisation `reef` has these keys.
    pub(crate) fn document(&self, keys: &[(&str, &str)]) -> Document {
        self.document_for(&["chat", "tanks"], keys)
    }

    /// Like [`Fleet::document`], with these services for `reef`.
    pub(crate) fn document_for(&self, services: &[&str], keys: &[(&str, &str)]) -> Document {
        let models = "kind = \"model\"\nmodels = [\"reef-1\"]";
        let keyed = "kind = \"plain\"\naccess = \"keyed\"\nidempotent = [\"GET\", \"PUT\"]";
        let open = "kind = \"plain\"\naccess = \"open\"\nidempotent = [\"GET\"]";
        Document::new()
            .organisation("reef", self.setup.limit, services, keys)
            .organisation("gulf", (1000.0, 1000.0), &[], &[("k1", OTHER_KEY)])
            .service(
                "chat",
                models,
                'e',
                self.engines.iter().map(Process::address),
            )
            .service(
                "tanks",
                keyed,
                'p',
                self.plains.iter().map(Process::address),
            )
            .service("notices", open, 'o', [self.open.address()])
    }

    /// Changes the limit of `reef` in later documents.
    pub(crate) fn set_limit(&mut self, limit: (f64, f64)) {
        self.setup.limit = limit;
    }

    /// Publishes a configuration document and waits until it is in force at each instance.
    pub(crate) fn publish(&mut self, document: &Document) {
        let base = self.version;
        let id = format!("publication-{base}");
        let text = document.to_string();
        self.publish_accepted(&instance_name(0), base, &id, &text)
            .unwrap();
        self.version += 1;
        let version = self.version;
        for index in 0..self.setup.instances {
            self.await_explained(index, "service=notices", |explained| {
                explained["config_version"] == version && explained["phase"] == "serving"
            });
        }
    }

    /// Waits until an instance acts as the quota owner and each instance has the owner's name and no
    /// excluded backend server.
    fn await_quota_owner(&self) {
        let query = "organisation=reef&model=reef-1";
        let acts = |index| self.explain(index, query)["quota"]["acts"] == true;
        let any = || (0..self.setup.instances).any(acts);
        fleet::eventually("an instance acts as the quota owner", TEST_TIMEOUT, any).unwrap();
        for index in 0..self.setup.instances {
            self.await_explained(index, query, |explained| {
                let home = &explained["quota"]["home"];
                let considered = explained["considered"].as_array().unwrap();
                home.is_string() && considered.iter().all(|c| c["exclusion"].is_null())
            });
        }
    }

    /// Waits until the explanation of an instance satisfies `expected`.
    pub(crate) fn await_explained(
        &self,
        index: usize,
        query: &str,
        expected: impl Fn(&Value) -> bool,
    ) {
        let mut last = Value::Null;
        let reached = fleet::eventually(query, TEST_TIMEOUT, || {
            last = self.explain(index, query);
            expected(&last)
        });
        assert!(reached.is_ok(), "{last}");
    }

    /// Returns the explanation of an instance for a query.
    pub(crate) fn explain(&self, index: usize, query: &str) -> Value {
        let path = format!("/admin/explain?{query}");
        let response = self.admin(&instance_name(index), "GET", &path, "").unwrap();
        response.json().unwrap()
    }

    /// Returns the index of the engine that a prompt would be routed to.
    pub(crate) fn engine_for(&self, prompt: &str) -> usize {
        let query = format!("organisation=reef&model=reef-1&prompt={prompt}");
        let explained = self.explain(0, &query);
        let backend = explained["choice"]["backend"].as_str().unwrap();
        backend.strip_prefix('e').unwrap().parse().unwrap()
    }

    /// Returns the metrics of the first instance.
    pub(crate) fn metrics(&self) -> String {
        self.admin(&instance_name(0), "GET", "/metrics", "")
            .unwrap()
            .text()
    }

    /// Returns the public address of an instance.
    pub(crate) fn public(&self, index: usize) -> String {
        self.get(&instance_name(index))
            .unwrap()
            .addresses()
            .public
            .clone()
    }

    /// Sends a request with a key to the first instance.
    pub(crate) fn send(&self, method: &str, path: &str, body: &Value, key: &str) -> Received {
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.send_bytes(0, method, path, body, &[("authorization", &bearer(key))])
    }

    /// Sends a request to an instance.
    pub(crate) fn send_bytes(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
        headers: &[(&str, &str)],
    ) -> Received {
        let response = self
            .members
            .public(&instance_name(index), method, path, headers, body);
        response.unwrap()
    }

    /// Sends a completion request with [`KEY`].
    pub(crate) fn complete(&self, prompt: &str, tokens: usize, stream: bool) -> Received {
        let body = completion(prompt, tokens, stream);
        self.send("POST", "/v1/completions", &body, KEY)
    }

    /// Keeps an instance from doing anything for `length`.
    pub(crate) fn block(&self, index: usize, length: Duration) {
        self.get(&instance_name(index)).unwrap().block(length);
    }

    /// Stops an instance gracefully; returns whether all requests completed.
    pub(crate) fn stop(&mut self, index: usize) -> bool {
        self.members.remove(&instance_name(index)).unwrap().stop()
    }

    /// Returns the records of an engine.
    pub(crate) fn engine_records(&self, index: usize) -> Vec<RequestRecord> {
        records(&self.engines[index], "requests").unwrap()
    }

    /// Returns the records of a backend server of `tanks`.
    pub(crate) fn plain_records(&self, index: usize) -> Vec<CallRecord> {
        records(&self.plains[index], "calls").unwrap()
    }

    /// Waits until the last request of an engine has this outcome.
    pub(crate) fn await_outcome(&self, index: usize, outcome: RequestOutcome) {
        let mut records = Vec::new();
        let reached = fleet::eventually("the outcome", TEST_TIMEOUT, || {
            records = self.engine_records(index);
            records.last().is_some_and(|r| r.outcome == outcome)
        });
        assert!(reached.is_ok(), "not {outcome:?}: {records:?}");
    }

    /// Enables faults of an engine.
    pub(crate) fn control_engine(&self, index: usize, change: &EngineControl) {
        control(&self.engines[index], change).unwrap();
    }

    /// Enables faults of a backend server of `tanks`.
    pub(crate) fn control_plain(&self, index: usize, change: &PlainControl) {
        control(&self.plains[index], change).unwrap();
    }
}

pub(crate) fn completion(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream })
}

/// Checks that a response is an error of the documented form and returns its code.
pub(crate) fn error_code(response: &Received, status: u16, verdict: &str) -> String {
    fleet::error_code(response, status, verdict).unwrap()
}
