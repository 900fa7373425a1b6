//! A small deployment: a store, engines, instances, and the calls of clients about batch jobs.

use std::io;
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::path::Path;
use std::time::Duration;

use crate::engine::{
    Engine,
    Output, //
};
use crate::net::{
    self,
    Message, //
};
use crate::platform::Platform;
use crate::record::Record;
use crate::store::{
    Store,
    base64, //
};

/// Host of the online route and of the batch route.
pub const ONLINE_HOST: &str = "nony24.example";
pub const JOBS_HOST: &str = "ficu95.example";

/// Number of tenants; each has one key.
pub const TENANTS: usize = 8;

/// Tokens of an item: prompt and output.
pub const ITEM_TOKENS: u64 = 940;

pub struct Site {
    pub store: Store,
    pub platform: Platform,
    pub engines: Vec<Engine>,
}

pub fn key(tenant: usize) -> String {
    format!("i9n73hh2b9wu3fexd9d{tenant}")
}

/// Returns the manifest; `has_batch` says whether it has the batch route.
pub fn manifest(version: u64, has_batch: bool) -> String {
    let online = format!(
        r#"{{"name":"r-online","host":"{ONLINE_HOST}","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"huvo11a","attempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":250}}"#
    );
    let batch = format!(
        r#",{{"name":"r-batch","host":"{JOBS_HOST}","pathPrefix":"/pule252/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"huvo11a","attempts":3,"public":false,"sticky":true,"completionTargetMs":18000,"retentionS":60,"cap":1000000}}"#
    );
    let batch = if has_batch { batch.as_str() } else { "" };
    let tenants: Vec<String> = (0..TENANTS)
        .map(|n| {
            let key = key(n);
            format!(r#"{{"name":"kaje8{n}","apiKeys":["{key}"],"priority":1,"requestsPerS":46,"burst":46}}"#)
        })
        .collect();
    let tenants = tenants.join(",");
    format!(
        r#"{{"version":{version},"routes":[{online}{batch}],"services":[{{"name":"huvo11a","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false,"engine":{{"slots":8,"kvCacheTokens":106377}}}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
    )
}

fn entry(engine: &Engine, n: usize, state: &str) -> String {
    let zone = ["alfold-a", "alfold-b", "alfold-c"][n % 3];
    format!(
        r#"{{"service":"huvo11a","address":"{}","zone":"{zone}","version":1,"slots":8,"state":"{state}","coldRemainingMs":0,"sequence":1,"born":1765000000000}}"#,
        engine.addr
    )
}

impl Site {
    pub fn start(
        root: &Path,
        folder: &Path,
        machines: u8,
        memory_mb: u64,
        output: &Output,
        record: &Record,
    ) -> io::Result<Self> {
        let listen = || TcpListener::bind("127.0.0.1:0");
        let store = Store::start(listen()?);
        store.put("keyed.op", "config", &manifest(7, true));
        let mut engines = Vec::new();
        for n in 0..12 {
            let engine = Engine::start(&format!("i-{n:08x}"), listen()?, output.clone(), record);
            store.put("keyed.servers", &engine.id, &entry(&engine, n, "ready"));
            engines.push(engine);
        }
        let platform = Platform::start(root, folder, machines, memory_mb, store.addr, record)?;
        let site = Self {
            store,
            platform,
            engines,
        };
        match site.platform.wait_ready(Duration::from_secs(20)) {
            true => Ok(site),
            false => Err(io::Error::other("the instances do not get ready")),
        }
    }

    /// Writes the entry of an engine with another state, as the engine does.
    pub fn enter(&self, n: usize, state: &str) {
        let engine = &self.engines[n];
        self.store
            .put("keyed.servers", &engine.id, &entry(engine, n, state));
    }

    /// Removes the entry of an engine.
    pub fn remove(&self, n: usize) {
        self.store.put("keyed.servers", &self.engines[n].id, "");
    }

    /// Address of an instance.
    pub fn frontend(&self, n: usize) -> SocketAddr {
        self.platform.machines[n % self.platform.machines.len()].frontend
    }
}

/// Returns the body of a job.
pub fn job_body(job: &str, items: usize, item_bytes: usize) -> String {
    let body = base64(&vec![b'q'; item_bytes]);
    let items: Vec<String> = (0..items)
        .map(|n| {
            format!(
                r#"{{"identifier":"{job}-{n}","path":"/pule252/3/{n}","headers":{{"X-Model":"m","X-Token-Usage":"540,400","X-Prompt-Prefix":"9c2e41:300,{n:x}:240"}},"body":"{body}","tokens":{ITEM_TOKENS}}}"#
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Submits a job until it is accepted or the tries are used up, each at another instance. Returns the statuses.
pub fn submit(
    site: &Site,
    at: usize,
    tenant: usize,
    job: &str,
    body: &str,
    tries: usize,
) -> Vec<u16> {
    let key = key(tenant);
    let headers = [
        ("Host", JOBS_HOST),
        ("X-Api-Key", &key),
        ("X-Request-Identifier", job),
        ("X-Deadline-Milliseconds", "4000"),
        ("Content-Type", "application/json"),
    ];
    let mut statuses = Vec::new();
    for n in 0..tries {
        let timeout = Duration::from_secs(5);
        let answer = net::call(
            site.frontend(at + n),
            "POST",
            "/pule252/7c41e0",
            &headers,
            body.as_bytes(),
            timeout,
        );
        let status = answer.map_or(0, |answer| answer.status());
        statuses.push(status);
        if status == 202 {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    statuses
}

/// Reads the results of a job from a position on.
pub fn read_results(
    addr: SocketAddr,
    tenant: usize,
    job: &str,
    after: usize,
) -> io::Result<Message> {
    let key = key(tenant);
    let headers = [("Host", JOBS_HOST), ("X-Api-Key", key.as_str())];
    let target = format!("/lots/{job}?after={after}");
    net::call(
        addr,
        "GET",
        &target,
        &headers,
        b"",
        Duration::from_millis(2_500),
    )
}

/// Returns the number that a page of results has in a field.
pub fn field(page: &Message, name: &str) -> Option<usize> {
    let text = String::from_utf8_lossy(&page.body);
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Sends an online request with a key; returns the status, 0 without a response.
pub fn online(addr: SocketAddr, key: &str, id: &str, version: Option<&str>) -> u16 {
    let mut headers = vec![
        ("Host", ONLINE_HOST),
        ("X-Api-Key", key),
        ("X-Request-Identifier", id),
        ("X-Model", "m"),
        ("X-Token-Usage", "450,80"),
        ("X-Prompt-Prefix", "5c1e07a2:100,91bd3f06:100,e4402b7d:250"),
        ("X-Deadline-Milliseconds", "5000"),
    ];
    headers.extend(version.map(|version| ("X-Expected-Version", version)));
    let timeout = Duration::from_secs(6);
    let answer = net::call(addr, "POST", "/lohu930/2f", &headers, b"{}", timeout);
    answer.map_or(0, |answer| answer.status())
}
