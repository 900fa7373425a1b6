//! Conversion of quota messages between their wire types and the types of the quota decisions.

use std::time::Duration;

use limpetweir_coordination::quota::{
    GrantId,
    Held,
    QuotaAnswer,
    QuotaRequest,
    ShareGrant, //
};
use limpetweir_state::{
    Limit,
    LimitError, //
};
use snafu::{
    Snafu, //
    ensure,
};

use crate::peer::{
    GrantedShare,
    HeldShare,
    QuotaCall,
    QuotaReply, //
};

/// A quota message with an invalid rate, burst, capacity, demand or number of tokens.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("quota message has {field} {value}: a finite number from 0 on is accepted"))]
pub struct QuotaMessageError {
    field: &'static str,
    value: f64,
}

fn check_number(field: &'static str, value: f64) -> Result<f64, QuotaMessageError> {
    let valid = value.is_finite() && value >= 0.0;
    ensure!(valid, QuotaMessageSnafu { field, value });
    Ok(value)
}

fn check_limit(rate: f64, burst: f64) -> Result<Limit, QuotaMessageError> {
    let limit = Limit::new(rate, burst);
    limit.map_err(|err| match err {
        LimitError::Rate { rate: value } => invalid("limit rate", value),
        LimitError::Burst { burst: value } => invalid("limit burst", value),
    })
}

fn invalid(field: &'static str, value: f64) -> QuotaMessageError {
    QuotaMessageError { field, value }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds up, so that a caller does not retry just before a token is available.
fn millis_rounded_up(duration: Duration) -> u64 {
    let ms = duration.as_micros().div_ceil(1_000);
    u64::try_from(ms).unwrap_or(u64::MAX)
}

impl TryFrom<QuotaCall> for QuotaRequest {
    type Error = QuotaMessageError;

    fn try_from(raw: QuotaCall) -> Result<Self, Self::Error> {
        Ok(Self {
            organisation: raw.organisation,
            grantee: raw.borrower,
            tokens: raw.tokens,
            demand: check_number("demand", raw.demand)?,
            held: raw.held.map(Held::try_from).transpose()?,
            renew: raw.renew,
        })
    }
}

impl From<QuotaRequest> for QuotaCall {
    fn from(request: QuotaRequest) -> Self {
        Self {
            organisation: request.organisation,
            borrower: request.grantee,
            tokens: request.tokens,
            demand: request.demand,
            held: request.held.map(HeldShare::from),
            renew: request.renew,
            share_only: false,
        }
    }
}

impl TryFrom<HeldShare> for Held {
    type Error = QuotaMessageError;

    fn try_from(raw: HeldShare) -> Result<Self, Self::Error> {
        Ok(Self {
            id: GrantId {
                epoch: raw.epoch,
                grant: raw.grant,
            },
            rate: check_number("rate", raw.rate)?,
            cap: check_number("cap", raw.cap)?,
            remaining: Duration::from_millis(raw.remaining_ms),
        })
    }
}

impl From<Held> for HeldShare {
    fn from(held: Held) -> Self {
        Self {
            epoch: held.id.epoch,
            grant: held.id.grant,
            rate: held.rate,
            cap: held.cap,
            // The quota owner must not count the share for less time than the grantee uses it.
            remaining_ms: millis_rounded_up(held.remaining),
        }
    }
}

impl TryFrom<QuotaReply> for QuotaAnswer {
    type Error = QuotaMessageError;

    fn try_from(raw: QuotaReply) -> Result<Self, Self::Error> {
        Ok(Self {
            admitted: raw.admitted,
            share: raw.share.map(ShareGrant::try_from).transpose()?,
            retry_after: raw.retry_after_ms.map(Duration::from_millis),
        })
    }
}

impl From<QuotaAnswer> for QuotaReply {
    fn from(answer: QuotaAnswer) -> Self {
        Self {
            admitted: answer.admitted,
            share: answer.share.map(GrantedShare::from),
            retry_after_ms: answer.retry_after.map(millis_rounded_up),
        }
    }
}

impl TryFrom<GrantedShare> for ShareGrant {
    type Error = QuotaMessageError;

    fn try_from(raw: GrantedShare) -> Result<Self, Self::Error> {
        Ok(Self {
            id: GrantId {
                epoch: raw.epoch,
                grant: raw.grant,
            },
            rate: check_number("rate", raw.rate)?,
            cap: check_number("cap", raw.cap)?,
            tokens: check_number("tokens", raw.tokens)?,
            lease: Duration::from_millis(raw.lease_ms),
            limit: check_limit(raw.limit_rate, raw.limit_burst)?,
        })
    }
}

impl From<ShareGrant> for GrantedShare {
    fn from(grant: ShareGrant) -> Self {
        Self {
            epoch: grant.id.epoch,
            grant: grant.id.grant,
            rate: grant.rate,
            cap: grant.cap,
            tokens: grant.tokens,
            lease_ms: millis(grant.lease),
            limit_rate: grant.limit.rate(),
            limit_burst: grant.limit.burst(),
        }
    }
}
