//! Reads of a partition of the jobs up to its current end, for callers and writers that wait for it.
//!
//! Load pattern: hundreds of callers poll results of jobs that an instance has not read yet. A read
//! for each of them would transfer the same records hundreds of times, while all reads of the fleet
//! share the bandwidth of the store.

use std::fmt;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::Timestamp;
use limpetweir_transport::timeout_at;

use super::apply;
use super::node::Node;
use super::store_relay;
use super::task_kinds::OneShot;
use crate::platform::{
    Dialect,
    RecordRange,
    Store,
    StoreError, //
};

/// Reads the partition up to its current end and returns the end offset. Callers that wait at the
/// same time share one read that starts after all of them have called.
///
/// The read goes on if a caller gives up, because the next one needs the same records.
pub(crate) async fn catch_up<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
) -> Result<u64, StoreError> {
    let called = Instant::now();
    let (tx, rx) = async_channel::bounded(1);
    let reader = node.clone();
    let read = async move {
        let result = shared_read(&reader, partition, called).await;
        // Sending fails if the caller has given up.
        let _ = tx.try_send(result);
    };
    let clean_up = std::future::ready(());
    node.supervisor.spawn_once(OneShot::CatchUp, read, clean_up);
    rx.recv().await.unwrap_or_else(|_| {
        Err(StoreError::NotDone {
            reason: "the read of the partition panicked".to_owned(),
        })
    })
}

/// Returns the result of a read to the end that started after `called`.
async fn shared_read<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    called: Instant,
) -> Result<u64, StoreError> {
    let reads = &node.catch_ups[partition as usize];
    reads.after(called, read_to_end(node, partition)).await
}

async fn read_to_end<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
) -> Result<u64, StoreError> {
    loop {
        let sent = node.now();
        let range = read_once(node, partition).await?;
        if range.records.is_empty() && range.from < range.end {
            return Err(StoreError::NotDone {
                reason: "the store returned none of the records before its end".to_owned(),
            });
        }
        let records = range.records.iter().map(Option::as_ref);
        apply::apply_jobs(node, partition, range.from, records);
        let next = next_offset(node, partition)?;
        if next >= range.end {
            node.lock().partitions[partition as usize].read_to_end(sent, range.end);
            return Ok(next);
        }
    }
}

async fn read_once<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
) -> Result<RecordRange, StoreError> {
    let next = next_offset(node, partition)?;
    let result = store_relay::read(node, partition, next).await;
    if let Err(StoreError::Trimmed { first }) = result
        && node.lock().partitions[partition as usize].set_missed(first)
    {
        // The reader lists the partition again instead of waiting for records.
        node.jobs_behind[partition as usize].notify(usize::MAX);
    }
    result
}

/// Returns the offset up to which the partition has been read; fails if it is not loaded, as while it
/// is listed or after it was dropped.
fn next_offset<P>(node: &Node<P>, partition: u32) -> Result<u64, StoreError> {
    let state = node.lock();
    let known = &state.partitions[partition as usize];
    if known.is_loaded() {
        return Ok(known.next());
    }
    Err(StoreError::NotDone {
        reason: "the partition is not loaded".to_owned(),
    })
}

/// Proof that a partition was read to its end after a call had arrived. What its loaded copy lacks is
/// not in the store either, and may be told as missing.
#[derive(Debug)]
pub(crate) struct Confirmation {
    partition: usize,
    /// End of the partition.
    end: u64,
    /// Time for which the call has waited for it; zero if the partition had been read by then.
    elapsed: Duration,
}

impl fmt::Display for Confirmation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (partition, end) = (self.partition, self.end);
        let ms = self.elapsed.as_millis();
        write!(f, "partition={partition} end={end} confirm_ms={ms}")
    }
}

/// Reads the partition up to its current end, unless that was done since the call arrived at `since`;
/// `None` if the store does not respond within `timeout`, or the partition is not loaded.
pub(crate) async fn confirm<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
    since: Timestamp,
    timeout: Duration,
) -> Option<Confirmation> {
    if let Some(end) = current_end(node, partition, since) {
        return Some(Confirmation {
            partition,
            end,
            elapsed: Duration::ZERO,
        });
    }
    let started = Instant::now();
    // The number of partitions is far below the maximum of the type.
    let read = catch_up(node, partition as u32);
    let end = timeout_at(started + timeout, read).await?.ok()?;
    Some(Confirmation {
        partition,
        end,
        elapsed: started.elapsed(),
    })
}

/// Returns the end of a partition that has been read up to it since `since`.
fn current_end<P>(node: &Node<P>, partition: usize, since: Timestamp) -> Option<u64> {
    let state = node.lock();
    let loaded = state.partitions[partition].loaded()?;
    loaded.is_current_since(since).then(|| loaded.next())
}
