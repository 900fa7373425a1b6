//! Placement of online requests on backend servers, and admission when all are full.
//!
//! Load pattern: the number of online requests changes fivefold every few seconds while batch items
//! fill every free slot. A request goes to the server with the fewest requests. Slots with batch
//! items count as free, because the instances that run the items preempt them when the request is
//! reported. Dozens of instances choose at the same moment, from counts that do not contain what the
//! others have placed in the last milliseconds; the choice takes these requests into account.

mod candidate;
mod choice;
mod load_spread;
mod queue;
mod retry;
mod spread;
mod staleness;

pub use candidate::{Candidate, Limits, Placement, is_limited, starts_immediately};
pub use choice::{place, place_stale};
pub use load_spread::LoadSpread;
pub use queue::queue_limit;
pub use retry::retry_after;
pub use staleness::Staleness;
