//! Instances in the test's process with stand-ins for the platform and the backend servers.

use std::time::{
    Duration,
    Instant, //
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
use limpetweir_standins::engine::{
    EngineControl,
    RequestOutcome,
    RequestRecord, //
};
use limpetweir_standins::harness::{
    Launch,
    Process, //
};
use limpetweir_standins::list::{
    Backend,
    Instance,
    ListControl,
    ServerState, //
};
use limpetweir_standins::plain::{
    CallRecord,
    PlainControl, //
};
use limpetweir_state::KeyDigest;
use limpetweir_transport::Runtime;
use limpetweird::Daemon;
use serde::de::DeserializeOwned;
use serde_json::{
    Value,
    json, //
};

/// Far beyond any wait of a test; reaching it means that the test hangs.
pub(crate) const WAIT: Duration = Duration::from_secs(30);

pub(crate) const MODEL: &str = "reef-1";

/// Key of the organisation that may use everything.
pub(crate) const KEY: &str = "key-of-the-reef-organisation";

/// Key of the organisation that may use nothing.
pub(crate) const OTHER_KEY: &str = "key-of-the-gulf-organisation";

pub(crate) const OPERATOR_KEY: &str = "operator-key-of-the-test";

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    /// Engines of the service `chat`.
    pub(crate) engines: usize,
    /// Backend servers of the keyed service `tanks`; one more belongs to the open `notices`.
    pub(crate) plains: usize,
    /// Rate and burst of the organisation `reef`.
    pub(crate) limit: (f64, f64),
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            instances: 1,
            engines: 1,
            plains: 1,
            limit: (100_000.0, 100_000.0),
        }
    }
}

/// A running fleet.
pub(crate) struct Fleet {
    // Dropped in this order: the instances end before their threads and the stand-ins.
    pub(crate) daemons: Vec<Daemon>,
    _runtime: Runtime,
    pub(crate) engines: Vec<Process>,
    pub(crate) plains: Vec<Process>,
    pub(crate) open: Process,
    list: Process,
    _log: Process,
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

fn settings(index: usize, log: &str, list: &str) -> Settings {
    let digest = KeyDigest::of_key(OPERATOR_KEY.as_bytes()).to_hex();
    let overrides: Vec<Override> = [
        format!("name=a{}", index + 1),
        format!("zone=z{}", index + 1),
        "listen.public=127.0.0.1:0".to_owned(),
        "listen.peer=127.0.0.1:0".to_owned(),
        "listen.admin=127.0.0.1:0".to_owned(),
        format!("platform.log={log}"),
        format!("platform.list={list}"),
        // A busy machine must not turn an ask into a refusal; no test depends on the timeout.
        "timing.ask_timeout_ms=10000".to_owned(),
        "timing.discovery_ttl_ms=1000".to_owned(),
        format!("operator.key_digest={digest}"),
    ]
    .iter()
    .map(|text| text.parse().unwrap())
    .collect();
    Settings::load("test", "", &overrides).unwrap()
}

/// Starts an instance that reaches no platform service.
pub(crate) fn lone_daemon(runtime: &Runtime) -> Daemon {
    let settings = settings(0, "127.0.0.1:1", "127.0.0.1:1");
    Daemon::start(&runtime.spawner(), settings).unwrap()
}

impl Fleet {
    /// Starts a fleet and waits until each instance serves the first configuration.
    pub(crate) fn start(setup: Setup) -> Self {
        let runtime = Runtime::start(2).unwrap();
        let log = standin("log");
        let list = Launch::standin("list").unwrap();
        let list = list.args(["--lag-ms", "0"]).spawn().unwrap();
        let start = |index| {
            let settings = settings(index, log.address(), list.address());
            Daemon::start(&runtime.spawner(), settings).unwrap()
        };
        let mut fleet = Self {
            daemons: (0..setup.instances).map(start).collect(),
            _runtime: runtime,
            engines: (0..setup.engines).map(|_| engine()).collect(),
            plains: (0..setup.plains).map(|_| standin("plain")).collect(),
            open: standin("plain"),
            list,
            _log: log,
            setup,
            version: 0,
        };
        fleet.announce();
        let document = fleet.document(&[("k1", KEY)]);
        fleet.publish(&document);
        fleet.await_home();
        fleet
    }

    fn announce(&self) {
        let instances = self.daemons.iter().enumerate().map(|(index, daemon)| {
            let addresses = daemon.addresses();
            Instance {
                name: addresses.name,
                zone: format!("z{}", index + 1),
                public: addresses.public.to_string(),
                peer: addresses.peer.to_string(),
                state: ServerState::Live,
            }
        });
        let names = self.backend_names();
        let live = |name| Backend {
            name,
            state: ServerState::Live,
        };
        self.control_list(&ListControl {
            instances: instances.collect(),
            backends: names.into_iter().map(live).collect(),
            ..ListControl::default()
        });
    }

    fn backend_names(&self) -> Vec<String> {
        let engines = (0..self.engines.len()).map(|n| format!("e{n}"));
        let plains = (0..self.plains.len()).map(|n| format!("p{n}"));
        let others = ["o0".to_owned(), "c0".to_owned()];
        engines.chain(plains).chain(others).collect()
    }

    /// Changes the list.
    pub(crate) fn control_list(&self, control: &ListControl) {
        let answer = client::post(self.list.address(), "/control", control).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// Returns a document in which the organisation `reef` has these keys.
    pub(crate) fn document(&self, keys: &[(&str, &str)]) -> String {
        let (rate, burst) = self.setup.limit;
        let mut text = format!(
            "[[organisation]]\nid = \"reef\"\nrate = {rate:?}\nburst = {burst:?}\n\
             services = [\"chat\", \"tanks\"]\n"
        );
        for (id, key) in keys {
            let digest = KeyDigest::of_key(key.as_bytes()).to_hex();
            text += &format!("[[organisation.key]]\nid = \"{id}\"\nsha256 = \"{digest}\"\n");
        }
        let digest = KeyDigest::of_key(OTHER_KEY.as_bytes()).to_hex();
        text += &format!(
            "[[organisation]]\nid = \"gulf\"\nrate = 1000.0\nburst = 1000.0\n\
             [[organisation.key]]\nid = \"k1\"\nsha256 = \"{digest}\"\n"
        );
        text += &service(
            "chat",
            "kind = \"model\"\nmodels = [\"reef-1\"]",
            'e',
            &self.engines,
        );
        let keyed = "kind = \"plain\"\naccess = \"keyed\"\nidempotent = [\"GET\", \"PUT\"]";
        text += &service("tanks", keyed, 'p', &self.plains);
        let open = "kind = \"plain\"\naccess = \"open\"\nidempotent = [\"GET\"]";
        text + &service("notices", open, 'o', std::slice::from_ref(&self.open))
    }

    /// Publishes a document and waits until it is in force at each instance.
    pub(crate) fn publish(&mut self, document: &str) {
        let deadline = Instant::now() + WAIT;
        let path = format!(
            "/admin/config?base={}&id=publication-{}",
            self.version, self.version
        );
        loop {
            let answer = self.admin(0, "POST", &path, document);
            if answer.status < 300 {
                break;
            }
            assert!(Instant::now() < deadline, "{}", answer.text());
            pause();
        }
        self.version += 1;
        let version = self.version;
        for index in 0..self.daemons.len() {
            self.await_explained(index, "service=notices", |explained| {
                explained["config_version"] == version && explained["phase"] == "serving"
            });
        }
    }

    /// Waits until an instance acts as the quota home and each instance sees all backend servers.
    fn await_home(&self) {
        let query = "organisation=reef&model=reef-1";
        let deadline = Instant::now() + WAIT;
        let acts = |index| self.explain(index, query)["quota"]["acts"] == true;
        while !(0..self.daemons.len()).any(acts) {
            assert!(Instant::now() < deadline, "no instance acts as the home");
            pause();
        }
        for index in 0..self.daemons.len() {
            self.await_explained(index, query, |explained| {
                let home = &explained["quota"]["home"];
                let considered = explained["considered"].as_array().unwrap();
                home.is_string() && considered.iter().all(|c| c["exclusion"].is_null())
            });
        }
    }

    /// Waits until the explanation of an instance is as expected.
    pub(crate) fn await_explained(
        &self,
        index: usize,
        query: &str,
        expected: impl Fn(&Value) -> bool,
    ) {
        let deadline = Instant::now() + WAIT;
        loop {
            let explained = self.explain(index, query);
            if expected(&explained) {
                return;
            }
            assert!(Instant::now() < deadline, "{explained}");
            pause();
        }
    }

    /// Returns the answer of the explain interface.
    pub(crate) fn explain(&self, index: usize, query: &str) -> Value {
        let answer = self.admin(index, "GET", &format!("/admin/explain?{query}"), "");
        answer.json().unwrap()
    }

    /// Returns the index of the engine that a prompt would go to.
    pub(crate) fn engine_for(&self, prompt: &str) -> usize {
        let query = format!("organisation=reef&model=reef-1&prompt={prompt}");
        let explained = self.explain(0, &query);
        let backend = explained["choice"]["backend"].as_str().unwrap();
        backend.strip_prefix('e').unwrap().parse().unwrap()
    }

    fn admin(&self, index: usize, method: &str, path: &str, body: &str) -> Received {
        let authorization = format!("Bearer {OPERATOR_KEY}");
        client::send(Exchange {
            address: &self.daemons[index].addresses().admin.to_string(),
            method,
            path,
            headers: &[("authorization", &authorization)],
            body: body.as_bytes().to_vec(),
        })
        .unwrap()
    }

    /// Returns the metrics of the first instance.
    pub(crate) fn metrics(&self) -> String {
        self.admin(0, "GET", "/metrics", "").text()
    }

    /// Returns the public address of an instance.
    pub(crate) fn public(&self, index: usize) -> String {
        self.daemons[index].addresses().public.to_string()
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
        client::send(Exchange {
            address: &self.public(index),
            method,
            path,
            headers,
            body,
        })
        .unwrap()
    }

    /// Sends a completion with the key that may use everything.
    pub(crate) fn complete(&self, prompt: &str, tokens: usize, stream: bool) -> Received {
        let body = completion(prompt, tokens, stream);
        self.send("POST", "/v1/completions", &body, KEY)
    }

    /// Returns the records of an engine.
    pub(crate) fn engine_records(&self, index: usize) -> Vec<RequestRecord> {
        records(&self.engines[index], "requests")
    }

    /// Returns the records of a backend server of `tanks`.
    pub(crate) fn plain_records(&self, index: usize) -> Vec<CallRecord> {
        records(&self.plains[index], "calls")
    }

    /// Waits until the last request of an engine has this outcome.
    pub(crate) fn await_outcome(&self, index: usize, outcome: RequestOutcome) {
        let deadline = Instant::now() + WAIT;
        loop {
            let records = self.engine_records(index);
            if records.last().is_some_and(|r| r.outcome == outcome) {
                return;
            }
            assert!(Instant::now() < deadline, "not {outcome:?}: {records:?}");
            pause();
        }
    }

    /// Switches faults of an engine on.
    pub(crate) fn control_engine(&self, index: usize, control: &EngineControl) {
        let answer = client::post(self.engines[index].address(), "/control", control).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// Switches faults of a backend server of `tanks` on.
    pub(crate) fn control_plain(&self, index: usize, control: &PlainControl) {
        let answer = client::post(self.plains[index].address(), "/control", control).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

fn service(id: &str, fields: &str, prefix: char, processes: &[Process]) -> String {
    let addresses: Vec<&str> = processes.iter().map(Process::address).collect();
    service_at(id, fields, prefix, &addresses)
}

/// Returns the tables of a service and its backend servers.
pub(crate) fn service_at(id: &str, fields: &str, prefix: char, addresses: &[&str]) -> String {
    let names: Vec<String> = (0..addresses.len())
        .map(|n| format!("{prefix}{n}"))
        .collect();
    let mut text = format!("[[service]]\nid = \"{id}\"\n{fields}\nbackends = {names:?}\n");
    for (name, address) in names.iter().zip(addresses) {
        text += &format!(
            "[[backend]]\nid = \"{name}\"\nservice = \"{id}\"\nzone = \"z1\"\n\
             address = \"{address}\"\nslots = 8\nchecks_fencing = true\n"
        );
    }
    text
}

pub(crate) fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

pub(crate) fn completion(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream })
}

pub(crate) fn pause() {
    std::thread::sleep(Duration::from_millis(10));
}

fn records<T: DeserializeOwned>(process: &Process, field: &str) -> Vec<T> {
    let mut body: Value = client::get(process.address(), "/record")
        .unwrap()
        .json()
        .unwrap();
    serde_json::from_value(body[field].take()).unwrap()
}

/// Checks that an answer is an error of the documented form and returns its code.
pub(crate) fn error_code(answer: &Received, status: u16, verdict: &str) -> String {
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(answer.header("x-limpetweir-verdict"), Some(verdict));
    let body: Value = answer.json().unwrap();
    assert_eq!(body["error"]["verdict"], verdict, "{body}");
    assert!(body["error"]["message"].is_string() && body["error"]["type"].is_string());
    let named = body["error"]["retry_after_ms"].is_u64();
    assert_eq!(named, answer.header("retry-after").is_some(), "{body}");
    body["error"]["code"].as_str().unwrap().to_owned()
}
