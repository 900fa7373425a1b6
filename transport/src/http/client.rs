//! HTTP/1 client with a connection pool per address and traffic class.

use std::io;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_io::Async;
use http_body_util::Full;
use hyper::body::{
    Bytes,
    Incoming, //
};
use hyper::client::conn::http1;
use hyper::header::{
    HOST,
    HeaderMap,
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

use super::io::{
    CountedStream,
    FairStream,
    Written, //
};
use super::pool::{
    ClientBody,
    Connection,
    Pool, //
};
use crate::runtime::{
    Spawner,
    timeout_at, //
};

/// Longest wait for a pooled connection to finish with its last answer; a connection that takes
/// longer is replaced.
const REUSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Kind of work a connection carries; each kind has its own connections to an address.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum TrafficClass {
    /// Requests of online callers.
    Online,
    /// Items of batch jobs.
    Batch,
    /// The log, the list and other platform services.
    Platform,
}

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest wait for a new connection.
    pub connect_timeout: Duration,
    /// Largest number of idle connections for each address and traffic class.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    ///
    /// It must be below the server's own idle limit, or a request may meet a closing connection.
    pub idle_timeout: Duration,
    /// Largest answer head in bytes, at least 8192.
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

/// How one request is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Pool that the connection comes from.
    pub class: TrafficClass,
    /// Time by which the whole answer must have arrived; `None` waits without limit.
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

/// A request without an answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection could be made.
    #[snafu(display("cannot connect to {addr}: {source}"))]
    Connect {
        /// The server.
        addr: SocketAddr,
        /// Cause given by the operating system.
        source: io::Error,
    },
    /// No connection was made in time.
    #[snafu(display("connecting to {addr} took longer than the limit"))]
    ConnectTimeout {
        /// The server.
        addr: SocketAddr,
    },
    /// The connection ended without an answer.
    #[snafu(display("{addr} ended the connection without an answer ({verdict}): {source}"))]
    Closed {
        /// The server.
        addr: SocketAddr,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Cause given by hyper.
        source: hyper::Error,
    },
    /// The answer did not begin before the deadline.
    #[snafu(display("no answer from {addr} before the deadline ({verdict})"))]
    Deadline {
        /// The server.
        addr: SocketAddr,
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

impl ClientError {
    /// Returns whether the request may have run.
    ///
    /// It is `NotRun` as long as no byte of the request was handed to the operating system.
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
}

impl Client {
    /// Creates a client without connections.
    pub fn new(spawner: &Spawner, limits: ClientLimits) -> Self {
        Self {
            spawner: spawner.clone(),
            limits,
            pool: Arc::new(Pool::new(limits.idle_connections, limits.idle_timeout)),
        }
    }

    /// Sends a request to `addr` and returns the answer with its body still to be read.
    ///
    /// Dropping the future or the body closes the connection. A request that fails before a byte
    /// was written to a pooled connection is sent once more on a new one; nothing else is retried.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        options: SendOptions,
    ) -> Result<Response<ClientBody>, ClientError> {
        if options.deadline.is_some_and(|at| at <= Instant::now()) {
            let verdict = Verdict::NotRun;
            return DeadlineSnafu { addr, verdict }.fail();
        }
        let req = prepare(addr, req);
        let key = (addr, options.class);
        if let Some(connection) = self.reuse(key, options.deadline).await {
            let result = self.exchange(addr, connection, req.clone(), options).await;
            match result {
                Err(ClientError::Closed {
                    verdict: Verdict::NotRun,
                    ..
                }) => {}
                result => return result,
            }
        }
        let connection = self.connect(addr, options.deadline).await?;
        self.exchange(addr, connection, req, options).await
    }

    /// Returns whether a connection to `addr` is idle, so that a request needs no new one.
    pub fn has_idle(&self, addr: SocketAddr, class: TrafficClass) -> bool {
        self.pool.has_idle((addr, class))
    }

    /// Closes idle connections past their limit; call it every few seconds.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Takes a pooled connection and waits until it has finished with its last answer.
    async fn reuse(
        &self,
        key: (SocketAddr, TrafficClass),
        deadline: Option<Instant>,
    ) -> Option<Connection> {
        let limit = Instant::now() + REUSE_TIMEOUT;
        let limit = deadline.map_or(limit, |deadline| deadline.min(limit));
        let mut connection = self.pool.take(key)?;
        let ready = timeout_at(limit, connection.sender.ready()).await;
        matches!(ready, Some(Ok(()))).then_some(connection)
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Option<Instant>,
    ) -> Result<Connection, ClientError> {
        let limit = Instant::now() + self.limits.connect_timeout;
        let limit = deadline.map_or(limit, |deadline| deadline.min(limit));
        let connecting = Async::<TcpStream>::connect(addr);
        let Some(stream) = timeout_at(limit, connecting).await else {
            return ConnectTimeoutSnafu { addr }.fail();
        };
        let stream = stream.context(ConnectSnafu { addr })?;
        // A request is written in full at once; waiting for acknowledgements only delays it.
        let _ = stream.get_ref().set_nodelay(true);
        let written = Written::default();
        let stream = Arc::new(stream);
        let counted = CountedStream::new(stream.clone(), written.clone());
        let io = FuturesIo::new(FairStream::new(counted));
        let handshake = http1::Builder::new()
            .max_header_size(self.limits.head_bytes)
            .handshake(io)
            .await;
        let (sender, connection) = handshake.context(ClosedSnafu {
            addr,
            verdict: Verdict::NotRun,
        })?;
        let driver = self.spawner.spawn(async move {
            // The cause also reaches the request in flight, which reports it.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            driver,
            written,
            stream,
            idle_since: Instant::now(),
            kept_for: None,
        })
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<Response<ClientBody>, ClientError> {
        let before = connection.written.get();
        let sending = connection.sender.send_request(req);
        let answer = match options.deadline {
            Some(deadline) => timeout_at(deadline, sending).await,
            None => Some(sending.await),
        };
        match answer {
            Some(Ok(response)) => {
                connection.kept_for = kept_for(response.headers()).or(connection.kept_for);
                Ok(self.wrap(response, connection, addr, options))
            }
            Some(Err(source)) => {
                let verdict = close(connection, before).await;
                Err(ClosedSnafu { addr, verdict }.into_error(source))
            }
            None => {
                let verdict = close(connection, before).await;
                DeadlineSnafu { addr, verdict }.fail()
            }
        }
    }

    fn wrap(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        addr: SocketAddr,
        options: SendOptions,
    ) -> Response<ClientBody> {
        let key = (addr, options.class);
        response.map(|body| ClientBody::new(body, connection, &self.pool, key, options.deadline))
    }
}

/// Closes a connection and returns the verdict on the request it carried.
///
/// The driver is stopped before the count is read, so no byte can be written afterwards.
async fn close(connection: Connection, before: u64) -> Verdict {
    connection.driver.cancel().await;
    if connection.written.get() == before {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// Returns how long the server says it keeps an idle connection.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
    seconds.map(Duration::from_secs)
}

/// Adds the `Host` header where it is missing.
fn prepare(addr: SocketAddr, req: Request<Bytes>) -> Request<Full<Bytes>> {
    let mut req = req.map(Full::new);
    if !req.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&addr.to_string())
    {
        req.headers_mut().insert(HOST, host);
    }
    req
}
