//! Candidates for the tests of placement.

use limpetweir_gateway::{
    BackendKey,
    Candidate,
    Permit,
    Placed,
    RunKey, //
};

/// Returns a sound server of the own cell with 8 slots and these requests; `n` is its key and tie breaker.
pub(crate) fn candidate(n: u32, online: u32, batch: u32) -> Candidate {
    Candidate {
        key: BackendKey(n),
        run: RunKey(n),
        permit: Permit::Unlimited,
        slots: 8,
        placed: Placed { online, batch },
        suspect: false,
        tried: false,
        slowness: 1.0,
        connected: false,
        local: false,
        other_cell: false,
        in_shard: false,
        draw: n,
    }
}
