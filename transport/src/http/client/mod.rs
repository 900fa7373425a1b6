//! HTTP/1 client with a connection pool per address and traffic class.

mod connection;
mod pool;
mod response_body;
mod sent_requests;

pub use self::connection::ConnectionUse;
pub use self::response_body::ClientBody;

use std::io;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_io::Async;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{
    HOST,
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use hyper::{
    Request,
    Response, //
};
use limpetweir_state::Verdict;
use smol_hyper::rt::FuturesIo;
use snafu::{
    IntoError,
    ResultExt,
    Snafu, //
};

use self::connection::Connection;
use self::pool::{
    Key,
    Pool,
    Taken, //
};
use self::sent_requests::{
    RequestKey,
    SentRequests, //
};
use super::body::BUFFER_BYTES;
use super::io::{
    CountedStream,
    WrittenBytes, //
    YieldingStream,
};
use super::sliced::SlicedBody;
use crate::runtime::{
    Spawner,
    timeout_at, //
};

/// Longest wait for a pooled connection to complete its last response; a connection that takes
/// longer is replaced.
const REUSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after a connect timeout in which the state of the connection is read once more. A process that
/// was not scheduled in time has not read yet that the connection is established.
const CONNECT_CHECK_TIME: Duration = Duration::from_millis(20);

/// Kind of traffic of a connection; each kind has its own connections to an address.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum TrafficClass {
    /// Requests of online callers.
    Online,
    /// Items of batch jobs.
    Batch,
    /// The log, the list, other platform services and peers, whose responses come in the order of the
    /// requests.
    Platform,
}

impl TrafficClass {
    /// Returns whether the server may send a response once more, where the next one is due.
    fn may_repeat_responses(self) -> bool {
        match self {
            Self::Online | Self::Batch => true,
            Self::Platform => false,
        }
    }
}

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Timeout of a new connection.
    pub connect_timeout: Duration,
    /// Largest number of idle connections for each address and traffic class.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    ///
    /// It must be below the server's own idle timeout, or a request may be sent on a connection
    /// that is being closed.
    pub idle_timeout: Duration,
    /// Largest response head in bytes, at least 8192.
    pub head_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_connections: 64,
            idle_timeout: Duration::from_secs(10),
            head_bytes: 64 << 10,
        }
    }
}

/// Options of one request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Pool that the connection comes from.
    pub class: TrafficClass,
    /// Deadline of the complete response; `None` waits without limit.
    pub deadline: Option<Instant>,
}

impl SendOptions {
    /// Returns options with a deadline `timeout` from now.
    pub fn within(class: TrafficClass, timeout: Duration) -> Self {
        Self {
            class,
            deadline: Some(Instant::now() + timeout),
        }
    }
}

/// Reason why a request got no response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be established.
    #[snafu(display("cannot connect to {addr}: {source}"))]
    Connect {
        /// The server.
        addr: SocketAddr,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// The connection was not established before the connect timeout or the deadline.
    #[snafu(display("connecting to {addr} took longer than the limit"))]
    ConnectTimeout {
        /// The server.
        addr: SocketAddr,
    },
    /// The connection was closed without a response.
    #[snafu(display("{addr} ended the connection without an answer ({verdict}): {source}"))]
    Closed {
        /// The server.
        addr: SocketAddr,
        /// Whether the request may have run.
        verdict: Verdict,
        /// The connection, unless it was closed before the request was sent.
        sent_on: Option<ConnectionUse>,
        /// Cause reported by hyper.
        source: hyper::Error,
    },
    /// No response head arrived before the deadline.
    #[snafu(display("no answer from {addr} before the deadline ({verdict})"))]
    Deadline {
        /// The server.
        addr: SocketAddr,
        /// Whether the request may have run.
        verdict: Verdict,
        /// The connection, unless the deadline came before the request was sent.
        sent_on: Option<ConnectionUse>,
    },
}

impl ClientError {
    /// Returns whether no process accepts connections at the address.
    pub fn is_refused(&self) -> bool {
        let Self::Connect { source, .. } = self else {
            return false;
        };
        matches!(
            source.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        )
    }

    /// Returns whether the server ended the connection of a request that may have run.
    pub fn is_lost_run(&self) -> bool {
        matches!(self, Self::Closed { verdict, .. } if *verdict != Verdict::NotRun)
    }

    /// Returns the connection on which the request was sent.
    pub fn sent_on(&self) -> Option<ConnectionUse> {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } => None,
            Self::Closed { sent_on, .. } | Self::Deadline { sent_on, .. } => *sent_on,
        }
    }

    /// Returns whether the request may have run.
    ///
    /// It is `NotRun` as long as no byte of the request was written to the operating system.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } => Verdict::NotRun,
            Self::Closed { verdict, .. } | Self::Deadline { verdict, .. } => *verdict,
        }
    }
}

/// HTTP/1 client; clones share the connections.
#[derive(Clone, Debug)]
pub struct Client {
    spawner: Spawner,
    limits: ClientLimits,
    pool: Arc<Pool>,
    /// Number of connections so far.
    connections: Arc<AtomicU64>,
    /// Header with the identifier of a request, which backend servers repeat in their responses.
    request_id: Option<HeaderName>,
}

impl Client {
    /// Creates a client without connections, for servers that send no response twice or repeat something that
    /// is unique to an attempt.
    pub fn new(spawner: &Spawner, limits: ClientLimits) -> Self {
        Self::identified_by(spawner, limits, None)
    }

    /// Creates a client that sends an identifier in the header `name` only once on each connection to a
    /// backend server.
    ///
    /// To be used where the identifier names a request and not one attempt: a server may write a response
    /// once more, and only the connection tells it from that to another attempt.
    pub fn with_request_id(spawner: &Spawner, limits: ClientLimits, name: HeaderName) -> Self {
        Self::identified_by(spawner, limits, Some(name))
    }

    fn identified_by(
        spawner: &Spawner,
        limits: ClientLimits,
        request_id: Option<HeaderName>,
    ) -> Self {
        Self {
            spawner: spawner.clone(),
            limits,
            pool: Arc::new(Pool::new(limits.idle_connections, limits.idle_timeout)),
            connections: Arc::default(),
            request_id,
        }
    }

    /// Sends a request to `addr` and returns the response, whose body is still to be read.
    ///
    /// Dropping the future or the body closes the connection. A request that fails before a byte
    /// was written to a pooled connection is sent once more on a new connection; nothing else is
    /// retried.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        options: SendOptions,
    ) -> Result<Response<ClientBody>, ClientError> {
        if options.deadline.is_some_and(|at| at <= Instant::now()) {
            return DeadlineSnafu {
                addr,
                verdict: Verdict::NotRun,
                sent_on: None,
            }
            .fail();
        }
        let req = with_host(addr, req);
        let key = (addr, options.class);
        let identifying = self.identifying_header(options.class);
        let request = identifying.map(|name| RequestKey::from_headers(req.headers(), name));
        if let Some(connection) = self.reuse(key, request, options.deadline).await {
            let req = req.clone();
            let result = self.exchange(addr, connection, req, request, options).await;
            match result {
                Err(ClientError::Closed {
                    verdict: Verdict::NotRun,
                    ..
                }) => {}
                result => return result,
            }
        }
        let connection = self.connect(addr, options.deadline).await?;
        self.exchange(addr, connection, req, request, options).await
    }

    /// Opens a connection for later requests.
    pub async fn open(&self, addr: SocketAddr, class: TrafficClass) -> Result<(), ClientError> {
        let connection = self.connect(addr, None).await?;
        self.pool.put((addr, class), connection);
        Ok(())
    }

    /// Returns whether an idle connection to `addr` exists on which the request with the identifier `id` can
    /// be sent, so that it needs no new one.
    pub fn has_idle(&self, addr: SocketAddr, class: TrafficClass, id: &str) -> bool {
        let request = self.identifying_header(class).map(|_| RequestKey::of(id));
        self.pool.has_idle((addr, class), request)
    }

    /// Returns the header that tells the responses of such a server apart; `None` if their order does.
    fn identifying_header(&self, class: TrafficClass) -> Option<&HeaderName> {
        let name = self.request_id.as_ref();
        name.filter(|_| class.may_repeat_responses())
    }

    /// Closes idle connections past their idle timeout; to be called every few seconds.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Takes a pooled connection and waits until it has completed its last response.
    async fn reuse(
        &self,
        key: Key,
        request: Option<RequestKey>,
        deadline: Option<Instant>,
    ) -> Option<Connection> {
        let ready_deadline = Instant::now() + REUSE_TIMEOUT;
        let ready_deadline =
            deadline.map_or(ready_deadline, |deadline| deadline.min(ready_deadline));
        let mut connection = match self.pool.take(key, request)? {
            Taken::Usable(connection) => connection,
            Taken::ToClose(connection) => {
                connection.close().await;
                return None;
            }
        };
        let ready = timeout_at(ready_deadline, connection.sender.ready()).await;
        matches!(ready, Some(Ok(()))).then_some(connection)
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Option<Instant>,
    ) -> Result<Connection, ClientError> {
        let connect_deadline = Instant::now() + self.limits.connect_timeout;
        let connect_deadline =
            deadline.map_or(connect_deadline, |deadline| deadline.min(connect_deadline));
        let mut connecting = pin!(Async::<TcpStream>::connect(addr));
        let mut stream = timeout_at(connect_deadline, connecting.as_mut()).await;
        let now = Instant::now();
        if stream.is_none() && deadline.is_none_or(|deadline| now < deadline) {
            stream = timeout_at(now + CONNECT_CHECK_TIME, connecting).await;
        }
        let Some(stream) = stream else {
            return ConnectTimeoutSnafu { addr }.fail();
        };
        let stream = stream.context(ConnectSnafu { addr })?;
        // A request is written in full, so Nagle's algorithm would only delay it.
        let _ = stream.get_ref().set_nodelay(true);
        let written = WrittenBytes::default();
        let stream = Arc::new(stream);
        let counted = CountedStream::new(stream.clone(), written.clone());
        let io = FuturesIo::new(YieldingStream::new(counted));
        let handshake = http1::Builder::new()
            .max_header_size(self.limits.head_bytes)
            .max_buf_size(self.limits.head_bytes.max(BUFFER_BYTES))
            .handshake(io)
            .await;
        let (sender, connection) = handshake.context(ClosedSnafu {
            addr,
            verdict: Verdict::NotRun,
            sent_on: None,
        })?;
        let driver = self.spawner.spawn(async move {
            // The request in flight receives the same error and reports it.
            let _ = connection.await;
        });
        Ok(Connection {
            number: self.connections.fetch_add(1, Ordering::Relaxed) + 1,
            sent: 0,
            sent_requests: SentRequests::default(),
            sender,
            driver,
            written,
            stream,
            idle_since: Instant::now(),
            server_idle_timeout: None,
        })
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        req: Request<SlicedBody>,
        request: Option<RequestKey>,
        options: SendOptions,
    ) -> Result<Response<ClientBody>, ClientError> {
        let written_before = connection.written.get();
        let sent_on = connection.record(request);
        let sending = connection.sender.send_request(req);
        let result = match options.deadline {
            Some(deadline) => timeout_at(deadline, sending).await,
            None => Some(sending.await),
        };
        match result {
            Some(Ok(response)) => {
                connection.server_idle_timeout =
                    server_idle_timeout(response.headers()).or(connection.server_idle_timeout);
                let key = (addr, options.class);
                Ok(response.map(|body| {
                    let pool = &self.pool;
                    ClientBody::new(body, connection, sent_on, pool, key, options.deadline)
                }))
            }
            Some(Err(source)) => {
                let verdict = close(connection, written_before).await;
                let closed = ClosedSnafu {
                    addr,
                    verdict,
                    sent_on,
                };
                Err(closed.into_error(source))
            }
            None => {
                let verdict = close(connection, written_before).await;
                let deadline = DeadlineSnafu {
                    addr,
                    verdict,
                    sent_on,
                };
                deadline.fail()
            }
        }
    }
}

/// Closes a connection and returns the verdict on its request.
///
/// It is closed before the count is read, so that no byte can be written afterwards.
async fn close(connection: Connection, written_before: u64) -> Verdict {
    let written = connection.written.clone();
    connection.close().await;
    if written.get() == written_before {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// Returns the idle timeout in the server's `Keep-Alive` header.
fn server_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
    seconds.map(Duration::from_secs)
}

/// Adds the `Host` header if it is missing.
fn with_host(addr: SocketAddr, req: Request<Bytes>) -> Request<SlicedBody> {
    let mut req = req.map(SlicedBody::new);
    if !req.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&addr.to_string())
    {
        req.headers_mut().insert(HOST, host);
    }
    req
}
