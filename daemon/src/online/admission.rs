//! Admission of requests within an organisation's rate and burst.

use std::sync::{
    Arc,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_executor::Task;
use hyper::StatusCode;
use limpetweir_coordination::quota::{
    LocalAdmission,
    QuotaAnswer,
    QuotaRequest,
    SentCall, //
};
use limpetweir_coordination::timing::{
    QUOTA_OWNER_TIMEOUT,
    QUOTA_PEER_TIMEOUT,
    SHARE_LEASE, //
};
use limpetweir_protocol::peer::{
    CallBody,
    CallError,
    QuotaCall,
    ReplyBody, //
};
use limpetweir_state::{
    GroupKind,
    InstanceId,
    OrganisationId,
    Verdict,
    Version, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::{
    OrganisationShard,
    quota_owner, //
};
use crate::control::CurrentConfig;
use crate::node::Node;
use crate::responses::Problem;

/// Interval of the checks for due renewals and for changes of ownership.
///
/// It is a tenth of the renewal interval, so that a reduced share is confirmed soon.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// `Retry-After` when the quota owner is unreachable or its answer has none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admits a request from the local share, through the quota owner or from a peer's share.
///
/// `current` is the configuration that the request is checked against; its limits apply
/// immediately.
pub(super) async fn admit(
    node: &Arc<Node>,
    current: &CurrentConfig,
    organisation: &OrganisationId,
) -> Result<(), Problem> {
    if admit_locally(node, current, organisation) {
        return Ok(());
    }
    let deadline = Instant::now() + node.settings.timing.quota_request_timeout;
    if !tries_owner_first(node, organisation) {
        if request_from_peers(node, organisation, deadline).await {
            return Ok(());
        }
        let request = OwnerRequest::send(node, organisation);
        let answer = request.answer(node, deadline).await;
        return answer.unwrap_or_else(|| Err(late_owner()));
    }
    let request = OwnerRequest::send(node, organisation);
    let early = deadline.min(Instant::now() + QUOTA_OWNER_TIMEOUT);
    let answer = request.answer(node, early).await;
    if let Some(Ok(())) = answer {
        return Ok(());
    }
    if request_from_peers(node, organisation, deadline).await {
        return Ok(());
    }
    // The answer of a late owner is outstanding, and may still admit the request.
    let answer = match answer {
        Some(refusal) => Some(refusal),
        None => request.answer(node, deadline).await,
    };
    answer.unwrap_or_else(|| Err(late_owner()))
}

fn admit_locally(node: &Node, current: &CurrentConfig, organisation: &OrganisationId) -> bool {
    let mut shard = shard_with_limits(node, current, organisation);
    let now = node.clock.now();
    shard.grantee.admit(organisation, now) == LocalAdmission::Admitted
}

/// Locks the shard of `organisation` and applies the limits of `current` to it.
///
/// A lowered limit thus takes effect together with its configuration, also when the process was
/// paused and the periodic check has not run yet.
pub(super) fn shard_with_limits<'a>(
    node: &'a Node,
    current: &CurrentConfig,
    organisation: &OrganisationId,
) -> MutexGuard<'a, OrganisationShard> {
    let shards = &node.online.organisations;
    let index = shards.index_of(organisation);
    let mut shard = shards.at(index);
    apply_limits(node, current, index, &mut shard);
    shard
}

/// Applies the limits of `current` to the shard with `index`, unless it has them already.
fn apply_limits(node: &Node, current: &CurrentConfig, index: usize, shard: &mut OrganisationShard) {
    if shard.limits_version >= Some(current.version) {
        return;
    }
    let cfg = &current.configuration;
    let shards = &node.online.organisations;
    let own = cfg
        .organisations()
        .filter(|o| shards.index_of(&o.id) == index);
    let limits = own.map(|o| (&o.id, o.limit));
    shard.grantee.set_limits(limits, node.clock.now());
    shard.retries.retain(|id| cfg.organisation(id).is_some());
    shard.limits_version = Some(current.version);
}

fn tries_owner_first(node: &Node, organisation: &OrganisationId) -> bool {
    let now = node.clock.now();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.grantee.tries_owner_first(organisation, now)
}

/// A request to the quota owner for the admission of one request.
struct OwnerRequest<'a> {
    organisation: &'a OrganisationId,
    answer: Receiver<OwnerResult>,
}

impl<'a> OwnerRequest<'a> {
    fn send(node: &Arc<Node>, organisation: &'a OrganisationId) -> Self {
        let (request, sent) = {
            let now = node.clock.now();
            let mut shard = node.online.organisations.of_key(organisation);
            shard.grantee.admission_request(organisation, 1, now)
        };
        let (tx, answer) = async_channel::bounded(1);
        // Detached: it continues after the timeout and after the caller has disconnected, because
        // the answer renews the share.
        let exchange = exchange_with_owner(node.clone(), request, sent, Some(tx));
        node.spawner.spawn(exchange).detach();
        Self {
            organisation,
            answer,
        }
    }

    /// Waits until `deadline` for the answer; the error is for the caller.
    ///
    /// Returns `None` if there is no answer by then; a later call may still get it.
    async fn answer(&self, node: &Node, deadline: Instant) -> Option<Result<(), Problem>> {
        let received = timeout_at(deadline, self.answer.recv()).await;
        let refusal = match received {
            Some(Ok(Ok(answer))) if answer.admitted > 0 => return Some(Ok(())),
            Some(Ok(Ok(answer))) => return Some(Err(rate_limited(answer.retry_after))),
            Some(Ok(Err(err))) => Some(quota_unavailable(&err.message, err.retry_after_ms)),
            Some(Err(_)) | None => None,
        };
        let now = node.clock.now();
        let mut shard = node.online.organisations.of_key(self.organisation);
        shard.grantee.on_owner_failed(self.organisation, now);
        refusal.map(Err)
    }
}

/// Requests the admission of one request from the shares of reachable peers, one after another.
///
/// Returns whether a peer admitted it.
async fn request_from_peers(node: &Node, organisation: &OrganisationId, deadline: Instant) -> bool {
    let peers = peers_to_try(node, organisation);
    if peers.is_empty() {
        return false;
    }
    for peer in peers {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        if request_from_peer(node, organisation, &peer, remaining.min(QUOTA_PEER_TIMEOUT)).await {
            let now = node.clock.now();
            let mut shard = node.online.organisations.of_key(organisation);
            shard.grantee.on_peer_admitted(organisation, &peer, now);
            return true;
        }
    }
    let now = node.clock.now();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.grantee.on_peers_empty(organisation, now);
    false
}

fn peers_to_try(node: &Node, organisation: &OrganisationId) -> Vec<InstanceId> {
    let now = node.clock.now();
    let reachable = node.control.public_instances(now).into_iter();
    let reachable: Vec<InstanceId> = reachable.map(|public| public.instance).collect();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.grantee.peers_to_try(organisation, &reachable, now)
}

async fn request_from_peer(
    node: &Node,
    organisation: &OrganisationId,
    peer: &InstanceId,
    timeout: Duration,
) -> bool {
    let request = {
        let shard = node.online.organisations.of_key(organisation);
        shard.grantee.peer_request(organisation, 1)
    };
    let call = QuotaCall {
        share_only: true,
        ..request.into()
    };
    let reply = node
        .control
        .call(peer, CallBody::Quota(call), timeout)
        .await;
    matches!(reply, Ok(ReplyBody::Quota(reply)) if reply.admitted > 0)
}

type OwnerResult = Result<QuotaAnswer, CallError>;

/// Calls the quota owner, applies the share in its answer and sends the answer to `reply`.
async fn exchange_with_owner(
    node: Arc<Node>,
    request: QuotaRequest,
    sent: SentCall,
    reply: Option<Sender<OwnerResult>>,
) {
    let organisation = request.organisation.clone();
    let result = call_owner(&node, request).await;
    if let Ok(answer) = &result {
        let now = node.clock.now();
        let mut shard = node.online.organisations.of_key(&organisation);
        shard.grantee.on_answer(&sent, answer, now);
    }
    if let Some(reply) = reply {
        // The receiver is dropped when the admission request has timed out.
        let _ = reply.try_send(result);
    }
}

async fn call_owner(node: &Node, request: QuotaRequest) -> OwnerResult {
    let key = request.organisation.as_str().as_bytes();
    let group = node.control.group_of(GroupKind::Quota, key);
    let owner = node.control.owner(node.clock.now(), group);
    let owner = owner.ok_or_else(|| call_error("no instance owns the quota group"))?;
    let body = CallBody::Quota(request.into());
    // The lease of a share counts from the call, so a later answer would have no effect.
    let reply = node
        .control
        .call(&owner.instance, body, SHARE_LEASE)
        .await?;
    match reply {
        ReplyBody::Quota(reply) => {
            QuotaAnswer::try_from(reply).map_err(|err| call_error(&err.to_string()))
        }
        ReplyBody::Error(err) => Err(err),
        _ => Err(call_error("the quota home sent an answer of another kind")),
    }
}

fn call_error(message: &str) -> CallError {
    CallError {
        code: "quota_unavailable".to_owned(),
        message: message.to_owned(),
        verdict: Verdict::NotRun,
        retry_after_ms: None,
    }
}

fn rate_limited(retry_after: Option<Duration>) -> Problem {
    let status = StatusCode::TOO_MANY_REQUESTS;
    let message = "the organisation's rate and burst are used up";
    let mut problem = Problem::not_run(status, "rate_limited", message);
    problem.retry_after = Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
    problem
}

fn late_owner() -> Problem {
    quota_unavailable("the quota home did not answer in time", None)
}

fn quota_unavailable(message: &str, retry_after_ms: Option<u64>) -> Problem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let message = format!("the organisation's quota cannot be checked: {message}");
    let mut problem = Problem::not_run(status, "quota_unavailable", message);
    let retry_after = retry_after_ms.map(Duration::from_millis);
    problem.retry_after = Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
    problem
}

/// Renews shares and updates the ownership of quota groups until the task is dropped.
pub(super) async fn run(node: Arc<Node>) {
    let mut renewing: Vec<Task<()>> = Vec::new();
    let mut version = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        apply_configuration(&node, &mut version);
        quota_owner::update_ownership(&node);
        renewing.retain(|task| !task.is_finished());
        for (request, sent) in due_renewals(&node) {
            let renewal = exchange_with_owner(node.clone(), request, sent, None);
            renewing.push(node.spawner.spawn(renewal));
        }
    }
}

/// Applies a new configuration to all shards, also to those whose organisations send no requests.
fn apply_configuration(node: &Node, version: &mut Option<Version>) {
    let current = node.control.current();
    let Some(current) = current.filter(|current| Some(current.version) != *version) else {
        return;
    };
    *version = Some(current.version);
    for (index, mut shard) in node.online.organisations.iter().enumerate() {
        apply_limits(node, &current, index, &mut shard);
    }
}

fn due_renewals(node: &Node) -> Vec<(QuotaRequest, SentCall)> {
    let shards = node.online.organisations.iter();
    shards
        .flat_map(|mut shard| shard.grantee.renewals(node.clock.now()))
        .collect()
}
