//! Calls to the store, counted with their duration and the bytes of the records that they return.

use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::Timestamp;
use rand::Rng;

use super::lines::{
    STORE_ACCESS,
    log_event, //
};
use super::node::Node;
use super::store_call::{
    CallOutcome,
    StoreCall,
    StoreCallEnd, //
};
use crate::platform::{
    Page,
    Record,
    RecordRange,
    Store,
    StoreError,
    Topic, //
};
use crate::store_load::{
    BeforePage,
    CallTarget, //
};

/// Longest time for which the store lets a call wait for those before it; it rejects further ones.
pub(crate) const MAX_STORE_QUEUE_TIME: Duration = Duration::from_secs(2);

impl<P: Store> Node<P> {
    /// Reads the records of a partition from offset `from` on; `call` is the purpose of the read.
    pub(crate) async fn read_records(
        &self,
        call: StoreCall,
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> Result<RecordRange, StoreError> {
        let started = Instant::now();
        let sent = self.now();
        let result = self.platform.read(topic, partition, from, wait).await;
        self.store_call_ended(
            CallTarget::read(topic, partition),
            sent,
            &CallOutcome {
                call,
                topic,
                end: StoreCallEnd::from(&result),
                elapsed: started.elapsed().saturating_sub(wait),
                bytes: result.as_ref().map_or(0, RecordRange::bytes),
            },
        );
        result
    }

    /// Returns a page of the newest records of a partition.
    ///
    /// A page is large, and the store sends it also if it is given up. So it is requested only after the
    /// partition has answered, if calls fail or the store is busy, and waited for as long as the store
    /// may take.
    pub(crate) async fn list_records(
        &self,
        topic: Topic,
        partition: u32,
        after: Option<&str>,
    ) -> Result<Page, StoreError> {
        let target = CallTarget::read(topic, partition);
        let before = self.lock().store_load.before_page(target);
        if before == BeforePage::Probe {
            self.probe_partition(topic, partition).await?;
        }
        let timeout = match before {
            BeforePage::Nothing | BeforePage::Probe => {
                self.settings.store.timeout + MAX_STORE_QUEUE_TIME
            }
            BeforePage::Unknown => self.settings.store.timeout,
        };
        let started = Instant::now();
        let sent = self.now();
        let result = self.platform.newest(topic, partition, after, timeout).await;
        self.store_call_ended(
            target,
            sent,
            &CallOutcome {
                call: StoreCall::List,
                topic,
                end: StoreCallEnd::from(&result),
                elapsed: started.elapsed(),
                bytes: result.as_ref().map_or(0, Page::bytes),
            },
        );
        result
    }

    /// Returns an error unless a partition answers within the time limit of an ordinary call.
    async fn probe_partition(&self, topic: Topic, partition: u32) -> Result<(), StoreError> {
        let started = Instant::now();
        let sent = self.now();
        let result = self.platform.probe(topic, partition).await;
        self.store_call_ended(
            CallTarget::read(topic, partition),
            sent,
            &CallOutcome {
                call: StoreCall::Probe,
                topic,
                end: StoreCallEnd::from(&result),
                elapsed: started.elapsed(),
                bytes: 0,
            },
        );
        result
    }

    /// Returns the pause before the next call about a target of which the last one has failed.
    pub(crate) fn store_pause(&self, target: CallTarget) -> Duration {
        let mut state = self.lock();
        let spread = state.rng.random_range(0.0..1.0);
        state.store_load.pause(target, spread)
    }

    /// Appends records to a partition, if its end is at `at`.
    pub(crate) async fn append_records(
        &self,
        topic: Topic,
        partition: u32,
        at: Option<u64>,
        records: &[Record],
    ) -> Result<u64, StoreError> {
        let started = Instant::now();
        let sent = self.now();
        let result = self.platform.append(topic, partition, at, records).await;
        self.store_call_ended(
            CallTarget::append(topic, partition),
            sent,
            &CallOutcome {
                call: StoreCall::Append,
                topic,
                end: StoreCallEnd::from(&result),
                elapsed: started.elapsed(),
                bytes: 0,
            },
        );
        result
    }

    /// Records the end of a call of this instance that was sent at `sent`.
    fn store_call_ended(&self, target: CallTarget, sent: Timestamp, outcome: &CallOutcome) {
        self.metrics.store_call(outcome);
        let is_answered = outcome.end == StoreCallEnd::Ok;
        let now = self.now();
        let mut state = self.lock();
        match outcome.call {
            _ if !is_answered => state.store_load.failed(target, now),
            StoreCall::List => state.store_load.page_answered(target, outcome.elapsed),
            // The pauses grow until a page arrives.
            StoreCall::Probe => {}
            StoreCall::Read | StoreCall::CatchUp | StoreCall::Append => {
                state.store_load.answered(target);
            }
        }
        let has_changed = state.access.call_ended(is_answered, sent, now);
        drop(state);
        if has_changed {
            self.access_changed(is_answered);
        }
    }

    /// Records that a call of this instance had no answer yet when a peer had made it.
    pub(crate) fn store_call_overtaken(&self, sent: Timestamp) {
        let has_changed = self.lock().access.call_overtaken(sent);
        if has_changed {
            self.access_changed(false);
        }
    }

    fn access_changed(&self, answers: bool) {
        log_event!(STORE_ACCESS, "answers={answers}");
        // Peers that this instance makes calls for need another one, or may come back.
        self.report_due.notify(usize::MAX);
    }
}
