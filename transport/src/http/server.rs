//! HTTP/1 server with limits and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_executor::Task;
use async_io::Async;
use futures_lite::{
    FutureExt,
    future, //
};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION,
    HeaderValue, //
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};

use super::body::{
    Body,
    RequestBody, //
};
use super::io::YieldingStream;
use crate::runtime::{
    Spawner,
    panic_message,
    sleep,
    timeout_at, //
};

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest request head in bytes, at least 8192; a longer one is rejected with 431.
    pub head_bytes: usize,
    /// Largest number of header fields; a request with more is rejected with 431.
    pub headers: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Timeout of a complete request head, and thereby the idle timeout of a connection.
    pub head_timeout: Duration,
    /// Longest wait for data of a request body.
    pub body_timeout: Duration,
    /// Largest number of open connections; further ones wait in the accept queue of the system.
    pub connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            headers: 100,
            body_bytes: 8 << 20,
            head_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
            connections: 16_384,
        }
    }
}

/// Address of the caller, stored in the extensions of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteAddr(pub SocketAddr);

/// A running HTTP/1 server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    draining: Arc<AtomicBool>,
    /// Closing it stops accepting and closes connections after their current request.
    stop: Sender<()>,
    /// Closed once the last connection has ended.
    ended: Receiver<()>,
    accept: Task<()>,
}

/// State shared by all connections of a server.
struct Shared<H> {
    handler: H,
    limits: ServerLimits,
    draining: Arc<AtomicBool>,
    stopped: Receiver<()>,
    /// Dropped with the last connection.
    _open: Sender<()>,
}

impl Server {
    /// Binds `addr`, whose port may be 0, and serves requests with `handler`.
    ///
    /// The future of a request is dropped when its caller closes the connection. Fails if the
    /// address cannot be bound.
    pub fn start<H, F>(
        spawner: &Spawner,
        addr: SocketAddr,
        limits: ServerLimits,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<RequestBody>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = Async::<TcpListener>::bind(addr)?;
        let addr = listener.get_ref().local_addr()?;
        let draining = Arc::new(AtomicBool::new(false));
        let (stop, stopped) = async_channel::bounded(1);
        let (open, ended) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            handler,
            limits,
            draining: draining.clone(),
            stopped,
            _open: open,
        });
        let accept = spawner.spawn(accept_loop(spawner.clone(), listener, shared));
        Ok(Self {
            addr,
            draining,
            stop,
            ended,
            accept,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Adds `Connection: close` to every further response; connections are still accepted.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Stops accepting, closes idle connections and waits for running requests until `deadline`.
    ///
    /// Returns whether all connections ended before the deadline; the remaining ones are closed.
    pub async fn close(self, deadline: Instant) -> bool {
        self.drain();
        self.stop.close();
        let ended = timeout_at(deadline, self.ended.recv()).await;
        self.accept.cancel().await;
        ended.is_some()
    }
}

async fn accept_loop<H, F>(spawner: Spawner, listener: Async<TcpListener>, shared: Arc<Shared<H>>)
where
    H: Fn(Request<RequestBody>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // The loop owns the connections, so that dropping the server closes them.
    let mut connections: Vec<Task<()>> = Vec::new();
    let mut sweep_threshold = MIN_SWEEP_THRESHOLD;
    loop {
        if connections.len() >= sweep_threshold.min(shared.limits.connections) {
            connections.retain(|task| !task.is_finished());
            sweep_threshold = (connections.len() * 2).max(MIN_SWEEP_THRESHOLD);
        }
        if connections.len() >= shared.limits.connections {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        let stopped = async {
            let _ = shared.stopped.recv().await;
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped, accepted).await {
            None => break,
            Some(Ok((stream, remote))) => {
                let connection = run_connection(stream, remote, shared.clone());
                connections.push(spawner.spawn(catch_panic(remote, connection)));
            }
            Some(Err(err)) => {
                log::warn!("LW1101 accept failed: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    drop(shared);
    for connection in connections {
        connection.await;
    }
}

/// Runs a connection and logs a panic, which must not reach the accept loop. A panic of the handler
/// is caught earlier; what is left are panics of response bodies.
async fn catch_panic(remote: SocketAddr, connection: impl Future<Output = ()>) {
    let result = AssertUnwindSafe(connection).catch_unwind().await;
    if let Err(panic) = result {
        log::error!(
            "LW1103 the connection of {remote} ends with a panic: {}",
            panic_message(&*panic)
        );
    }
}

/// Number of connections below which ended ones are not removed from the list.
const MIN_SWEEP_THRESHOLD: usize = 64;

async fn run_connection<H, F>(stream: Async<TcpStream>, remote: SocketAddr, shared: Arc<Shared<H>>)
where
    H: Fn(Request<RequestBody>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Nagle's algorithm would delay the tokens of a stream, which are small writes, until the
    // previous write is acknowledged.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(|req| handle_request(&shared, remote, req));
    let limits = &shared.limits;
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.headers)
        .max_header_size(limits.head_bytes)
        .serve_connection(FuturesIo::new(YieldingStream::new(stream)), service);
    let mut connection = std::pin::pin!(connection);
    let stopped = async {
        let _ = shared.stopped.recv().await;
        None
    };
    let served = async { Some(connection.as_mut().await) };
    let result = match future::or(served, stopped).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(err) = result {
        log::debug!("LW1102 connection of {remote} ended early: {err}");
    }
}

async fn handle_request<H, F>(
    shared: &Shared<H>,
    remote: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible>
where
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<Body>>,
{
    let limits = &shared.limits;
    let mut req = req.map(|body| RequestBody::new(body, limits.body_bytes, limits.body_timeout));
    req.extensions_mut().insert(RemoteAddr(remote));
    // The handler may panic before it returns its future.
    let handled = AssertUnwindSafe(async { (shared.handler)(req).await });
    let (mut response, panicked) = match handled.catch_unwind().await {
        Ok(response) => (response, false),
        Err(panic) => {
            let cause = panic_message(&*panic);
            log::error!("LW1103 a handler panicked on the connection of {remote}: {cause}");
            (internal_error(), true)
        }
    };
    if panicked || shared.draining.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Returns the response to a request whose handler has panicked. It makes no promise about whether
/// the request has run.
fn internal_error() -> Response<Body> {
    let mut response = Response::new(Body::from("internal error; the request may have run"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
