//! Fleet-wide limits on rate and burst of organisations: a quota owner grants shares to grantees.
//!
//! Tokens are conserved. The rates and capacities of the owner's bucket and of all shares that
//! grantees may hold add up to at most the limit, and a token is added to a share only after it was
//! removed from the owner's bucket. The requests that all instances admit in an interval are
//! therefore at most burst plus rate times length.

mod account;
mod grantee;
mod message;
mod owner;
mod portion;
mod settings;

pub use grantee::{LocalAdmission, QuotaGrantee, SentCall, ShareStatus};
pub use message::{GrantId, Held, QuotaAnswer, QuotaRequest, ShareGrant};
pub use owner::{AccountStatus, OwnershipStart, QuotaOwner, QuotaRefusal};
pub use settings::QuotaSettings;
