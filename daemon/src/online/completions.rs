//! Completions and chat completions.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::header::{
    ACCEPT,
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};
use limpetweir_transport::timeout_at;
use serde::Deserialize;

use super::auth;
use super::body::{
    self,
    CompletionRequest,
    Form, //
};
use super::call::{
    AttemptError,
    BackendResponse,
    Call,
    Progress,
    RetryBudgetKey,
    backend_error, //
};
use super::{
    admission,
    serving,
    stream, //
};
use crate::node::Node;
use crate::responses::Problem;

/// Longest wait for the head of a whole response, and again for its body.
const WHOLE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(600);

/// Largest whole response body in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Largest error body that is read from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Handles a completion or chat completion request.
pub(super) async fn handle(
    node: &Arc<Node>,
    form: Form,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let current = serving(node)?;
    let caller = auth::authenticate(&current.configuration, req.headers())?;
    let bytes = body::read(req.into_body()).await?;
    let started = Instant::now();
    let request = CompletionRequest::parse(form, &bytes)?;
    // The configuration may have changed while the body was read.
    let current = serving(node)?;
    caller.check(&current.configuration)?;
    let organisation = &caller.organisation;
    let cfg = &current.configuration;
    let service = auth::service_for_model(cfg, organisation, &request.model)?;
    admission::admit(node, &current, organisation).await?;
    let mut head = Request::new(());
    *head.method_mut() = Method::POST;
    *head.uri_mut() = hyper::Uri::from_static(form.path());
    head.headers_mut().insert(CONTENT_TYPE, JSON);
    if request.stream {
        head.headers_mut().insert(ACCEPT, stream::EVENT_STREAM);
    }
    let call = Call {
        node: node.clone(),
        retry_budget_key: RetryBudgetKey::Organisation(caller.organisation),
        service: service.id.clone(),
        head: head.into_parts().0,
        body: bytes,
        prefix: request.prefix,
        idempotent: service.is_idempotent(Method::POST.as_str()),
        head_timeout: if request.stream {
            stream::STALL_TIMEOUT
        } else {
            WHOLE_RESPONSE_TIMEOUT
        },
        progress: Progress::new(started),
    };
    call.add_to_retry_budget();
    if request.stream {
        stream::respond(call, request.resumable).await
    } else {
        respond_whole(call).await
    }
}

async fn respond_whole(mut call: Call) -> Result<Response<Body>, Problem> {
    loop {
        let error = match call.attempt(0).await {
            Ok(received) => match check_status(&call, received).await? {
                Ok(received) => match read_whole(&mut call, received).await {
                    Ok(response) => {
                        call.record_added_time();
                        return Ok(response);
                    }
                    Err(error) => error,
                },
                Err(error) => error,
            },
            Err(error) => error,
        };
        call.retry(error)?;
    }
}

/// Reads a whole response before any of it is sent, so that an interrupted one can be retried.
async fn read_whole(
    call: &mut Call,
    received: BackendResponse,
) -> Result<Response<Body>, AttemptError> {
    let BackendResponse {
        response,
        backend,
        guard,
    } = received;
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let reading = response.into_body().collect_bytes(MAX_RESPONSE_BYTES);
    let bytes = timeout_at(Instant::now() + WHOLE_RESPONSE_TIMEOUT, reading).await;
    drop(guard);
    match bytes {
        Some(Ok(bytes)) => {
            let mut response = Response::new(Body::from(bytes));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, content_type.unwrap_or(JSON));
            Ok(response)
        }
        Some(Err(err)) => {
            Err(call.record_broken_response(&backend, &format!("broke its answer off: {err}")))
        }
        None => Err(call.record_broken_response(&backend, "did not complete its answer in time")),
    }
}

/// Separates successful responses from errors in the request and failures of the engine.
///
/// The outer error is returned to the caller; the inner one is a failed attempt.
pub(super) async fn check_status(
    call: &Call,
    received: BackendResponse,
) -> Result<Result<BackendResponse, AttemptError>, Problem> {
    let status = received.response.status();
    if status == StatusCode::OK {
        return Ok(Ok(received));
    }
    let BackendResponse {
        response, backend, ..
    } = received;
    let body = response.into_body().collect_bytes(MAX_ERROR_BYTES);
    let body = timeout_at(Instant::now() + call.head_timeout, body).await;
    let bytes = body.and_then(Result::ok).unwrap_or_default();
    let rejected = matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::NOT_FOUND
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNPROCESSABLE_ENTITY
    );
    if !rejected {
        let what = format!("answered with status {}", status.as_u16());
        let problem = backend_error(&backend, &what, Verdict::MayHaveRun);
        return Ok(Err(AttemptError::Attempt(problem)));
    }
    let mut problem = Problem::not_run(status, "refused_by_engine", engine_message(&bytes));
    problem.verdict = Verdict::MayHaveRun;
    Err(problem)
}

fn engine_message(body: &[u8]) -> String {
    #[derive(Deserialize)]
    struct RawError {
        error: RawMessage,
    }
    #[derive(Deserialize)]
    struct RawMessage {
        message: String,
    }
    let parsed: Result<RawError, _> = serde_json::from_slice(body);
    parsed.map_or_else(
        |_| "the engine refused the request".to_owned(),
        |raw| raw.error.message,
    )
}
