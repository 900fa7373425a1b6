//! HTTP/1 server with limits and graceful shutdown.

use std::convert::Infallible;
use std::future::{
    Future,
    poll_fn, //
};
use std::io;
use std::net::{
    Shutdown,
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Weak, //
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
    AsyncReadExt,
    FutureExt,
    future, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};
use hyper::header::{
    CONNECTION,
    EXPECT,
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

use super::activity::{
    Activity,
    Expiry,
    ExpiryTimer,
    WatchedBody,
    WatchedStream, //
};
use super::body::{
    BUFFER_BYTES,
    Body,
    RequestBody, //
};
use super::io::YieldingStream;
use super::limits::{
    ConnectionLimits,
    HeadLimits, //
};
use super::places::{
    Place,
    Places,
    Released, //
};
use super::responses::Responses;
use super::unread::{
    UnreadBody,
    take_arrived, //
};
use crate::runtime::{
    Spawner,
    panic_message,
    sleep,
    timeout_at, //
};

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between two looks for a connection that can be closed in favour of a new one.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Most connections that are accepted from the queue of a listener before it is closed; the system
/// queues no more than this by default.
const MAX_QUEUED_CONNECTIONS: usize = 4_096;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest request head in bytes, at least 8192; a longer one is rejected with 431.
    pub head_bytes: usize,
    /// Largest number of header fields; a request with more is rejected with 431.
    pub headers: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Longest time from the end of a response to the first byte of the next request.
    pub idle_timeout: Duration,
    /// Longest wait for data of a request body.
    pub body_timeout: Duration,
    /// Largest number of open connections. Beyond it, the one without a request or without progress for the
    /// longest time is closed in favour of a new one. If there is none, further ones wait in the accept queue
    /// of the system, and are accepted as the server stops.
    pub connections: usize,
    /// Most bytes of request heads that are received at the same time on all connections. Beyond it, the
    /// connection whose head began first is closed, unless it began within the last 100 ms.
    pub heads_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            headers: 100,
            body_bytes: 8 << 20,
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
            connections: 16_384,
            heads_bytes: 64 << 20,
        }
    }
}

/// Address of the caller, stored in the extensions of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteAddr(pub SocketAddr);

/// Largest size in bytes of the head of a request, stored in its extensions. The handler rejects a
/// request whose head is larger; the server itself rejects one above [`ServerLimits::head_bytes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxHeadBytes(pub usize);

/// A running HTTP/1 server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    draining: Arc<AtomicBool>,
    connection_limits: Arc<ConnectionLimits>,
    released: Arc<Released>,
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
    connection_limits: Arc<ConnectionLimits>,
    places: Arc<Places>,
    responses: Arc<Responses>,
    stopped: Receiver<()>,
    /// Dropped with the last connection.
    _open: Sender<()>,
}

impl<H> Shared<H> {
    /// Returns the activity and the place of a new connection.
    fn watch(&self, remote: SocketAddr, is_stopping: bool) -> (Arc<Activity>, Place) {
        let limits = self.connection_limits.clone();
        let heads = self.places.heads.clone();
        let activity = Activity::new(limits, heads, self.responses.clone());
        let place = self
            .places
            .enter(remote.ip(), activity.clone(), is_stopping);
        (activity, place)
    }
}

impl Server {
    /// Binds `addr`, whose port may be 0, and serves requests with `handler`. The memory of responses is not
    /// limited.
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
        let responses = Responses::new(usize::MAX);
        Self::start_within(spawner, addr, limits, &responses, handler)
    }

    /// The same with a limit of the memory of responses, which servers may share.
    pub fn start_within<H, F>(
        spawner: &Spawner,
        addr: SocketAddr,
        limits: ServerLimits,
        responses: &Arc<Responses>,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<RequestBody>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let responses = responses.clone();
        let listener = Async::<TcpListener>::bind(addr)?;
        let addr = listener.get_ref().local_addr()?;
        let draining = Arc::new(AtomicBool::new(false));
        let head = HeadLimits {
            timeout: limits.head_timeout,
            bytes: limits.head_bytes,
        };
        let connection_limits = ConnectionLimits::new(head, limits.idle_timeout);
        let connection_limits = Arc::new(connection_limits);
        let (stop, stopped) = async_channel::bounded(1);
        let (open, ended) = async_channel::bounded(1);
        let places = Places::new(addr, limits.connections, limits.heads_bytes);
        let places = Arc::new(places);
        let released = places.released.clone();
        let shared = Arc::new(Shared {
            handler,
            limits,
            draining: draining.clone(),
            connection_limits: connection_limits.clone(),
            places,
            responses,
            stopped,
            _open: open,
        });
        let accept = spawner.spawn(accept_loop(spawner.clone(), listener, shared));
        Ok(Self {
            addr,
            draining,
            connection_limits,
            released,
            stop,
            ended,
            accept,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the limits of the connections, which may be changed.
    pub fn connection_limits(&self) -> &Arc<ConnectionLimits> {
        &self.connection_limits
    }

    /// Returns the number of connections that were closed in favour of others.
    pub fn released(&self) -> &Arc<Released> {
        &self.released
    }

    /// Adds `Connection: close` to every further response; connections are still accepted.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Stops accepting, closes idle connections and waits for running requests until `deadline`.
    ///
    /// Connections that wait in the accept queue are accepted first, and a request of which bytes have
    /// arrived is still handled.
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
        if connections.len() >= sweep_threshold {
            connections.retain(|task| !task.is_finished());
            sweep_threshold = (connections.len() * 5 / 4).max(MIN_SWEEP_THRESHOLD);
        }
        if shared.places.must_wait() {
            let check_at = Instant::now() + PLACE_RETRY_DELAY;
            if timeout_at(check_at, shared.stopped.recv()).await.is_some() {
                break;
            }
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
                let watched = shared.watch(remote, false);
                let connection = run_connection(stream, remote, shared.clone(), watched);
                connections.push(spawner.spawn(catch_panic(remote, connection)));
            }
            Some(Err(err)) => {
                log::warn!("LW1101 accept failed: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections in its queue. They are few, so they are accepted
    // beyond the limit of connections too.
    for _ in 0..MAX_QUEUED_CONNECTIONS {
        let accepted = listener.get_ref().accept();
        let accepted = accepted.and_then(|(stream, remote)| Ok((Async::new(stream)?, remote)));
        match accepted {
            Ok((stream, remote)) => {
                let watched = shared.watch(remote, true);
                let connection = run_connection(stream, remote, shared.clone(), watched);
                connections.push(spawner.spawn(catch_panic(remote, connection)));
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
            Err(err) => {
                log::warn!("LW1101 accept failed: {err}");
                // The others are those of the process, for instance a lack of file descriptors.
                if err.kind() != io::ErrorKind::ConnectionAborted {
                    break;
                }
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

async fn run_connection<H, F>(
    stream: Async<TcpStream>,
    remote: SocketAddr,
    shared: Arc<Shared<H>>,
    watched: (Arc<Activity>, Place),
) where
    H: Fn(Request<RequestBody>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Nagle's algorithm would delay the tokens of a stream, which are small writes, until the
    // previous write is acknowledged.
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Arc::new(stream);
    let places = &shared.places;
    let (activity, _place) = watched;
    let service = service_fn(|req| handle_request(&shared, remote, activity.clone(), req));
    let limits = &shared.limits;
    let io = WatchedStream::new(stream.clone(), activity.clone(), places.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        // It would also bound the idle time. The expiry of the connection bounds both.
        .header_read_timeout(None)
        .max_headers(limits.headers)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(BUFFER_BYTES))
        .serve_connection(FuturesIo::new(YieldingStream::new(io)), service);
    let mut connection = std::pin::pin!(connection);
    let released = async {
        activity.released().await;
        // A request that crosses the close has to stay unread, as one that crosses the idle time-out.
        match activity.is_idle() {
            true => Expiry::Idle,
            false => Expiry::Released,
        }
    };
    let expired = future::or(expiry(&activity, &shared.stopped), released);
    let served = async { Err(connection.as_mut().await) };
    let result = match future::or(served, async { Ok(expired.await) }).await {
        Err(result) => result,
        Ok(Expiry::Idle) => {
            connection.as_mut().graceful_shutdown();
            // Nothing is discarded here: a request that crosses the close has to stay unread.
            if let Err(err) = connection.as_mut().await {
                log::debug!("LW1102 connection of {remote} ended early: {err}");
            }
            return;
        }
        Ok(Expiry::Head) => {
            log::debug!("LW1102 connection of {remote} ended early: incomplete request head");
            return;
        }
        Ok(Expiry::Released) => {
            log::debug!("LW1102 connection of {remote} ended early: released");
            return;
        }
    };
    if let Err(err) = result {
        log::debug!("LW1102 connection of {remote} ended early: {err}");
    }
    if activity.has_unread_body() {
        // The caller sees the end of the connection while it still sends. It may have closed it.
        if let Err(err) = stream.get_ref().shutdown(Shutdown::Write) {
            log::debug!("LW1102 connection of {remote} ended early: {err}");
        }
        timeout_at(Instant::now() + DISCARD_TIME, discard(&stream)).await;
    }
}

/// Returns why the connection is to be closed. Connections are closed sooner once `stop` is closed.
async fn expiry(activity: &Activity, stop: &Receiver<()>) -> Expiry {
    let mut timer = ExpiryTimer::default();
    let running = poll_fn(|cx| timer.poll(cx, activity, None));
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    if let Some(expiry) = future::or(async { Some(running.await) }, stopped).await {
        return expiry;
    }
    let stopped = Instant::now();
    poll_fn(|cx| timer.poll(cx, activity, Some(stopped))).await
}

/// Longest time for which bytes are read and discarded before a connection is closed.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Most bytes that are read and discarded before a connection is closed.
const DISCARD_BYTES: usize = 1 << 20;

/// Reads the rest of a request body that was answered early. A connection that is closed with unread
/// bytes is reset, and its caller can lose the response.
async fn discard(mut stream: &Async<TcpStream>) {
    // On the heap: the future of each connection would contain an array.
    let mut buf = vec![0; 4096];
    let mut discarded = 0;
    while let Ok(len) = stream.read(&mut buf).await {
        discarded += len;
        if len == 0 || discarded > DISCARD_BYTES {
            break;
        }
    }
}

async fn handle_request<H, F>(
    shared: &Shared<H>,
    remote: SocketAddr,
    activity: Arc<Activity>,
    req: Request<Incoming>,
) -> Result<Response<WatchedBody>, Infallible>
where
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<Body>>,
{
    let head_limits = activity.request_began(!req.body().is_end_stream());
    let limits = &shared.limits;
    let unread = Arc::new(UnreadBody::default());
    // Asking for the body of a caller that expects to be asked would make it send the body.
    let left_to = match req.headers().contains_key(EXPECT) {
        true => Weak::new(),
        false => Arc::downgrade(&unread),
    };
    let mut req = req.map(|body| {
        RequestBody::new(
            body,
            limits.body_bytes,
            limits.body_timeout,
            activity.clone(),
            left_to,
        )
    });
    req.extensions_mut().insert(RemoteAddr(remote));
    req.extensions_mut().insert(MaxHeadBytes(head_limits.bytes));
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
    if let Some(body) = unread.take() {
        activity.body_reopened();
        match take_arrived(body).await {
            true => activity.body_ended(),
            false => activity.body_left_unread(),
        }
    }
    // The connection is closed after a response that comes before the end of the body. A caller that is not
    // told sends its next request while the rest of the body is discarded.
    let closes = panicked || activity.has_unread_body();
    if closes || shared.draining.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    // Without room the connection is closed at the same time.
    response.body().attach(&activity).await;
    Ok(response.map(|body| WatchedBody::new(body, activity)))
}

/// Returns the response to a request whose handler has panicked. It makes no promise about whether
/// the request has run.
fn internal_error() -> Response<Body> {
    let mut response = Response::new(Body::from("internal error; the request may have run"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
