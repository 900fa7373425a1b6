//! Replies of the job interface, built by the owner of a job group.

use hyper::header::{
    CONTENT_TYPE,
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_protocol::http::{
    ErrorBody,
    VERDICT_HEADER, //
};
use limpetweir_protocol::peer::{
    CallError,
    JobReply, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::http::Body;
use serde::Serialize;

/// Retry delay while a group has no active owner, in milliseconds.
pub(super) const OWNER_RETRY_MS: u64 = 1_000;

/// Returns a reply with a JSON body.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> JobReply {
    JobReply {
        status: status.as_u16(),
        body: serde_json::to_vec(body).unwrap_or_default(),
        retry_after_ms: None,
    }
}

/// Returns an error for a call that was not run and that would fail again on a retry.
pub(super) fn rejected(status: StatusCode, code: &str, message: impl Into<String>) -> JobReply {
    let body = ErrorBody::new(status.as_u16(), code, message, Verdict::NotRun);
    json(status, &body)
}

/// Returns a 503 error for a call that may succeed on a retry.
pub(super) fn unavailable(code: &str, message: &str, verdict: Verdict, retry_ms: u64) -> JobReply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let body = ErrorBody::new(status.as_u16(), code, message, verdict);
    let mut reply = json(status, &body.retry_after_ms(Some(retry_ms)));
    reply.retry_after_ms = Some(retry_ms);
    reply
}

/// Returns the reply for a group that has no owner permitted to act.
pub(super) fn no_owner() -> JobReply {
    let message = "the job group has no acting owner at the moment";
    unavailable("no_owner", message, Verdict::NotRun, OWNER_RETRY_MS)
}

/// Returns the reply while no record can be appended to the log.
pub(super) fn log_unavailable() -> JobReply {
    let message = "the log service is not reachable, so the call was not run";
    unavailable("log_unavailable", message, Verdict::NotRun, OWNER_RETRY_MS)
}

/// Returns the reply for a job that does not exist or belongs to another organisation.
pub(super) fn unknown_job(job: &str) -> JobReply {
    let message = format!("the job {job:?} does not exist");
    rejected(StatusCode::NOT_FOUND, "unknown_job", message)
}

/// Returns the reply for a call that did not reach the owner or got no reply from it.
pub(super) fn from_call_error(err: &CallError) -> JobReply {
    let retry = err.retry_after_ms.unwrap_or(OWNER_RETRY_MS);
    unavailable(&err.code, &err.message, err.verdict, retry)
}

/// Converts a reply to the HTTP response for the caller, with verdict and retry delay as headers.
pub(super) fn into_response(reply: JobReply) -> Response<Body> {
    let status = StatusCode::from_u16(reply.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let verdict = (!status.is_success()).then(|| verdict_of(&reply.body));
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(verdict) = verdict {
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.into()));
    }
    if let Some(ms) = reply.retry_after_ms {
        // The header has whole seconds; rounding up prevents a retry that is too early.
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    response
}

/// Returns the verdict of an error body, or `MayHaveRun` if the body cannot be parsed.
fn verdict_of(body: &[u8]) -> Verdict {
    let body = serde_json::from_slice::<ErrorBody>(body);
    body.map_or(Verdict::MayHaveRun, |body| body.error.verdict)
}
