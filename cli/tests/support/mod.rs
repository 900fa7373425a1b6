//! A stub HTTP server in place of instances, and helpers that run the tool as a process.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::fs;
use std::io::Read;
use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpListener, //
};
use std::path::PathBuf;
use std::process::{
    Command,
    Output, //
};
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};

use hyper::header::HeaderMap;
use hyper::{
    Request,
    Response, //
};
use limpetweir_protocol::http::ErrorBody;
use limpetweir_state::Verdict;
use limpetweir_transport::Runtime;
use limpetweir_transport::http::{
    Body,
    RequestBody,
    Server,
    ServerLimits, //
};
use serde_json::Value;

pub(crate) const EXAMPLE: &str = include_str!("../../../examples/limpetweir.toml");

/// The key with which tests authenticate.
pub(crate) const KEY: &str = "test-key";

/// A request that the stub received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Method, path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header, or an empty string if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }
}

/// A response of the stub.
pub(crate) struct Reply(Response<Body>);

impl Reply {
    pub(crate) fn text(status: u16, body: impl Into<String>) -> Self {
        let mut response = Response::new(Body::from(body.into()));
        *response.status_mut() = status.try_into().unwrap();
        Self(response)
    }

    pub(crate) fn json(status: u16, body: &Value) -> Self {
        Self::text(status, body.to_string())
    }

    pub(crate) fn error(
        status: u16,
        code: &str,
        verdict: Verdict,
        retry_after_ms: Option<u64>,
    ) -> Self {
        let body = ErrorBody::new(status, code, "refused by the test", verdict);
        let body = body.retry_after_ms(retry_after_ms);
        Self::text(status, serde_json::to_string(&body).unwrap())
    }

    /// Returns a response whose body is aborted after `text`.
    pub(crate) fn truncated(text: &'static str) -> Self {
        let (tx, body) = Body::channel();
        futures_lite::future::block_on(tx.send(text)).unwrap();
        Self(Response::new(body))
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.0.headers_mut().insert(name, value.parse().unwrap());
        self
    }
}

/// An HTTP server whose responses are computed from the request and the number of earlier requests
/// with the same target.
pub(crate) struct Stub {
    pub(crate) addr: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    _server: Server,
    _runtime: Runtime,
}

impl Stub {
    pub(crate) fn start(
        respond: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let runtime = Runtime::start(1).unwrap();
        let received: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let respond = Arc::new(respond);
        let record = received.clone();
        let handler = move |req: Request<RequestBody>| {
            let record = record.clone();
            let respond = respond.clone();
            async move {
                let (head, body) = req.into_parts();
                let body = body.collect_bytes().await.unwrap();
                let request = ReceivedRequest {
                    target: format!("{} {}", head.method, head.uri),
                    headers: head.headers,
                    body: String::from_utf8(body.to_vec()).unwrap(),
                };
                let mut record = record.lock().unwrap();
                let earlier = record.iter().filter(|r| r.target == request.target);
                let reply = respond(&request, earlier.count());
                record.push(request);
                reply.0
            }
        };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let limits = ServerLimits::default();
        let server = Server::start(&runtime.spawner(), addr, limits, handler).unwrap();
        Self {
            addr: server.addr(),
            received,
            _server: server,
            _runtime: runtime,
        }
    }

    /// Returns the received requests whose method and path start with `prefix`.
    pub(crate) fn received(&self, prefix: &str) -> Vec<ReceivedRequest> {
        let received = self.received.lock().unwrap();
        let found = received.iter().filter(|r| r.target.starts_with(prefix));
        found.cloned().collect()
    }
}

/// Returns an address without a listener.
pub(crate) fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Returns an address that closes every connection after it has read part of a request.
pub(crate) fn dropping_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.unwrap().read(&mut [0; 1024]);
        }
    });
    addr
}

/// Exit code and output of a run of the tool.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl ToolRun {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

impl From<Output> for ToolRun {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Returns the command that runs the tool, without keys in its environment.
pub(crate) fn tool(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetweir"));
    command
        .args(args)
        .env_remove("LIMPETWEIR_KEY")
        .env_remove("LIMPETWEIR_OPERATOR_KEY")
        .env_remove("LIMPETWEIR_LOG");
    command
}

/// Runs the tool without keys.
pub(crate) fn run(args: &[&str]) -> ToolRun {
    tool(args).output().unwrap().into()
}

/// Runs the tool with a key, with `stub` as public and admin address.
pub(crate) fn run_at(stub: &Stub, args: &[&str]) -> ToolRun {
    run_with(stub.addr, args)
}

/// Runs the tool with a key, with `addr` as public and admin address.
pub(crate) fn run_with(addr: SocketAddr, args: &[&str]) -> ToolRun {
    let addr = addr.to_string();
    let mut command = tool(args);
    command
        .args(["--address", &addr, "--admin", &addr])
        .env("LIMPETWEIR_KEY", KEY)
        .env("LIMPETWEIR_OPERATOR_KEY", KEY);
    command.output().unwrap().into()
}

/// Writes a file to a unique path and returns the path.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = path(name);
    fs::write(&path, text).unwrap();
    path
}

/// Returns a unique path, because tests run concurrently.
pub(crate) fn path(name: &str) -> String {
    static CALLS: AtomicUsize = AtomicUsize::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{call}-{name}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&path);
    path.to_str().unwrap().to_owned()
}
