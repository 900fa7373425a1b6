//! Decides whether and when a failed request is retried.

use std::net::SocketAddr;
use std::time::Duration;

use limpetweir_protocol::http::ApiError;
use limpetweir_state::Verdict;
use snafu::Snafu;

/// Initial backoff.
const BACKOFF_START: Duration = Duration::from_millis(100);

/// Upper bound of the backoff; a time requested by an instance may be longer.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Why a request failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// An instance sent no response, or an incomplete one.
    #[snafu(display("{cause}"))]
    NoResponse {
        /// The instance.
        addr: SocketAddr,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Error of the HTTP client.
        cause: String,
    },
    /// An instance responded with an error.
    #[snafu(display("{}", describe(*status, error)))]
    ErrorResponse {
        /// HTTP status.
        status: u16,
        /// The error body.
        error: ApiError,
        /// Minimum delay before a retry, as requested by the instance.
        retry_after: Option<Duration>,
    },
}

fn describe(status: u16, error: &ApiError) -> String {
    let ApiError {
        code,
        message,
        verdict,
        ..
    } = error;
    let retry = error.retry_after_ms;
    let retry = retry.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
    format!("{message} ({code}, status {status}, {verdict}{retry})")
}

impl Failure {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NoResponse { verdict, .. } => *verdict,
            Self::ErrorResponse { error, .. } => error.verdict,
        }
    }
}

/// Why a request failed after all its attempts.
#[derive(Debug, Snafu)]
#[snafu(display("{last}{}", describe_earlier(last.verdict(), *verdict)))]
pub struct RequestError {
    /// Failure of the last attempt.
    last: Failure,
    /// Whether any of the attempts may have run; never below the verdict of the last attempt.
    verdict: Verdict,
}

impl RequestError {
    /// Creates the error of a request whose last attempt failed with `last`; `earlier` is the
    /// verdict of the attempts before it.
    pub fn new(last: Failure, earlier: Verdict) -> Self {
        let verdict = last.verdict().max(earlier);
        Self { last, verdict }
    }

    /// Returns the failure of the last attempt.
    pub fn last(&self) -> &Failure {
        &self.last
    }

    /// Returns whether any of the attempts may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}

fn describe_earlier(last: Verdict, verdict: Verdict) -> String {
    if last == verdict {
        return String::new();
    }
    format!(", after an earlier attempt ({verdict})")
}

/// How a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Delay before the retry.
    pub wait: Duration,
    /// Whether the retry is sent to the next address.
    pub next_address: bool,
}

/// State of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Attempts so far, at least 1.
    pub attempts: u32,
    /// Number of known addresses, at least 1.
    pub addresses: usize,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Random number from 0 to 1; keeps many callers from retrying at the same time.
    pub jitter: f64,
}

/// Returns how to retry the request, or `None` if it must not be retried.
///
/// If an instance sent no response, the next address is tried immediately; the backoff applies
/// once all addresses have been tried. After an error response with status 429 or 5xx, the delay is
/// the retry time that the instance requested, or the backoff if it requested none; other error
/// responses are not retried.
pub fn decide(failure: &Failure, context: &RetryContext) -> Option<Retry> {
    if !failure.verdict().allows_retry(context.idempotent) {
        return None;
    }
    let retry = match failure {
        Failure::NoResponse { .. } => Retry {
            wait: no_response_delay(context),
            next_address: true,
        },
        Failure::ErrorResponse {
            status,
            retry_after,
            ..
        } => {
            if *status != 429 && *status < 500 {
                return None;
            }
            let wait = retry_after.unwrap_or_else(|| backoff(context.attempts, context.jitter));
            // A rate limit applies on every instance; other errors may be specific to this one.
            let next_address = *status != 429;
            Retry { wait, next_address }
        }
    };
    (retry.wait < context.remaining).then_some(retry)
}

fn no_response_delay(context: &RetryContext) -> Duration {
    let addresses = u32::try_from(context.addresses.max(1)).unwrap_or(u32::MAX);
    let passes = context.attempts / addresses;
    if context.attempts.is_multiple_of(addresses) {
        backoff(passes, context.jitter)
    } else {
        Duration::ZERO
    }
}

/// Returns the exponential delay after the given number of failures of an address or of all
/// addresses; the jitter places it between half and all of the full delay.
fn backoff(failures: u32, jitter: f64) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let full = (BACKOFF_START * 2u32.pow(doublings)).min(BACKOFF_MAX);
    full.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0)
}
