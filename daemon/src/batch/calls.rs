//! Handles calls of the job interface at the owner of a job group.

use std::sync::Arc;

use hyper::StatusCode;
use limpetweir_protocol::http::{
    ItemOutcome,
    ItemResult,
    ItemUsage,
    JobResults,
    JobStatus, //
};
use limpetweir_protocol::peer::{
    JobAction,
    JobCall,
    JobReply, //
};
use limpetweir_state::{
    ItemStatus,
    Job,
    JobId,
    OrganisationId,
    OrganisationUsage,
    Usage, //
};

use super::cancel::cancel;
use super::group::{
    GroupHandle,
    acting_handle, //
};
use super::reply;
use super::submit::submit;
use crate::node::Node;

/// Handles a call of the job interface for a group that this instance owns.
pub(crate) async fn handle_job_call(node: &Arc<Node>, call: JobCall) -> JobReply {
    let Some(handle) = acting_handle(node, call.group) else {
        return reply::no_owner();
    };
    let organisation = call.organisation;
    match call.action {
        JobAction::Submit { key, body } => submit(node, &handle, organisation, key, &body).await,
        JobAction::Status { job } => with_job(&handle, &organisation, &job, |id, job| {
            reply::json(StatusCode::OK, &status(id, job))
        }),
        JobAction::Results { job, from, limit } => {
            with_job(&handle, &organisation, &job, |id, job| {
                reply::json(StatusCode::OK, &results(id, job, from, limit))
            })
        }
        JobAction::Cancel { job } => cancel(node, &handle, &organisation, &job).await,
    }
}

/// Builds a reply from a job; a job of another organisation is reported as unknown.
pub(super) fn with_job(
    handle: &GroupHandle,
    organisation: &OrganisationId,
    job: &str,
    build_reply: impl FnOnce(&JobId, &Job) -> JobReply,
) -> JobReply {
    let found = JobId::try_from(job).ok().and_then(|id| {
        let reply = handle.stream.with_fold(|jobs| {
            let job = jobs.get(&id)?;
            (job.organisation() == organisation).then(|| build_reply(&id, job))
        });
        reply.flatten()
    });
    found.unwrap_or_else(|| reply::unknown_job(job))
}

/// Returns the state of a job.
pub(super) fn status(id: &JobId, job: &Job) -> JobStatus {
    let progress = job.progress();
    JobStatus {
        id: id.clone(),
        state: progress.phase.into(),
        service: job.service().clone(),
        model: job.model().clone(),
        deadline: progress.deadline,
        items: progress.total,
        completed: progress.finished,
        failed: progress.failed,
        usage: total_usage(job),
    }
}

fn total_usage(job: &Job) -> ItemUsage {
    let mut total = ItemUsage::default();
    for item in job.results(0, job.len()).items {
        if let ItemStatus::Finished { usage, .. } | ItemStatus::Failed { usage, .. } = item.status {
            total.prompt_tokens += u64::from(usage.prompt_tokens);
            total.completion_tokens += u64::from(usage.completion_tokens);
        }
    }
    total
}

/// Returns those of the `limit` items from index `from` that have an outcome.
fn results(id: &JobId, job: &Job, from: u32, limit: u32) -> JobResults {
    let page = job.results(from, limit);
    let items = page.items.iter();
    let results = items.filter_map(|item| {
        let outcome = outcome(item.status)?;
        Some(ItemResult {
            index: item.index,
            id: item.id.to_owned(),
            outcome,
        })
    });
    JobResults {
        id: id.clone(),
        results: results.collect(),
        next: page.next,
    }
}

fn outcome(status: ItemStatus<'_>) -> Option<ItemOutcome> {
    Some(match status {
        ItemStatus::Open => return None,
        ItemStatus::Finished { text, usage } => ItemOutcome::Completed {
            text: text.to_owned(),
            usage: billed(usage),
        },
        ItemStatus::Failed { message, .. } => ItemOutcome::Failed {
            message: message.to_owned(),
        },
        ItemStatus::Cancelled => ItemOutcome::Cancelled,
    })
}

fn billed(usage: Usage) -> ItemUsage {
    ItemUsage {
        prompt_tokens: u64::from(usage.prompt_tokens),
        completion_tokens: u64::from(usage.completion_tokens),
    }
}

/// Returns the usage of an organisation in the job groups that this instance owns.
pub fn usage_of(node: &Node, organisation: &OrganisationId) -> OrganisationUsage {
    let mut total = OrganisationUsage::default();
    for shard in node.batch.groups.iter() {
        let stream = shard.owned.as_ref().map(|owned| &owned.handle.stream);
        let usage = stream.and_then(|s| s.with_fold(|jobs| jobs.usage_of(organisation)));
        let usage = usage.unwrap_or_default();
        total.items += usage.items;
        total.prompt_tokens += usage.prompt_tokens;
        total.completion_tokens += usage.completion_tokens;
    }
    total
}
