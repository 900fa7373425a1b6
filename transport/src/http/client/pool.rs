//! Pool of idle client connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use super::TrafficClass;
use super::connection::Connection;
use super::sent_requests::RequestKey;

pub(super) type Key = (SocketAddr, TrafficClass);

/// Connection that was taken from the pool.
#[derive(Debug)]
pub(crate) enum Taken {
    /// The request can be sent on it.
    Usable(Connection),
    /// It has to be closed before a new one is opened: a server that refuses is often at its limit of
    /// connections.
    ToClose(Connection),
}

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

    /// Takes the most recently used connection that is still open and on which `request` was not sent yet.
    ///
    /// If it was sent on all of them, the least recently used one is taken to make room for the new connection
    /// that the request needs. Otherwise an identifier that is refused again and again would fill the pool
    /// with connections.
    pub(crate) fn take(&self, key: Key, request: Option<RequestKey>) -> Option<Taken> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&key)?;
        for index in (0..connections.len()).rev() {
            if !connections[index].is_usable(self.idle_timeout) {
                connections.remove(index);
            } else if !connections[index].has_sent(request) {
                return Some(Taken::Usable(connections.remove(index)));
            }
        }
        let oldest = (!connections.is_empty()).then(|| connections.remove(0));
        if connections.is_empty() {
            idle.remove(&key);
        }
        oldest.map(Taken::ToClose)
    }

    /// Returns whether the pool has an idle connection within its idle timeout for `request`.
    pub(crate) fn has_idle(&self, key: Key, request: Option<RequestKey>) -> bool {
        let idle = self.lock();
        let mut connections = idle.get(&key).into_iter().flatten();
        connections.any(|c| c.is_fresh(self.idle_timeout) && !c.has_sent(request))
    }

    pub(crate) fn put(&self, key: Key, mut connection: Connection) {
        if connection.sender.is_closed() || connection.sent_requests.is_full() {
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
