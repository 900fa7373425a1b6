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

pub(super) type Key = (SocketAddr, TrafficClass);

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
    pub(crate) fn take(&self, key: Key) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&key)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(self.idle_timeout) {
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
