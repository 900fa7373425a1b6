//! Decision logic of the fleet, without I/O: membership, ownership, quota, routing and batch
//! scheduling.

mod attempt;
mod backend_health;
mod completions;
mod discovery;
mod engine_orders;
mod fair_share;
mod freshness;
mod job_items;
mod membership;
mod online_attempt;
mod ownership;
pub mod quota;
mod rendezvous;
mod retry;
mod routing;
mod scheduler;
mod slot_manager;
mod stall;
pub mod timing;

pub use attempt::{AttemptId, AttemptIdError};
pub use backend_health::BackendHealth;
pub use completions::{BufferedSize, CompletionBatch};
pub use discovery::{DiscoveryMember, discovery_order};
pub use engine_orders::{EngineOrder, EngineRole, EngineState, FencedOrder, OrderIssuer};
pub use freshness::{Freshness, PublicationRefusal, ServingMode, StartStep};
pub use job_items::{JobSpec, ResumePoint};
pub use membership::{HeartbeatOutcome, ListState, Membership, Presence, Report};
pub use online_attempt::{OnlineAttemptId, OnlineAttemptIds};
pub use ownership::{MayAct, Ownership};
pub use rendezvous::{preferred_owner, rendezvous_score};
pub use retry::{Failure, MAX_ONLINE_ATTEMPTS, RetryBudget, RetryDecision, RetryRefusal};
pub use routing::{
    AffinityUse, Candidate, Choice, Considered, Exclusion, RouteDecision, RouteRequest, route,
};
pub use scheduler::{AttemptCounts, AttemptEnd, Dispatch, ItemState, Scheduler};
pub use slot_manager::{SlotAction, SlotLimits, SlotManager, SlotRefusal};
