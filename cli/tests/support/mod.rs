//! A stand-in for instances, and the tool as a process.

#![allow(dead_code, reason = "each test file uses a part")]

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

/// The key that tests present.
pub(crate) const KEY: &str = "test-key";

/// A request as the stand-in received it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Method, path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Seen {
    /// Returns a header as text, or the empty text.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }
}

/// An answer of the stand-in.
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

    /// Returns an answer that is cut off after `text`.
    pub(crate) fn cut(text: &'static str) -> Self {
        let (tx, body) = Body::channel();
        futures_lite::future::block_on(tx.send(text)).unwrap();
        Self(Response::new(body))
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.0.headers_mut().insert(name, value.parse().unwrap());
        self
    }
}

/// An HTTP server that answers by a function of the request and the number of earlier ones.
pub(crate) struct Stub {
    pub(crate) addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    _server: Server,
    _runtime: Runtime,
}

impl Stub {
    pub(crate) fn start(answer: impl Fn(&Seen, usize) -> Reply + Send + Sync + 'static) -> Self {
        let runtime = Runtime::start(1).unwrap();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let answer = Arc::new(answer);
        let record = seen.clone();
        let handler = move |req: Request<RequestBody>| {
            let record = record.clone();
            let answer = answer.clone();
            async move {
                let (head, body) = req.into_parts();
                let body = body.collect_bytes().await.unwrap();
                let request = Seen {
                    target: format!("{} {}", head.method, head.uri),
                    headers: head.headers,
                    body: String::from_utf8(body.to_vec()).unwrap(),
                };
                let mut record = record.lock().unwrap();
                let earlier = record.iter().filter(|r| r.target == request.target);
                let reply = answer(&request, earlier.count());
                record.push(request);
                reply.0
            }
        };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let limits = ServerLimits::default();
        let server = Server::start(&runtime.spawner(), addr, limits, handler).unwrap();
        Self {
            addr: server.addr(),
            seen,
            _server: server,
            _runtime: runtime,
        }
    }

    /// Returns the requests whose method and path begin with `start`.
    pub(crate) fn seen(&self, start: &str) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        let found = seen.iter().filter(|r| r.target.starts_with(start));
        found.cloned().collect()
    }
}

/// Returns an address on which nothing listens.
pub(crate) fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Returns an address that closes every connection after it received a part of a request.
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

/// The result of a run of the tool.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Ran {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

impl From<Output> for Ran {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Returns the tool without keys in its environment.
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
pub(crate) fn run(args: &[&str]) -> Ran {
    tool(args).output().unwrap().into()
}

/// Runs the tool against the public and admin address of `stub` with a key.
pub(crate) fn run_at(stub: &Stub, args: &[&str]) -> Ran {
    run_with(stub.addr, args)
}

/// Runs the tool with a key against `addr` as public and admin address.
pub(crate) fn run_with(addr: SocketAddr, args: &[&str]) -> Ran {
    let addr = addr.to_string();
    let mut command = tool(args);
    command
        .args(["--address", &addr, "--admin", &addr])
        .env("LIMPETWEIR_KEY", KEY)
        .env("LIMPETWEIR_OPERATOR_KEY", KEY);
    command.output().unwrap().into()
}

/// Writes a file of its own for the caller and returns its path.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = path(name);
    fs::write(&path, text).unwrap();
    path
}

/// Returns a path that no other caller gets, because tests run at the same time.
pub(crate) fn path(name: &str) -> String {
    static CALLS: AtomicUsize = AtomicUsize::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{call}-{name}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&path);
    path.to_str().unwrap().to_owned()
}
