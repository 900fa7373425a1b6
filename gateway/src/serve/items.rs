//! Runs the items of batch jobs.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::Response;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    ClientBody,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::{
    sleep,
    until, //
};

use super::lines::{
    ITEM_ENDED,
    ITEM_LISTED,
    ITEM_STARTED,
    RECORD_SKIPPED,
    line, //
};
use super::node::{
    Node,
    State,
    unix_ms, //
};
use super::online::suspect;
use super::writer::{
    self,
    WriteError, //
};
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::batch::{
    Room,
    Waiting,
    starts,
    yields, //
};
use crate::jobs::{
    Change,
    JobItem,
    Outcome, //
};
use crate::open_items::{
    Phase,
    Progress,
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
use crate::speed::SLOW;
use crate::sse::Splitter;

/// Pause between two looks at the waiting items while nothing else happens.
const TICK: Duration = Duration::from_millis(50);

/// Silence after which the stream of an item counts as broken.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Statuses by which a backend server ends the run of an item.
const IMPOSSIBLE: u16 = 422;

/// Ends of running items, by item; sending or dropping one stops the run.
#[derive(Debug, Default)]
pub(crate) struct RunHandles(HashMap<ItemKey, Sender<()>>);

/// Takes changed jobs or instances over.
pub(crate) fn jobs_changed<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let me = node.settings.name.as_str();
    let alive = state.members.alive(now).filter(|r| r.ready);
    let mut instances: Vec<String> = alive.map(|r| r.name.clone()).collect();
    if !node.is_leaving() || instances.is_empty() {
        instances.push(me.to_owned());
    }
    instances.sort();
    let config = state.config.as_deref();
    let ended = state
        .items
        .refresh(&state.partitions, config, me, &instances);
    for key in ended {
        state.runs.0.remove(&key);
    }
    node.jobs_changed.notify(usize::MAX);
}

/// Looks at the waiting items again and again.
pub(crate) async fn schedule<P: Store + Dialect>(node: Arc<Node<P>>) {
    loop {
        let changed = node.jobs_changed.listen();
        until(Instant::now() + TICK, changed).await;
        balance(&node);
        give_up(&node);
    }
}

/// Starts and stops items according to the free slots.
pub(crate) fn balance<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let me = node.settings.name.as_str();
    let slots = |backend| {
        let backend = state.backends.get(backend)?;
        Some(slots_of(state, &backend.entry))
    };
    let slow = |backend| state.speeds.slowness(backend, now) > SLOW;
    for key in yields(&state.load, me, slots, slow) {
        // The run itself notes its end.
        if let Some(stop) = state.runs.0.remove(&key) {
            let _ = stop.try_send(());
        }
    }
    if node.is_leaving() {
        return;
    }
    let mut waiting = state.items.waiting(now, unix_ms());
    if waiting.is_empty() {
        return;
    }
    let taken = taken(state, me, now);
    waiting.retain(|w| !taken.contains(&w.item));
    if waiting.is_empty() {
        return;
    }
    let rivals = state.members.alive(now).filter(|r| r.waiting > 0);
    let rivals: Vec<String> = rivals.map(|r| r.name.clone()).collect();
    let rivals: Vec<&str> = rivals.iter().map(String::as_str).collect();
    for (service, mut waiting) in by_service(state, waiting) {
        let rooms = rooms(state, &service, now);
        for (key, backend) in starts(&mut waiting, &rooms, me, &rivals) {
            start(node, state, key, backend);
        }
    }
}

fn slots_of(state: &State, entry: &BackendEntry) -> u32 {
    let config = state.config.as_ref();
    let service = config.and_then(|config| config.service(&entry.service));
    entry
        .slots
        .or(service.map(|service| service.slots))
        .unwrap_or(1)
}

/// Returns the items that peers run, or that they continue because they hold a part of the output.
/// Of several instances that hold a part the first by name continues.
fn taken(state: &State, me: &str, now: Timestamp) -> HashSet<ItemKey> {
    let holds = |item: &ItemKey| {
        let item = state.items.get(*item);
        item.is_some_and(|item| item.progress.last.is_some())
    };
    let mut taken = HashSet::new();
    for report in state.members.alive(now) {
        taken.extend(report.batch.iter().map(|run| run.item));
        let first = report.name.as_str() < me;
        let held = report.held.iter().filter(|item| first || !holds(item));
        taken.extend(held.filter(|_| !report.leaving));
    }
    taken
}

fn by_service(state: &State, waiting: Vec<Waiting>) -> HashMap<String, Vec<Waiting>> {
    let mut services: HashMap<String, Vec<Waiting>> = HashMap::new();
    for w in waiting {
        if let Some(item) = state.items.get(w.item) {
            services.entry(item.service.clone()).or_default().push(w);
        }
    }
    services
}

fn rooms(state: &State, service: &str, now: Timestamp) -> Vec<Room> {
    let rooms = state.backends.serving(service).map(|b| Room {
        key: b.key,
        slots: slots_of(state, &b.entry),
        placed: state.load.placed(b.key),
        suspect: state.load.suspected(b.key, now),
        slow: state.speeds.slowness(b.key, now) > SLOW,
        unchanged_for: state.load.unchanged_for(b.key, now),
    });
    rooms.collect()
}

/// What a run needs of its item.
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
}

fn start<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    state: &mut State,
    key: ItemKey,
    backend: BackendKey,
) {
    let Some(run) = prepare(state, key, backend) else {
        return;
    };
    let Some(item) = state.items.get_mut(key) else {
        return;
    };
    item.phase = Phase::Running(backend);
    let due = item.due;
    let run_placed = BatchRun {
        item: key,
        backend,
        due,
    };
    state.load.batch_started(run_placed, node.now());
    let (stop, stopped) = async_channel::bounded(1);
    state.runs.0.insert(key, stop);
    let task = execute(node.clone(), run, stopped);
    node.spawner.spawn(task).detach();
    node.report_due.notify(usize::MAX);
}

fn prepare(state: &State, key: ItemKey, backend: BackendKey) -> Option<Run> {
    let open = state.items.get(key)?;
    let job = state.partitions.get(open.partition)?.get(&open.job)?;
    let route = state.config.as_ref()?.route_named(&job.route)?;
    let entry = state.backends.get(backend)?.entry.clone();
    // Items go to the service that the route names now.
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
    })
}

/// Runs an item on a backend server and handles its end.
async fn execute<P: Store + Dialect>(node: Arc<Node<P>>, mut run: Run, stopped: Receiver<()>) {
    let started = Instant::now();
    let id = run.item.id.clone();
    let job = run.job.clone();
    let backend = run.entry.id.clone();
    let from = run.progress.data.len();
    line!(
        ITEM_STARTED,
        "item={id} job={job} backend={backend} after_event={from}"
    );
    let stop = async {
        // A dropped sender stops the run as well.
        let _ = stopped.recv().await;
        (
            RunEnd::Stopped,
            "the slot is needed or the job has ended".to_owned(),
        )
    };
    let mut progress = std::mem::take(&mut run.progress);
    let (end, cause) = future::or(stop, stream(&node, &run, &mut progress)).await;
    if matches!(end, RunEnd::Broken) {
        suspect(&node, run.backend, &cause);
    }
    let name = end_name(&end);
    let events = progress.data.len();
    let ms = started.elapsed().as_millis();
    line!(
        ITEM_ENDED,
        "item={id} job={job} backend={backend} end={name} events={events} ms={ms} cause=\"{cause}\""
    );
    node.metrics.item(name, started.elapsed());
    let text = match end {
        RunEnd::Completed => progress.data.join("\n"),
        _ => String::new(),
    };
    let now = node.now();
    let step = {
        let mut state = node.lock();
        state.load.batch_ended(run.key, now);
        state.runs.0.remove(&run.key);
        state
            .items
            .run_ended(run.key, &end, progress, run.attempts, now)
    };
    node.report_due.notify(usize::MAX);
    balance(&node);
    if let Step::Finish(outcome) = step {
        finish(&node, &run, outcome, text).await;
    }
}

fn end_name(end: &RunEnd) -> &'static str {
    match end {
        RunEnd::Completed => "completed",
        RunEnd::Impossible => "impossible",
        RunEnd::Failed => "failed",
        RunEnd::TurnedAway => "turned-away",
        RunEnd::Broken => "broken",
        RunEnd::Stopped => "stopped",
    }
}

/// Sends the item and gathers its output.
async fn stream<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    run: &Run,
    progress: &mut Progress,
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
        left: None,
        last_event: progress.last,
    };
    let req = match node.platform.item(&request, &forward) {
        Ok(req) => req,
        // The backend server would refuse it as well.
        Err(err) => return (RunEnd::Failed, err.to_string()),
    };
    let options = SendOptions {
        // Shared with online requests, because every new connection has a price.
        class: TrafficClass::Online,
        deadline: None,
    };
    let sent = node.client.send(run.entry.addr, req, options);
    let Some(sent) = until(Instant::now() + SILENCE, sent).await else {
        return (RunEnd::Broken, "no answer began".to_owned());
    };
    let response = match sent {
        Ok(response) => response,
        Err(err) => return (RunEnd::Broken, err.to_string()),
    };
    let (head, body) = response.into_parts();
    let answer = node.platform.answer(&head);
    let status = head.status.as_u16();
    if answer.not_run {
        return (RunEnd::TurnedAway, format!("status {status}"));
    }
    if answer.request_id.as_deref() != Some(run.item.id.as_str()) {
        body.close();
        return (
            RunEnd::Broken,
            "the answer belongs to another request".to_owned(),
        );
    }
    match status {
        200 if answer.events => {
            gather(
                node,
                run.backend,
                Response::from_parts(head, body),
                progress,
            )
            .await
        }
        IMPOSSIBLE => (RunEnd::Impossible, format!("status {status}")),
        500 => (RunEnd::Failed, format!("status {status}")),
        _ => (RunEnd::Broken, format!("status {status}")),
    }
}

/// Events after which the pace of a stream is noted.
const PACE_EVENTS: u32 = 8;

/// Measures the pace of one stream.
pub(crate) struct PaceMeter {
    backend: BackendKey,
    since: Instant,
    /// Events since then; the first one starts the measurement.
    events: u32,
}

impl PaceMeter {
    pub(crate) fn new(backend: BackendKey) -> Self {
        Self {
            backend,
            since: Instant::now(),
            events: 0,
        }
    }

    /// Notes an event.
    pub(crate) fn event<P>(&mut self, node: &Node<P>) {
        if self.events == 0 {
            self.since = Instant::now();
        }
        self.events += 1;
        if self.events > PACE_EVENTS {
            let gap = self.since.elapsed() / PACE_EVENTS;
            let now = node.now();
            node.lock().speeds.record(self.backend, gap, now);
            self.since = Instant::now();
            self.events = 1;
        }
    }
}

/// Gathers the events of an answer until its end.
async fn gather<P>(
    node: &Arc<Node<P>>,
    backend: BackendKey,
    response: Response<ClientBody>,
    progress: &mut Progress,
) -> (RunEnd, String) {
    let mut body = response.into_body();
    let mut pace = PaceMeter::new(backend);
    let mut splitter = Splitter::default();
    loop {
        let frame = until(Instant::now() + SILENCE, body.frame()).await;
        let bytes = match frame {
            None => return (RunEnd::Broken, "the stream fell silent".to_owned()),
            Some(Some(Err(err))) => return (RunEnd::Broken, err.to_string()),
            Some(None) => break,
            Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        let events = match splitter.push(&bytes) {
            Ok(events) => events,
            Err(err) => return (RunEnd::Broken, err.to_string()),
        };
        for event in events {
            let expected = progress.last.map(|last| last + 1);
            let id = event.id.or(expected);
            if expected.is_some() && id != expected {
                return (
                    RunEnd::Broken,
                    format!("event {id:?} follows {:?}", progress.last),
                );
            }
            progress.last = id;
            progress.data.push(event.data);
            pace.event(node);
        }
    }
    if splitter.is_partial() {
        return (
            RunEnd::Broken,
            "the stream ended within an event".to_owned(),
        );
    }
    (RunEnd::Completed, String::new())
}

/// Writes the result of an item.
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
            line!(
                ITEM_LISTED,
                "item={id} job={job} outcome={outcome:?} route={}",
                run.route
            );
        }
        // The job was removed meanwhile.
        Err(WriteError::NoJob) => {}
        Err(err) => {
            line!(RECORD_SKIPPED, "item={id} job={job} cause=\"{err:?}\"");
            let mut state = node.lock();
            if let Some(item) = state.items.get_mut(run.key) {
                item.phase = Phase::Waiting;
            }
        }
    }
}

/// Gives up the items whose time is over.
fn give_up<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let expired = node.lock().items.expired(unix_ms());
    for key in expired {
        let mut state = node.lock();
        let Some(item) = state.items.get_mut(key) else {
            continue;
        };
        item.phase = Phase::Finishing;
        let change = Change::Finish {
            job: item.job.clone(),
            item: item.index,
            outcome: Outcome::GivenUp,
            text: String::new(),
        };
        let partition = item.partition;
        let job = item.job.clone();
        let (give_up, orphaned) = (item.give_up, item.orphaned);
        let version = state.config.as_ref().map_or(0, |config| config.version());
        drop(state);
        let node = node.clone();
        let spawner = node.spawner.clone();
        let task = async move {
            let result = writer::write(&node, partition, change).await;
            line!(
                ITEM_LISTED,
                "job={job} outcome=GivenUp cause=expired give_up_at={give_up} orphaned={orphaned} version={version} result=\"{result:?}\""
            );
        };
        spawner.spawn(task).detach();
    }
}

/// Pause between two searches for jobs that need not be kept any longer.
const CLEAN_INTERVAL: Duration = Duration::from_secs(10);

/// Removes jobs whose results need not be kept any longer.
pub(crate) async fn clean<P: Store + Dialect>(node: Arc<Node<P>>) {
    loop {
        sleep(CLEAN_INTERVAL).await;
        for (partition, job) in outdated(&node) {
            let change = Change::Remove { job: job.clone() };
            // A failed removal is tried again with the next search.
            let result = writer::write(&node, partition, change).await;
            log::debug!("removal of job {job}: {result:?}");
        }
    }
}

/// Returns the outdated jobs that this instance removes.
fn outdated<P>(node: &Arc<Node<P>>) -> Vec<(usize, String)> {
    let now = node.now();
    let keep = node.settings.result_retention.as_millis();
    let before = unix_ms().saturating_sub(u64::try_from(keep).unwrap_or(u64::MAX));
    let state = node.lock();
    let me = node.settings.name.as_str();
    let names: Vec<&str> = state.members.alive(now).map(|r| r.name.as_str()).collect();
    let responsible = |job: &str| {
        let hash = xxhash_rust::xxh3::xxh3_64(job.as_bytes());
        let all = names.iter().copied().chain([me]);
        crate::members::owner(hash, all) == Some(me)
    };
    let partitions = state.partitions.iter().enumerate();
    let jobs = partitions.flat_map(|(n, p)| p.iter().map(move |(id, job)| (n, id, job)));
    let outdated = jobs.filter(|(_, id, job)| {
        job.submitted < before && job.open().next().is_none() && responsible(id)
    });
    outdated.map(|(n, id, _)| (n, id.clone())).collect()
}
