//! Decides whether and when a failed request is sent again.

use std::net::SocketAddr;
use std::time::Duration;

use limpetweir_protocol::http::ApiError;
use limpetweir_state::Verdict;
use snafu::Snafu;

/// First wait after every address failed once.
const BACKOFF_START: Duration = Duration::from_millis(100);

/// Longest wait that the tool chooses itself.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// A request without the answer it asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// An instance did not answer, or its answer was cut off.
    #[snafu(display("{cause}"))]
    NoAnswer {
        /// The instance.
        addr: SocketAddr,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Cause given by the HTTP client.
        cause: String,
    },
    /// An instance answered with an error.
    #[snafu(display("{}", describe(*status, error)))]
    Refused {
        /// HTTP status.
        status: u16,
        /// The error.
        error: ApiError,
        /// Time after which another try is useful.
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
            Self::NoAnswer { verdict, .. } => *verdict,
            Self::Refused { error, .. } => error.verdict,
        }
    }
}

/// A further try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Time to wait before it.
    pub wait: Duration,
    /// Whether it goes to the next address.
    pub next_address: bool,
}

/// What is known about a request when a try of it failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether running the request twice has the effect of running it once.
    pub idempotent: bool,
    /// Tries so far, at least 1.
    pub tries: u32,
    /// Number of known addresses, at least 1.
    pub addresses: usize,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Random number from 0 to 1 that spreads the waits of many callers.
    pub jitter: f64,
}

/// Decides on a further try; `None` gives up.
///
/// An instance that did not answer is followed by the next address at once, until all were tried.
/// A rejection is repeated after the time that it names, never earlier.
pub fn decide(failure: &Failure, attempt: &Attempt) -> Option<Retry> {
    if !failure.verdict().allows_retry(attempt.idempotent) {
        return None;
    }
    let retry = match failure {
        Failure::NoAnswer { .. } => Retry {
            wait: wait_after_silence(attempt),
            next_address: true,
        },
        Failure::Refused {
            status,
            retry_after,
            ..
        } => {
            if *status != 429 && *status < 500 {
                return None;
            }
            let wait = retry_after.unwrap_or_else(|| backoff(attempt.tries, attempt.jitter));
            // A limit holds on every instance; another fault may be that of the one instance.
            let next_address = *status != 429;
            Retry { wait, next_address }
        }
    };
    (retry.wait < attempt.remaining).then_some(retry)
}

fn wait_after_silence(attempt: &Attempt) -> Duration {
    let addresses = u32::try_from(attempt.addresses.max(1)).unwrap_or(u32::MAX);
    let rounds = attempt.tries / addresses;
    if attempt.tries.is_multiple_of(addresses) {
        backoff(rounds, attempt.jitter)
    } else {
        Duration::ZERO
    }
}

/// Doubles with each try and is spread over half to all of the full wait.
fn backoff(tries: u32, jitter: f64) -> Duration {
    let doublings = tries.saturating_sub(1).min(16);
    let full = (BACKOFF_START * 2u32.pow(doublings)).min(BACKOFF_MAX);
    full.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0)
}
