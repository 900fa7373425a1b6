//! Admission within the rate and burst of an organisation.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::Sender;
use async_executor::Task;
use hyper::StatusCode;
use limpetweir_coordination::quota::{
    LocalAdmission,
    QuotaAnswer,
    QuotaRequest,
    SentCall, //
};
use limpetweir_coordination::timing::SHARE_LEASE;
use limpetweir_protocol::peer::{
    CallBody,
    CallError,
    ReplyBody, //
};
use limpetweir_state::{
    GroupKind,
    OrganisationId,
    Verdict,
    Version, //
};
use limpetweir_transport::{
    sleep,
    until, //
};

use super::home;
use crate::node::Node;
use crate::responses::Problem;

/// Pause between two checks for due renewals and for changes of ownership.
///
/// It is a tenth of the renewal interval, so that a reduced share is confirmed soon.
const TICK: Duration = Duration::from_millis(50);

/// Time to come back when the home is not reachable and names none.
const HOME_RETRY: Duration = Duration::from_secs(1);

/// Admits a request from the local share or at the home of the organisation.
pub(super) async fn admit(node: &Arc<Node>, organisation: &OrganisationId) -> Result<(), Problem> {
    let Some((request, sent)) = admit_locally(node, organisation) else {
        return Ok(());
    };
    let (tx, rx) = async_channel::bounded(1);
    // Goes on after the timeout and after the caller has left, because the answer renews the share.
    let asking = exchange(node.clone(), request, sent, Some(tx));
    node.spawner.spawn(asking).detach();
    let deadline = Instant::now() + node.settings.timing.ask_timeout;
    match until(deadline, rx.recv()).await {
        Some(Ok(Ok(answer))) if answer.admitted > 0 => Ok(()),
        Some(Ok(Ok(answer))) => Err(limited(answer.retry_after)),
        Some(Ok(Err(err))) => Err(unavailable(&err.message, err.retry_after_ms)),
        Some(Err(_)) | None => Err(unavailable("the quota home did not answer in time", None)),
    }
}

/// Returns the ask for the home unless the local share admits the request.
fn admit_locally(node: &Node, organisation: &OrganisationId) -> Option<(QuotaRequest, SentCall)> {
    let now = node.clock.now();
    let mut shard = node.online.organisations.of_key(organisation);
    match shard.borrower.admit(organisation, now) {
        LocalAdmission::Admitted => None,
        LocalAdmission::AskHome => Some(shard.borrower.ask(organisation, 1, now)),
    }
}

type AskResult = Result<QuotaAnswer, CallError>;

/// Calls the home, takes over the share of its answer and hands the answer to `reply`.
async fn exchange(
    node: Arc<Node>,
    request: QuotaRequest,
    sent: SentCall,
    reply: Option<Sender<AskResult>>,
) {
    let organisation = request.organisation.clone();
    let result = call_home(&node, request).await;
    if let Ok(answer) = &result {
        let now = node.clock.now();
        let mut shard = node.online.organisations.of_key(&organisation);
        shard.borrower.on_answer(&sent, answer, now);
    }
    if let Some(reply) = reply {
        // The receiver is gone when the ask has timed out.
        let _ = reply.try_send(result);
    }
}

async fn call_home(node: &Node, request: QuotaRequest) -> AskResult {
    let key = request.organisation.as_str().as_bytes();
    let group = node.control.group_of(GroupKind::Quota, key);
    let owner = node.control.owner(node.clock.now(), group);
    let owner = owner.ok_or_else(|| failure("no instance owns the quota group"))?;
    let body = CallBody::Quota(request.into());
    // An answer after the lease of a share has no effect.
    let reply = node
        .control
        .call(&owner.instance, body, SHARE_LEASE)
        .await?;
    match reply {
        ReplyBody::Quota(reply) => {
            QuotaAnswer::try_from(reply).map_err(|err| failure(&err.to_string()))
        }
        ReplyBody::Error(err) => Err(err),
        _ => Err(failure("the quota home sent an answer of another kind")),
    }
}

fn failure(message: &str) -> CallError {
    CallError {
        code: "quota_unavailable".to_owned(),
        message: message.to_owned(),
        verdict: Verdict::NotRun,
        retry_after_ms: None,
    }
}

fn limited(retry_after: Option<Duration>) -> Problem {
    let status = StatusCode::TOO_MANY_REQUESTS;
    let message = "the organisation's rate and burst are used up";
    let mut problem = Problem::not_run(status, "rate_limited", message);
    problem.retry_after = Some(retry_after.unwrap_or(HOME_RETRY));
    problem
}

fn unavailable(message: &str, retry_after_ms: Option<u64>) -> Problem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let message = format!("the organisation's quota cannot be checked: {message}");
    let mut problem = Problem::not_run(status, "quota_unavailable", message);
    let named = retry_after_ms.map(Duration::from_millis);
    problem.retry_after = Some(named.unwrap_or(HOME_RETRY));
    problem
}

/// Renews shares and follows the ownership of quota groups until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let mut renewing: Vec<Task<()>> = Vec::new();
    let mut version = None;
    loop {
        sleep(TICK).await;
        forget_removed(&node, &mut version);
        home::follow_ownership(&node);
        renewing.retain(|task| !task.is_finished());
        for (request, sent) in due_renewals(&node) {
            let renewal = exchange(node.clone(), request, sent, None);
            renewing.push(node.spawner.spawn(renewal));
        }
    }
}

/// Forgets the retries of organisations that a new configuration no longer has.
fn forget_removed(node: &Node, version: &mut Option<Version>) {
    let current = node.control.current();
    let Some(current) = current.filter(|current| Some(current.version) != *version) else {
        return;
    };
    *version = Some(current.version);
    let cfg = &current.configuration;
    for mut shard in node.online.organisations.iter() {
        shard.retries.retain(|id| cfg.organisation(id).is_some());
    }
}

fn due_renewals(node: &Node) -> Vec<(QuotaRequest, SentCall)> {
    let shards = node.online.organisations.iter();
    shards
        .flat_map(|mut shard| shard.borrower.renewals(node.clock.now()))
        .collect()
}
