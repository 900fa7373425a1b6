//! Cancels a job: none of its items starts or runs once the cancel is acknowledged.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use limpetweir_coordination::AttemptId;
use limpetweir_protocol::peer::{
    CallBody,
    JobReply,
    ReplyBody, //
};
use limpetweir_state::{
    InstanceId,
    JobChange,
    JobId,
    OrganisationId,
    Verdict, //
};

use super::calls::{
    status,
    with_job, //
};
use super::group::GroupHandle;
use super::reply;
use super::submit::await_confirmation;
use crate::event;
use crate::events::JOB_CANCELLED;
use crate::node::Node;

/// Maximum wait for a manager to stop an item.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry delay when items could not be stopped in time, in milliseconds.
const STOP_RETRY_MS: u64 = 1_000;

/// Cancels a job of an organisation; a repeated cancel gets the same reply.
pub(super) async fn cancel(
    node: &Arc<Node>,
    handle: &GroupHandle,
    organisation: &OrganisationId,
    job: &str,
) -> JobReply {
    let mut open = false;
    let found = with_job(handle, organisation, job, |id, job| {
        open = !job.has_ended();
        reply::json(StatusCode::OK, &status(id, job))
    });
    let (Ok(id), true) = (JobId::try_from(job), found.status == 200) else {
        return found;
    };
    if open && let Err(reply) = write_cancel(node, handle, &id).await {
        return reply;
    }
    if !stop_items(node, handle, &id).await {
        let message = "the job is cancelled, but not all of its items have stopped yet";
        let verdict = Verdict::MayHaveRun;
        return reply::unavailable("items_running", message, verdict, STOP_RETRY_MS);
    }
    // The new owner of a lost group may have started items that this instance cannot see.
    if !handle.may_act(node) {
        let message = "the job group is changing its owner; ask again";
        let verdict = Verdict::MayHaveRun;
        return reply::unavailable("owner_changed", message, verdict, reply::OWNER_RETRY_MS);
    }
    with_job(handle, organisation, job, |id, job| {
        reply::json(StatusCode::OK, &status(id, job))
    })
}

/// Writes the cancel to the log and returns once the job has ended in the fold.
async fn write_cancel(node: &Node, handle: &GroupHandle, id: &JobId) -> Result<(), JobReply> {
    if !node.control.log_reachable(node.clock.now()) {
        return Err(reply::log_unavailable());
    }
    let change = JobChange::Cancel { job: id.clone() };
    let written = await_confirmation(node, handle.write(change)).await;
    let unknown = || {
        let message = "the log did not confirm the cancel in time";
        let verdict = Verdict::MayHaveRun;
        reply::unavailable("log_slow", message, verdict, reply::OWNER_RETRY_MS)
    };
    match written {
        Some(Ok(())) => {}
        Some(Err(err)) if err.verdict() == Verdict::NotRun => return Err(reply::log_unavailable()),
        Some(Err(_)) | None => return Err(unknown()),
    }
    let ended = handle.stream.with_fold(|jobs| {
        let job = jobs.get(id);
        job.is_none_or(|job| job.has_ended())
    });
    if ended != Some(true) {
        // The record has an outdated epoch, so it had no effect.
        return Err(reply::no_owner());
    }
    event!(JOB_CANCELLED, "job={id}");
    Ok(())
}

/// Stops the running items of a job; returns whether all have stopped.
async fn stop_items(node: &Arc<Node>, handle: &GroupHandle, id: &JobId) -> bool {
    let attempts = handle.with(node, |owned| {
        owned.scheduler.cancel(id);
        let running = owned.running.iter();
        let of_job = running.filter(|(_, item)| item.job == *id);
        let attempts = of_job.map(|(attempt, item)| (*attempt, item.manager.clone()));
        attempts.collect::<Vec<_>>()
    });
    let stops = attempts.unwrap_or_default().into_iter();
    let stops = stops.map(|(attempt, manager)| stop_item(node, handle, attempt, manager));
    let stopped = join_all(stops).await;
    stopped.into_iter().all(|stopped| stopped)
}

async fn stop_item(
    node: &Arc<Node>,
    handle: &GroupHandle,
    attempt: AttemptId,
    manager: InstanceId,
) -> bool {
    let call = CallBody::CancelItem {
        attempt: attempt.to_string(),
    };
    let reply = node.control.call(&manager, call, STOP_TIMEOUT).await;
    if matches!(reply, Ok(ReplyBody::CancelItem)) {
        return true;
    }
    // The attempt may have ended for another reason, for example because its manager was lost.
    let runs = handle.with(node, |owned| owned.running.contains_key(&attempt));
    runs == Some(false)
}
