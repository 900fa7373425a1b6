//! Client connections.

use std::fmt;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_executor::Task;
use async_io::Async;
use hyper::client::conn::http1::SendRequest;

use super::sent_requests::{
    RequestKey,
    SentRequests, //
};
use crate::http::io::{
    WrittenBytes,
    is_open_and_unread, //
};
use crate::http::sliced::SlicedBody;

/// Margin before the end of the server's idle timeout in which a connection is no longer used, so
/// that a request arrives before the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);

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

/// A client connection; dropping it closes the socket soon, once an executor drops its task.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Number of the connection in its client.
    pub(crate) number: u64,
    /// Number of requests that were sent on it.
    pub(crate) sent: u32,
    /// Those of them whose responses are told apart by their identifier.
    pub(crate) sent_requests: SentRequests,
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
    /// Records a request that is about to be sent.
    pub(crate) fn record(&mut self, request: Option<RequestKey>) -> ConnectionUse {
        let earlier = self.sent;
        self.sent = self.sent.saturating_add(1);
        if let Some(request) = request {
            self.sent_requests.add(request);
        }
        ConnectionUse {
            number: self.number,
            earlier,
        }
    }

    /// Closes the socket, and returns once it is closed.
    pub(crate) async fn close(self) {
        self.driver.cancel().await;
    }

    /// Returns whether `request` was sent, so that a response to it could be the late copy of an earlier one.
    pub(crate) fn has_sent(&self, request: Option<RequestKey>) -> bool {
        request.is_some_and(|request| self.sent_requests.contains(request))
    }

    /// Returns whether a request can be sent: the connection is fresh, open and has no unread bytes.
    ///
    /// The socket itself is checked, because the connection's task may not have run since the
    /// server closed it, and a request written then would fail with `MayHaveRun`.
    pub(crate) fn is_usable(&self, timeout: Duration) -> bool {
        self.is_fresh(timeout) && !self.sender.is_closed() && is_open_and_unread(&self.stream)
    }

    /// Returns whether the connection is within the server's idle timeout, or within the client's
    /// `timeout` if the server sent none.
    pub(crate) fn is_fresh(&self, timeout: Duration) -> bool {
        let limit = self
            .server_idle_timeout
            .map_or(timeout, |idle| idle.saturating_sub(KEEP_ALIVE_MARGIN));
        self.idle_since.elapsed() < limit
    }
}
