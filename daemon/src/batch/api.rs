//! HTTP job interface at the instance that the caller is connected to.

use std::sync::Arc;
use std::time::Duration;

use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_protocol::peer::{
    CallBody,
    JobAction,
    JobCall,
    JobReply,
    ReplyBody, //
};
use limpetweir_state::{
    GroupId,
    GroupKind,
    JobId,
    OrganisationId,
    Verdict,
    job_group, //
};
use limpetweir_transport::http::{
    Body,
    BodyError,
    RequestBody, //
};

use super::{
    handle_job_call,
    reply, //
};
use crate::node::Node;
use crate::online;
use crate::responses::{
    self,
    Problem, //
};

/// Maximum wait for the owner of a job group; a submission is written as many records.
const JOB_CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Default and maximum number of items in a page of results.
const DEFAULT_PAGE: u32 = 1_000;
const MAX_PAGE: u32 = 10_000;

/// Header with the key that makes repeated submissions idempotent.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Handles a request to the job interface under `/v1/jobs`.
pub(crate) async fn handle(node: &Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    let Some(route) = Route::of(&req) else {
        return responses::not_found(&req);
    };
    match authenticated_call(node, route, req).await {
        Ok(call) => reply::into_response(forward(node, call).await),
        Err(problem) => problem.into_response(),
    }
}

/// Builds the call of an authenticated caller; the key is checked again after the body has arrived.
async fn authenticated_call(
    node: &Node,
    route: Route,
    req: Request<RequestBody>,
) -> Result<JobCall, Problem> {
    let headers = req.headers().clone();
    let organisation = online::authenticate(node, &headers)?;
    let call = build_call(node, route, organisation, req).await?;
    if online::authenticate(node, &headers)? != call.organisation {
        let status = StatusCode::UNAUTHORIZED;
        let message = "the key was revoked while the body arrived";
        return Err(Problem::not_run(status, "invalid_key", message));
    }
    Ok(call)
}

/// An operation of the job interface.
enum Route {
    Submit,
    Status(String),
    Results(String),
    Cancel(String),
}

impl Route {
    fn of(req: &Request<RequestBody>) -> Option<Self> {
        let rest = req.uri().path().strip_prefix("/v1/jobs")?;
        let mut parts = rest.split('/').skip(1);
        let job = parts.next().map(str::to_owned);
        let verb = parts.next();
        if parts.next().is_some() {
            return None;
        }
        match (req.method(), job, verb) {
            (&Method::POST, None, None) => Some(Self::Submit),
            (&Method::GET, Some(job), None) => Some(Self::Status(job)),
            (&Method::GET, Some(job), Some("results")) => Some(Self::Results(job)),
            (&Method::POST, Some(job), Some("cancel")) => Some(Self::Cancel(job)),
            _ => None,
        }
    }
}

async fn build_call(
    node: &Node,
    route: Route,
    organisation: OrganisationId,
    req: Request<RequestBody>,
) -> Result<JobCall, Problem> {
    let groups = node.settings.groups;
    let (group, action) = match route {
        Route::Submit => {
            let key = idempotency_key(req.headers())?;
            let body = req.into_body().collect_bytes().await;
            let body = body.map_err(|err| body_problem(&err))?.to_vec();
            let group = job_group(&organisation, &key, groups);
            (group, JobAction::Submit { key, body })
        }
        Route::Status(job) => (group_of(&job, groups)?, JobAction::Status { job }),
        Route::Results(job) => {
            let (from, limit) = parse_page(req.uri().query().unwrap_or_default())?;
            let group = group_of(&job, groups)?;
            (group, JobAction::Results { job, from, limit })
        }
        Route::Cancel(job) => (group_of(&job, groups)?, JobAction::Cancel { job }),
    };
    Ok(JobCall {
        organisation,
        group,
        action,
    })
}

fn idempotency_key(headers: &HeaderMap) -> Result<String, Problem> {
    let value = headers.get(IDEMPOTENCY_KEY);
    let key = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message =
            format!("the header Idempotency-Key must have 1 to {MAX_KEY_BYTES} ASCII characters");
        return Err(invalid("idempotency_key_required", message));
    }
    Ok(key.to_owned())
}

fn body_problem(err: &BodyError) -> Problem {
    match err {
        BodyError::TooLarge { .. } => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Problem::not_run(status, "body_too_large", err.to_string())
        }
        _ => invalid("body_incomplete", err.to_string()),
    }
}

/// Returns the group in the identifier of a job.
fn group_of(job: &str, groups: u16) -> Result<GroupId, Problem> {
    let index = job
        .split_once('-')
        .and_then(|(index, _)| index.parse().ok());
    let index = index.filter(|index| *index < groups);
    match (index, JobId::try_from(job)) {
        (Some(index), Ok(_)) => Ok(GroupId {
            kind: GroupKind::Jobs,
            index,
        }),
        _ => {
            let message = format!("the job {job:?} does not exist");
            let status = StatusCode::NOT_FOUND;
            Err(Problem::not_run(status, "unknown_job", message))
        }
    }
}

/// Parses `from` and `limit` from the query of a page of results.
fn parse_page(query: &str) -> Result<(u32, u32), Problem> {
    let mut from = 0;
    let mut limit = DEFAULT_PAGE;
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = value.parse::<u32>().ok();
        match (name, number) {
            ("from", Some(number)) => from = number,
            ("limit", Some(number)) if number > 0 => limit = number.min(MAX_PAGE),
            _ => {
                let message = format!("the query {pair:?} is not accepted; use from= and limit=");
                return Err(invalid("invalid_query", message));
            }
        }
    }
    Ok((from, limit))
}

fn invalid(code: &'static str, message: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, code, message)
}

/// Forwards a call to the owner of its group, which may be this instance.
async fn forward(node: &Arc<Node>, call: JobCall) -> JobReply {
    let now = node.clock.now();
    let Some(owner) = node.control.owner(now, call.group) else {
        return reply::no_owner();
    };
    if owner.own {
        return handle_job_call(node, call).await;
    }
    let body = CallBody::Job(call);
    let response = node.control.call(&owner.instance, body, JOB_CALL_TIMEOUT);
    match response.await {
        Ok(ReplyBody::Job(reply)) => reply,
        Ok(ReplyBody::Error(err)) | Err(err) => reply::from_call_error(&err),
        Ok(_) => {
            let message = "the owner of the job group gave an unexpected answer";
            let verdict = Verdict::MayHaveRun;
            reply::unavailable("unexpected_reply", message, verdict, reply::OWNER_RETRY_MS)
        }
    }
}
