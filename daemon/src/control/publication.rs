//! Publication of configuration documents by operators.

use std::time::{
    Duration,
    Instant, //
};

use hyper::StatusCode;
use limpetweir_coordination::PublicationRefusal;
use limpetweir_protocol::http::{
    PublicationOutcome,
    PublicationResponse, //
};
use limpetweir_state::{
    Publish,
    PublishResult,
    Verdict,
    Version, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::stream::WriteError;
use crate::event;
use crate::events::PUBLICATION;
use crate::node::Node;
use crate::responses::Problem;

/// Longest time until a publication is read back and held by a majority.
const PUBLICATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a newer version that a peer has in force.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of the checks whether a majority holds a version.
const ACKNOWLEDGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Retry-after time of a publication that was rejected or not settled.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Publishes a valid document; returns after the outcome was read back from the log and, if the
/// document was accepted, a majority holds it.
pub(super) async fn publish(node: &Node, publish: Publish) -> Result<PublicationResponse, Problem> {
    let id = publish.id.clone();
    let base = publish.base;
    let result = decide(node, publish).await;
    match &result {
        Ok(response) => event!(
            PUBLICATION,
            "id={id} base={} outcome={} version={}",
            base.0,
            response.outcome,
            response.version.0
        ),
        Err(problem) => event!(
            PUBLICATION,
            "id={id} base={} outcome={} verdict={}",
            base.0,
            problem.code,
            problem.verdict
        ),
    }
    result
}

async fn decide(node: &Node, publish: Publish) -> Result<PublicationResponse, Problem> {
    let deadline = Instant::now() + PUBLICATION_TIMEOUT;
    // A publication that is sent again has the result of the first one.
    if let Some(response) = decided(node, &publish) {
        return acknowledge(node, response, deadline).await;
    }
    wait_until_allowed(node).await.map_err(rejected)?;
    if let Some(response) = outdated(node, &publish) {
        return Ok(response);
    }
    let writing = node.control.config.write(publish.clone());
    let written = timeout_at(deadline, writing).await;
    // Even if this write failed, another copy of the publication may have been read since.
    match (decided(node, &publish), written) {
        (Some(response), _) => acknowledge(node, response, deadline).await,
        (None, Some(Err(err))) => Err(write_failed(&err)),
        (None, Some(Ok(())) | None) => Err(not_settled(Verdict::MayHaveRun)),
    }
}

/// Waits until a majority holds an accepted version, so that the failure of this instance cannot
/// leave the others without it.
async fn acknowledge(
    node: &Node,
    response: PublicationResponse,
    deadline: Instant,
) -> Result<PublicationResponse, Problem> {
    while response.outcome == PublicationOutcome::Accepted
        && !may_acknowledge(node, response.version)
    {
        if Instant::now() >= deadline {
            return Err(not_settled(Verdict::MayHaveRun));
        }
        sleep(ACKNOWLEDGE_POLL_INTERVAL).await;
    }
    Ok(response)
}

fn may_acknowledge(node: &Node, version: Version) -> bool {
    let now = node.clock.now();
    let inner = node.control.shared.lock();
    inner
        .freshness
        .may_acknowledge(now, &inner.members, version)
}

/// Waits while a peer has a newer version in force, which the decision loop fetches immediately.
///
/// An operator whose publication lost a race then receives a conflict with the current version.
async fn wait_until_allowed(node: &Node) -> Result<(), PublicationRefusal> {
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    loop {
        let changed = node.control.changes();
        let allowed = may_publish(node);
        if allowed != Err(PublicationRefusal::Outdated) {
            return allowed;
        }
        if timeout_at(deadline, changed).await.is_none() {
            return allowed;
        }
    }
}

fn may_publish(node: &Node) -> Result<(), PublicationRefusal> {
    let now = node.clock.now();
    let inner = node.control.shared.lock();
    inner.freshness.may_publish(now, &inner.members)
}

fn decided(node: &Node, publish: &Publish) -> Option<PublicationResponse> {
    let result = node
        .control
        .config
        .with_fold(|fold| fold.result(&publish.id));
    let (outcome, version) = match result?? {
        PublishResult::Accepted(version) => (PublicationOutcome::Accepted, version),
        PublishResult::Conflict(version) => (PublicationOutcome::Conflict, version),
    };
    let id = publish.id.clone();
    Some(PublicationResponse {
        outcome,
        version,
        id,
    })
}

/// Returns a conflict for a base below the current version, which is decided without a record.
fn outdated(node: &Node, publish: &Publish) -> Option<PublicationResponse> {
    let version = node.control.config.with_fold(|fold| fold.version())?;
    let id = publish.id.clone();
    (publish.base < version).then_some(PublicationResponse {
        outcome: PublicationOutcome::Conflict,
        version,
        id,
    })
}

fn unavailable(code: &'static str, message: impl Into<String>) -> Problem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut problem = Problem::not_run(status, code, message);
    problem.retry_after = Some(RETRY_AFTER);
    problem
}

fn rejected(refusal: PublicationRefusal) -> Problem {
    match refusal {
        PublicationRefusal::LogUnreachable => unavailable(
            "log_unreachable",
            "the log was not read to its end recently",
        ),
        PublicationRefusal::NoMajority => {
            unavailable("no_majority", "the instance does not hear a majority")
        }
        PublicationRefusal::Outdated => {
            unavailable("outdated", "another instance acts on a newer version")
        }
    }
}

fn write_failed(err: &WriteError) -> Problem {
    match err {
        WriteError::Encoding { message } => {
            Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message.as_str())
        }
        WriteError::QueueFull { .. } => unavailable("busy", err.to_string()),
        WriteError::Abandoned { verdict } => not_settled(*verdict),
    }
}

/// Returns the error of a publication that was not read back.
fn not_settled(verdict: Verdict) -> Problem {
    let message = match verdict {
        Verdict::NotRun => "the log became unreachable before the publication was sent",
        Verdict::MayHaveRun | Verdict::Ran => {
            "the publication is not known to be held by a majority yet; publish again with the same id"
        }
    };
    let mut problem = unavailable("not_settled", message);
    problem.verdict = verdict;
    problem
}
