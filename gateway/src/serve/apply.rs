//! Applies the records of the store to the state of this instance.

use std::fmt::Display;
use std::sync::Arc;

use limpetweir_state::Timestamp;

use super::lines::{
    BACKEND_CHANGED,
    CONFIG_APPLIED,
    CONFIG_UNREADABLE,
    RECORD_SKIPPED,
    log_event, //
};
use super::node::Node;
use super::state::{
    ReplicaStatus,
    State, //
};
use super::{
    caller_limits,
    cold_servers,
    crash_checks,
    evacuation,
    items, //
};
use crate::checked::excerpt;
use crate::config::Configuration;
use crate::platform::{
    Dialect,
    Record,
    Store,
    Topic, //
};

/// Applies the records of a partition of the jobs from offset `from` on, but for those that are known
/// already; `None` is one that cannot be read. The reader of the partition, its writer and reads for callers
/// apply records side by side, so each record counts as read in the step in which it is applied.
pub(crate) fn apply_jobs<'a, P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    from: u64,
    records: impl IntoIterator<Item = Option<&'a Record>>,
) {
    let mut changed = false;
    for (offset, record) in (from..).zip(records) {
        let input = format_args!("topic=jobs partition={partition} offset={offset}");
        let apply = || changed |= apply_next_job(node, partition, offset, record);
        node.supervisor.skip_on_panic(input, apply);
    }
    if !changed {
        return;
    }
    let mut state = node.lock();
    let next = state.partitions[partition as usize].next();
    state.freshness[partition as usize].advanced(next);
    drop(state);
    items::jobs_changed(node);
}

/// Applies a record if it is the next one of the partition, and returns whether it is.
fn apply_next_job<P>(
    node: &Arc<Node<P>>,
    partition: u32,
    offset: u64,
    record: Option<&Record>,
) -> bool {
    let mut state = node.lock();
    let known = &mut state.partitions[partition as usize];
    if !known.take_next(offset) {
        return false;
    }
    if let Some(record) = record
        && let Err(err) = known.apply(offset, record)
    {
        skip_record(&mut state, Topic::Jobs, &record.key, &err);
    }
    true
}

/// Records that a record of a topic is not used, and logs it unless it is known.
pub(crate) fn skip_record(state: &mut State, topic: Topic, key: &str, cause: &impl Display) {
    let cause = excerpt(&cause.to_string());
    if state.skipped.skipped(topic, key, &cause) {
        let key = excerpt(key);
        log_event!(RECORD_SKIPPED, "topic={topic} key={key} cause=\"{cause}\"");
    }
}

/// Applies a record that is not one of a job.
pub(crate) fn apply_record<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    offset: u64,
    record: &Record,
) {
    let input = format!("topic={topic} partition={partition} key={:?}", record.key);
    let apply = || decode_and_apply(node, topic, partition, offset, record);
    let applied = node.supervisor.skip_on_panic(&input, apply);
    if !applied && topic == Topic::Configuration {
        // The version may allow what the one in force denies.
        node.lock().config_freshness.unreadable();
    }
}

fn decode_and_apply<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    offset: u64,
    record: &Record,
) {
    match topic {
        Topic::Configuration => {
            if let Some(decoded) = node.platform.configuration(record) {
                match decoded {
                    Ok(config) => {
                        let mut state = node.lock();
                        state.skipped.read(topic, &record.key);
                        state.config_freshness.readable();
                        drop(state);
                        apply_config(node, config, record, "store");
                    }
                    Err(err) => {
                        let cause = err.to_string();
                        let mut state = node.lock();
                        state.config_freshness.unreadable();
                        if state.skipped.skipped(topic, &record.key, &cause) {
                            log_event!(CONFIG_UNREADABLE, "cause=\"{cause}\"");
                        }
                    }
                }
            } else if let Some(decoded) = node.platform.evacuation(record) {
                evacuation::apply_record(node, offset, record, decoded);
            }
        }
        Topic::Backends => apply_backend_record(node, record),
        Topic::Instances => super::peers::apply_record(node, record),
        Topic::Jobs => {
            let mut state = node.lock();
            if let Err(err) = state.partitions[partition as usize].apply(offset, record) {
                skip_record(&mut state, topic, &record.key, &err);
            }
        }
    }
}

/// Records that the store had no configuration newer than the one in force at the time `as_of`.
pub(crate) fn confirm_config<P>(node: &Node<P>, as_of: Timestamp) {
    let mut state = node.lock();
    let version = state.config_version();
    state.config_freshness.confirmed(version, as_of);
}

/// Records that a topic has been read up to `next`, and does the work that depends on it.
pub(crate) fn mark_read<P: Store + Dialect>(node: &Arc<Node<P>>, topic: Topic, next: u64) {
    let now = node.now();
    match topic {
        // Confirmed with the time of the read, see `confirm_config`; counted as they are applied, see
        // `apply_jobs`.
        Topic::Configuration | Topic::Jobs => {}
        Topic::Backends => {
            let removed = node.lock().backends.sweep(now);
            for id in removed {
                log_event!(BACKEND_CHANGED, "backend={id} state=gone cause=lapsed");
            }
            evacuation::report_unknown(node);
        }
        Topic::Instances => {
            let mut state = node.lock();
            let is_first = state.instances_read_at.is_none();
            state.instances_read_at.get_or_insert(now);
            state.instances_next = next;
            super::peers::update_unreachable(&mut state, now);
            if is_first {
                node.registration_changed.notify(usize::MAX);
            }
            let unsettled = state
                .replica_status
                .iter()
                .any(|h| *h != ReplicaStatus::Active);
            drop(state);
            if unsettled {
                items::jobs_changed(node);
            }
        }
    }
}

/// Puts a configuration in force, unless it is not newer than the one in force.
pub(crate) fn apply_config<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    mut config: Configuration,
    record: &Record,
    source: &str,
) {
    let now = node.now();
    let mut state = node.lock();
    let before = state.config.as_ref().map(|config| config.version());
    if before.is_some_and(|before| before >= config.version()) {
        return;
    }
    match &state.config {
        Some(before) => config.replaces(before, now),
        None => config.begins(now),
    }
    state.quotas.configure(&config, now);
    state.usage.configure(&config);
    // Services that are gone are not kept.
    state.slot_times.clear();
    caller_limits::apply(node, config.limits());
    cold_servers::configure(&mut state, &config, now);
    let version = config.version();
    state.config = Some(Arc::new(config));
    state.config_freshness.reported(version);
    state.config_record = Some(record.clone());
    state.config_fetch.applied();
    drop(state);
    let before = before.unwrap_or(0);
    log_event!(
        CONFIG_APPLIED,
        "version={version} before={before} source={source}"
    );
    node.report_due.notify(usize::MAX);
    items::jobs_changed(node);
}

fn apply_backend_record<P: Store + Dialect>(node: &Arc<Node<P>>, record: &Record) {
    let now = node.now();
    let mut state = node.lock();
    if record.value.is_empty() {
        state.skipped.read(Topic::Backends, &record.key);
        if state.backends.remove(&record.key, now) {
            log_event!(BACKEND_CHANGED, "backend={} state=removed", record.key);
        }
        return;
    }
    match node.platform.backend(record) {
        Ok(mut entry) => {
            cold_servers::entry_read(&mut state, &mut entry, now);
            let draining = entry.draining;
            let addr = entry.addr;
            let changed = state.backends.update(entry.clone(), now);
            if state.backends.is_reserved(addr) {
                let cause = format!("{addr} is the address of the store or of an instance");
                skip_record(&mut state, Topic::Backends, &record.key, &cause);
                return;
            }
            state.skipped.read(Topic::Backends, &record.key);
            if changed {
                log_event!(
                    BACKEND_CHANGED,
                    "backend={} addr={addr} draining={draining}",
                    record.key
                );
            }
            drop(state);
            crash_checks::entry_read(node, &entry);
        }
        Err(err) => {
            // An unreadable entry contains no usable address; the other entries are not affected.
            state.backends.remove(&record.key, now);
            skip_record(&mut state, Topic::Backends, &record.key, &err);
        }
    }
}
