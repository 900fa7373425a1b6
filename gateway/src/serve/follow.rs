//! Reads the topics of the store continuously.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use limpetweir_state::Timestamp;
use limpetweir_transport::sleep;

use super::apply::{
    apply_jobs,
    apply_record,
    confirm_config,
    mark_read, //
};
use super::catch_up;
use super::evacuation;
use super::items;
use super::lines::{
    JOBS_LISTED,
    RECORD_SKIPPED,
    STORE_GAP,
    STORE_LOST,
    STORE_REGAINED,
    STORE_STILL_LOST,
    log_event, //
};
use super::node::Node;
use super::state::ReplicaStatus;
use super::store_call::StoreCall;
use super::store_relay;
use super::supervisor::Steps;
use crate::listing::Listing;
use crate::platform::{
    Dialect,
    RecordRange,
    Store,
    StoreError,
    Topic, //
};
use crate::positions::CallKind;
use crate::store_load::{
    CallTarget,
    Outage, //
};

/// Pause after a read from an offset that others have passed meanwhile.
const OLD_OFFSET_PAUSE: Duration = Duration::from_millis(300);

/// Timing of the reads of a topic.
#[derive(Clone, Copy, Debug)]
struct ReadTiming {
    /// Maximum duration of one long-polling read.
    wait: Duration,
    /// Pause between reads, so that records appended in quick succession are returned by one read.
    pause: Duration,
}

/// Additional pause between reads for each peer, so that the number of calls of the whole fleet
/// does not grow with the square of the number of instances.
const PAUSE_PER_PEER: Duration = Duration::from_millis(4);

/// Maximum additional pause; a leaving backend server must be detected within two seconds.
const MAX_ADDED_PAUSE: Duration = Duration::from_millis(260);

impl ReadTiming {
    fn pause_with_peers(self, peers: usize) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.pause + PAUSE_PER_PEER.saturating_mul(peers).min(MAX_ADDED_PAUSE)
    }
}

fn timing(topic: Topic) -> ReadTiming {
    let ms = Duration::from_millis;
    match topic {
        // A new version must be in force within two seconds, so reads are short enough to detect a
        // stalled connection in time.
        Topic::Configuration => ReadTiming {
            wait: ms(1_000),
            pause: ms(0),
        },
        // A leaving backend server must be detected within two seconds.
        Topic::Backends => ReadTiming {
            wait: ms(1_000),
            pause: ms(350),
        },
        Topic::Instances => ReadTiming {
            wait: ms(5_000),
            pause: ms(500),
        },
        // If the store does not complete a read in time, it is repeated once a peer is ahead.
        Topic::Jobs => ReadTiming {
            wait: ms(2_000),
            pause: ms(20),
        },
    }
}

/// Read position in a partition of a topic; for the jobs, a copy of the position in the state.
#[derive(Debug, Default)]
struct Cursor {
    next: u64,
    loaded: bool,
    /// Listing in progress, while the partition is not loaded.
    listing: Listing,
    /// Whether the last call failed.
    lost: bool,
    /// Whether the last read was interrupted because a peer has read more.
    interrupted: bool,
    /// Whether the last call ended a listing.
    listed: bool,
    /// When the last read was sent, or the request for the first page of the last listing.
    sent: Timestamp,
    /// Time for which the last read asked the store to wait.
    wait: Duration,
}

impl Cursor {
    /// Returns a time at which the store was in the state that the last read shows. A response may
    /// arrive long after it was composed; one without records was composed after the wait.
    fn as_of(&self, has_records: bool, now: Timestamp) -> Timestamp {
        if has_records {
            return self.sent;
        }
        now.min(self.sent + self.wait)
    }
}

/// Reads one partition of a topic for as long as the process runs. A partition of the jobs is read
/// only while this instance is a replica of it.
pub(crate) async fn read_topic<P: Store + Dialect>(
    node: Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    steps: Arc<Steps>,
) {
    let mut cursor = Cursor::default();
    let timing = timing(topic);
    loop {
        if topic == Topic::Jobs {
            let changed = node.jobs_changed.listen();
            let is_replica = {
                let state = node.lock();
                let known = &state.partitions[partition as usize];
                cursor.next = known.next();
                cursor.loaded = known.is_loaded();
                state.replica_status[partition as usize] != ReplicaStatus::Inactive
            };
            if !is_replica {
                steps.idle();
                changed.await;
                continue;
            }
        }
        let result = if cursor.loaded {
            let range = read_next(&node, topic, partition, &mut cursor).await;
            steps.step();
            let Some(range) = range else {
                continue;
            };
            range.map(|range| apply_range(&node, topic, partition, &mut cursor, range))
        } else {
            load(&node, topic, partition, &mut cursor, &steps).await
        };
        if topic == Topic::Jobs {
            let responded = matches!(result, Ok(()) | Err(StoreError::Trimmed { .. }));
            record_store_status(&node, partition, responded);
        }
        match result {
            Ok(()) => {
                if std::mem::take(&mut cursor.lost) {
                    log_event!(
                        STORE_REGAINED,
                        "topic={topic} partition={partition} next={}",
                        cursor.next
                    );
                }
                if !timing.pause.is_zero() && !cursor.listed {
                    // In a large fleet only a few instances are replicas of a partition of the
                    // jobs, so the pause of their reads does not depend on the size of the fleet.
                    let peers = node.lock().members.count();
                    let readers = if topic == Topic::Jobs { 0 } else { peers };
                    sleep(timing.pause_with_peers(readers)).await;
                }
            }
            // The read was sent from an older offset than others of the jobs, which have gone on.
            Err(StoreError::Trimmed { first })
                if topic == Topic::Jobs
                    && !node.lock().partitions[partition as usize].set_missed(first) =>
            {
                sleep(OLD_OFFSET_PAUSE).await;
            }
            Err(StoreError::Trimmed { first }) => {
                log_event!(
                    STORE_GAP,
                    "topic={topic} partition={partition} next={} first={first}",
                    cursor.next
                );
                cursor.loaded = false;
            }
            Err(err) => {
                if !std::mem::replace(&mut cursor.lost, true) {
                    log_event!(
                        STORE_LOST,
                        "topic={topic} partition={partition} cause=\"{err}\""
                    );
                }
                report_outage(&node, topic, partition, &err);
                if topic == Topic::Backends {
                    let now = node.now();
                    node.lock().backends.record_outage(now);
                }
                if topic == Topic::Jobs && cursor.loaded && reads_through_peer(&node, partition) {
                    // A failure is repeated after the pause.
                    let _ = catch_up::catch_up(&node, partition).await;
                    steps.step();
                }
                let target = CallTarget::read(topic, partition);
                sleep(node.store_pause(target)).await;
            }
        }
    }
}

/// Logs from time to time that the reads of a topic go on to fail.
fn report_outage<P>(node: &Node<P>, topic: Topic, partition: u32, err: &StoreError) {
    let now = node.now();
    let target = CallTarget::read(topic, partition);
    let Some(Outage { attempts, lasted }) = node.lock().store_load.take_report(target, now) else {
        return;
    };
    log_event!(
        STORE_STILL_LOST,
        "topic={topic} partition={partition} attempts={attempts} ms={} cause=\"{err}\"",
        lasted.as_millis()
    );
}

/// Returns whether a peer makes the reads of a partition of the jobs: the store turns this instance away,
/// and the other replicas too, which callers would be forwarded to otherwise, or this one has items to run.
fn reads_through_peer<P>(node: &Node<P>, partition: u32) -> bool {
    let now = node.now();
    let state = node.lock();
    let others = state.forward_targets(partition as usize, CallKind::Submit, now);
    let is_concerned = others.is_empty() || state.items.runs_any_here(partition as usize);
    drop(state);
    is_concerned && store_relay::is_needed(node)
}

/// Reads the next records; returns `None` if the read was interrupted because a peer has read more.
async fn read_next<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    cursor: &mut Cursor,
) -> Option<Result<RecordRange, StoreError>> {
    // After a failed call the read does not wait, because only an immediate response shows that the
    // store is available again. After an interrupted one there are records to return. After a listing
    // only a read shows what was written meanwhile.
    let listed = std::mem::take(&mut cursor.listed);
    let wait = if cursor.lost || cursor.interrupted || listed {
        Duration::ZERO
    } else {
        timing(topic).wait
    };
    cursor.sent = node.now();
    cursor.wait = wait;
    let read = node.read_records(StoreCall::Read, topic, partition, cursor.next, wait);
    let read = async { Some(read.await) };
    let result = if topic == Topic::Jobs {
        let behind = node.jobs_behind[partition as usize].listen();
        let interrupt = async {
            behind.await;
            None
        };
        future::or(read, interrupt).await
    } else {
        read.await
    };
    cursor.interrupted = result.is_none();
    result
}

/// Records whether the store responds to reads of a partition of the jobs. The status determines
/// which instances run its items, so a change is reported to the peers.
fn record_store_status<P: Store + Dialect>(node: &Arc<Node<P>>, partition: u32, responded: bool) {
    let lost = !responded;
    let before = {
        let mut state = node.lock();
        std::mem::replace(&mut state.freshness[partition as usize].lost, lost)
    };
    if before != lost {
        node.report_due.notify(usize::MAX);
        items::jobs_changed(node);
    }
}

/// Loads the newest record of each key of a partition. After a failed call the listing continues
/// with the page that failed, so that it ends also if the store answers only some of the calls.
async fn load<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    cursor: &mut Cursor,
    steps: &Steps,
) -> Result<(), StoreError> {
    if topic == Topic::Jobs && node.lock().partitions[partition as usize].begin_listing() {
        cursor.listing = Listing::default();
    }
    let started = node.now();
    // What the pages lack is known as of the first one, however much later a listing continues.
    if cursor.listing.after().is_none() {
        cursor.sent = started;
    }
    loop {
        let after = cursor.listing.after();
        let page = match topic {
            Topic::Jobs => store_relay::list(node, partition, after).await,
            _ => node.list_records(topic, partition, after).await,
        };
        steps.step();
        let page = page?;
        let last = page.next.is_none();
        for (offset, record) in cursor.listing.add(page) {
            apply_record(node, topic, partition, offset, &record);
        }
        if last {
            break;
        }
    }
    let listing = std::mem::take(&mut cursor.listing);
    cursor.next = listing.end();
    cursor.loaded = true;
    cursor.listed = true;
    if topic == Topic::Jobs {
        node.lock().partitions[partition as usize].end_listing(cursor.next);
        log_event!(
            JOBS_LISTED,
            "partition={partition} next={} records={} ms={}",
            cursor.next,
            listing.keys().len(),
            node.now().since(started).as_millis()
        );
        items::jobs_changed(node);
    } else {
        mark_read(node, topic, cursor.next);
    }
    if topic == Topic::Configuration {
        evacuation::listed(node, &listing);
        confirm_config(node, cursor.sent);
    }
    if topic == Topic::Backends {
        let now = node.now();
        node.lock().backends.retain(listing.keys(), now);
    }
    Ok(())
}

/// Applies the records of one read.
fn apply_range<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    topic: Topic,
    partition: u32,
    cursor: &mut Cursor,
    range: RecordRange,
) {
    let count = range.records.len() as u64;
    for (offset, record) in (range.from..).zip(&range.records) {
        match record {
            Some(_) if topic == Topic::Jobs => {}
            Some(record) => apply_record(node, topic, partition, offset, record),
            None => log_event!(
                RECORD_SKIPPED,
                "topic={topic} partition={partition} offset={offset}"
            ),
        }
    }
    cursor.next = range.from + count;
    if topic == Topic::Configuration {
        evacuation::read(node, range.from, cursor.next);
    }
    if topic == Topic::Configuration && cursor.next >= range.end {
        confirm_config(node, cursor.as_of(count > 0, node.now()));
    }
    if topic == Topic::Jobs {
        let records = range.records.iter().map(Option::as_ref);
        apply_jobs(node, partition, range.from, records);
        let mut state = node.lock();
        let known = &mut state.partitions[partition as usize];
        known.read_to_end(cursor.sent, range.end);
        let waited = cursor.sent + cursor.wait;
        if count == 0 && waited <= node.now() {
            known.waited(waited, range.end);
        }
    }
    mark_read(node, topic, cursor.next);
}
