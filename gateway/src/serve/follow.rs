//! Follows the topics of the store.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use limpetweir_transport::sleep;

use super::items;
use super::lines::{
    BACKEND_CHANGED,
    CONFIG_APPLIED,
    CONFIG_UNREADABLE,
    RECORD_SKIPPED,
    STORE_GAP,
    STORE_LOST,
    STORE_REGAINED,
    line, //
};
use super::node::{
    Held,
    Node, //
};
use crate::config::Configuration;
use crate::platform::{
    Batch,
    Dialect,
    Record,
    Store,
    StoreError,
    Topic, //
};

/// Pause after a failed call; outages last seconds, and every call has a price.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Longest wait of one read.
    wait: Duration,
    /// Pause between reads, which gathers records that come in quick succession.
    pause: Duration,
}

/// Pause between reads for each other instance, so that the number of calls of all instances does
/// not grow with the square of their number.
const PAUSE_PER_PEER: Duration = Duration::from_millis(4);

/// Longest addition to the pause; a leaving server must be noticed within two seconds.
const MAX_ADDED_PAUSE: Duration = Duration::from_millis(260);

impl Pace {
    fn pause_among(self, peers: usize) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.pause + PAUSE_PER_PEER.saturating_mul(peers).min(MAX_ADDED_PAUSE)
    }
}

fn pace(topic: Topic) -> Pace {
    let ms = Duration::from_millis;
    match topic {
        // A new version must be in force within two seconds, so a silent connection is noticed soon.
        Topic::Configuration => Pace {
            wait: ms(1_000),
            pause: ms(0),
        },
        // Every backend server writes each second; a leaving one must be noticed within two.
        Topic::Backends => Pace {
            wait: ms(1_000),
            pause: ms(350),
        },
        Topic::Instances => Pace {
            wait: ms(5_000),
            pause: ms(500),
        },
        // A read that the store does not wake is repeated when a peer is ahead.
        Topic::Jobs => Pace {
            wait: ms(2_000),
            pause: ms(20),
        },
    }
}

/// Position in a partition that is followed without a state of its own.
#[derive(Debug, Default)]
struct Cursor {
    next: u64,
    loaded: bool,
    /// Whether the last call failed.
    lost: bool,
}

/// Follows one partition of a topic for as long as the process runs.
pub(crate) async fn follow<P: Store + Dialect>(node: Arc<Node<P>>, topic: Topic, partition: u32) {
    let mut cursor = Cursor::default();
    let pace = pace(topic);
    loop {
        if topic == Topic::Jobs {
            let changed = node.jobs_changed.listen();
            let held = {
                let state = node.lock();
                let known = &state.partitions[partition as usize];
                cursor.next = known.next();
                cursor.loaded = known.is_loaded();
                state.held[partition as usize] != Held::No
            };
            if !held {
                changed.await;
                continue;
            }
        }
        let result = if cursor.loaded {
            // While the store is lost, only an answer at once tells that it is back.
            let wait = if cursor.lost {
                Duration::ZERO
            } else {
                pace.wait
            };
            let regained = node.store_regained.listen();
            let behind = node.jobs_behind.listen();
            let read = node.platform.read(topic, partition, cursor.next, wait);
            let repeat = async {
                if topic == Topic::Jobs {
                    future::or(regained, behind).await;
                } else {
                    regained.await;
                }
                None
            };
            let read = async { Some(read.await) };
            let Some(batch) = future::or(read, repeat).await else {
                continue;
            };
            batch.map(|batch| take_batch(&node, topic, partition, &mut cursor, batch))
        } else {
            load(&node, topic, partition, &mut cursor).await
        };
        node.metrics.store_call(result.is_ok());
        if topic == Topic::Jobs {
            let answered = matches!(result, Ok(()) | Err(StoreError::Trimmed { .. }));
            note_answer(&node, partition, answered);
        }
        match result {
            Ok(()) => {
                if std::mem::take(&mut cursor.lost) {
                    line!(
                        STORE_REGAINED,
                        "topic={topic} partition={partition} next={}",
                        cursor.next
                    );
                }
                if !pace.pause.is_zero() {
                    // Only a few instances of a large fleet hold a partition of the jobs.
                    let peers = node.lock().members.count();
                    let readers = if topic == Topic::Jobs { 0 } else { peers };
                    sleep(pace.pause_among(readers)).await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                line!(
                    STORE_GAP,
                    "topic={topic} partition={partition} next={} first={first}",
                    cursor.next
                );
                cursor.loaded = false;
                if topic == Topic::Jobs {
                    node.lock().partitions[partition as usize].set_missed();
                }
            }
            Err(err) => {
                if !std::mem::replace(&mut cursor.lost, true) {
                    line!(
                        STORE_LOST,
                        "topic={topic} partition={partition} cause=\"{err}\""
                    );
                }
                if topic == Topic::Backends {
                    let now = node.now();
                    node.lock().backends.note_outage(now);
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Notes whether the store answers reads of a partition of the jobs; this decides which instances
/// run its items.
fn note_answer<P: Store + Dialect>(node: &Arc<Node<P>>, partition: u32, answered: bool) {
    let lost = !answered;
    let before = {
        let mut state = node.lock();
        std::mem::replace(&mut state.freshness[partition as usize].lost, lost)
    };
    if before != lost {
        node.report_due.notify(usize::MAX);
        items::jobs_changed(node);
    }
}

/// Lists the newest records of a partition.
///
/// Pages are no snapshot, so reading continues at the end that the first page stated.
async fn load<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    cursor: &mut Cursor,
) -> Result<(), StoreError> {
    if topic == Topic::Jobs {
        node.lock().partitions[partition as usize].begin_listing();
    }
    let mut after: Option<String> = None;
    let mut end = None;
    let mut keys = Vec::new();
    loop {
        let page = node
            .platform
            .newest(topic, partition, after.as_deref())
            .await?;
        end.get_or_insert(page.end);
        let mut records = page.records;
        // The fold of the jobs depends on the order of the records.
        records.sort_by_key(|(offset, _)| *offset);
        for (_, record) in &records {
            keys.push(record.key.clone());
            take_record(node, topic, partition, record);
        }
        match page.next {
            Some(next) => after = Some(next),
            None => break,
        }
    }
    cursor.next = end.unwrap_or(0);
    cursor.loaded = true;
    if topic == Topic::Jobs {
        node.lock().partitions[partition as usize].end_listing(cursor.next);
        items::jobs_changed(node);
    } else {
        finish(node, topic, partition, cursor.next);
    }
    if topic == Topic::Backends {
        let now = node.now();
        node.lock().backends.retain(&keys, now);
    }
    Ok(())
}

/// Applies what a read returned.
fn take_batch<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    cursor: &mut Cursor,
    batch: Batch,
) {
    let count = batch.records.len() as u64;
    for (offset, record) in (batch.from..).zip(&batch.records) {
        match record {
            Some(record) if topic == Topic::Jobs => take_job(node, partition, offset, record),
            Some(record) => take_record(node, topic, partition, record),
            None => line!(
                RECORD_SKIPPED,
                "topic={topic} partition={partition} offset={offset}"
            ),
        }
    }
    cursor.next = batch.from + count;
    finish(node, topic, partition, cursor.next);
}

/// Applies a record of a job unless this instance applied it when it was written.
pub(crate) fn take_job<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    offset: u64,
    record: &Record,
) {
    let mut state = node.lock();
    let known = &mut state.partitions[partition as usize];
    // A partition that was given up meanwhile is listed before anything else is applied to it.
    if !known.is_loaded() || offset < known.next() {
        return;
    }
    if let Err(err) = known.apply(record) {
        line!(
            RECORD_SKIPPED,
            "topic=jobs partition={partition} offset={offset} cause=\"{err}\""
        );
    }
}

fn take_record<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    record: &Record,
) {
    match topic {
        Topic::Configuration => {
            if let Some(decoded) = node.platform.configuration(record) {
                match decoded {
                    Ok(config) => apply_config(node, config, record, "store"),
                    Err(err) => line!(CONFIG_UNREADABLE, "cause=\"{err}\""),
                }
            }
        }
        Topic::Backends => take_backend(node, record),
        Topic::Instances => super::peers::learn(node, record),
        Topic::Jobs => {
            if let Err(err) = node.lock().partitions[partition as usize].apply(record) {
                line!(
                    RECORD_SKIPPED,
                    "topic={topic} partition={partition} cause=\"{err}\""
                );
            }
        }
    }
}

/// Notes what was read up to `next`.
pub(crate) fn finish<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    next: u64,
) {
    let now = node.now();
    match topic {
        Topic::Configuration => node.lock().config_confirmed = Some(now),
        Topic::Jobs => {
            let mut state = node.lock();
            let known = &mut state.partitions[partition as usize];
            let changed = known.is_loaded() && next > known.next();
            if changed {
                known.advance(next);
                state.freshness[partition as usize].advanced(next);
            }
            drop(state);
            if changed {
                items::jobs_changed(node);
            }
        }
        Topic::Backends => {
            let gone = node.lock().backends.sweep(now);
            for id in gone {
                line!(BACKEND_CHANGED, "backend={id} state=gone cause=lapsed");
            }
        }
        Topic::Instances => {
            let mut state = node.lock();
            state.instances_read = true;
            super::peers::refresh_silent(&mut state, now);
            let unsettled = state.held.iter().any(|h| *h != Held::Yes);
            drop(state);
            if unsettled {
                items::jobs_changed(node);
            }
        }
    }
}

/// Puts a configuration in force unless a newer one is.
pub(crate) fn apply_config<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    config: Configuration,
    record: &Record,
    source: &str,
) {
    let now = node.now();
    let mut state = node.lock();
    let before = state.config.as_ref().map(|config| config.version());
    if before.is_some_and(|before| before >= config.version()) {
        return;
    }
    state.quotas.configure(&config, now);
    let version = config.version();
    state.config = Some(Arc::new(config));
    state.config_record = Some(record.clone());
    state.config_fetch.applied();
    drop(state);
    let before = before.unwrap_or(0);
    line!(
        CONFIG_APPLIED,
        "version={version} before={before} source={source}"
    );
    node.report_due.notify(usize::MAX);
    items::jobs_changed(node);
}

fn take_backend<P: Store + Dialect>(node: &Arc<Node<P>>, record: &Record) {
    let now = node.now();
    if record.value.is_empty() {
        if node.lock().backends.remove(&record.key, now) {
            line!(BACKEND_CHANGED, "backend={} state=removed", record.key);
        }
        return;
    }
    match node.platform.backend(record) {
        Ok(entry) => {
            let draining = entry.draining;
            let addr = entry.addr;
            if node.lock().backends.update(entry, now) {
                line!(
                    BACKEND_CHANGED,
                    "backend={} addr={addr} draining={draining}",
                    record.key
                );
            }
        }
        Err(err) => {
            // An unreadable entry names no server to use; the others stay.
            node.lock().backends.remove(&record.key, now);
            line!(
                RECORD_SKIPPED,
                "topic=backends key={} cause=\"{err}\"",
                record.key
            );
        }
    }
}
