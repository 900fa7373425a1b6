//! Messages between grantees and quota owners.

use std::time::Duration;

use limpetweir_state::{
    Epoch,
    Incarnation,
    Limit,
    OrganisationId, //
};

/// Identifies a grant; ids of later grants to one grantee are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Number within the epoch.
    pub grant: u64,
}

/// A share as reported by its grantee.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// The grant that the grantee holds.
    pub id: GrantId,
    /// Requests per second.
    pub rate: f64,
    /// Capacity in requests.
    pub cap: f64,
    /// Remaining lifetime by the grantee's clock.
    pub remaining: Duration,
}

/// A grantee's request to the owner, or to a peer that holds a share.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRequest {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The sender.
    pub grantee: Incarnation,
    /// Number of requests to admit immediately from the receiver's bucket; 0 for a mere renewal.
    pub tokens: u32,
    /// Requests per second that callers recently offered at the grantee.
    pub demand: f64,
    /// Share that the grantee holds; this message confirms it.
    pub held: Option<Held>,
    /// Whether the grantee requests a renewed share.
    pub renew: bool,
}

/// A share granted by a quota owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareGrant {
    /// Identifies the grant.
    pub id: GrantId,
    /// Requests per second; 0 withdraws the share.
    pub rate: f64,
    /// Capacity in requests; 0 withdraws the share.
    pub cap: f64,
    /// Tokens that move from the owner's bucket to the grantee's.
    pub tokens: f64,
    /// Lifetime by the grantee's clock, from the send time of its request.
    pub lease: Duration,
    /// The limit of which the share is a part.
    pub limit: Limit,
}

/// Answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaAnswer {
    /// Number of admitted requests, at most the requested number.
    pub admitted: u32,
    /// The renewed share, which replaces the held one.
    pub share: Option<ShareGrant>,
    /// Time until the sender's bucket holds a token, if not all requests were admitted.
    pub retry_after: Option<Duration>,
}
