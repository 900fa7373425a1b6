//! Contents of the messages between borrowers and homes.

use std::time::Duration;

use limpetweir_state::{
    Epoch,
    Incarnation,
    Limit,
    OrganisationId, //
};

/// Identifies a grant; later grants to one borrower are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId {
    /// Epoch of the home.
    pub epoch: Epoch,
    /// Number within the epoch.
    pub grant: u64,
}

/// A share as its borrower reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// The grant that the borrower holds.
    pub id: GrantId,
    /// Requests per second.
    pub rate: f64,
    /// Capacity in requests.
    pub cap: f64,
    /// Remaining lifetime by the borrower's clock.
    pub remaining: Duration,
}

/// A borrower's message to the home.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRequest {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The borrower.
    pub grantee: Incarnation,
    /// Requests to admit now from the home's bucket; 0 for a pure renewal.
    pub tokens: u32,
    /// Requests per second that callers recently offered at the borrower.
    pub demand: f64,
    /// Share that the borrower holds, confirmed by this message.
    pub held: Option<Held>,
    /// Whether the borrower asks for a renewed share.
    pub renew: bool,
}

/// A share that a home grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareGrant {
    /// Identifies the grant.
    pub id: GrantId,
    /// Requests per second; 0 withdraws the share.
    pub rate: f64,
    /// Capacity in requests; 0 withdraws the share.
    pub cap: f64,
    /// Tokens that left the home's bucket and enter the borrower's.
    pub tokens: f64,
    /// Lifetime by the borrower's clock, from the send time of its call.
    pub lease: Duration,
    /// The limit of which the share is a part.
    pub limit: Limit,
}

/// The home's answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaAnswer {
    /// Requests admitted, at most the number asked for.
    pub admitted: u32,
    /// The renewed share, which replaces the held one.
    pub share: Option<ShareGrant>,
    /// Time until the home's bucket holds a token, if not all was admitted.
    pub retry_after: Option<Duration>,
}
