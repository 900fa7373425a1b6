//! The online path: callers' requests to engines and plain services.

mod admission;
mod auth;
mod backends;
mod body;
mod call;
mod chunk;
mod completions;
mod discovery;
mod explain;
mod metrics;
mod plain;
mod query;
mod quota_owner;
mod relayed_body;
mod stream;

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use async_executor::Task;
use hyper::header::{
    ALLOW,
    HeaderValue, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_coordination::quota::{
    QuotaGrantee,
    QuotaSettings, //
};
use limpetweir_coordination::{
    OnlineAttemptId,
    OnlineAttemptIds,
    RetryBudget, //
};
use limpetweir_state::{
    Incarnation,
    OrganisationId,
    Version, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};
use limpetweir_transport::restart_on_panic;
use opentelemetry::metrics::Meter;

pub(crate) use backends::{
    in_flight,
    in_flight_on, //
};
pub(crate) use explain::explain;
pub(crate) use quota_owner::handle_quota_call;

use self::backends::BackendShard;
use self::body::Form;
use self::metrics::{
    OnlineMetrics,
    Outcome, //
};
use self::quota_owner::QuotaGroupSlot;
use crate::control::CurrentConfig;
use crate::event;
use crate::events::REQUEST_REFUSED;
use crate::node::{
    Node,
    Phase, //
};
use crate::responses::{
    self,
    Problem, //
};
use crate::sharded::Sharded;

/// Number of organisation shards: a few times the usual number of executor threads, so that
/// threads rarely contend for one lock.
const ORGANISATION_SHARDS: usize = 16;

/// Number of backend server shards; a service belongs to one shard.
const BACKEND_SHARDS: usize = 16;

/// `Retry-After` of an instance that does not serve; callers are expected to use another one.
const NOT_SERVING_RETRY: Duration = Duration::from_secs(1);

/// State of the online path.
#[derive(Debug)]
pub struct Online {
    /// Quota shares and retry budgets, sharded by organisation.
    organisations: Sharded<OrganisationShard>,
    /// Backend servers, sharded by service.
    backends: Sharded<BackendShard>,
    /// Quota owners, one shard for each quota group, at the group's index.
    quota_groups: Sharded<QuotaGroupSlot>,
    attempts: Mutex<OnlineAttemptIds>,
    metrics: OnlineMetrics,
}

/// Quota shares and retry budgets of the organisations of one shard.
#[derive(Debug)]
struct OrganisationShard {
    grantee: QuotaGrantee,
    /// Configuration version whose limits were last applied to the grantee.
    limits_version: Option<Version>,
    retries: RetryBudget,
}

impl Online {
    pub(crate) fn new(me: &Incarnation, groups: u16, meter: &Meter) -> Self {
        Self {
            organisations: Sharded::new(ORGANISATION_SHARDS, |_| OrganisationShard {
                grantee: QuotaGrantee::new(me.clone(), QuotaSettings::default()),
                limits_version: None,
                retries: RetryBudget::default(),
            }),
            backends: Sharded::new(BACKEND_SHARDS, |index| {
                BackendShard::new(me.started.wrapping_add(index as u64))
            }),
            quota_groups: Sharded::new(usize::from(groups), |_| QuotaGroupSlot::default()),
            attempts: Mutex::new(OnlineAttemptIds::new(me.clone())),
            metrics: OnlineMetrics::new(meter),
        }
    }

    fn next_attempt_id(&self) -> OnlineAttemptId {
        let attempts = self.attempts.lock();
        attempts.unwrap_or_else(PoisonError::into_inner).next_id()
    }
}

/// Starts the loop that renews shares and updates the ownership of quota groups.
///
/// It ends when the returned task is dropped.
pub(crate) fn start(node: &Arc<Node>) -> Task<()> {
    let shared = node.clone();
    let run = move || admission::run(shared.clone());
    node.spawner.spawn(restart_on_panic("quota-shares", run))
}

/// Handles requests for completions, models and addresses, and calls of plain services.
pub(crate) async fn handle(node: &Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    let streamed = matches!(req.uri().path(), "/v1/completions" | "/v1/chat/completions");
    match dispatch(node, req).await {
        Ok(response) => {
            let relayed = streamed && matches!(response.body(), Body::Channel(_));
            // The outcome of a stream is counted when the stream ends.
            if !relayed {
                node.online.metrics.count_outcome(Outcome::Complete);
            }
            response
        }
        Err(problem) => {
            let verdict = problem.verdict;
            event!(REQUEST_REFUSED, "code={} verdict={verdict}", problem.code);
            node.online
                .metrics
                .count_error(problem.code, verdict.into());
            problem.into_response()
        }
    }
}

async fn dispatch(node: &Arc<Node>, req: Request<RequestBody>) -> Result<Response<Body>, Problem> {
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/completions") => {
            completions::handle(node, Form::Completion, req).await
        }
        (&Method::POST, "/v1/chat/completions") => completions::handle(node, Form::Chat, req).await,
        (&Method::GET, "/v1/models") => discovery::models(node, &req),
        (&Method::GET, "/v1/addresses") => discovery::addresses(node, &req),
        (_, "/v1/completions" | "/v1/chat/completions") => Ok(method_not_allowed("POST")),
        (_, "/v1/models" | "/v1/addresses") => Ok(method_not_allowed("GET")),
        (_, path) if path.starts_with(plain::PREFIX) => plain::handle(node, req).await,
        _ => Ok(responses::not_found(&req)),
    }
}

fn method_not_allowed(allowed: &'static str) -> Response<Body> {
    let status = StatusCode::METHOD_NOT_ALLOWED;
    let message = format!("only {allowed} is accepted here");
    let mut response = Problem::not_run(status, "method_not_allowed", message).into_response();
    let allowed = HeaderValue::from_static(allowed);
    response.headers_mut().insert(ALLOW, allowed);
    response
}

/// Returns the configuration in force if the instance accepts requests.
fn serving(node: &Node) -> Result<CurrentConfig, Problem> {
    let phase = node.phase();
    // `Leaving` does not turn into `Stale` when the configuration is no longer confirmed to be
    // current, so that is checked here.
    let accepts = match phase {
        Phase::Serving => true,
        Phase::Leaving => node.control.is_configuration_current(node.clock.now()),
        Phase::Starting | Phase::Stale => false,
    };
    let current = accepts.then(|| node.control.current()).flatten();
    current.ok_or_else(|| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let message = format!("the instance does not accept requests now ({phase})");
        let mut problem = Problem::not_run(status, "not_serving", message);
        problem.retry_after = Some(NOT_SERVING_RETRY);
        problem
    })
}

/// Returns the organisation of the request's key, if the instance accepts requests.
pub(crate) fn authenticate(node: &Node, headers: &HeaderMap) -> Result<OrganisationId, Problem> {
    let current = serving(node)?;
    let caller = auth::authenticate(&current.configuration, headers)?;
    Ok(caller.organisation)
}
