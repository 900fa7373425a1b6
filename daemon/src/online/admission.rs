//! Admission within the rate and burst of an organisation.

use std::sync::{
    Arc,
    MutexGuard, //
};
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
    home, //
};
use crate::control::CurrentConfig;
use crate::node::Node;
use crate::responses::Problem;

/// Pause between two checks for due renewals and for changes of ownership.
///
/// It is a tenth of the renewal interval, so that a reduced share is confirmed soon.
const TICK: Duration = Duration::from_millis(50);

/// Time to come back when the home is not reachable and names none.
const HOME_RETRY: Duration = Duration::from_secs(1);

/// Admits a request from the local share, at the home of the organisation or from a peer's share.
///
/// `current` is the configuration that the request is checked against; its limits apply at once.
pub(super) async fn admit(
    node: &Arc<Node>,
    current: &CurrentConfig,
    organisation: &OrganisationId,
) -> Result<(), Problem> {
    if admit_locally(node, current, organisation) {
        return Ok(());
    }
    let deadline = Instant::now() + node.settings.timing.ask_timeout;
    if !asks_home_first(node, organisation) {
        return match ask_peers(node, organisation, deadline).await {
            true => Ok(()),
            false => ask_home(node, organisation, deadline).await,
        };
    }
    let home_deadline = deadline.min(Instant::now() + QUOTA_OWNER_TIMEOUT);
    let Err(refusal) = ask_home(node, organisation, home_deadline).await else {
        return Ok(());
    };
    match ask_peers(node, organisation, deadline).await {
        true => Ok(()),
        false => Err(refusal),
    }
}

fn admit_locally(node: &Node, current: &CurrentConfig, organisation: &OrganisationId) -> bool {
    let mut shard = shard_with_limits(node, current, organisation);
    let now = node.clock.now();
    shard.borrower.admit(organisation, now) == LocalAdmission::Admitted
}

/// Locks the shard of `organisation`, whose shares have at most the limits of `current`.
///
/// A lowered limit is then in force with the configuration, even right after a pause of the process.
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

/// Applies the limits of a newer configuration to the shares of the shard with `index`.
fn apply_limits(node: &Node, current: &CurrentConfig, index: usize, shard: &mut OrganisationShard) {
    if shard.limits >= Some(current.version) {
        return;
    }
    let cfg = &current.configuration;
    let shards = &node.online.organisations;
    let own = cfg
        .organisations()
        .filter(|o| shards.index_of(&o.id) == index);
    let limits = own.map(|o| (&o.id, o.limit));
    shard.borrower.set_limits(limits, node.clock.now());
    shard.retries.retain(|id| cfg.organisation(id).is_some());
    shard.limits = Some(current.version);
}

fn asks_home_first(node: &Node, organisation: &OrganisationId) -> bool {
    let now = node.clock.now();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.borrower.tries_owner_first(organisation, now)
}

/// Asks the home for one request; the error is the one for the caller.
async fn ask_home(
    node: &Arc<Node>,
    organisation: &OrganisationId,
    deadline: Instant,
) -> Result<(), Problem> {
    let (request, sent) = {
        let now = node.clock.now();
        let mut shard = node.online.organisations.of_key(organisation);
        shard.borrower.admission_request(organisation, 1, now)
    };
    let (tx, rx) = async_channel::bounded(1);
    // Goes on after the timeout and after the caller has left, because the answer renews the share.
    let asking = exchange(node.clone(), request, sent, Some(tx));
    node.spawner.spawn(asking).detach();
    let refusal = match timeout_at(deadline, rx.recv()).await {
        Some(Ok(Ok(answer))) if answer.admitted > 0 => return Ok(()),
        Some(Ok(Ok(answer))) => return Err(limited(answer.retry_after)),
        Some(Ok(Err(err))) => unavailable(&err.message, err.retry_after_ms),
        Some(Err(_)) | None => unavailable("the quota home did not answer in time", None),
    };
    let now = node.clock.now();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.borrower.on_owner_failed(organisation, now);
    Err(refusal)
}

/// Asks live peers in turn to admit one request from their shares; returns whether one did.
async fn ask_peers(node: &Node, organisation: &OrganisationId, deadline: Instant) -> bool {
    let peers = peers_to_ask(node, organisation);
    if peers.is_empty() {
        return false;
    }
    for peer in peers {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        if ask_peer(node, organisation, &peer, left.min(QUOTA_PEER_TIMEOUT)).await {
            let now = node.clock.now();
            let mut shard = node.online.organisations.of_key(organisation);
            shard.borrower.on_peer_admitted(organisation, &peer, now);
            return true;
        }
    }
    let now = node.clock.now();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.borrower.on_peers_empty(organisation, now);
    false
}

fn peers_to_ask(node: &Node, organisation: &OrganisationId) -> Vec<InstanceId> {
    let now = node.clock.now();
    let live = node.control.public_instances(now).into_iter();
    let live: Vec<InstanceId> = live.map(|public| public.instance).collect();
    let mut shard = node.online.organisations.of_key(organisation);
    shard.borrower.peers_to_try(organisation, &live, now)
}

async fn ask_peer(
    node: &Node,
    organisation: &OrganisationId,
    peer: &InstanceId,
    limit: Duration,
) -> bool {
    let request = {
        let shard = node.online.organisations.of_key(organisation);
        shard.borrower.peer_request(organisation, 1)
    };
    let call = QuotaCall {
        share_only: true,
        ..request.into()
    };
    let reply = node.control.call(peer, CallBody::Quota(call), limit).await;
    matches!(reply, Ok(ReplyBody::Quota(reply)) if reply.admitted > 0)
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
        follow_configuration(&node, &mut version);
        home::follow_ownership(&node);
        renewing.retain(|task| !task.is_finished());
        for (request, sent) in due_renewals(&node) {
            let renewal = exchange(node.clone(), request, sent, None);
            renewing.push(node.spawner.spawn(renewal));
        }
    }
}

/// Applies a new configuration to the shards, also to those whose organisations send nothing.
fn follow_configuration(node: &Node, version: &mut Option<Version>) {
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
        .flat_map(|mut shard| shard.borrower.renewals(node.clock.now()))
        .collect()
}
