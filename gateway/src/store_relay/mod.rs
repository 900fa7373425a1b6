//! Store calls of an instance that the store turns away, made by a peer that the store serves.
//!
//! Load pattern: for some seconds the store answers a third of the instances with 429 or 503, resets
//! their connections or does not answer them, the replicas of a partition among them, while callers
//! submit jobs at all instances. An answer 429 may also mean that the fleet as a whole exceeds the rate
//! of the store, so that calls must not be multiplied.

mod access;
mod attempts;
mod call;
mod gate;
mod ways;

pub use access::StoreAccess;
pub use attempts::Attempts;
pub use call::{JobsAnswer, JobsCall, RelayError};
pub use gate::{Admission, RelayGate};
pub use ways::{RelayPeer, Way, ways};
