//! Writes changes of the jobs of one partition to the store.
//!
//! Every append is conditional on the end offset of the partition on which the decision was based.
//! Of two instances that append concurrently only one succeeds, and an append whose response was
//! lost can neither be executed twice nor take effect after another one.

use std::collections::VecDeque;
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
    WriteError,
    WriteRequest, //
};
use super::{
    apply,
    catch_up,
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

/// Time limit for writing a submission or an end; the caller waits for four seconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time in which results are combined into one append.
const RESULT_DELAY: Duration = Duration::from_millis(60);

/// Queues a change for the writer of `partition` and returns the outcome.
pub(crate) async fn write<P>(
    node: &Node<P>,
    partition: usize,
    change: Change,
) -> Result<(), WriteError> {
    let urgent = matches!(change, Change::Submit(_) | Change::End { .. });
    let (reply, outcome) = async_channel::bounded(1);
    let request = WriteRequest {
        change,
        deadline: urgent.then(|| node.now() + CALL_TIMEOUT),
        reply,
        uncertain: false,
    };
    let shutting_down = || WriteError::Unknown("the process is shutting down".to_owned());
    let writer = node.writers.get(partition).ok_or_else(shutting_down)?;
    writer.send(request).await.map_err(|_| shutting_down())?;
    outcome.recv().await.map_err(|_| shutting_down())?
}

/// The changes that a writer has accepted. They survive a panic of the writer, because callers and
/// items wait for their outcomes.
pub(crate) struct Queue {
    rx: Receiver<WriteRequest>,
    accepted: Mutex<Accepted>,
}

impl Queue {
    pub(crate) fn new(rx: Receiver<WriteRequest>) -> Self {
        Self {
            rx,
            accepted: Mutex::default(),
        }
    }
}

/// Changes without an outcome. Each one is in one of the two lists whenever the writer waits.
#[derive(Debug, Default)]
pub(crate) struct Accepted {
    pub(crate) waiting: VecDeque<WriteRequest>,
    /// Changes of the call in progress.
    pub(crate) in_call: Vec<WriteRequest>,
}

impl Accepted {
    /// Returns the changes of a call that a panic has interrupted to the front of the queue.
    fn recover(&mut self) {
        let requests = std::mem::take(&mut self.in_call);
        // The call may have been executed.
        requeue(&mut self.waiting, requests, |r| r.uncertain = true);
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
        if accepted.waiting.is_empty() {
            steps.idle();
            match rx.recv().await {
                Ok(request) => accepted.waiting.push_back(request),
                Err(_) => return,
            }
            let mut waiting = accepted.waiting.iter();
            if waiting.all(|request| request.deadline.is_none()) {
                gather_results(rx, &mut accepted.waiting).await;
            }
        }
        steps.step();
        while let Ok(request) = rx.try_recv() {
            accepted.waiting.push_back(request);
        }
        // Submissions and ends come first, because callers wait for them.
        accepted
            .waiting
            .make_contiguous()
            .sort_by_key(|request| request.deadline.is_none());
        results::forward(&node, partition as usize, &mut accepted).await;
        append_next(&node, partition, &mut accepted).await;
        expire_requests(&node, &mut accepted.waiting);
    }
}

/// Waits for further results until [`RESULT_DELAY`] has elapsed or a caller's change arrives.
async fn gather_results(rx: &Receiver<WriteRequest>, queue: &mut VecDeque<WriteRequest>) {
    let expired = async {
        sleep(RESULT_DELAY).await;
    };
    let urgent = async {
        while let Ok(request) = rx.recv().await {
            let urgent = request.deadline.is_some();
            queue.push_back(request);
            if urgent {
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
    accepted: &mut Accepted,
) {
    let loaded = node.lock().partitions[partition as usize].is_loaded();
    if !loaded {
        sleep(RETRY_PAUSE).await;
        return;
    }
    let Prepared { at, records } = prepare(node, partition, accepted);
    if records.is_empty() {
        return;
    }
    let result = node.append_records(Topic::Jobs, partition, Some(at), &records);
    let result = result.await;
    if result.is_ok() {
        apply_appended(node, partition, at, &records);
    }
    let requests = std::mem::take(&mut accepted.in_call);
    let queue = &mut accepted.waiting;
    match result {
        Ok(_) => {
            for request in requests {
                // Sending fails if the caller has disconnected.
                let _ = request.reply.try_send(Ok(()));
            }
        }
        Err(StoreError::OffsetMismatch) => {
            requeue(queue, requests, |request| request.uncertain = false);
            // The next decision depends on the records that were appended meanwhile.
            if catch_up::catch_up(node, partition).await.is_err() {
                sleep(RETRY_PAUSE).await;
            }
        }
        Err(err) => {
            log_event!(
                APPEND_FAILED,
                "partition={partition} at={at} records={} cause=\"{err}\"",
                records.len()
            );
            let unknown = !matches!(err, StoreError::NotDone { .. });
            requeue(queue, requests, |request| request.uncertain |= unknown);
            if !unknown {
                reject_callers(queue, &err.to_string());
            }
            sleep(RETRY_PAUSE).await;
            let seen = catch_up::catch_up(node, partition).await;
            // Once the partition has grown, an earlier conditional append can no longer take
            // effect.
            if seen.is_ok_and(|next| next > at) {
                queue
                    .iter_mut()
                    .for_each(|request| request.uncertain = false);
            }
        }
    }
}

/// Content of one append.
struct Prepared {
    at: u64,
    records: Vec<Record>,
}

/// Decides the queued changes on the current state, as many as fit into one append, and makes them
/// those of the call in progress.
fn prepare<P>(node: &Node<P>, partition: u32, accepted: &mut Accepted) -> Prepared {
    let queue = &mut accepted.waiting;
    let limits = &node.settings.store;
    let state = node.lock();
    let state = &state.partitions[partition as usize];
    let mut prepared = Prepared {
        at: state.next(),
        records: Vec::new(),
    };
    // A partition that was dropped meanwhile says nothing about its jobs.
    if !state.is_loaded() {
        return prepared;
    }
    let mut pending = Pending::default();
    let mut bytes = 0;
    let mut later = VecDeque::new();
    while let Some(request) = queue.pop_front() {
        if bytes >= limits.call_bytes / 2 {
            later.push_back(request);
            continue;
        }
        // The other half of a record is reserved for the encoding overhead of its items.
        let max_bytes = limits.record_bytes / 2;
        let decision = catch_unwind(AssertUnwindSafe(|| {
            decide(state, &mut pending, &request.change, max_bytes)
        }));
        let decision = match decision {
            Ok(decision) => decision,
            // The change would panic after a restart of the writer too, and stop all others.
            Err(panic) => {
                let cause = panic_message(&*panic).to_owned();
                node.supervisor.skipped("change", &cause);
                let outcome = match request.uncertain {
                    true => WriteError::Unknown(cause),
                    false => WriteError::NotDone(cause),
                };
                // Sending fails if the caller has disconnected.
                let _ = request.reply.try_send(Err(outcome));
                continue;
            }
        };
        let outcome = match decision {
            Ok(Decision::Append(records)) => {
                bytes += records
                    .iter()
                    .map(|r| r.value.len() + r.key.len() + 5)
                    .sum::<usize>();
                prepared.records.extend(records);
                accepted.in_call.push(request);
                continue;
            }
            Ok(Decision::Deferred) => {
                later.push_back(request);
                continue;
            }
            Ok(Decision::Done) => Ok(()),
            Ok(Decision::NoJob) => Err(WriteError::NoJob),
            Ok(Decision::OverTokenLimit { waiting }) => Err(WriteError::NoRoom { waiting }),
            Err(err) => Err(WriteError::NotDone(err.to_string())),
        };
        // Sending fails if the caller has disconnected.
        let _ = request.reply.try_send(outcome);
    }
    accepted.waiting = later;
    prepared
}

/// Applies the records that this instance has just appended.
fn apply_appended<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: u32,
    at: u64,
    records: &[Record],
) {
    // The end that the store returns may be behind later records of other instances, so it is
    // computed from the offset of the append.
    let end = at + records.len() as u64;
    for (offset, record) in (at..).zip(records) {
        apply::apply_job(node, partition, offset, record);
    }
    apply::mark_read(node, Topic::Jobs, partition, end);
}

fn requeue(
    queue: &mut VecDeque<WriteRequest>,
    requests: Vec<WriteRequest>,
    mut change: impl FnMut(&mut WriteRequest),
) {
    for mut request in requests.into_iter().rev() {
        change(&mut request);
        queue.push_front(request);
    }
}

/// Rejects the callers' changes that certainly have not taken effect.
fn reject_callers(queue: &mut VecDeque<WriteRequest>, cause: &str) {
    queue.retain(|request| {
        let rejected = request.deadline.is_some() && !request.uncertain;
        if rejected {
            // Sending fails if the caller has disconnected.
            let _ = request
                .reply
                .try_send(Err(WriteError::NotDone(cause.to_owned())));
        }
        !rejected
    });
}

/// Completes the requests whose time limit has expired.
fn expire_requests<P>(node: &Node<P>, queue: &mut VecDeque<WriteRequest>) {
    let now = node.now();
    queue.retain(|request| {
        let expired = request.deadline.is_some_and(|deadline| deadline <= now);
        if expired {
            let cause = "the store did not respond in time".to_owned();
            let outcome = if request.uncertain {
                WriteError::Unknown(cause)
            } else {
                WriteError::NotDone(cause)
            };
            // Sending fails if the caller has disconnected.
            let _ = request.reply.try_send(Err(outcome));
        }
        !expired
    });
}
