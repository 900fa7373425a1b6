//! Division of the memory and the descriptors of a machine.
//!
//! All limits of what an instance holds for others derive from two settings, so that crowds of clients on all
//! listeners at the same time stay within the machine.

use limpetweir_transport::http::ENDING_CONNECTIONS;

/// Descriptors of a machine that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors of an instance for itself: listeners, the store, reports, signals and the log.
const OWN_DESCRIPTORS: usize = 40;

/// Memory in bytes of a process without connections.
const IDLE_MEMORY: usize = 24_000_000;

/// Memory in bytes of a connection of a caller and of the one to a backend server beside it: their read buffers,
/// and the part of the response that has no share.
const CALLER_MEMORY: usize = 64 << 10;

/// Memory in bytes of a connection of another listener.
const OTHER_MEMORY: usize = 32 << 10;

/// Listeners beside that of callers: for other instances, the readiness, the directory and the metrics.
const OTHER_LISTENERS: usize = 4;

/// Limits that derive from the memory and the descriptors of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Bytes of the outputs of backend servers; twice as much in the worst case.
    pub outputs: usize,
    /// Bytes of request bodies and of the items in them, from the first byte to the end of the request.
    pub bodies: usize,
    /// Bytes of the responses that wait for their callers.
    pub responses: usize,
    /// Bytes of the store calls that are made for other instances.
    pub relayed_calls: usize,
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
    /// Divides `memory` bytes and `descriptors`. The parts have fixed fractions of the memory that an idle process
    /// leaves; what descriptors do not allow for connections goes to bodies.
    pub fn new(memory: usize, descriptors: usize) -> Self {
        let ending = ENDING_CONNECTIONS * (CALLER_MEMORY + OTHER_LISTENERS * OTHER_MEMORY);
        let rest = memory.saturating_sub(IDLE_MEMORY + ending);
        let usable = descriptors
            .saturating_sub(FILE_DESCRIPTORS)
            .saturating_sub(OWN_DESCRIPTORS)
            .max(20);
        let within_memory = (rest * 5 / 16 / CALLER_MEMORY).max(16);
        let plan = Self {
            outputs: rest / 12,
            bodies: 0,
            responses: rest / 16,
            relayed_calls: rest / 16,
            heads: rest / 32,
            other_heads: rest / 32 / OTHER_LISTENERS,
            callers: (usable * 3 / 10).min(within_memory),
            peers: (usable / 10).min(within_memory / 4),
            probes: (usable / 20).min(within_memory / 8),
        };
        let bodies = memory.saturating_sub(plan.worst_case());
        Self { bodies, ..plan }
    }

    /// Returns the memory in bytes of the process if all parts are full at once.
    pub fn worst_case(&self) -> usize {
        let callers = self.callers + ENDING_CONNECTIONS;
        let others = 2 * self.peers + 2 * self.probes + OTHER_LISTENERS * ENDING_CONNECTIONS;
        let connections = callers * CALLER_MEMORY + others * OTHER_MEMORY;
        let heads = self.heads + OTHER_LISTENERS * self.other_heads;
        let held = 2 * self.outputs + self.bodies + self.responses + self.relayed_calls;
        IDLE_MEMORY + connections + heads + held
    }
}
