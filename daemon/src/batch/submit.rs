//! Accepts jobs: validates them, writes them to the log and acknowledges them once read back.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::FutureExt;
use hyper::StatusCode;
use limpetweir_protocol::http::{
    JobAccepted,
    JobItem,
    JobRequest,
    JobRequestError,
    MAX_JOB_ITEMS,
    RawJobRequest, //
};
use limpetweir_protocol::peer::JobReply;
use limpetweir_protocol::records::{
    RecordError,
    split_items, //
};
use limpetweir_state::{
    Configuration,
    JobChange,
    JobId,
    NewItem,
    OrganisationId,
    ServiceKind,
    Submission,
    SubmissionId,
    UnixMillis,
    Verdict,
    job_id, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};
use sha2::{
    Digest,
    Sha256, //
};

use super::group::GroupHandle;
use super::reply;
use crate::control::WriteError;
use crate::event;
use crate::events::JOB_ACCEPTED;
use crate::node::{
    Node,
    unix_millis, //
};

/// Maximum wait for the log to confirm the records of one call.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time during which results can be read after the end of a job.
const RESULT_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Interval between checks of whether the log is still reachable.
const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Identity of a submission.
struct NewSubmission {
    organisation: OrganisationId,
    key: String,
    job: JobId,
    digest: [u8; 32],
}

/// Accepts a job, or returns the job that was submitted earlier with the same key.
pub(super) async fn submit(
    node: &Arc<Node>,
    handle: &GroupHandle,
    organisation: OrganisationId,
    key: String,
    body: &[u8],
) -> JobReply {
    let Ok(job) = job_id(handle.group, &organisation, &key) else {
        return reply::rejected(
            StatusCode::BAD_REQUEST,
            "invalid_key",
            "the key is not accepted",
        );
    };
    let new = NewSubmission {
        organisation,
        key,
        job,
        digest: Sha256::digest(body).into(),
    };
    let Some(_lock) = SubmissionLock::acquire(node, handle, &new.job).await else {
        return reply::no_owner();
    };
    if let Some(reply) = existing_reply(handle, &new) {
        return reply;
    }
    let checked = check(node, &new.organisation, body);
    match checked {
        Ok((request, parts)) => write(node, handle, &new, request, parts).await,
        Err(reply) => reply,
    }
}

/// Exclusive right to write one job; of two concurrent submissions it would be unclear which one
/// took effect.
struct SubmissionLock<'a> {
    node: &'a Node,
    handle: &'a GroupHandle,
    job: &'a JobId,
}

impl<'a> SubmissionLock<'a> {
    /// Waits for the lock; `None` if the group was lost.
    async fn acquire(node: &'a Node, handle: &'a GroupHandle, job: &'a JobId) -> Option<Self> {
        loop {
            let ended = handle.updates.wake.listen();
            if handle.with(node, |owned| owned.submitting.insert(job.clone()))? {
                return Some(Self { node, handle, job });
            }
            ended.await;
        }
    }
}

impl Drop for SubmissionLock<'_> {
    fn drop(&mut self) {
        let job = self.job;
        self.handle
            .with(self.node, |owned| owned.submitting.remove(job));
        self.handle.updates.wake.notify(usize::MAX);
    }
}

/// Returns the reply for a job that is already in the fold.
fn existing_reply(handle: &GroupHandle, new: &NewSubmission) -> Option<JobReply> {
    let known = handle.stream.with_fold(|jobs| {
        let job = jobs.get(&new.job)?;
        Some((*job.digest() == new.digest, job.len()))
    });
    let (same, items) = known.flatten()?;
    if same {
        let id = new.job.clone();
        return Some(reply::json(StatusCode::OK, &JobAccepted { id, items }));
    }
    let message = format!(
        "the idempotency key {:?} was used with another body for job {}",
        new.key, new.job
    );
    let status = StatusCode::CONFLICT;
    Some(reply::rejected(status, "idempotency_key_reused", message))
}

/// Validates a body and splits its items into the parts that are written to the log.
fn check(
    node: &Node,
    organisation: &OrganisationId,
    body: &[u8],
) -> Result<(JobRequest, Vec<Vec<NewItem>>), JobReply> {
    let raw: RawJobRequest = serde_json::from_slice(body).map_err(|err| {
        let message = format!("the body is no valid job: {err}");
        reply::rejected(StatusCode::BAD_REQUEST, "invalid_body", message)
    })?;
    let mut request = JobRequest::try_from(raw).map_err(|err| reject_request(&err))?;
    let current = node.control.current().ok_or_else(reply::no_owner)?;
    check_target(&current.configuration, organisation, &request)?;
    let items = std::mem::take(&mut request.items);
    let parts = split_items(items.into_iter().map(new_item).collect());
    let parts = parts.map_err(|err| reject_item(&err))?;
    Ok((request, parts))
}

fn reject_request(err: &JobRequestError) -> JobReply {
    let (status, code) = match err {
        JobRequestError::Count { count } if *count > MAX_JOB_ITEMS => {
            (StatusCode::PAYLOAD_TOO_LARGE, "too_many_items")
        }
        JobRequestError::Count { .. } => (StatusCode::BAD_REQUEST, "no_items"),
        JobRequestError::Deadline { .. } => (StatusCode::BAD_REQUEST, "invalid_deadline"),
        JobRequestError::NoTokens { .. } => (StatusCode::BAD_REQUEST, "invalid_max_tokens"),
        JobRequestError::DuplicateId { .. } => (StatusCode::BAD_REQUEST, "duplicate_item_id"),
    };
    reply::rejected(status, code, err.to_string())
}

fn reject_item(err: &RecordError) -> JobReply {
    let message = format!("an item of the job is too large: {err}");
    reply::rejected(StatusCode::PAYLOAD_TOO_LARGE, "item_too_large", message)
}

fn new_item(item: JobItem) -> NewItem {
    NewItem {
        id: item.id.into(),
        prompt: item.prompt.into(),
        max_tokens: item.max_tokens,
    }
}

fn check_target(
    cfg: &Configuration,
    organisation: &OrganisationId,
    request: &JobRequest,
) -> Result<(), JobReply> {
    let id = &request.service;
    let Some(service) = cfg.service(id) else {
        let message = format!("service {id} does not exist");
        return Err(reply::rejected(
            StatusCode::NOT_FOUND,
            "unknown_service",
            message,
        ));
    };
    if !cfg.allows(organisation, id) {
        let message = format!("organisation {organisation} may not call service {id}");
        return Err(reply::rejected(
            StatusCode::FORBIDDEN,
            "service_not_allowed",
            message,
        ));
    }
    if !matches!(service.kind, ServiceKind::Model { .. }) {
        let message = format!("service {id} runs no models, so it takes no jobs");
        return Err(reply::rejected(
            StatusCode::BAD_REQUEST,
            "not_a_model_service",
            message,
        ));
    }
    if !service.runs_model(request.model.as_str()) {
        let message = format!("service {id} does not run model {}", request.model);
        return Err(reply::rejected(
            StatusCode::NOT_FOUND,
            "unknown_model",
            message,
        ));
    }
    Ok(())
}

async fn write(
    node: &Arc<Node>,
    handle: &GroupHandle,
    new: &NewSubmission,
    request: JobRequest,
    parts: Vec<Vec<NewItem>>,
) -> JobReply {
    if !node.control.log_reachable(node.clock.now()) {
        return reply::log_unavailable();
    }
    let Some(submission) = handle.with(node, |owned| owned.next_submission()) else {
        return reply::no_owner();
    };
    let head = head(new, request, submission, parts.len());
    let written = write_records(handle, submission, parts, head);
    match await_confirmation(node, written).await {
        Some(Ok(())) => {}
        Some(Err(err)) if err.verdict() == Verdict::NotRun => return reply::log_unavailable(),
        Some(Err(_)) | None => {
            let message = "the log did not confirm the job in time; send it again with its key";
            let verdict = Verdict::MayHaveRun;
            return reply::unavailable("log_slow", message, verdict, reply::OWNER_RETRY_MS);
        }
    }
    // Records of an epoch that was lost in the meantime have no effect.
    let Some(reply) = existing_reply(handle, new) else {
        return reply::no_owner();
    };
    event!(
        JOB_ACCEPTED,
        "job={} organisation={}",
        new.job,
        new.organisation
    );
    node.batch.metrics.job();
    reply
}

fn head(
    new: &NewSubmission,
    request: JobRequest,
    submission: SubmissionId,
    parts: usize,
) -> Submission {
    let within = u64::try_from(request.deadline.as_millis()).unwrap_or(u64::MAX);
    Submission {
        submission,
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        job: new.job.clone(),
        organisation: new.organisation.clone(),
        key: new.key.as_str().into(),
        digest: new.digest,
        service: request.service,
        model: request.model,
        deadline: UnixMillis(unix_millis().0.saturating_add(within)),
        result_retention: RESULT_RETENTION,
    }
}

/// Waits for the log to confirm records; `None` if it becomes unreachable or takes too long.
///
/// Records that are queued by then take effect once the log is reachable again, so the caller must
/// not get the verdict that its call did not run.
pub(super) async fn await_confirmation<T>(
    node: &Node,
    written: impl Future<Output = T>,
) -> Option<T> {
    let unreachable = async {
        while node.control.log_reachable(node.clock.now()) {
            sleep(REACHABILITY_POLL_INTERVAL).await;
        }
        None
    };
    let written = async { Some(written.await) };
    let reached = written.or(unreachable);
    timeout_at(Instant::now() + WRITE_TIMEOUT, reached).await?
}

async fn write_records(
    handle: &GroupHandle,
    submission: SubmissionId,
    parts: Vec<Vec<NewItem>>,
    head: Submission,
) -> Result<(), WriteError> {
    for (part, items) in (0..).zip(parts) {
        let change = JobChange::SubmitPart {
            submission,
            part,
            items,
        };
        handle.write(change).await?;
    }
    handle.write(JobChange::Submit(head)).await
}
