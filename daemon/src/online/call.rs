//! Forwarding of one request to backend servers: attempts, retries and errors.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::header::{
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::http::request::Parts;
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_coordination::timing::BACKEND_COOLDOWN;
use limpetweir_coordination::{
    Failure,
    MAX_ONLINE_ATTEMPTS,
    OnlineAttemptId,
    RetryDecision, //
};
use limpetweir_state::{
    BackendId,
    OrganisationId,
    ServiceId,
    Verdict, //
};
use limpetweir_transport::http::{
    ClientBody,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::timeout_at;

use super::backends::{
    self,
    InFlightGuard,
    Reservation,
    RouteTarget, //
};
use super::metrics::AttemptResult;
use crate::event;
use crate::events::{
    ANSWER_MISMATCHED,
    ATTEMPT_FAILED, //
};
use crate::node::Node;
use crate::responses::Problem;

/// Header with the attempt id, which the backend server must echo.
pub(super) const ATTEMPT_ID: &str = "x-attempt-id";

/// Header with the number of tokens that were delivered by earlier attempts.
pub(super) const RESUME_TOKENS: &str = "x-resume-tokens";

/// Upper bound of the `Retry-After` that is relayed from a backend server.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The retry budget that a request is counted in.
#[derive(Clone, Debug)]
pub(super) enum RetryBudgetKey {
    /// The organisation of the caller's key.
    Organisation(OrganisationId),
    /// An open service; its callers share the service's budget.
    Open,
}

/// An admitted request.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) node: Arc<Node>,
    pub(super) retry_budget_key: RetryBudgetKey,
    pub(super) service: ServiceId,
    /// Method, path and headers for the backend server, without the caller's key.
    pub(super) head: Parts,
    pub(super) body: Bytes,
    /// Start of the prompt, for routing; empty if there is none.
    pub(super) prefix: Vec<u8>,
    pub(super) idempotent: bool,
    /// Longest wait for the head of a response.
    pub(super) head_timeout: Duration,
    pub(super) progress: Progress,
}

/// State of the attempts so far.
#[derive(Debug)]
pub(super) struct Progress {
    /// Backend servers of the attempts so far.
    tried: Vec<BackendId>,
    attempts: u32,
    /// `MayHaveRun` once any attempt may have run the request.
    verdict: Verdict,
    /// Error of the last attempt that reached a backend server.
    last_error: Option<Problem>,
    started: Instant,
    /// Time spent waiting for backend servers, for the metric of the added time.
    backend_time: Duration,
}

impl Progress {
    /// Creates the state before the first attempt; `started` is when the whole request was read.
    pub(super) fn new(started: Instant) -> Self {
        Self {
            tried: Vec::new(),
            attempts: 0,
            verdict: Verdict::NotRun,
            last_error: None,
            started,
            backend_time: Duration::ZERO,
        }
    }
}

/// A backend server's response that echoes the id of its attempt.
#[derive(Debug)]
pub(super) struct BackendResponse {
    pub(super) response: Response<ClientBody>,
    pub(super) backend: BackendId,
    pub(super) guard: InFlightGuard,
}

/// Failure of an attempt.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// No backend server is available.
    NoBackend,
    /// The attempt failed; the caller gets this error unless another attempt succeeds.
    Attempt(Problem),
}

impl Call {
    /// Makes one attempt and returns its response, which echoes the attempt id.
    ///
    /// A 503 with `Retry-After` means that the request was not run and is an error; responses of any
    /// other status are returned.
    pub(super) async fn attempt(&mut self, resume: u64) -> Result<BackendResponse, AttemptError> {
        let target = RouteTarget {
            service: &self.service,
            prompt: &self.prefix,
            tried: &self.progress.tried,
        };
        let reservation = backends::reserve(&self.node, &target).ok_or(AttemptError::NoBackend)?;
        self.progress.tried.push(reservation.backend.clone());
        self.progress.attempts += 1;
        let sent = Instant::now();
        let result = self.send_attempt(reservation, resume).await;
        self.progress.backend_time += sent.elapsed();
        let metrics = &self.node.online.metrics;
        match &result {
            Ok(_) => metrics.count_attempt(AttemptResult::Answered),
            Err(problem) if problem.verdict == Verdict::NotRun => {
                metrics.count_attempt(AttemptResult::NotRun);
            }
            Err(_) => metrics.count_attempt(AttemptResult::Failed),
        }
        result.map_err(AttemptError::Attempt)
    }

    /// Waits for output of a backend server; the wait is not part of the added time.
    pub(super) async fn wait<T>(&mut self, output: impl Future<Output = T>) -> T {
        let started = Instant::now();
        let output = output.await;
        self.progress.backend_time += started.elapsed();
        output
    }

    async fn send_attempt(
        &self,
        reservation: Reservation,
        resume: u64,
    ) -> Result<BackendResponse, Problem> {
        let Reservation {
            backend,
            address,
            guard,
        } = reservation;
        let id = self.node.online.next_attempt_id();
        let req = self.request(&id, resume);
        let options = SendOptions {
            class: TrafficClass::Online,
            deadline: None,
        };
        let deadline = Instant::now() + self.head_timeout;
        let sending = self.node.client.send(address, req, options);
        let response = match timeout_at(deadline, sending).await {
            Some(Ok(response)) => response,
            Some(Err(err)) => {
                backends::record_failure(&self.node, &self.service, &backend);
                return Err(backend_error(&backend, "gave no answer", err.verdict()));
            }
            None => {
                backends::record_failure(&self.node, &self.service, &backend);
                return Err(backend_error(
                    &backend,
                    "gave no answer in time",
                    Verdict::MayHaveRun,
                ));
            }
        };
        let echo = response.headers().get(ATTEMPT_ID);
        if !id.is_echoed_by(echo.and_then(|echo| echo.to_str().ok())) {
            response.into_body().close();
            backends::record_failure(&self.node, &self.service, &backend);
            event!(ANSWER_MISMATCHED, "backend={backend} attempt={id}");
            let what = "sent an answer that does not belong to the request";
            return Err(backend_error(&backend, what, Verdict::MayHaveRun));
        }
        if let Some(problem) = rejection(&backend, &response) {
            return Err(problem);
        }
        Ok(BackendResponse {
            response,
            backend,
            guard,
        })
    }

    fn request(&self, id: &OnlineAttemptId, resume: u64) -> Request<Bytes> {
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.head.headers.clone();
        if let Ok(id) = HeaderValue::from_str(id.as_str()) {
            req.headers_mut().insert(ATTEMPT_ID, id);
        }
        if resume > 0 {
            let tokens = HeaderValue::from(resume);
            req.headers_mut().insert(RESUME_TOKENS, tokens);
        }
        req
    }

    /// Decides whether to retry after a failed attempt, before any byte was sent to the caller.
    ///
    /// Returns the error for the caller if the request is not sent again.
    pub(super) fn retry(&mut self, error: AttemptError) -> Result<(), Problem> {
        let problem = match error {
            AttemptError::NoBackend => return Err(self.final_error()),
            AttemptError::Attempt(problem) => problem,
        };
        self.record_error(&problem);
        let failure = Failure {
            verdict: problem.verdict,
            idempotent: self.idempotent,
            answered: false,
            attempts: self.progress.attempts,
        };
        let decision = self.decide_retry(&failure);
        event!(
            ATTEMPT_FAILED,
            "service={} attempts={} verdict={} decision={decision:?} {}",
            self.service,
            self.progress.attempts,
            problem.verdict,
            problem.message
        );
        self.progress.last_error = Some(problem);
        match decision {
            RetryDecision::Retry => Ok(()),
            RetryDecision::Stop(_) => Err(self.final_error()),
        }
    }

    /// Returns whether another attempt may continue a broken stream.
    ///
    /// A resumption is not counted in the retry budget: it continues the work instead of repeating
    /// it, and one lost engine breaks many streams at the same time.
    pub(super) fn may_resume(&self) -> bool {
        self.progress.attempts < MAX_ONLINE_ATTEMPTS
    }

    /// Records the error of an attempt.
    ///
    /// Once an attempt may have run the request, no later error states that it was not run.
    pub(super) fn record_error(&mut self, problem: &Problem) {
        if problem.verdict != Verdict::NotRun {
            self.progress.verdict = Verdict::MayHaveRun;
        }
    }

    /// Records an incomplete response as a failure of its backend server and returns the error.
    pub(super) fn record_broken_response(&self, backend: &BackendId, what: &str) -> AttemptError {
        backends::record_failure(&self.node, &self.service, backend);
        AttemptError::Attempt(backend_error(backend, what, Verdict::MayHaveRun))
    }

    /// Records the time that this instance added to the response, without waits for backend servers.
    pub(super) fn record_added_time(&self) {
        let total = self.progress.started.elapsed();
        let added = total.saturating_sub(self.progress.backend_time);
        self.node.online.metrics.record_added_time(added);
    }

    fn decide_retry(&self, failure: &Failure) -> RetryDecision {
        let online = &self.node.online;
        match &self.retry_budget_key {
            RetryBudgetKey::Organisation(organisation) => {
                let mut shard = online.organisations.of_key(organisation);
                shard.retries.on_failure(organisation, failure)
            }
            RetryBudgetKey::Open => match OrganisationId::try_from(self.service.as_str()) {
                Ok(key) => {
                    let mut shard = online.backends.of_key(&self.service);
                    shard.open_retries.on_failure(&key, failure)
                }
                Err(_) => RetryDecision::Retry,
            },
        }
    }

    /// Counts an admitted request in the retry budget.
    pub(super) fn add_to_retry_budget(&self) {
        let online = &self.node.online;
        match &self.retry_budget_key {
            RetryBudgetKey::Organisation(organisation) => {
                let mut shard = online.organisations.of_key(organisation);
                shard.retries.on_request(organisation);
            }
            RetryBudgetKey::Open => {
                if let Ok(key) = OrganisationId::try_from(self.service.as_str()) {
                    let mut shard = online.backends.of_key(&self.service);
                    shard.open_retries.on_request(&key);
                }
            }
        }
    }

    /// Returns the error for the caller when no further attempt is made.
    fn final_error(&mut self) -> Problem {
        let mut problem = self.progress.last_error.take().unwrap_or_else(|| {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = format!("no backend server of service {} is available", self.service);
            let mut problem = Problem::not_run(status, "no_backend", message);
            problem.retry_after = Some(BACKEND_COOLDOWN);
            problem
        });
        if self.progress.verdict != Verdict::NotRun {
            problem.verdict = Verdict::MayHaveRun;
        }
        problem
    }
}

/// Returns the error for a failed backend server.
pub(super) fn backend_error(backend: &BackendId, what: &str, verdict: Verdict) -> Problem {
    let message = format!("backend server {backend} {what}");
    let mut problem = Problem::not_run(StatusCode::BAD_GATEWAY, "backend_failed", message);
    problem.verdict = verdict;
    if verdict == Verdict::NotRun {
        problem.status = StatusCode::SERVICE_UNAVAILABLE;
        problem.retry_after = Some(BACKEND_COOLDOWN);
    }
    problem
}

/// Returns the error for a response which states that the request was rejected without being run.
fn rejection(backend: &BackendId, response: &Response<ClientBody>) -> Option<Problem> {
    let retry_after = retry_after(response.headers())?;
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let message = format!("backend server {backend} rejected the request without running it");
    let mut problem = Problem::not_run(status, "backend_busy", message);
    problem.retry_after = Some(retry_after);
    Some(problem)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    // The header may also hold a date, which is not parsed; the shortest delay is used instead.
    let delay = seconds.map_or(Duration::from_secs(1), Duration::from_secs);
    Some(delay.min(MAX_RETRY_AFTER))
}
