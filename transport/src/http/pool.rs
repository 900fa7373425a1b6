//! Pooled client connections and the response bodies that return them to the pool.

use std::collections::HashMap;
use std::fmt;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::pin::Pin;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    Weak, //
};
use std::task::{
    Context,
    Poll, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_executor::Task;
use async_io::{
    Async,
    Timer, //
};
use futures_lite::FutureExt;
use hyper::body::{
    Body,
    Bytes,
    Frame,
    Incoming,
    SizeHint, //
};
use hyper::client::conn::http1::SendRequest;

use super::body::{
    BodyError,
    read_all, //
};
use super::client::TrafficClass;
use super::io::{
    WrittenBytes,
    is_open_and_unread, //
};
use super::sliced::SlicedBody;

/// Connection on which a request was sent, and how far it was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of the connection; the client counts its connections from 1.
    pub number: u64,
    /// Number of requests that were sent on it before this one.
    pub earlier: u32,
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection={} earlier={}", self.number, self.earlier)
    }
}

/// A client connection; dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Number of the connection in its client.
    pub(crate) number: u64,
    /// Number of requests that were sent on it.
    pub(crate) sent: u32,
    pub(crate) sender: SendRequest<SlicedBody>,
    /// Task that drives the connection; cancelled on drop.
    pub(crate) driver: Task<()>,
    pub(crate) written: WrittenBytes,
    pub(crate) stream: Arc<Async<TcpStream>>,
    pub(crate) idle_since: Instant,
    /// Idle timeout of the server from its `Keep-Alive` header, if it sent one.
    pub(crate) server_idle_timeout: Option<Duration>,
}

impl Connection {
    /// Counts a request that is about to be sent.
    pub(crate) fn count_request(&mut self) -> ConnectionUse {
        let earlier = self.sent;
        self.sent = self.sent.saturating_add(1);
        ConnectionUse {
            number: self.number,
            earlier,
        }
    }

    /// Returns whether the connection is within the server's idle timeout, or within the client's
    /// `timeout` if the server sent none.
    fn is_fresh(&self, timeout: Duration) -> bool {
        let limit = self
            .server_idle_timeout
            .map_or(timeout, |idle| idle.saturating_sub(KEEP_ALIVE_MARGIN));
        self.idle_since.elapsed() < limit
    }
}

/// Margin before the end of the server's idle timeout in which a connection is no longer used, so
/// that a request arrives before the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);

type Key = (SocketAddr, TrafficClass);

/// Idle connections per address and traffic class.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Key, Vec<Connection>>>,
    idle_limit: usize,
    idle_timeout: Duration,
}

impl Pool {
    pub(crate) fn new(idle_limit: usize, idle_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            idle_limit,
            idle_timeout,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection that is still open.
    ///
    /// The socket itself is checked, because the connection's task may not have run since the
    /// server closed it, and a request written then would fail with `MayHaveRun`.
    pub(crate) fn take(&self, key: Key) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&key)?;
        while let Some(connection) = connections.pop() {
            let fresh = connection.is_fresh(self.idle_timeout);
            let open = !connection.sender.is_closed() && is_open_and_unread(&connection.stream);
            if fresh && open {
                return Some(connection);
            }
        }
        idle.remove(&key);
        None
    }

    /// Returns whether the pool has an idle connection within its idle timeout.
    pub(crate) fn has_idle(&self, key: Key) -> bool {
        let idle = self.lock();
        let connections = idle.get(&key);
        connections.is_some_and(|list| list.iter().any(|c| c.is_fresh(self.idle_timeout)))
    }

    pub(crate) fn put(&self, key: Key, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(key).or_default();
        if connections.len() < self.idle_limit {
            connections.push(connection);
        }
    }

    /// Closes connections that exceeded their idle timeout or were closed by the server.
    pub(crate) fn sweep(&self) {
        let timeout = self.idle_timeout;
        self.lock().retain(|_, connections| {
            connections.retain(|c| c.is_fresh(timeout) && !c.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// Body of a response, streamed as it arrives.
///
/// Reading to the end, or dropping a response without a body, returns the connection to its pool.
/// Dropping the body earlier closes the connection, which cancels the request at the server.
#[derive(Debug)]
pub struct ClientBody {
    incoming: Incoming,
    connection: Option<Connection>,
    sent_on: ConnectionUse,
    pool: Weak<Pool>,
    key: Key,
    deadline: Option<Timer>,
}

impl ClientBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        sent_on: ConnectionUse,
        pool: &Arc<Pool>,
        key: Key,
        deadline: Option<Instant>,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            sent_on,
            pool: Arc::downgrade(pool),
            key,
            deadline: deadline.map(Timer::at),
        }
    }

    /// Returns the connection on which the request was sent.
    pub fn sent_on(&self) -> ConnectionUse {
        self.sent_on
    }

    /// Closes the connection even if the response is complete, for servers whose responses are not
    /// trusted.
    pub fn close(mut self) {
        self.connection = None;
    }

    /// Reads the whole body, of at most `limit` bytes.
    pub async fn collect_bytes(self, limit: usize) -> Result<Bytes, BodyError> {
        read_all(self, limit).await
    }

    fn release(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if let Some(pool) = self.pool.upgrade() {
            pool.put(self.key, connection);
        }
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let timer = self.deadline.as_mut();
        timer.is_some_and(|timer| timer.poll(cx).is_ready())
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        // A response without a body is complete without being polled.
        if self.incoming.is_end_stream() {
            self.release();
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(source))) => {
                this.connection = None;
                Poll::Ready(Some(Err(BodyError::Interrupted { source })))
            }
            Poll::Ready(None) => {
                this.release();
                Poll::Ready(None)
            }
            Poll::Pending if this.poll_deadline(cx) => {
                this.connection = None;
                Poll::Ready(Some(Err(BodyError::Deadline)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
