//! Execution of single items on backend servers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::Receiver;
use futures_lite::future;
use hyper::Method;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::ConnectionUse;

use super::attempt_history::AttemptKind;
use super::crash_checks;
use super::heads;
use super::item_run::{
    ItemRun,
    collect, //
};
use super::leases;
use super::lines::{
    ITEM_ENDED,
    ITEM_LISTED,
    ITEM_STARTED,
    OUTPUT_TOO_LARGE,
    RECORD_SKIPPED,
    describe_connection,
    log_event, //
};
use super::lost_run::RunPlace;
use super::node::Node;
use super::run_watch::RunWatch;
use super::state::State;
use super::suspicion::suspect;
use super::task_kinds::OneShot;
use super::writer;
use crate::backend::BackendKey;
use crate::batch::StopCause;
use crate::item_output::Progress;
use crate::jobs::{
    Change,
    JobItem,
    Outcome,
    WriteError, //
};
use crate::open_items::{
    Phase,
    RunEnd,
    Step, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::report::{
    BatchRun,
    ItemKey, //
};
use crate::request_parts::{
    RequestContent,
    RequestParts, //
};

/// Time after the panic of an item's task before the item is taken up again, so that a panic that
/// recurs does not fill the log.
pub(crate) const PANIC_PAUSE: Duration = Duration::from_secs(1);

/// Returns what identifies an item of a job of `organisation` for `host`, and what it shares with others.
pub(crate) fn item_parts<P: Dialect>(
    platform: &P,
    item: &JobItem,
    organisation: &str,
    host: &str,
) -> RequestParts {
    let content = RequestContent {
        organisation: Some(organisation),
        host,
        method: &Method::POST,
        target: &item.path,
        body: &item.body,
    };
    RequestParts::new(content, platform.prompt_parts(&item.headers))
}

/// Starts an item on a backend server.
pub(crate) fn start<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    state: &mut State,
    key: ItemKey,
    backend: BackendKey,
) {
    let Some(run) = prepare(state, key, backend, node.now()) else {
        return;
    };
    let Some(due) = state.items.get(key).map(|item| item.due) else {
        return;
    };
    let run_placed = BatchRun {
        item: key,
        backend,
        due,
    };
    state.load.batch_started(run_placed, node.now());
    state.limits.sent(run.entry.run(), node.now());
    let (stop, stopped) = async_channel::bounded(1);
    state.runs.insert(key, stop);
    // Last, so that a panic before leaves an item that waits instead of one that never ends.
    if let Some(item) = state.items.get_mut(key) {
        item.phase = Phase::Running(backend);
    }
    let attempts = run.attempts;
    let task = execute(node.clone(), run, stopped);
    let clean_up = abandon(node.clone(), key, attempts);
    node.supervisor.spawn_once(OneShot::ItemRun, task, clean_up);
    node.report_due.notify(usize::MAX);
}

fn prepare(state: &State, key: ItemKey, backend: BackendKey, now: Timestamp) -> Option<ItemRun> {
    let open = state.items.get(key)?;
    let job = state.job(open.partition, &open.job)?;
    let route = state.config.as_ref()?.route_named(&job.route)?;
    let entry = state.backends.get(backend)?.entry.clone();
    // Items run on the services that the route names in the configuration in force.
    if !route
        .services
        .iter()
        .any(|(name, _)| *name == entry.service)
    {
        return None;
    }
    Some(ItemRun {
        key,
        item: job.items.get(open.index)?.clone(),
        organisation: job.organisation.clone(),
        host: job.host.clone(),
        route: job.route.clone(),
        attempts: route.attempts,
        partition: open.partition,
        job: open.job.clone(),
        index: open.index,
        progress: open.progress.clone(),
        backend,
        entry,
        chosen_at: now,
    })
}

/// Runs an item on a backend server and processes the end of the run.
async fn execute<P: Store + Dialect>(
    node: Arc<Node<P>>,
    mut run: ItemRun,
    stopped: Receiver<StopCause>,
) {
    let started = Instant::now();
    let from = run.progress.events();
    log_start(&node, &run);
    let mut progress = std::mem::take(&mut run.progress);
    let (end, cause, sent_on) = run_until_stopped(&node, &run, &mut progress, stopped).await;
    let events = progress.events();
    let elapsed = started.elapsed();
    let name: &str = (&end).into();
    log_event!(
        ITEM_ENDED,
        "item={} job={} backend={} end={name} events={events} ms={} cause=\"{cause}\"{}",
        run.item.id,
        run.job,
        run.entry.id,
        elapsed.as_millis(),
        describe_connection(sent_on)
    );
    node.metrics.item(name, elapsed);
    let text = match end {
        RunEnd::Completed => progress.text().to_owned(),
        _ => String::new(),
    };
    if end == RunEnd::Completed {
        let service = &run.entry.service;
        let mut state = node.lock();
        state
            .items
            .completed(service, elapsed, events - from, events);
    }
    let step = end_run(&node, run.key, &end, progress, run.attempts);
    if let Step::Finish(outcome) = step {
        finish(&node, &run, outcome, text).await;
    }
}

fn log_start<P>(node: &Node<P>, run: &ItemRun) {
    let limit = node.lock().limits.limit(run.entry.run());
    if limit.is_some() {
        node.metrics.limited_request(AttemptKind::Item);
    }
    log_event!(
        ITEM_STARTED,
        "item={} job={} backend={} after_event={}{}",
        run.item.id,
        run.job,
        run.entry.id,
        run.progress.events(),
        heads::describe(limit, node.now())
    );
}

/// Runs an item until its response or the run ends, and returns how, why and on which connection. Records
/// what the end says about the server.
async fn run_until_stopped<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    run: &ItemRun,
    progress: &mut Progress,
    stopped: Receiver<StopCause>,
) -> (RunEnd, String, Option<ConnectionUse>) {
    let stop = async {
        // The sender is dropped when another run of the item replaces this one.
        let cause = stopped.recv().await.unwrap_or(StopCause::RunsElsewhere);
        node.metrics.item_stopped(cause);
        (RunEnd::Stopped, cause.to_string())
    };
    let parts = item_parts(&node.platform, &run.item, &run.organisation, &run.host);
    let parts = Arc::new(parts);
    let place = RunPlace {
        key: run.backend,
        entry: run.entry.clone(),
        at: run.chosen_at,
        known: node.lock().knowledge(&parts),
    };
    let mut watch = RunWatch::new(node, &run.item.id, &parts, place);
    let running = collect(node, run, progress, &mut watch);
    let (end, cause) = future::or(stop, running).await;
    match end {
        RunEnd::Completed => watch.completed(),
        RunEnd::Broken => {
            suspect(node, run.backend, &cause);
            crash_checks::checked(node, run.backend).await;
        }
        RunEnd::TooLarge => {
            log_event!(
                OUTPUT_TOO_LARGE,
                "item={} job={} backend={} events={} cause=\"{cause}\"",
                run.item.id,
                run.job,
                run.entry.id,
                progress.events()
            );
            suspect(node, run.backend, &cause);
        }
        RunEnd::Silent => watch.dropped_in_silence(),
        RunEnd::Impossible | RunEnd::Failed | RunEnd::Rejected | RunEnd::Stopped => {}
    }
    (end, cause, watch.sent_on())
}

/// Ends the run of an item whose task has panicked. The item waits for another run, which continues
/// after the output of the earlier ones.
async fn abandon<P: Store + Dialect>(node: Arc<Node<P>>, key: ItemKey, attempts: u32) {
    let open = node.lock().items.get(key).map(|open| open.progress.clone());
    let progress = open.unwrap_or_default();
    end_run(&node, key, &RunEnd::Broken, progress, attempts);
    let now = node.now();
    if let Some(item) = node.lock().items.get_mut(key) {
        item.not_before = now + PANIC_PAUSE;
    }
}

/// Records the end of a run of an item, and returns what follows.
fn end_run<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    key: ItemKey,
    end: &RunEnd,
    progress: Progress,
    attempts: u32,
) -> Step {
    let now = node.now();
    let step = {
        let mut state = node.lock();
        state.load.batch_ended(key, now);
        state.runs.ended(&key);
        state.items.run_ended(key, end, progress, attempts, now)
    };
    leases::release_for_item(node, key);
    node.report_due.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
    step
}

/// Writes the result of an item to the store.
async fn finish<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    run: &ItemRun,
    outcome: Outcome,
    text: String,
) {
    let change = Change::Finish {
        job: run.job.clone(),
        item: run.index,
        outcome,
        text,
    };
    let id = &run.item.id;
    let job = &run.job;
    match writer::write(node, run.partition, change).await {
        Ok(()) => {
            log_event!(
                ITEM_LISTED,
                "item={id} job={job} outcome={outcome:?} route={}",
                run.route
            );
        }
        // The job has been removed meanwhile, and with it the item; if it is still there, a peer of an older
        // build has not read the job yet.
        Err(WriteError::NoJob) => {
            let now = node.now();
            node.lock().items.not_listed(run.key, false, now);
        }
        Err(err) => {
            log_event!(RECORD_SKIPPED, "item={id} job={job} cause=\"{err:?}\"");
            // Another run gives the same result if it can't be written.
            let refused = matches!(
                err,
                WriteError::TooLarge { .. } | WriteError::Refused { .. }
            );
            let now = node.now();
            node.lock().items.not_listed(run.key, refused, now);
        }
    }
}
