//! Starts one daemon, the platform stand-ins, an engine and a plain service.

use std::env;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_standins::client::{
    self,
    Exchange,
    Received, //
};
use limpetweir_standins::harness::{
    self,
    Launch,
    Process, //
};
use limpetweir_state::KeyDigest;
use serde_json::{
    Value,
    json, //
};

pub(crate) const KEY: &str = "key-of-the-benchmark";

pub(crate) const MODEL: &str = "reef-1";

const OPERATOR_KEY: &str = "operator-key-of-the-benchmark";

/// Timeout for the daemon to serve the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Arguments of the engine; its steps are short, so that they do not hide the daemon's time.
const ENGINE_ARGS: [&str; 8] = [
    "--slots",
    "256",
    "--step-base-us",
    "200",
    "--step-per-sequence-us",
    "2",
    "--prefill-per-token-us",
    "0",
];

/// Builds the binaries that the benchmark starts; like the benchmark, in the release profile.
pub(crate) fn build() -> Result<(), Box<dyn Error>> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--release", "--locked", "--bins", "--examples"])
        .args(["-p", "limpetweird", "-p", "limpetweir-standins"])
        .status()?;
    if !status.success() {
        return Err("the daemon and the stand-ins could not be built".into());
    }
    Ok(())
}

/// The running processes, which are terminated when this value is dropped.
pub(crate) struct Fleet {
    pub(crate) public: SocketAddr,
    pub(crate) engine: SocketAddr,
    pub(crate) plain: SocketAddr,
    daemon: Process,
    list: Process,
    _others: [Process; 3],
}

impl Fleet {
    pub(crate) fn start() -> Result<Self, Box<dyn Error>> {
        let log = Launch::standin("log")?.spawn()?;
        let list = Launch::standin("list")?.args(["--lag-ms", "0"]).spawn()?;
        let engine = Launch::standin("engine")?.args(ENGINE_ARGS).spawn()?;
        let plain = Launch::standin("plain")?.spawn()?;
        let daemon = daemon(log.address(), list.address())?;
        Ok(Self {
            public: daemon.field("public").parse()?,
            engine: engine.address().parse()?,
            plain: plain.address().parse()?,
            daemon,
            list,
            _others: [log, engine, plain],
        })
    }

    pub(crate) fn daemon_pid(&self) -> u32 {
        self.daemon.id()
    }

    /// Lists the servers, publishes the configuration and waits until it is in force.
    pub(crate) fn publish(&mut self) -> Result<(), Box<dyn Error>> {
        let response = client::post(self.list.address(), "/control", &self.listing())?;
        if response.status != 200 {
            return Err(response.text().into());
        }
        let reading = json!({ "litres": 1200 });
        let response = client::send(Exchange {
            address: &self.plain.to_string(),
            method: "PUT",
            path: "/tanks/7",
            body: reading.to_string().into_bytes(),
            ..Exchange::default()
        })?;
        if response.status >= 300 {
            return Err(response.text().into());
        }
        let document = self.document();
        let path = "/admin/config?base=0&id=overhead";
        self.poll("POST", path, &document, |_| true)?;
        let chat = format!("/admin/explain?organisation=reef&model={MODEL}");
        for query in [&chat, "/admin/explain?organisation=reef&service=tanks"] {
            self.poll("GET", query, "", |explained| {
                explained["config_version"] == 1
                    && explained["phase"] == "serving"
                    && explained["quota"]["acts"] == true
                    && !explained["choice"]["backend"].is_null()
            })?;
        }
        Ok(())
    }

    fn listing(&self) -> Value {
        json!({
            "instances": [{
                "name": "a1",
                "zone": "z1",
                "public": self.daemon.field("public"),
                "peer": self.daemon.field("peer"),
                "state": "live",
            }],
            "backends": [
                { "name": "engine", "state": "live" },
                { "name": "plain", "state": "live" },
            ],
        })
    }

    fn document(&self) -> String {
        let digest = KeyDigest::of_key(KEY.as_bytes()).to_hex();
        let backend = |id, service, addr| {
            format!(
                "[[backend]]\nid = \"{id}\"\nservice = \"{service}\"\nzone = \"z1\"\n\
                 address = \"{addr}\"\nslots = 256\nchecks_fencing = true\n"
            )
        };
        [
            // The limit must admit every call of the benchmark.
            "[[organisation]]\nid = \"reef\"\nrate = 1000000.0\nburst = 1000000.0\n\
             services = [\"chat\", \"tanks\"]\n"
                .to_owned(),
            format!("[[organisation.key]]\nid = \"k1\"\nsha256 = \"{digest}\"\n"),
            format!(
                "[[service]]\nid = \"chat\"\nkind = \"model\"\nmodels = [\"{MODEL}\"]\n\
                 backends = [\"engine\"]\n"
            ),
            "[[service]]\nid = \"tanks\"\nkind = \"plain\"\naccess = \"keyed\"\n\
             idempotent = [\"GET\"]\nbackends = [\"plain\"]\n"
                .to_owned(),
            backend("engine", "chat", self.engine),
            backend("plain", "tanks", self.plain),
        ]
        .concat()
    }

    /// Repeats a call to the admin listener until its response is as expected.
    fn poll(
        &self,
        method: &str,
        path: &str,
        body: &str,
        expected: impl Fn(&Value) -> bool,
    ) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let response = self.admin(method, path, body)?;
            if response.status < 300 && expected(&response.json()?) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(format!("{method} {path}: {}", response.text()).into());
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
    }

    fn admin(&self, method: &str, path: &str, body: &str) -> Result<Received, Box<dyn Error>> {
        let authorization = format!("Bearer {OPERATOR_KEY}");
        let response = client::send(Exchange {
            address: self.daemon.field("admin"),
            method,
            path,
            headers: &[("authorization", &authorization)],
            body: body.as_bytes().to_vec(),
        })?;
        Ok(response)
    }
}

fn daemon(log: &str, list: &str) -> Result<Process, Box<dyn Error>> {
    let digest = KeyDigest::of_key(OPERATOR_KEY.as_bytes()).to_hex();
    let settings = format!(
        "name = \"a1\"\nzone = \"z1\"\n\
         [listen]\npublic = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nlist = \"{list}\"\n\
         [operator]\nkey_digest = \"{digest}\"\n"
    );
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let config = dir.join("overhead.toml");
    fs::write(&config, settings)?;
    let events = dir.join("overhead.log");
    // The harness appends to the file, so the log of an earlier run is cleared.
    fs::write(&events, "")?;
    let process = Launch::new(harness::binary("limpetweird")?)
        .arg("--config")
        .arg(config)
        .stderr(events)
        .spawn()?;
    Ok(process)
}
