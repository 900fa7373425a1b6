//! Responses that the gateway generates itself.

use std::time::Duration;

use hyper::header::{
    CONTENT_TYPE,
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_transport::http::Body;

/// Returns a response with a status and a line of text.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{text}\n")));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

/// Returns a rejection with a `Retry-After` header.
pub(crate) fn retry_later(status: StatusCode, text: &str, after: Duration) -> Response<Body> {
    let mut response = plain(status, text);
    let seconds = format!("{:.2}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json(body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
