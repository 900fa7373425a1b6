//! Pure decisions: membership, ownership, quota, routing and batch scheduling.

mod freshness;
mod membership;
mod ownership;
mod rendezvous;
mod stall;
pub mod timing;

pub use freshness::{Freshness, PublicationRefusal, ServingMode, StartStep};
pub use membership::{HeartbeatOutcome, ListState, Membership, Presence, Report};
pub use ownership::{ClaimFact, MayAct, Ownership};
pub use rendezvous::{preferred_owner, rendezvous_score};
