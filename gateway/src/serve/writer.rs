//! Writes changes of the jobs of one partition to the store.
//!
//! Every append is conditional on the end of the partition that the decision was made on, so of two
//! instances that decide at once only one succeeds, and an append whose answer was lost can neither
//! be repeated nor take effect after another one.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use limpetweir_state::Timestamp;
use limpetweir_transport::sleep;

use super::lines::{
    APPEND_FAILED,
    line, //
};
use super::node::Node;
use super::{
    follow,
    results, //
};
use crate::jobs::{
    Change,
    Decision,
    Pending,
    decide, //
};
use crate::platform::{
    Dialect,
    Record,
    Store,
    StoreError,
    Topic, //
};

/// Longest time a submission or an end waits for the store; the caller waits four seconds.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time in which results are gathered into one append.
const GATHER: Duration = Duration::from_millis(60);

/// A change that is not in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The job does not exist.
    NoJob,
    /// The job does not fit below the limit of waiting tokens.
    OverTokenLimit {
        /// Tokens that wait already.
        waiting: u64,
    },
    /// The change did not take effect and will not.
    NotDone(String),
    /// The change may have taken effect, or may do so later.
    Unknown(String),
}

/// A change and where its outcome goes.
#[derive(Debug)]
pub(crate) struct WriteRequest {
    change: Change,
    /// Time after which a caller no longer waits; `None` waits until the change is written.
    until: Option<Timestamp>,
    reply: Sender<Result<(), WriteError>>,
    /// Whether an append with this change has an unknown outcome.
    uncertain: bool,
}

impl WriteRequest {
    pub(crate) fn change(&self) -> &Change {
        &self.change
    }

    /// Notes that a peer has written the change.
    pub(crate) fn written(self) {
        // The task that waits for the outcome ends with the process only.
        let _ = self.reply.try_send(Ok(()));
    }
}

/// Has a change written and returns its outcome.
pub(crate) async fn write<P>(
    node: &Node<P>,
    partition: usize,
    change: Change,
) -> Result<(), WriteError> {
    let urgent = matches!(change, Change::Submit(_) | Change::End { .. });
    let (reply, outcome) = async_channel::bounded(1);
    let request = WriteRequest {
        change,
        until: urgent.then(|| node.now() + CALL_LIMIT),
        reply,
        uncertain: false,
    };
    let gone = || WriteError::Unknown("the process stops".to_owned());
    let writer = node.writers.get(partition).ok_or_else(gone)?;
    writer.send(request).await.map_err(|_| gone())?;
    outcome.recv().await.map_err(|_| gone())?
}

/// Writes the changes that arrive on `rx` to `partition` for as long as the process runs.
pub(crate) async fn run<P: Store + Dialect>(
    node: Arc<Node<P>>,
    partition: u32,
    rx: Receiver<WriteRequest>,
) {
    let mut queue = VecDeque::new();
    loop {
        if queue.is_empty() {
            match rx.recv().await {
                Ok(request) => queue.push_back(request),
                Err(_) => return,
            }
            if queue.iter().all(|request| request.until.is_none()) {
                gather(&rx, &mut queue).await;
            }
        }
        while let Ok(request) = rx.try_recv() {
            queue.push_back(request);
        }
        // Callers wait for submissions and ends; results can wait for them.
        queue
            .make_contiguous()
            .sort_by_key(|request| request.until.is_none());
        results::pass_on(&node, partition as usize, &mut queue).await;
        step(&node, partition, &mut queue).await;
        expire(&node, &mut queue);
    }
}

/// Waits a little for further results, or until a caller's change arrives.
async fn gather(rx: &Receiver<WriteRequest>, queue: &mut VecDeque<WriteRequest>) {
    let expired = async {
        sleep(GATHER).await;
    };
    let urgent = async {
        while let Ok(request) = rx.recv().await {
            let urgent = request.until.is_some();
            queue.push_back(request);
            if urgent {
                break;
            }
        }
    };
    futures_lite::future::or(urgent, expired).await;
}

/// Makes one append from the front of the queue.
async fn step<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    queue: &mut VecDeque<WriteRequest>,
) {
    let loaded = node.lock().partitions[partition as usize].is_loaded();
    if !loaded {
        sleep(RETRY_PAUSE).await;
        return;
    }
    let Prepared { at, records, taken } = prepare(node, partition, queue);
    if records.is_empty() {
        return;
    }
    let result = node
        .platform
        .append(Topic::Jobs, partition, Some(at), &records)
        .await;
    node.metrics.store_call(result.is_ok());
    match result {
        Ok(_) => {
            applied(node, partition, at, &records);
            for request in taken {
                // A caller that has left does not wait for the outcome.
                let _ = request.reply.try_send(Ok(()));
            }
        }
        Err(StoreError::OffsetMismatch) => {
            put_back(queue, taken, |request| request.uncertain = false);
            // The next decision needs the records that were appended meanwhile.
            if catch_up(node, partition).await.is_err() {
                sleep(RETRY_PAUSE).await;
            }
        }
        Err(err) => {
            line!(
                APPEND_FAILED,
                "partition={partition} at={at} records={} cause=\"{err}\"",
                records.len()
            );
            let unknown = !matches!(err, StoreError::NotDone { .. });
            put_back(queue, taken, |request| request.uncertain |= unknown);
            if !unknown {
                refuse_callers(queue, &err.to_string());
            }
            sleep(RETRY_PAUSE).await;
            let seen = catch_up(node, partition).await;
            // Once the partition has grown, a conditional append from before can do nothing more.
            if seen.is_ok_and(|next| next > at) {
                queue
                    .iter_mut()
                    .for_each(|request| request.uncertain = false);
            }
        }
    }
}

/// Changes of one append.
struct Prepared {
    at: u64,
    records: Vec<Record>,
    taken: Vec<WriteRequest>,
}

/// Decides the changes of the queue on the present state, as many as fit into one call.
fn prepare<P>(node: &Node<P>, partition: u32, queue: &mut VecDeque<WriteRequest>) -> Prepared {
    let limits = &node.settings.store;
    let state = node.lock();
    let state = &state.partitions[partition as usize];
    let mut prepared = Prepared {
        at: state.next(),
        records: Vec::new(),
        taken: Vec::new(),
    };
    let mut pending = Pending::default();
    let mut bytes = 0;
    let mut later = VecDeque::new();
    while let Some(request) = queue.pop_front() {
        if bytes >= limits.call_bytes / 2 {
            later.push_back(request);
            continue;
        }
        // Half of a record is left to the encoding of its items.
        let decision = decide(
            state,
            &mut pending,
            &request.change,
            limits.record_bytes / 2,
        );
        let outcome = match decision {
            Ok(Decision::Append(records)) => {
                bytes += records
                    .iter()
                    .map(|r| r.value.len() + r.key.len() + 5)
                    .sum::<usize>();
                prepared.records.extend(records);
                prepared.taken.push(request);
                continue;
            }
            Ok(Decision::Deferred) => {
                later.push_back(request);
                continue;
            }
            Ok(Decision::Done) => Ok(()),
            Ok(Decision::NoJob) => Err(WriteError::NoJob),
            Ok(Decision::OverTokenLimit { waiting }) => Err(WriteError::OverTokenLimit { waiting }),
            Err(err) => Err(WriteError::NotDone(err.to_string())),
        };
        // A caller that has left does not wait for the outcome.
        let _ = request.reply.try_send(outcome);
    }
    *queue = later;
    prepared
}

/// Applies records that this instance has just appended.
fn applied<P: Store + Dialect>(node: &Arc<Node<P>>, partition: u32, at: u64, records: &[Record]) {
    // The end that the store returns may lie behind later records of other instances.
    let end = at + records.len() as u64;
    for (offset, record) in (at..).zip(records) {
        follow::take_job(node, partition, offset, record);
    }
    follow::finish(node, Topic::Jobs, partition, end);
}

fn put_back(
    queue: &mut VecDeque<WriteRequest>,
    taken: Vec<WriteRequest>,
    mut change: impl FnMut(&mut WriteRequest),
) {
    for mut request in taken.into_iter().rev() {
        change(&mut request);
        queue.push_front(request);
    }
}

/// Refuses the callers whose changes the store certainly did not take.
fn refuse_callers(queue: &mut VecDeque<WriteRequest>, cause: &str) {
    queue.retain(|request| {
        let refused = request.until.is_some() && !request.uncertain;
        if refused {
            // A caller that has left does not wait for the outcome.
            let _ = request
                .reply
                .try_send(Err(WriteError::NotDone(cause.to_owned())));
        }
        !refused
    });
}

/// Answers callers that have waited long enough.
fn expire<P>(node: &Node<P>, queue: &mut VecDeque<WriteRequest>) {
    let now = node.now();
    queue.retain(|request| {
        let expired = request.until.is_some_and(|until| until <= now);
        if expired {
            let cause = "the store did not answer in time".to_owned();
            let outcome = if request.uncertain {
                WriteError::Unknown(cause)
            } else {
                WriteError::NotDone(cause)
            };
            // A caller that has left does not wait for the outcome.
            let _ = request.reply.try_send(Err(outcome));
        }
        !expired
    });
}

/// Reads the partition to its present end and returns the end.
async fn catch_up<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
) -> Result<u64, StoreError> {
    loop {
        let next = node.lock().partitions[partition as usize].next();
        let read = node
            .platform
            .read(Topic::Jobs, partition, next, Duration::ZERO)
            .await;
        node.metrics.store_call(read.is_ok());
        let batch = match read {
            Ok(batch) => batch,
            Err(err) => {
                if matches!(err, StoreError::Trimmed { .. }) {
                    node.lock().partitions[partition as usize].set_missed();
                }
                return Err(err);
            }
        };
        for (offset, record) in (batch.from..).zip(&batch.records) {
            if let Some(record) = record {
                follow::take_job(node, partition, offset, record);
            }
        }
        let next = batch.from + batch.records.len() as u64;
        follow::finish(node, Topic::Jobs, partition, next);
        if next >= batch.end {
            return Ok(next);
        }
    }
}

/// Reads the partition to its present end, so that what is missing in it does not exist.
pub(crate) async fn confirm<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
) -> Result<(), StoreError> {
    if !node.lock().partitions[partition].is_loaded() {
        return Err(StoreError::NotDone {
            reason: "the partition has not been read yet".to_owned(),
        });
    }
    // Partitions are far fewer than the number holds.
    catch_up(node, partition as u32).await.map(|_| ())
}
