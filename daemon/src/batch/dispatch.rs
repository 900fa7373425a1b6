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
    Handle,
    Owned,
    RunningItem, //
};
use super::outcome::ItemOutcome;
use super::placement::{
    Engines,
    Place,
    manager_lost, //
};
use crate::event;
use crate::events::{
    BATCH_ITEM_FAILED,
    BATCH_PLACED, //
};
use crate::node::Node;

/// Pause after which the engines are looked at again.
const TICK: Duration = Duration::from_millis(50);

/// Longest wait for a manager; above the longest attempt and the time in the manager's queue.
const ITEM_TIMEOUT: Duration = Duration::from_secs(1_800);

/// End of one attempt.
struct Ended {
    attempt: AttemptId,
    end: AttemptEnd<ItemOutcome>,
}

/// Dispatches items until it is dropped; that cancels the running ones at their managers.
pub(super) async fn dispatch(node: &Arc<Node>, handle: &Handle) {
    let mut runs = FuturesUnordered::new();
    loop {
        let woken = handle.news.wake.listen();
        for (attempt, place, item) in place_items(node, handle) {
            runs.push(run(node.clone(), attempt, place, item));
        }
        let ended = async {
            match runs.next().await {
                Some(ended) => Some(ended),
                None => future::pending().await,
            }
        };
        let woken = async {
            woken.or(sleep(TICK)).await;
            None
        };
        if let Some(ended) = ended.or(woken).await {
            on_end(node, handle, ended);
        }
    }
}

/// Chooses items and engines as long as there are both.
fn place_items(node: &Arc<Node>, handle: &Handle) -> Vec<(AttemptId, Place, RunItem)> {
    let mut placed = Vec::new();
    if !handle.may_act(node) {
        return placed;
    }
    let Some(mut engines) = Engines::look(node) else {
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
    owned: &mut Owned,
    engines: &mut Engines,
) -> Option<(AttemptId, Place, RunItem)> {
    if owned.closing {
        return None;
    }
    owned.follow_news();
    let dispatch = owned.scheduler.next(|spec| engines.has_room(spec))?;
    let Dispatch { attempt, .. } = dispatch;
    let found = owned.handle.stream.with_fold(|jobs| {
        let job = jobs.get(&dispatch.job)?;
        let spec = JobSpec::from((&dispatch.job, job));
        let item = job.open_item(dispatch.index)?;
        let place = engines.take(node, &spec)?;
        Some((spec, item.prompt.to_owned(), item.max_tokens, place))
    });
    let Some((spec, prompt, max_tokens, place)) = found.flatten() else {
        // The log shows an outcome or a cancel that the scheduler is about to hear of.
        owned.scheduler.on_end(attempt, AttemptEnd::NotRun);
        return None;
    };
    event!(
        BATCH_PLACED,
        "job={} item={} attempt={attempt} backend={} manager={} free={}",
        dispatch.job,
        dispatch.index,
        place.manager.backend,
        place.manager.instance,
        place.free
    );
    let running = RunningItem {
        job: dispatch.job,
        manager: place.manager.instance.clone(),
    };
    owned.running.insert(attempt, running);
    let item = RunItem {
        attempt: attempt.to_string(),
        owner_epoch: owned.handle.epoch,
        backend: place.manager.backend.clone(),
        organisation: spec.organisation,
        service: spec.service,
        model: spec.model,
        prompt,
        max_tokens,
        resume_text: dispatch.resume.text,
        resume_tokens: dispatch.resume.tokens,
    };
    Some((attempt, place, item))
}

/// Has the manager run an item and returns how the attempt ended.
async fn run(node: Arc<Node>, attempt: AttemptId, place: Place, item: RunItem) -> Ended {
    let call = CallBody::RunItem(item);
    let called = async {
        let control = &node.control;
        let reply = control.call(&place.manager.instance, call, ITEM_TIMEOUT);
        end_of(reply.await, attempt, &place)
    };
    let lost = async {
        manager_lost(&node, &place.manager).await;
        AttemptEnd::Lost
    };
    let end = called.or(lost).await;
    Ended { attempt, end }
}

fn end_of(
    reply: Result<ReplyBody, CallError>,
    attempt: AttemptId,
    place: &Place,
) -> AttemptEnd<ItemOutcome> {
    let reply = match reply {
        Ok(ReplyBody::RunItem(reply)) => reply,
        Ok(ReplyBody::Error(err)) | Err(err) => {
            place.mark_busy();
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
                place.manager.backend
            );
            AttemptEnd::Failed(ItemOutcome::failed(message))
        }
        ItemReply::Busy { .. } => {
            place.mark_busy();
            AttemptEnd::NotRun
        }
    }
}

fn on_end(node: &Node, handle: &Handle, ended: Ended) {
    let Ended { attempt, end } = ended;
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
    handle.news.wake.notify(usize::MAX);
}
