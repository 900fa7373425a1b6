//! Routes requests on the public and the admin listener to their handlers.

use std::sync::Arc;
use std::time::Instant;

use hyper::header::{
    AUTHORIZATION,
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::KeyDigest;
use limpetweir_transport::http::{
    Body,
    RemoteAddr,
    RequestBody, //
};
use serde_json::json;

use crate::events::OPERATOR_REFUSED;
use crate::metrics::Listener;
use crate::node::{
    Node,
    Phase, //
};
use crate::responses::{
    self,
    Problem, //
};
use crate::{
    batch,
    control,
    event,
    online, //
};

const METRICS_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Handles a request on the public listener.
pub(crate) async fn public(node: Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    let started = Instant::now();
    let response = match (req.method(), req.uri().path()) {
        (&Method::GET, "/health") => health(&node),
        (_, path) if is_below(path, "/v1/jobs") => batch::handle(&node, req).await,
        _ => online::handle(&node, req).await,
    };
    count(&node, Listener::Public, &response, started);
    response
}

/// Handles a request on the admin listener; all but `/health` require the operator key.
pub(crate) async fn admin(node: Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    let started = Instant::now();
    let response = match (req.method(), req.uri().path()) {
        (&Method::GET, "/health") => health(&node),
        _ if !is_operator(&node, req.headers()) => reject_operator(&req),
        (&Method::GET, "/metrics") => metrics(&node),
        (_, path) if is_below(path, "/admin") => control::handle(&node, req).await,
        _ => responses::not_found(&req),
    };
    count(&node, Listener::Admin, &response, started);
    response
}

/// Returns whether `path` is `parent` or lies below it.
fn is_below(path: &str, parent: &str) -> bool {
    let rest = path.strip_prefix(parent);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn count(node: &Node, listener: Listener, response: &Response<Body>, started: Instant) {
    let status = response.status().as_u16();
    node.metrics
        .record_response(listener, status, started.elapsed());
}

/// Returns 200 while the instance serves or is being stopped, 503 otherwise.
fn health(node: &Node) -> Response<Body> {
    let phase = node.phase();
    let status = match phase {
        Phase::Serving | Phase::Leaving => StatusCode::OK,
        Phase::Starting | Phase::Stale => StatusCode::SERVICE_UNAVAILABLE,
    };
    let instance = node.incarnation.instance.as_str();
    let body = json!({"instance": instance, "phase": phase.to_string()});
    responses::json(status, &body)
}

fn metrics(node: &Node) -> Response<Body> {
    match node.metrics.render() {
        Ok(text) => {
            let mut response = Response::new(Body::from(text));
            response.headers_mut().insert(CONTENT_TYPE, METRICS_TYPE);
            response
        }
        Err(err) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Problem::not_run(status, "metrics_failed", err.to_string()).into_response()
        }
    }
}

/// Returns whether the headers contain the operator key; digests are compared in constant time.
fn is_operator(node: &Node, headers: &HeaderMap) -> bool {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    key.is_some_and(|key| KeyDigest::of_key(key) == node.settings.operator_key)
}

fn reject_operator(req: &Request<RequestBody>) -> Response<Body> {
    if let Some(RemoteAddr(remote)) = req.extensions().get() {
        event!(
            OPERATOR_REFUSED,
            "remote={remote} path={:?}",
            req.uri().path()
        );
    }
    let status = StatusCode::UNAUTHORIZED;
    let message = "the operator key is missing or wrong";
    Problem::not_run(status, "operator_key_required", message).into_response()
}
