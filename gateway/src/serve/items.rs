//! Distributes the items of batch jobs and decides when they start and stop.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::Sender;
use limpetweir_state::Timestamp;
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::lines::{
    ITEM_LISTED,
    line, //
};
use super::node::{
    Held,
    Node,
    State,
    unix_ms, //
};
use super::{
    runs,
    writer, //
};
use crate::backend::BackendEntry;
use crate::batch::{
    BatchCandidate,
    Contenders,
    WaitingItem,
    choose_preemptions,
    choose_starts,
    reserve, //
};
use crate::instance::Instance;
use crate::jobs::{
    Change,
    Outcome,
    Partition, //
};
use crate::open_items::Phase;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::replicas::{
    FULL_REPLICATION_LIMIT,
    owner,
    replicas, //
};
use crate::report::ItemKey;

/// Longest pause between two looks at the waiting items.
const TICK: Duration = Duration::from_millis(50);

/// The same of an instance without open items, which most are in a large fleet.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Ends of running items, by item; sending or dropping one stops the run.
#[derive(Debug, Default)]
pub(crate) struct RunHandles(HashMap<ItemKey, Sender<()>>);

impl RunHandles {
    /// Keeps the end of a run that has started.
    pub(crate) fn insert(&mut self, key: ItemKey, stop: Sender<()>) {
        self.0.insert(key, stop);
    }

    /// Stops a run, or forgets one that has ended.
    pub(crate) fn remove(&mut self, key: &ItemKey) {
        if let Some(stop) = self.0.remove(key) {
            // The run may have ended meanwhile.
            let _ = stop.try_send(());
        }
    }
}

/// Time after the start of an instance in which it has heard of the others. In a large fleet that
/// starts as a whole, every instance would list all jobs at once before.
const SETTLED: Timestamp = Timestamp::from_millis(600);

/// Time for which an instance still holds a partition that others hold now: a listing of the store
/// and the differences between the views of the instances fit into it.
const HAND_OVER: Duration = Duration::from_secs(4);

/// Takes changed jobs or instances over.
pub(crate) fn jobs_changed<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let me = node.settings.name.as_str();
    let alive = state.members.reachable(now).filter(|r| r.ready);
    let mut instances: Vec<Instance<'_>> = alive.map(Instance::from).collect();
    if !node.is_leaving() || instances.is_empty() {
        instances.push(node.settings.instance());
    }
    instances.sort_by_key(|instance| instance.name);
    let large = state.members.count() >= FULL_REPLICATION_LIMIT;
    let settled = state.instances_read && (!large || now >= SETTLED);
    let partitions = 0..state.partitions.len();
    let replicas: Vec<Vec<&str>> = partitions.map(|n| replicas(n, &instances)).collect();
    let held_by = replicas.iter().enumerate();
    let held_by = held_by.map(|(partition, replicas)| state.runners(partition, replicas, me));
    let held_by: Vec<Vec<String>> = held_by.collect();
    let chosen = replicas.iter().map(|replicas| replicas.contains(&me));
    let chosen: Vec<bool> = chosen.collect();
    for (partition, chosen) in chosen.into_iter().enumerate() {
        let busy = state.items.is_busy(partition);
        hold(state, partition, settled && chosen, busy, now);
    }
    let config = state.config.as_deref();
    let ended = state.items.refresh(&state.partitions, config, me, &held_by);
    for key in ended {
        state.runs.remove(&key);
    }
    node.jobs_changed.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
}

/// Takes a partition over, or gives it up once others have had the time to.
fn hold(state: &mut State, partition: usize, chosen: bool, busy: bool, now: Timestamp) {
    let held = &mut state.held[partition];
    *held = match *held {
        _ if chosen => Held::Yes,
        Held::Yes => Held::Until(now + HAND_OVER),
        Held::Until(end) if end > now || busy => Held::Until(end),
        Held::Until(_) => {
            state.partitions[partition] = Partition::default();
            Held::No
        }
        Held::No => Held::No,
    };
}

/// Looks at the waiting items after each change. Reports that have arrived together are one change.
pub(crate) async fn schedule<P: Store + Dialect>(node: Arc<Node<P>>) {
    let mut due = node.balance_due.listen();
    loop {
        let idle = node.lock().items.iter().next().is_none();
        let tick = if idle { IDLE_TICK } else { TICK };
        timeout_at(Instant::now() + tick, due).await;
        due = node.balance_due.listen();
        balance(&node);
        give_up(&node);
        wake_reads(&node);
    }
}

/// Ends the reads of the jobs that should have ended when a peer's did.
fn wake_reads<P>(node: &Node<P>) {
    let now = node.now();
    let mut wakes = false;
    for freshness in &mut node.lock().freshness {
        wakes |= freshness.should_repeat_read(now);
    }
    if wakes {
        node.jobs_behind.notify(usize::MAX);
    }
}

/// Starts and stops items according to the free slots.
fn balance<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let me = node.settings.name.as_str();
    state.divide(&node.settings);
    let slots = |backend| {
        let backend = state.backends.get(backend)?;
        Some(slots_of(state, &backend.entry))
    };
    let slowness = state.speeds.compare(now);
    let slow = |backend| slowness.is_slow(backend);
    for key in choose_preemptions(&state.load, me, unix_ms(), slots, slow) {
        // The run itself notes its end.
        state.runs.remove(&key);
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
    let peers = state.members.reachable(now);
    let peers = peers.filter(|r| r.waiting > 0 && state.cells.is_own_instance(&r.name));
    let peers = peers.map(|r| WaitingPeer {
        name: r.name.clone(),
        any_in_time: r.waiting_in_time > 0,
        any_late: r.waiting_in_time < r.waiting,
    });
    let peers: Vec<WaitingPeer> = peers.collect();
    let named = |in_time: bool| -> Vec<&str> {
        let named = peers.iter().filter(|peer| peer.any_in_time == in_time);
        named.map(|peer| peer.name.as_str()).collect()
    };
    let contenders = Contenders {
        in_time: &named(true),
        late: &named(false),
        any_late: peers.iter().any(|peer| peer.any_late),
    };
    for (service, mut waiting) in by_service(state, waiting) {
        let rooms = rooms(state, &service, now);
        for (key, backend) in choose_starts(&mut waiting, &rooms, me, contenders, reserve) {
            runs::start(node, state, key, backend);
        }
    }
}

/// Another instance that has waiting items.
struct WaitingPeer {
    name: String,
    /// Whether some of them can still be on time.
    any_in_time: bool,
    /// Whether some of them cannot.
    any_late: bool,
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
    for report in state.members.reachable(now) {
        taken.extend(report.batch.iter().map(|run| run.item));
        let first = report.name.as_str() < me;
        let held = report.held.iter().filter(|item| first || !holds(item));
        taken.extend(held.filter(|_| !report.leaving));
    }
    taken
}

fn by_service(state: &State, waiting: Vec<WaitingItem>) -> HashMap<String, Vec<WaitingItem>> {
    let mut services: HashMap<String, Vec<WaitingItem>> = HashMap::new();
    for w in waiting {
        if let Some(item) = state.items.get(w.item) {
            services.entry(item.service.clone()).or_default().push(w);
        }
    }
    services
}

fn rooms(state: &State, service: &str, now: Timestamp) -> Vec<BatchCandidate> {
    let backends = state.backends.serving(service, now);
    let slowness = state.speeds.compare(now);
    let rooms = backends.map(|b| BatchCandidate {
        key: b.key,
        slots: slots_of(state, &b.entry),
        placed: state.load.placed(b.key),
        suspect: state.load.suspected(b.key, now),
        slow: slowness.is_slow(b.key),
        other_cell: !state.cells.is_own_backend(b.key, &b.entry.zone),
        unchanged_for: state.load.unchanged_for(b.key, now),
    });
    rooms.collect()
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
    let names: Vec<&str> = state
        .members
        .reachable(now)
        .map(|r| r.name.as_str())
        .collect();
    let responsible = |job: &str| {
        let hash = xxhash_rust::xxh3::xxh3_64(job.as_bytes());
        let all = names.iter().copied().chain([me]);
        owner(hash, all) == Some(me)
    };
    let partitions = state.partitions.iter().enumerate();
    let jobs = partitions.flat_map(|(n, p)| p.iter().map(move |(id, job)| (n, id, job)));
    let outdated = jobs.filter(|(_, id, job)| {
        job.submitted < before && job.open().next().is_none() && responsible(id)
    });
    outdated.map(|(n, id, _)| (n, id.clone())).collect()
}
