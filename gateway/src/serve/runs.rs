//! Execution of single items on backend servers.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::Receiver;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::{
    Method,
    Response, //
};
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    ClientBody,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::timeout_at;

use super::attempt_history::AttemptKind;
use super::crash_checks;
use super::heads;
use super::heads::SentRequest;
use super::leases;
use super::lines::{
    ITEM_ENDED,
    ITEM_LISTED,
    ITEM_STARTED,
    OUTPUT_TOO_LARGE,
    RECORD_SKIPPED,
    log_event, //
};
use super::lost_run::RunPlace;
use super::node::Node;
use super::run_watch::RunWatch;
use super::state::State;
use super::suspicion::suspect;
use super::task_kinds::OneShot;
use super::writer;
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::event_reader::EventReader;
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
    Forward,
    ItemRequest,
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
use crate::speed::PaceMeter;
use crate::sse::Event;

/// Time without a complete event after which an item is moved to another server; bytes that complete
/// no event are no progress. A sound server may be silent for a second or so, and an item that moves
/// has its prompt read again, so this is well above it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Status of a backend server for an item that can never succeed.
const IMPOSSIBLE: u16 = 422;

/// Parameters of one run of an item.
struct Run {
    key: ItemKey,
    item: Arc<JobItem>,
    organisation: String,
    host: String,
    route: String,
    attempts: u32,
    partition: usize,
    job: String,
    index: usize,
    progress: Progress,
    backend: BackendKey,
    entry: Arc<BackendEntry>,
    chosen_at: Timestamp,
}

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

fn prepare(state: &State, key: ItemKey, backend: BackendKey, now: Timestamp) -> Option<Run> {
    let open = state.items.get(key)?;
    let job = state.partitions.get(open.partition)?.get(&open.job)?;
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
    Some(Run {
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
async fn execute<P: Store + Dialect>(node: Arc<Node<P>>, mut run: Run, stopped: Receiver<()>) {
    let started = Instant::now();
    let id = run.item.id.clone();
    let job = run.job.clone();
    let backend = run.entry.id.clone();
    let from = run.progress.events();
    let limit = node.lock().limits.limit(run.entry.run());
    if limit.is_some() {
        node.metrics.limited_request(AttemptKind::Item);
    }
    log_event!(
        ITEM_STARTED,
        "item={id} job={job} backend={backend} after_event={from}{}",
        heads::describe(limit, node.now())
    );
    let stop = async {
        // Dropping the sender stops the run as well.
        let _ = stopped.recv().await;
        (
            RunEnd::Stopped,
            "the slot is needed or the job has ended".to_owned(),
        )
    };
    let mut progress = std::mem::take(&mut run.progress);
    let parts = item_parts(&node.platform, &run.item, &run.organisation, &run.host);
    let parts = Arc::new(parts);
    let place = RunPlace {
        key: run.backend,
        entry: run.entry.clone(),
        at: run.chosen_at,
        known: node.lock().knowledge(&parts),
    };
    let mut watch = RunWatch::new(&node, &run.item.id, &parts, place);
    let running = stream(&node, &run, &mut progress, &mut watch);
    let (end, cause) = future::or(stop, running).await;
    if matches!(end, RunEnd::Completed) {
        watch.completed();
    }
    match end {
        RunEnd::Broken => {
            suspect(&node, run.backend, &cause);
            crash_checks::checked(&node, run.backend).await;
        }
        RunEnd::TooLarge => {
            log_event!(
                OUTPUT_TOO_LARGE,
                "item={id} job={job} backend={backend} events={} cause=\"{cause}\"",
                progress.events()
            );
            suspect(&node, run.backend, &cause);
        }
        RunEnd::Silent => watch.dropped_in_silence(),
        _ => {}
    }
    let name = end_name(&end);
    let events = progress.events();
    let elapsed = started.elapsed();
    let ms = elapsed.as_millis();
    log_event!(
        ITEM_ENDED,
        "item={id} job={job} backend={backend} end={name} events={events} ms={ms} cause=\"{cause}\""
    );
    node.metrics.item(name, elapsed);
    let text = match end {
        RunEnd::Completed => progress.text().to_owned(),
        _ => String::new(),
    };
    let now = node.now();
    let step = {
        let mut state = node.lock();
        state.load.batch_ended(run.key, now);
        state.runs.remove(&run.key);
        if end == RunEnd::Completed {
            let service = &run.entry.service;
            state
                .items
                .completed(service, elapsed, events - from, events);
        }
        state
            .items
            .run_ended(run.key, &end, progress, run.attempts, now)
    };
    leases::release_for_item(&node, run.key);
    node.report_due.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
    if let Step::Finish(outcome) = step {
        finish(&node, &run, outcome, text).await;
    }
}

/// Ends the run of an item whose task has panicked. The item waits for another run, which continues
/// after the output of the earlier ones.
async fn abandon<P: Store + Dialect>(node: Arc<Node<P>>, key: ItemKey, attempts: u32) {
    let now = node.now();
    {
        let mut state = node.lock();
        state.load.batch_ended(key, now);
        state.runs.remove(&key);
        let open = state.items.get(key);
        let progress = open.map(|open| open.progress.clone()).unwrap_or_default();
        let end = RunEnd::Broken;
        state.items.run_ended(key, &end, progress, attempts, now);
        if let Some(item) = state.items.get_mut(key) {
            item.not_before = now + PANIC_PAUSE;
        }
    }
    leases::release_for_item(&node, key);
    node.report_due.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
}

fn end_name(end: &RunEnd) -> &'static str {
    match end {
        RunEnd::Completed => "completed",
        RunEnd::Impossible => "impossible",
        RunEnd::Failed => "failed",
        RunEnd::Rejected => "turned-away",
        RunEnd::Broken => "broken",
        RunEnd::Silent => "silent",
        RunEnd::TooLarge => "too-large",
        RunEnd::Stopped => "stopped",
    }
}

/// Sends the item to the backend server and collects its output.
async fn stream<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    run: &Run,
    progress: &mut Progress,
    watch: &mut RunWatch<P>,
) -> (RunEnd, String) {
    let request = ItemRequest {
        id: &run.item.id,
        host: &run.host,
        path: &run.item.path,
        headers: &run.item.headers,
        body: &run.item.body,
    };
    let forward = Forward {
        backend: &run.entry.id,
        organisation: Some(&run.organisation),
        remaining: None,
        last_event: progress.last(),
    };
    let req = match node.platform.item(&request, &forward) {
        Ok(req) => req,
        // The backend server would reject it as well.
        Err(err) => return (RunEnd::Failed, err.to_string()),
    };
    let options = SendOptions {
        // Connections are shared with online requests, because every new connection has a cost.
        class: TrafficClass::Online,
        deadline: None,
    };
    let sent = node.client.send(run.entry.addr, req, options);
    let Some(sent) = timeout_at(Instant::now() + SILENCE_TIMEOUT, sent).await else {
        return (
            RunEnd::Silent,
            "no response head arrived in time".to_owned(),
        );
    };
    let response = match sent {
        Ok(response) => response,
        Err(err) => {
            if err.is_lost_run() {
                watch.connection_lost(false);
            }
            return (RunEnd::Broken, err.to_string());
        }
    };
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let sent = SentRequest {
        id: &run.item.id,
        entry: &run.entry,
        at: run.chosen_at,
    };
    let decoded = match heads::examine(node, sent, &head) {
        heads::Verdict::Response(decoded) => decoded,
        heads::Verdict::NotRun(cause) => return (RunEnd::Rejected, cause),
        heads::Verdict::Foreign(cause) => {
            body.close();
            return (RunEnd::Broken, cause);
        }
    };
    match status {
        200 if decoded.events => {
            collect_events(
                node,
                run.backend,
                Response::from_parts(head, body),
                progress,
                watch,
            )
            .await
        }
        IMPOSSIBLE => (RunEnd::Impossible, format!("status {status}")),
        500 => (RunEnd::Failed, format!("status {status}")),
        _ => (RunEnd::Broken, format!("status {status}")),
    }
}

/// Collects the events of a response until its end.
async fn collect_events<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    backend: BackendKey,
    response: Response<ClientBody>,
    progress: &mut Progress,
    watch: &mut RunWatch<P>,
) -> (RunEnd, String) {
    let mut body = response.into_body();
    let mut pace = PaceMeter::default();
    let mut reader = EventReader::after(progress.last(), &node.output_budget);
    let max_bytes = node.settings.store.max_text_bytes();
    let mut progressed = Instant::now();
    loop {
        let frame = timeout_at(progressed + SILENCE_TIMEOUT, body.frame()).await;
        let bytes = match frame {
            None => return silent(),
            Some(Some(Err(err))) => {
                if err.is_interrupted() {
                    watch.connection_lost(true);
                }
                return (RunEnd::Broken, err.to_string());
            }
            Some(None) => break,
            Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        let events = match reader.push(&bytes) {
            Ok(events) => events,
            Err(err) => return (RunEnd::Broken, err.to_string()),
        };
        for event in events.into_iter().filter(Event::is_output) {
            progressed = Instant::now();
            // Events of the output have a number.
            let id = event.id.unwrap_or_default();
            let added = progress.add(id, &event.data, max_bytes, &node.output_budget);
            if let Err(err) = added {
                return (RunEnd::TooLarge, err.to_string());
            }
            node.measure(backend, &mut pace);
            watch.output();
        }
        if let Err(err) = reader.check() {
            return (RunEnd::Broken, err.to_string());
        }
        // The timeout does not expire while there are always bytes to read.
        if progressed.elapsed() >= SILENCE_TIMEOUT {
            return silent();
        }
    }
    if let Err(err) = reader.end() {
        watch.connection_lost(true);
        return (RunEnd::Broken, err.to_string());
    }
    (RunEnd::Completed, String::new())
}

fn silent() -> (RunEnd, String) {
    (RunEnd::Silent, "no event arrived in time".to_owned())
}

/// Writes the result of an item to the store.
async fn finish<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    run: &Run,
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
        // The job has been removed meanwhile.
        Err(WriteError::NoJob) => {}
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
