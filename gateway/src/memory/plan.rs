//! Division of the memory and the descriptors of a machine.
//!
//! All limits of what an instance holds for others derive from two settings, so that crowds of clients on all
//! listeners at the same time stay within the machine.

/// Descriptors of a machine that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors of an instance for itself: listeners, the store, reports, signals and the log.
const OWN_DESCRIPTORS: usize = 40;

/// Memory in bytes of a process without connections.
const IDLE_MEMORY: usize = 24_000_000;

/// Memory in bytes of an open connection with its buffers, and of the one to a backend server beside it.
const CONNECTION_MEMORY: usize = 64 << 10;

/// Listeners beside that of callers: for other instances, the readiness, the directory and the metrics.
const OTHER_LISTENERS: usize = 4;

/// Limits that derive from the memory and the descriptors of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Bytes of the outputs of backend servers; twice as much in the worst case.
    pub outputs: usize,
    /// Bytes of request bodies, from the first byte to the end of the response.
    pub bodies: usize,
    /// Bytes of the request heads that callers are sending.
    pub heads: usize,
    /// Bytes of the request heads that each other listener is receiving.
    pub other_heads: usize,
    /// Connections of callers. As many descriptors are left for connections to backend servers.
    pub callers: usize,
    /// Connections of other instances, and of those who ask for addresses.
    pub peers: usize,
    /// Connections for the readiness, and for the metrics.
    pub probes: usize,
}

impl Plan {
    /// Divides `memory` bytes and `descriptors`.
    pub fn new(memory: usize, descriptors: usize) -> Self {
        let outputs = memory / 8;
        let rest = memory
            .saturating_sub(IDLE_MEMORY)
            .saturating_sub(memory / 8);
        let usable = descriptors
            .saturating_sub(FILE_DESCRIPTORS)
            .saturating_sub(OWN_DESCRIPTORS)
            .max(20);
        let within_memory = (rest / 2 / CONNECTION_MEMORY).max(16);
        Self {
            outputs,
            bodies: rest / 2,
            heads: rest / 32,
            other_heads: rest / 32 / OTHER_LISTENERS,
            callers: (usable * 3 / 10).min(within_memory),
            peers: (usable / 10).min(within_memory / 4),
            probes: (usable / 20).min(within_memory / 8),
        }
    }
}
