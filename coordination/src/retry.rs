//! Retry decisions and retry budgets of online requests.

use std::collections::BTreeMap;

use limpetweir_state::{
    OrganisationId,
    Verdict, //
};
use strum::{
    Display,
    IntoStaticStr, //
};

/// Maximum number of attempts of one online request, including the first.
pub const MAX_ONLINE_ATTEMPTS: u32 = 3;

/// Number of retries that each request of an organisation adds to its budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of retries that an organisation saves up.
///
/// Bounds the retry storm that is possible after a long time without failures.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Number of retries that an organisation has before its first request.
///
/// Without one, a caller with little traffic would receive an error for each lost backend server.
const INITIAL_RETRIES: f64 = 1.0;

/// Tolerance for rounding errors in sums of tenths; a retry that lacks less than this is granted.
const ROUNDING: f64 = 1e-9;

/// A failed attempt of an online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt ran.
    pub verdict: Verdict,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a byte of the answer was sent to the caller.
    pub answered: bool,
    /// Attempts so far, the failed one included.
    pub attempts: u32,
}

/// Reason for which a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryRefusal {
    /// A part of the answer was already sent to the caller.
    Answered,
    /// The request may have run and must not run twice.
    Verdict,
    /// The request has reached the maximum number of attempts.
    Attempts,
    /// The organisation's budget is exhausted.
    Budget,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is sent to another backend server; the budget is charged.
    Retry,
    /// The error is returned to the caller.
    Stop(RetryRefusal),
}

/// Remaining retries of each organisation at this instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Saved retries of each organisation, from 0 to [`MAX_SAVED_RETRIES`].
    saved: BTreeMap<OrganisationId, f64>,
}

impl RetryBudget {
    fn saved(&mut self, organisation: &OrganisationId) -> &mut f64 {
        let entry = self.saved.entry(organisation.clone());
        entry.or_insert(INITIAL_RETRIES)
    }

    /// Credits the budget for an admitted request; must not be called for its retries.
    pub fn on_request(&mut self, organisation: &OrganisationId) {
        let saved = self.saved(organisation);
        *saved = (*saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Decides whether a failed request is retried, and charges the retry to the budget.
    pub fn on_failure(
        &mut self,
        organisation: &OrganisationId,
        failure: &Failure,
    ) -> RetryDecision {
        if let Some(refusal) = refusal(failure) {
            return RetryDecision::Stop(refusal);
        }
        let saved = self.saved(organisation);
        if *saved + ROUNDING < 1.0 {
            return RetryDecision::Stop(RetryRefusal::Budget);
        }
        *saved = (*saved - 1.0).max(0.0);
        RetryDecision::Retry
    }

    /// Removes the budgets of organisations for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&OrganisationId) -> bool) {
        self.saved.retain(|organisation, _| is_known(organisation));
    }
}

fn refusal(failure: &Failure) -> Option<RetryRefusal> {
    if failure.answered {
        return Some(RetryRefusal::Answered);
    }
    if !failure.verdict.allows_retry(failure.idempotent) {
        return Some(RetryRefusal::Verdict);
    }
    let used = failure.attempts >= MAX_ONLINE_ATTEMPTS;
    used.then_some(RetryRefusal::Attempts)
}
