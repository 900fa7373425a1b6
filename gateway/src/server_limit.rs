//! Limits on requests per second that backend servers state in their responses.
//!
//! A server in need states a limit in each response, for as long as it holds. Responses arrive out
//! of order, so a limit has ended only if a response without one belongs to a request that was sent
//! after the last response with one had arrived.

use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::checked::excerpt;

/// Largest limit in requests per second. Products of much larger ones are infinite, and nobody sends
/// as many requests.
pub(crate) const MAX_RATE: f64 = 1e6;

/// What the head of a response says about the limit of its backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server takes any number of requests.
    #[default]
    Unlimited,
    /// Requests per second from all instances together, at least 0.
    Rate(f64),
    /// Not a limit; what was known before stays in force.
    Invalid(String),
}

impl StatedLimit {
    /// Parses a decimal number of requests per second.
    pub fn parse(value: &[u8]) -> Self {
        let text = String::from_utf8_lossy(value);
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Rate(rate.min(MAX_RATE)),
            _ => Self::Invalid(excerpt(&text)),
        }
    }
}

/// The newest statement of a backend server that is or was limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests per second; `None` if the limit has ended.
    pub rate: Option<f64>,
    /// Arrival of the response with the limit. For the end of a limit, the time at which the request
    /// was sent whose response has none.
    pub at: Timestamp,
}

impl Statement {
    /// Returns the statement of a response to a request that was sent at `sent_at`.
    pub fn of(limit: &StatedLimit, sent_at: Timestamp, now: Timestamp) -> Option<Self> {
        match limit {
            StatedLimit::Rate(rate) => Some(Self {
                rate: Some(*rate),
                at: now,
            }),
            StatedLimit::Unlimited => Some(Self {
                rate: None,
                at: sent_at,
            }),
            StatedLimit::Invalid(_) => None,
        }
    }

    /// Returns the time since the statement.
    pub fn age(self, now: Timestamp) -> Duration {
        now.since(self.at)
    }
}

/// A limit that has begun, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It has begun.
    Began(f64),
    /// The server states another one.
    Changed {
        /// Requests per second so far.
        before: f64,
        /// Requests per second from now on.
        rate: f64,
    },
    /// It has ended; this was the last one stated.
    Ended(f64),
}

impl LimitChange {
    /// Returns the change between two consecutive statements.
    pub fn between(before: Option<f64>, rate: Option<f64>) -> Option<Self> {
        match (before, rate) {
            (None, Some(rate)) => Some(Self::Began(rate)),
            (Some(before), None) => Some(Self::Ended(before)),
            (Some(before), Some(rate)) if before != rate => Some(Self::Changed { before, rate }),
            _ => None,
        }
    }
}
