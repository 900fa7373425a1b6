//! Writes changes of the jobs of one partition to the store.
//!
//! Every append is conditional on the end offset of the partition on which the decision was based.
//! Of two instances that append concurrently only one succeeds, and an append whose response was
//! lost can neither be executed twice nor take effect after another one.

use std::panic::{
    AssertUnwindSafe,
    catch_unwind, //
};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_lock::Mutex;
use limpetweir_transport::{
    panic_message,
    sleep, //
};

use super::lines::{
    APPEND_FAILED,
    log_event, //
};
use super::node::Node;
use super::supervisor::Steps;
use super::write_request::{
    Reply,
    WriteRequest,
    reply, //
};
use super::{
    apply,
    catch_up,
    results,
    store_relay, //
};
use crate::jobs::{
    CallEnd,
    CallLimits,
    Change,
    ChangeQueue,
    PreparedCall,
    RecordError,
    WriteError,
    decide, //
};
use crate::memory::Share;
use crate::platform::{
    Dialect,
    Record,
    Store,
    StoreError,
    Topic, //
};
use crate::store_load::CallTarget;

/// Time limit for writing a submission or an end; the caller waits for four seconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between two looks at a partition that is not loaded.
const UNLOADED_PAUSE: Duration = Duration::from_millis(200);

/// Time in which results are combined into one append.
const RESULT_DELAY: Duration = Duration::from_millis(60);

/// Queues a change for the writer of `partition` and returns the outcome.
pub(crate) async fn write<P>(
    node: &Node<P>,
    partition: usize,
    change: Change,
) -> Result<(), WriteError> {
    write_with(node, partition, change, Share::default()).await
}

/// The same for a change with a share of the memory, which is held until the outcome is known.
pub(crate) async fn write_with<P>(
    node: &Node<P>,
    partition: usize,
    change: Change,
    share: Share,
) -> Result<(), WriteError> {
    limits(node).check(&change)?;
    let urgent = matches!(change, Change::Submit(_) | Change::End { .. });
    let deadline = urgent.then(|| node.now() + CALL_TIMEOUT);
    let (tx, outcome) = async_channel::bounded(1);
    let shutting_down = || WriteError::Unknown {
        reason: "the process is shutting down".to_owned(),
    };
    let writer = node.writers.get(partition).ok_or_else(shutting_down)?;
    let reply = Reply {
        outcome: tx,
        _share: share,
    };
    let request = WriteRequest::new(change, deadline, reply);
    writer.send(request).await.map_err(|_| shutting_down())?;
    outcome.recv().await.map_err(|_| shutting_down())?
}

fn limits<P>(node: &Node<P>) -> CallLimits {
    CallLimits {
        record_bytes: node.settings.store.record_bytes,
        call_bytes: node.settings.store.call_bytes,
    }
}

/// The changes that a writer has accepted. They survive a panic of the writer, because callers and
/// items wait for their outcomes.
pub(crate) struct Queue {
    rx: Receiver<WriteRequest>,
    accepted: Mutex<ChangeQueue<Reply>>,
}

impl Queue {
    pub(crate) fn new(rx: Receiver<WriteRequest>) -> Self {
        Self {
            rx,
            accepted: Mutex::default(),
        }
    }
}

/// Writes the changes of `queue` to `partition` for as long as the process runs.
pub(crate) async fn run<P: Store + Dialect>(
    node: Arc<Node<P>>,
    partition: u32,
    queue: Arc<Queue>,
    steps: Arc<Steps>,
) {
    let rx = &queue.rx;
    let mut accepted = queue.accepted.lock().await;
    accepted.recover();
    loop {
        if accepted.is_empty() {
            steps.idle();
            match rx.recv().await {
                Ok(request) => accepted.push(request),
                Err(_) => return,
            }
            if !accepted.is_urgent() {
                gather_results(rx, &mut accepted).await;
            }
        }
        steps.step();
        while let Ok(request) = rx.try_recv() {
            accepted.push(request);
        }
        results::forward(&node, partition as usize, &mut accepted).await;
        append_next(&node, partition, &mut accepted).await;
        let now = node.now();
        accepted.settle_known(node.lock().partitions[partition as usize].loaded(), now);
        reply(accepted.take_settled());
    }
}

/// Waits for further results until [`RESULT_DELAY`] has elapsed or a caller's change arrives.
async fn gather_results(rx: &Receiver<WriteRequest>, queue: &mut ChangeQueue<Reply>) {
    let expired = async {
        sleep(RESULT_DELAY).await;
    };
    let urgent = async {
        while let Ok(request) = rx.recv().await {
            queue.push(request);
            if queue.is_urgent() {
                break;
            }
        }
    };
    futures_lite::future::or(urgent, expired).await;
}

/// Appends changes from the front of the queue in one call.
async fn append_next<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    queue: &mut ChangeQueue<Reply>,
) {
    let loaded = node.lock().partitions[partition as usize].is_loaded();
    if !loaded {
        sleep(UNLOADED_PAUSE).await;
        return;
    }
    let PreparedCall { at, records } = prepare(node, partition, queue);
    reply(queue.take_settled());
    if records.is_empty() {
        return;
    }
    let result = store_relay::append(node, partition, at, &records).await;
    if result.is_ok() {
        apply_appended(node, partition, at, &records);
    }
    queue.call_ended(call_end(&result));
    reply(queue.take_settled());
    let Err(err) = result else {
        return;
    };
    if err != StoreError::OffsetMismatch {
        log_event!(
            APPEND_FAILED,
            "partition={partition} at={at} records={} bytes={} cause=\"{err}\"",
            records.len(),
            records.iter().map(Record::bytes).sum::<usize>()
        );
    }
    // A call that is refused for its content is taken apart at once.
    if matches!(err, StoreError::Refused { .. }) {
        return;
    }
    if err != StoreError::OffsetMismatch {
        let target = CallTarget::append(Topic::Jobs, partition);
        sleep(node.store_pause(target)).await;
    }
    // The next decisions depend on the records that were appended meanwhile.
    match catch_up::catch_up(node, partition).await {
        Ok(next) => queue.read_to_end(next),
        Err(_) => {
            let target = CallTarget::read(Topic::Jobs, partition);
            sleep(node.store_pause(target)).await;
        }
    }
}

fn call_end(result: &Result<u64, StoreError>) -> CallEnd {
    match result {
        Ok(_) => CallEnd::Done,
        Err(StoreError::OffsetMismatch) => CallEnd::OffsetMismatch,
        Err(StoreError::Refused { reason }) => CallEnd::Refused(reason.clone()),
        Err(StoreError::NotDone { reason }) => CallEnd::NotDone(reason.clone()),
        Err(StoreError::Failed { reason }) => CallEnd::Failed(reason.clone()),
        Err(err @ (StoreError::Unknown { .. } | StoreError::Trimmed { .. })) => {
            CallEnd::Unknown(err.to_string())
        }
    }
}

/// Decides the queued changes on the current state.
fn prepare<P>(node: &Node<P>, partition: u32, queue: &mut ChangeQueue<Reply>) -> PreparedCall {
    // The other half of a record is reserved for the encoding overhead of its items.
    let part_bytes = node.settings.store.record_bytes / 2;
    let state = node.lock();
    let known = &state.partitions[partition as usize];
    // A partition that was dropped meanwhile says nothing about its jobs.
    let Some(state) = known.loaded() else {
        return PreparedCall {
            at: known.next(),
            records: Vec::new(),
        };
    };
    queue.prepare(state, limits(node), |pending, change| {
        let decide = AssertUnwindSafe(|| decide(state, pending, change, part_bytes));
        // The change would panic after a restart of the writer too, and stop all others.
        catch_unwind(decide).unwrap_or_else(|panic| {
            let cause = panic_message(&*panic).to_owned();
            node.supervisor.skipped("change", &cause);
            Err(RecordError {
                key: "change".to_owned(),
                reason: cause,
            })
        })
    })
}

/// Applies the records that this instance has just appended.
fn apply_appended<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    at: u64,
    records: &[Record],
) {
    apply::apply_jobs(node, partition, at, records.iter().map(Some));
}
