//! Sends the items of an owned job group to the batch managers of engines.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::{
    FutureExt,
    future, //
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use limpetweir_coordination::{
    AttemptEnd,
    AttemptId,
    Dispatch,
    ItemState,
    JobSpec,
    ResumePoint, //
};
use limpetweir_protocol::peer::{
    CallBody,
    CallError,
    ItemReply,
    ReplyBody,
    RunItem, //
};
use limpetweir_state::{
    Usage,
    Verdict, //
};
use limpetweir_transport::sleep;

use super::group::{
    GroupHandle,
    OwnedGroup,
    RunningItem, //
};
use super::outcome::ItemOutcome;
use super::placement::{
    AvailableEngines,
    Placement,
    wait_until_manager_lost, //
};
use crate::event;
use crate::events::{
    BATCH_ITEM_FAILED,
    BATCH_PLACED, //
};
use crate::node::Node;

/// Interval between checks for free engines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for a manager; above the attempt timeout plus the time in the manager's queue.
const ITEM_TIMEOUT: Duration = Duration::from_secs(1_800);

/// An attempt and how it ended.
struct EndedAttempt {
    attempt: AttemptId,
    end: AttemptEnd<ItemOutcome>,
}

/// Dispatches items until the future is dropped, which cancels the running items at their managers.
pub(super) async fn dispatch(node: &Arc<Node>, handle: &GroupHandle) {
    let mut runs = FuturesUnordered::new();
    loop {
        let wakeup = handle.updates.wake.listen();
        for (attempt, placement, item) in place_items(node, handle) {
            runs.push(run(node.clone(), attempt, placement, item));
        }
        let ended = async {
            match runs.next().await {
                Some(ended) => Some(ended),
                None => future::pending().await,
            }
        };
        let wakeup = async {
            wakeup.or(sleep(POLL_INTERVAL)).await;
            None
        };
        if let Some(ended) = ended.or(wakeup).await {
            on_end(node, handle, ended);
        }
    }
}

/// Places items as long as items are waiting and engines have free capacity.
fn place_items(node: &Arc<Node>, handle: &GroupHandle) -> Vec<(AttemptId, Placement, RunItem)> {
    let mut placed = Vec::new();
    if !handle.may_act(node) {
        return placed;
    }
    let Some(mut engines) = AvailableEngines::find(node) else {
        return placed;
    };
    while let Some(item) = handle
        .with(node, |owned| place_item(node, owned, &mut engines))
        .flatten()
    {
        placed.push(item);
    }
    placed
}

fn place_item(
    node: &Arc<Node>,
    owned: &mut OwnedGroup,
    engines: &mut AvailableEngines,
) -> Option<(AttemptId, Placement, RunItem)> {
    if owned.closing {
        return None;
    }
    owned.apply_updates();
    let dispatch = owned.scheduler.next(|spec| engines.can_place(spec))?;
    let Dispatch { attempt, .. } = dispatch;
    let found = owned.handle.stream.with_fold(|jobs| {
        let job = jobs.get(&dispatch.job)?;
        let spec = JobSpec::from((&dispatch.job, job));
        let item = job.open_item(dispatch.index)?;
        let placement = engines.place_on_best(node, &spec)?;
        Some((spec, item.prompt.to_owned(), item.max_tokens, placement))
    });
    let Some((spec, prompt, max_tokens, placement)) = found.flatten() else {
        // The fold has an outcome or a cancel that is not applied to the scheduler yet.
        owned.scheduler.on_end(attempt, AttemptEnd::NotRun);
        return None;
    };
    event!(
        BATCH_PLACED,
        "job={} item={} attempt={attempt} backend={} manager={} free={}",
        dispatch.job,
        dispatch.index,
        placement.manager.backend,
        placement.manager.instance,
        placement.free
    );
    let running = RunningItem {
        job: dispatch.job,
        manager: placement.manager.instance.clone(),
    };
    owned.running.insert(attempt, running);
    let item = RunItem {
        attempt: attempt.to_string(),
        owner_epoch: owned.handle.epoch,
        backend: placement.manager.backend.clone(),
        organisation: spec.organisation,
        service: spec.service,
        model: spec.model,
        prompt,
        max_tokens,
        resume_text: dispatch.resume.text,
        resume_tokens: dispatch.resume.tokens,
    };
    Some((attempt, placement, item))
}

/// Sends an item to its manager and returns how the attempt ended.
async fn run(
    node: Arc<Node>,
    attempt: AttemptId,
    placement: Placement,
    item: RunItem,
) -> EndedAttempt {
    let call = CallBody::RunItem(item);
    let called = async {
        let control = &node.control;
        let reply = control.call(&placement.manager.instance, call, ITEM_TIMEOUT);
        attempt_end(reply.await, attempt, &placement)
    };
    let lost = async {
        wait_until_manager_lost(&node, &placement.manager).await;
        AttemptEnd::Lost
    };
    let end = called.or(lost).await;
    EndedAttempt { attempt, end }
}

fn attempt_end(
    reply: Result<ReplyBody, CallError>,
    attempt: AttemptId,
    placement: &Placement,
) -> AttemptEnd<ItemOutcome> {
    let reply = match reply {
        Ok(ReplyBody::RunItem(reply)) => reply,
        Ok(ReplyBody::Error(err)) | Err(err) => {
            placement.mark_busy();
            return match err.verdict {
                Verdict::NotRun => AttemptEnd::NotRun,
                Verdict::MayHaveRun | Verdict::Ran => AttemptEnd::Lost,
            };
        }
        Ok(_) => return AttemptEnd::Lost,
    };
    match reply {
        ItemReply::Finished {
            text,
            prompt_tokens,
            completion_tokens,
            ..
        } => {
            let usage = Usage {
                prompt_tokens,
                completion_tokens,
            };
            AttemptEnd::Finished(ItemOutcome::finished(text, usage))
        }
        ItemReply::Yielded { text, tokens, .. } => {
            AttemptEnd::Preempted(ResumePoint { text, tokens })
        }
        ItemReply::Failed { message, .. } => {
            event!(
                BATCH_ITEM_FAILED,
                "attempt={attempt} backend={} cause={message:?}",
                placement.manager.backend
            );
            AttemptEnd::Failed(ItemOutcome::failed(message))
        }
        ItemReply::Busy { .. } => {
            placement.mark_busy();
            AttemptEnd::NotRun
        }
    }
}

fn on_end(node: &Node, handle: &GroupHandle, ended: EndedAttempt) {
    let EndedAttempt { attempt, end } = ended;
    let name = match &end {
        AttemptEnd::Finished(_) => "finished",
        AttemptEnd::Preempted(_) => "yielded",
        AttemptEnd::Failed(_) => "failed",
        AttemptEnd::NotRun => "not-run",
        AttemptEnd::Lost => "lost",
    };
    node.batch.metrics.attempt(name);
    handle.with(node, |owned| {
        owned.running.remove(&attempt);
        if owned.scheduler.on_end(attempt, end) == ItemState::Settled {
            owned.unrecorded += 1;
        }
    });
    handle.updates.wake.notify(usize::MAX);
}
