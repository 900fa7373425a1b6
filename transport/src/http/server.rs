//! HTTP/1 server with limits and graceful close.

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
    Response, //
};
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};

use super::body::{
    Body,
    RequestBody, //
};
use super::io::FairStream;
use crate::runtime::{
    Spawner,
    sleep,
    timeout_at, //
};

/// Pause after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest request head in bytes, at least 8192; a longer one is answered 431.
    pub head_bytes: usize,
    /// Largest number of header fields; more are answered 431.
    pub headers: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest wait for a whole request head, which is also how long an idle connection stays open.
    pub head_timeout: Duration,
    /// Longest pause within a request body.
    pub body_timeout: Duration,
    /// Largest number of open connections; further ones wait in the system's queue.
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

/// Address of the caller, found in the extensions of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteAddr(pub SocketAddr);

/// A running HTTP/1 server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    draining: Arc<AtomicBool>,
    /// Closed to stop accepting and to close connections after their current request.
    stop: Sender<()>,
    /// Closed when the last connection has ended.
    ended: Receiver<()>,
    accept: Task<()>,
}

/// What every connection of a server shares.
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

    /// Answers every further request with `Connection: close`, and goes on accepting.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Stops accepting, closes idle connections and waits for running requests until `deadline`.
    ///
    /// Returns whether all connections ended by themselves; the rest is closed.
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
    // Owns the connections, so that dropping the server closes them.
    let mut connections: Vec<Task<()>> = Vec::new();
    let mut sweep_at = SWEEP_MIN;
    loop {
        if connections.len() >= sweep_at.min(shared.limits.connections) {
            connections.retain(|task| !task.is_finished());
            sweep_at = (connections.len() * 2).max(SWEEP_MIN);
        }
        if connections.len() >= shared.limits.connections {
            sleep(ACCEPT_RETRY).await;
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
                let connection = serve(stream, remote, shared.clone());
                connections.push(spawner.spawn(guard(remote, connection)));
            }
            Some(Err(err)) => {
                log::warn!("LW1101 accept failed: {err}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    drop(shared);
    for connection in connections {
        connection.await;
    }
}

/// Runs a connection and reports a panic of its handler, which must not reach the accept loop.
async fn guard(remote: SocketAddr, connection: impl Future<Output = ()>) {
    let result = AssertUnwindSafe(connection).catch_unwind().await;
    if result.is_err() {
        log::error!("LW1103 a handler panicked on the connection of {remote}");
    }
}

/// Number of connections below which ended ones are not removed from the list.
const SWEEP_MIN: usize = 64;

async fn serve<H, F>(stream: Async<TcpStream>, remote: SocketAddr, shared: Arc<Shared<H>>)
where
    H: Fn(Request<RequestBody>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Tokens of a stream are small writes that must not wait for the acknowledgement of the last.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(|req| answer(&shared, remote, req));
    let limits = &shared.limits;
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.headers)
        .max_header_size(limits.head_bytes)
        .serve_connection(FuturesIo::new(FairStream::new(stream)), service);
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

async fn answer<H, F>(
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
    let mut response = (shared.handler)(req).await;
    if shared.draining.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
