//! Records outcomes, failed attempts and time ticks of a job group in the log.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use limpetweir_coordination::CompletionBatch;
use limpetweir_protocol::records::split_completions;
use limpetweir_state::{
    Completion,
    JobChange,
    Outcome, //
};
use limpetweir_transport::sleep;

use super::group::GroupHandle;
use super::outcome::ItemOutcome;
use crate::event;
use crate::events::BATCH_RECORD_FAILED;
use crate::node::{
    Node,
    unix_millis, //
};

/// Interval between checks for due records, and between retries of a failed append.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Writes due records until it is dropped.
///
/// While the log is down, one record is retried and further outcomes are buffered in the scheduler,
/// which stops dispatching when its buffer is full.
pub(super) async fn record(node: &Arc<Node>, handle: &GroupHandle) {
    loop {
        let woken = handle.updates.wake.listen();
        if may_record(node, handle) && record_next(node, handle).await {
            continue;
        }
        woken.or(sleep(POLL_INTERVAL)).await;
    }
}

/// Returns whether outcomes may be recorded; a group that is being released starts no new work, but
/// still records.
fn may_record(node: &Node, handle: &GroupHandle) -> bool {
    handle.may_act(node) || handle.with(node, |owned| owned.closing) == Some(true)
}

/// Writes the next due record; returns whether there was one.
async fn record_next(node: &Node, handle: &GroupHandle) -> bool {
    let now = node.clock.now();
    let batch = handle.with(node, |owned| owned.scheduler.take_completions(now));
    if let Some(batch) = batch.flatten() {
        record_completions(node, handle, batch).await;
        return true;
    }
    let counts = handle.with(node, |owned| owned.scheduler.take_attempt_counts(now));
    if let Some(counts) = counts.flatten() {
        let job = counts.job;
        let counts = counts.counts;
        write(handle, JobChange::Attempts { job, counts }).await;
        return true;
    }
    let expiry = handle.stream.with_fold(|jobs| jobs.next_expiry());
    if expiry.flatten().is_some_and(|at| at <= unix_millis()) {
        write(handle, JobChange::Tick).await;
        return true;
    }
    handle.stream.write_due_snapshot(now);
    false
}

async fn record_completions(
    node: &Node,
    handle: &GroupHandle,
    batch: CompletionBatch<ItemOutcome>,
) {
    let CompletionBatch { job, items } = batch;
    let count = items.len();
    let items: Vec<Completion> = items
        .iter()
        .map(|(index, outcome)| outcome.completion(*index))
        .collect();
    let tally = Tally::of(&items);
    // `ItemOutcome` limits the text, so no single completion exceeds the record size.
    let parts = split_completions(items).unwrap_or_default();
    for items in parts {
        let job = job.clone();
        write(handle, JobChange::Completed { job, items }).await;
    }
    // Records of a superseded epoch have no effect, so they are not counted.
    if handle.stream.with_fold(|jobs| jobs.epoch()) == Some(handle.epoch) {
        tally.count(node);
    }
    handle.with(node, |owned| {
        owned.scheduler.confirm_completions();
        owned.unrecorded = owned.unrecorded.saturating_sub(count);
    });
}

/// Writes a change and retries until it is read back.
///
/// Entries are abandoned only when the group is closed, which also drops this future.
async fn write(handle: &GroupHandle, change: JobChange) {
    while let Err(err) = handle.write(change.clone()).await {
        event!(BATCH_RECORD_FAILED, "group={} cause={err}", handle.group);
        sleep(POLL_INTERVAL).await;
    }
}

/// Totals of recorded completions for the metrics.
struct Tally {
    finished: u64,
    failed: u64,
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl Tally {
    fn of(items: &[Completion]) -> Self {
        let mut tally = Self {
            finished: 0,
            failed: 0,
            prompt_tokens: 0,
            completion_tokens: 0,
        };
        for item in items {
            match item.outcome {
                Outcome::Finished(_) => tally.finished += 1,
                Outcome::Failed(_) => tally.failed += 1,
            }
            tally.prompt_tokens += u64::from(item.usage.prompt_tokens);
            tally.completion_tokens += u64::from(item.usage.completion_tokens);
        }
        tally
    }

    fn count(&self, node: &Node) {
        let metrics = &node.batch.metrics;
        metrics.recorded("finished", self.finished);
        metrics.recorded("failed", self.failed);
        metrics.billed(self.prompt_tokens, self.completion_tokens);
    }
}
