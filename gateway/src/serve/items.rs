//! Assigns the items of batch jobs to instances and schedules their runs.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::Timestamp;
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::admission;
use super::lines::{
    ITEM_LISTED,
    log_event, //
};
use super::node::{
    Node,
    unix_ms, //
};
use super::runs::PANIC_PAUSE;
use super::state::{
    ReplicaStatus,
    State, //
};
use super::supervisor::Steps;
use super::suspected_items::choose_alone;
use super::task_kinds::OneShot;
use super::{
    cold_servers,
    runs,
    suspected_items,
    writer, //
};
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::batch::{
    BatchCandidate,
    Contenders,
    Preemption,
    StopCause,
    WaitingItem,
    choose_preemptions,
    choose_starts,
    one_slot_each,
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
    ReplicaCandidates,
    owner, //
};
use crate::report::{
    ItemKey,
    Report, //
};
use crate::server_limits::Purpose;
use crate::speed::Slowness;

/// Maximum time between two runs of the scheduler.
const TICK: Duration = Duration::from_millis(50);

/// Maximum time between two runs of the scheduler on an instance without open items. In a large
/// fleet most instances have none.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Time for which an instance of a large fleet is selected before it becomes a replica. It hears of the
/// others one after the other, once it knows them, and they become ready one after the other. Each instance
/// that is selected for a moment only would list the jobs in vain.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Time for which an instance stays a replica of a partition after others have been selected. It
/// covers a listing of the store and the time in which the views of the instances differ.
const HANDOVER_TIME: Duration = Duration::from_secs(4);

/// Updates the replicas and the open items after a change of the jobs or the instances.
pub(crate) fn jobs_changed<P: Store + Dialect>(node: &Arc<Node<P>>) {
    update(node);
    node.jobs_changed.notify(usize::MAX);
    node.balance_due.notify(usize::MAX);
}

/// Updates the replicas and the open items as time goes on, where no change is known.
pub(crate) fn time_passed<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let is_changed = update(node);
    if is_changed || node.lock().items.iter().next().is_some() {
        node.jobs_changed.notify(usize::MAX);
        node.balance_due.notify(usize::MAX);
    }
}

/// Updates the replicas and the open items. Returns whether it has changed of which partitions this
/// instance is a replica.
fn update<P: Store + Dialect>(node: &Arc<Node<P>>) -> bool {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let me = node.settings.name.as_str();
    select_replicas(node, state, now);
    let large = state.members.count() >= FULL_REPLICATION_LIMIT;
    let settle_time = if large { SETTLE_TIME } else { Duration::ZERO };
    let knows_others = state.instances_read_at.is_some();
    let runners = state.runners(me);
    let before = state.replica_status.clone();
    for partition in 0..state.partitions.len() {
        let replicas = &state.replicas.partitions()[partition];
        let chosen = knows_others && replicas.iter().any(|name| name == me);
        let since = state.selected_since[partition].unwrap_or(now);
        state.selected_since[partition] = chosen.then_some(since);
        let selection = match chosen {
            true if now >= since + settle_time => Selection::Settled,
            true => Selection::Recent,
            false => Selection::No,
        };
        update_replica_status(state, partition, selection, now);
    }
    let config = state.config.as_deref();
    let ended = state
        .items
        .refresh(&state.partitions, config, me, &runners, now);
    for key in ended {
        state.runs.stop(&key, StopCause::JobEnded);
    }
    state.replica_status != before
}

/// Selects the replicas among the instances that are reached, and this one.
fn select_replicas<P>(node: &Node<P>, state: &mut State, now: Timestamp) {
    let steps_back = node.steps_back(state);
    let reached = state.members.reachable(now).filter(|r| r.may_hold_jobs());
    let (ready, others): (Vec<&Report>, Vec<&Report>) = reached.partition(|r| r.ready);
    let mut candidates = ReplicaCandidates {
        ready: ready.into_iter().map(Instance::from).collect(),
        others: others.into_iter().map(Instance::from).collect(),
    };
    if !steps_back || (candidates.ready.is_empty() && candidates.others.is_empty()) {
        let own = match state.can_serve() {
            true => &mut candidates.ready,
            false => &mut candidates.others,
        };
        own.push(node.settings.instance());
        own.sort_by_key(|instance| instance.name);
    }
    if state.replicas.select(state.partitions.len(), &candidates) {
        node.metrics.replicas_selected();
    }
}

/// Whether this instance is selected as a replica of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Selection {
    No,
    /// It has been selected a moment ago.
    Recent,
    /// It has been selected for the time to settle.
    Settled,
}

/// Makes this instance a replica of a partition, or drops the partition once the others have had
/// the time to load it.
fn update_replica_status(
    state: &mut State,
    partition: usize,
    selection: Selection,
    now: Timestamp,
) {
    let busy = state.items.is_busy(partition);
    let status = &mut state.replica_status[partition];
    *status = match *status {
        ReplicaStatus::Inactive if selection == Selection::Settled => ReplicaStatus::Active,
        ReplicaStatus::Inactive => ReplicaStatus::Inactive,
        // It has the partition, so nothing needs to be listed.
        _ if selection != Selection::No => ReplicaStatus::Active,
        ReplicaStatus::Active => ReplicaStatus::ActiveUntil(now + HANDOVER_TIME),
        ReplicaStatus::ActiveUntil(end) if end > now || busy => ReplicaStatus::ActiveUntil(end),
        ReplicaStatus::ActiveUntil(_) => {
            state.partitions[partition] = Partition::default();
            state.items.forget(partition);
            ReplicaStatus::Inactive
        }
    };
}

/// Runs the scheduler after each change. Reports that arrive together count as one change.
pub(crate) async fn schedule<P: Store + Dialect>(node: Arc<Node<P>>, steps: Arc<Steps>) {
    let mut due = node.balance_due.listen();
    loop {
        let idle = node.lock().items.iter().next().is_none();
        let tick = if idle { IDLE_TICK } else { TICK };
        timeout_at(Instant::now() + tick, due).await;
        steps.step();
        due = node.balance_due.listen();
        balance(&node);
        give_up(&node);
        interrupt_reads(&node);
    }
}

/// Interrupts the reads of the jobs that the store has not completed although a peer has read more.
fn interrupt_reads<P>(node: &Node<P>) {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let partitions = state.partitions.iter().zip(&mut state.freshness);
    for ((known, freshness), behind) in partitions.zip(&node.jobs_behind) {
        if freshness.should_repeat_read(known.next(), now) {
            behind.notify(usize::MAX);
        }
    }
}

/// Starts and preempts items according to the free slots.
fn balance<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let now = node.now();
    let mut state = node.lock();
    let state = &mut *state;
    let me = node.settings.name.as_str();
    state.update_cells(&node.settings);
    let paced = node.settings.preemption == Preemption::Lasting;
    cold_servers::refresh_senders(state, now);
    let slots = |backend| {
        let backend = state.backends.get(backend)?;
        Some(slots_of(state, &backend.entry))
    };
    let slowness = state.speeds.compare(now);
    let slow = |backend| slowness.is_slow(backend);
    let mut excess = state.load.excess(slots);
    // Most instances of a large fleet are no replicas and have no items. A step for each server at each
    // report would be most of their work.
    let has_items = state.items.iter().next().is_some();
    if paced && has_items {
        let online = online_on_usable(state, &slowness, now);
        state.pacing.observe(&online, now);
        excess = state.pacing.excess(excess, now);
    }
    let excess = |on| excess.get(&on).copied().unwrap_or(0);
    for stop in choose_preemptions(&state.load, me, unix_ms(), excess, slow) {
        // The run itself records its end.
        state.runs.stop(&stop.item, stop.cause);
    }
    if node.is_leaving() {
        return;
    }
    let mut waiting = state.waiting_items(now, unix_ms());
    state.items_waiting = !waiting.is_empty();
    if !waiting.is_empty() {
        let handled_by_peers = handled_by_peers(state, me, now);
        waiting.retain(|w| !handled_by_peers.contains(&w.item));
    }
    suspected_items::pace(node, state, &mut waiting, now);
    if waiting.is_empty() {
        return;
    }
    let peers = state.members.reachable(now);
    let preemption = node.settings.preemption;
    let peers = peers.filter(|r| preemption.contends(r) && state.cells.is_own_instance(&r.name));
    let peers = peers.map(|r| WaitingPeer {
        name: r.name.clone(),
        any_in_time: r.waiting_in_time > 0 || r.waiting == 0,
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
        admission::hold_items(node, state, &service, &mut waiting, now);
        let candidates = candidates(state, &service, now);
        let alone = choose_alone(&state.item_leases, &mut waiting, &candidates);
        for (key, backend) in alone {
            runs::start(node, state, key, backend);
        }
        let waiting = &mut waiting;
        let starts = if paced {
            let pacing = &mut state.pacing;
            pacing.choose_starts(waiting, &candidates, me, contenders, one_slot_each, now)
        } else {
            choose_starts(waiting, &candidates, me, contenders, reserve)
        };
        for (key, backend) in starts {
            runs::start(node, state, key, backend);
        }
    }
}

/// Returns the online requests on the servers that items may use.
fn online_on_usable(
    state: &State,
    slowness: &Slowness<'_>,
    now: Timestamp,
) -> HashMap<BackendKey, u32> {
    let usable = state
        .backends
        .iter()
        .map(|backend| backend.key)
        .filter(|key| {
            let unresponsive =
                state.load.suspected(*key, now) || state.outputs.is_silent(*key, now);
            !unresponsive && !slowness.is_slow(*key)
        });
    usable
        .map(|key| (key, state.load.placed(key).online))
        .collect()
}

/// Another instance that has waiting items.
struct WaitingPeer {
    name: String,
    /// Whether some of its waiting items can still meet their deadline.
    any_in_time: bool,
    /// Whether some of its waiting items can no longer meet their deadline.
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

/// Returns the items that peers run, or that they will continue because they have part of the
/// output. If several instances have part of it, the first one by name continues the item.
fn handled_by_peers(state: &State, me: &str, now: Timestamp) -> HashSet<ItemKey> {
    let has_output = |item: &ItemKey| {
        let item = state.items.get(*item);
        item.is_some_and(|item| item.progress.last().is_some())
    };
    let mut handled_by_peers = HashSet::new();
    for report in state.members.reachable(now) {
        handled_by_peers.extend(report.batch.iter().map(|run| run.item));
        let first = report.name.as_str() < me;
        let held = report.held.iter().filter(|item| first || !has_output(item));
        handled_by_peers.extend(held.filter(|_| !report.leaving));
    }
    handled_by_peers
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

fn candidates(state: &State, service: &str, now: Timestamp) -> Vec<BatchCandidate> {
    let backends = state.backends.serving(service, now);
    let slowness = state.speeds.compare(now);
    let candidates = backends.map(|b| BatchCandidate {
        key: b.key,
        slots: slots_of(state, &b.entry),
        placed: state.load.placed(b.key),
        suspect: state.load.suspected(b.key, now) || state.outputs.is_silent(b.key, now),
        slow: slowness.is_slow(b.key),
        other_cell: !state.cells.is_own_backend(b.key, &b.entry.zone),
        permit: state.limits.permit(b.run, Purpose::Item, now, unix_ms()),
        unchanged_for: state.load.unchanged_for(b.key, now),
    });
    candidates.collect()
}

/// Gives up the items whose time limit has expired.
fn give_up<P: Store + Dialect>(node: &Arc<Node<P>>) {
    let expired = {
        let state = node.lock();
        let confirmed = state.config_freshness.confirmed_at(state.items.version());
        state.items.expired(unix_ms(), confirmed)
    };
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
        let (give_up, orphaned) = (item.give_up, item.orphaned_since.is_some());
        let version = state.config.as_ref().map_or(0, |config| config.version());
        drop(state);
        let shared = node.clone();
        let write = async move {
            let result = writer::write(&shared, partition, change).await;
            log_event!(
                ITEM_LISTED,
                "job={job} outcome=GivenUp cause=expired give_up_at={give_up} orphaned={orphaned} version={version} result=\"{result:?}\""
            );
            if result.is_err() {
                wait_again(shared, key).await;
            }
        };
        let wait_again = wait_again(node.clone(), key);
        node.supervisor
            .spawn_once(OneShot::GiveUp, write, wait_again);
    }
}

/// Lets an item wait again that could not be given up, because the store did not take the change or
/// the task has panicked.
async fn wait_again<P>(node: Arc<Node<P>>, key: ItemKey) {
    // The next run of the scheduler gives it up again.
    sleep(PANIC_PAUSE).await;
    if let Some(item) = node.lock().items.get_mut(key) {
        item.phase = Phase::Waiting;
    }
}

/// Time between two searches for jobs whose retention time has expired.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// Removes jobs whose retention time has expired.
pub(crate) async fn remove_expired_jobs<P: Store + Dialect>(node: Arc<Node<P>>, steps: Arc<Steps>) {
    loop {
        sleep(REMOVAL_INTERVAL).await;
        steps.step();
        for (partition, job) in expired_jobs(&node) {
            let change = Change::Remove { job: job.clone() };
            // A failed removal is retried with the next search. The writer waits for the end of an
            // outage of the store.
            steps.idle();
            let result = writer::write(&node, partition, change).await;
            log::debug!("removal of job {job}: {result:?}");
        }
    }
}

/// Returns the expired jobs that this instance is responsible for, with their partitions.
fn expired_jobs<P>(node: &Arc<Node<P>>) -> Vec<(usize, String)> {
    let now = node.now();
    let (unix_ms, retention) = (unix_ms(), node.settings.result_retention);
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
    let loaded = partitions.filter_map(|(n, known)| Some((n, known.loaded()?)));
    let jobs = loaded.flat_map(|(n, known)| known.iter().map(move |(id, job)| (n, id, job)));
    let expired_jobs =
        jobs.filter(|(_, id, job)| job.may_be_removed(unix_ms, retention) && responsible(id));
    expired_jobs.map(|(n, id, _)| (n, id.clone())).collect()
}
