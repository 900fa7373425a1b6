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
    Answer,
    Call,
    Failed,
    Payer,
    Progress,
    failed, //
};
use super::{
    admission,
    serving,
    stream, //
};
use crate::node::Node;
use crate::responses::Problem;

/// Longest wait for a whole answer.
const WHOLE_LIMIT: Duration = Duration::from_secs(600);

/// Largest whole answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Largest error answer of an engine that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Answers a completion request of either form.
pub(super) async fn answer(
    node: &Arc<Node>,
    form: Form,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let current = serving(node)?;
    let caller = auth::authenticate(&current.configuration, req.headers())?;
    let bytes = body::read(req.into_body()).await?;
    let started = Instant::now();
    let request = CompletionRequest::parse(form, &bytes)?;
    // Reading the body may have taken long.
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
        payer: Payer::Organisation(caller.organisation),
        service: service.id.clone(),
        head: head.into_parts().0,
        body: bytes,
        prefix: request.prefix,
        idempotent: service.is_idempotent(Method::POST.as_str()),
        head_limit: if request.stream {
            stream::PAUSE_LIMIT
        } else {
            WHOLE_LIMIT
        },
        progress: Progress::new(started),
    };
    call.count_request();
    if request.stream {
        stream::answer(call, request.resumable).await
    } else {
        whole(call).await
    }
}

async fn whole(mut call: Call) -> Result<Response<Body>, Problem> {
    loop {
        let failed = match call.attempt(0).await {
            Ok(answer) => match accepted(&call, answer).await? {
                Ok(answer) => match read(&mut call, answer).await {
                    Ok(response) => {
                        call.record_added_time();
                        return Ok(response);
                    }
                    Err(failed) => failed,
                },
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        call.retry(failed)?;
    }
}

/// Reads a whole answer before any of it is sent, so that a cut one can be replaced.
async fn read(call: &mut Call, answer: Answer) -> Result<Response<Body>, Failed> {
    let Answer {
        response,
        backend,
        flight,
    } = answer;
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let reading = response.into_body().collect_bytes(MAX_ANSWER_BYTES);
    let bytes = timeout_at(Instant::now() + WHOLE_LIMIT, reading).await;
    drop(flight);
    match bytes {
        Some(Ok(bytes)) => {
            let mut response = Response::new(Body::from(bytes));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, content_type.unwrap_or(JSON));
            Ok(response)
        }
        Some(Err(err)) => Err(call.broken(&backend, &format!("broke its answer off: {err}"))),
        None => Err(call.broken(&backend, "did not complete its answer in time")),
    }
}

/// Separates successful answers from errors of the request and failures of the engine.
///
/// The outer error goes to the caller; the inner one is a failed attempt.
pub(super) async fn accepted(
    call: &Call,
    answer: Answer,
) -> Result<Result<Answer, Failed>, Problem> {
    let status = answer.response.status();
    if status == StatusCode::OK {
        return Ok(Ok(answer));
    }
    let Answer {
        response, backend, ..
    } = answer;
    let body = response.into_body().collect_bytes(MAX_ERROR_BYTES);
    let body = timeout_at(Instant::now() + call.head_limit, body).await;
    let bytes = body.and_then(Result::ok).unwrap_or_default();
    let refused = matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::NOT_FOUND
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNPROCESSABLE_ENTITY
    );
    if !refused {
        let what = format!("answered with status {}", status.as_u16());
        let problem = failed(&backend, &what, Verdict::MayHaveRun);
        return Ok(Err(Failed::Attempt(problem)));
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
