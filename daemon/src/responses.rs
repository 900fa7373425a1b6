//! JSON responses, and error responses with a verdict.

use std::time::Duration;

use hyper::header::{
    CONTENT_TYPE,
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_protocol::http::{
    ErrorBody,
    VERDICT_HEADER, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::http::Body;
use serde::Serialize;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// An error that is returned to the caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Stable error code.
    pub(crate) code: &'static str,
    /// Human-readable message.
    pub(crate) message: String,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Time after which a retry may succeed.
    pub(crate) retry_after: Option<Duration>,
}

impl Problem {
    /// Creates an error for a request that was not run.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Returns the response, with the verdict and the retry time in its headers as well.
    pub(crate) fn into_response(self) -> Response<Body> {
        let status = self.status;
        let retry = self.retry_after.map(|after| after.as_millis());
        let retry = retry.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX));
        let body = ErrorBody::new(status.as_u16(), self.code, self.message, self.verdict);
        let mut response = json(status, &body.retry_after_ms(retry));
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.into());
        headers.insert(VERDICT_HEADER, verdict);
        if let Some(ms) = retry {
            // The header is in whole seconds; rounded up so that callers do not retry too early.
            headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
        }
        response
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

/// Returns the 404 response for an unknown method and path.
pub(crate) fn not_found<B>(req: &Request<B>) -> Response<Body> {
    let path = req.uri().path();
    let message = format!("{} {path} does not exist", req.method());
    Problem::not_run(StatusCode::NOT_FOUND, "not_found", message).into_response()
}
