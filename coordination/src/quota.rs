//! Rate and burst of organisations over the whole fleet: a home lends shares to borrowers.
//!
//! Tokens are conserved: the rates and capacities of the home's bucket and of every share that a
//! borrower may hold add up to at most the limit, and a token enters a share only after it left the
//! home's bucket. The admitted requests of all instances in an interval therefore stay within burst
//! plus rate times length.

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
