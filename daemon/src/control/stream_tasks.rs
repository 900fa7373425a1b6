//! Tasks of a log stream: one reads it, one appends to it.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use futures_lite::future;
use limpetweir_protocol::http::RecordBody;
use limpetweir_protocol::records::{
    self,
    StreamRecord, //
};
use limpetweir_state::{
    AppendResult,
    Entry,
    Fold,
    Offset,
    Timestamp, //
};
use limpetweir_transport::{
    AppendOutcome,
    ReadOutcome,
    ReadRequest,
    Spawner,
    sleep, //
};

use super::stream::{
    Stream,
    StreamObserver, //
};
use crate::event;
use crate::events::{
    APPEND_REJECTED,
    RECORD_SKIPPED, //
};

/// Largest number of records of one read; a record has at most 1 MiB.
const READ_RECORDS: u32 = 128;

/// Timeout of an append; after it, reading the stream shows whether the entry was appended.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Running tasks of a stream; dropping them stops the stream immediately.
#[derive(Debug)]
pub(crate) struct StreamTasks {
    reader: Task<()>,
    appender: Task<()>,
}

impl StreamTasks {
    /// Returns the reader and the appender.
    pub(crate) fn into_tasks(self) -> [Task<()>; 2] {
        [self.reader, self.appender]
    }
}

type Page<R> = Vec<(Offset, Result<Entry<R>, records::RecordError>)>;

impl<O: StreamObserver> Stream<O> {
    /// Starts the tasks that read the stream and append queued entries.
    pub(crate) fn start(self: &Arc<Self>, spawner: &Spawner) -> StreamTasks {
        StreamTasks {
            reader: spawner.spawn(self.clone().read_pages()),
            appender: spawner.spawn(self.clone().append_queued()),
        }
    }

    async fn read_pages(self: Arc<Self>) {
        loop {
            match self.read_page().await {
                Some(ReadOutcome::Records { sent, answer }) => {
                    self.process_page(sent, answer.next, decode(answer.records));
                }
                Some(ReadOutcome::Trimmed { first, .. }) => self.on_trimmed(first),
                Some(ReadOutcome::Unavailable { retry_after }) => sleep(retry_after).await,
                None => {}
            }
        }
    }

    /// Reads one page; `None` if the wait was interrupted because an append with an unknown result
    /// has to be resolved by an immediate read.
    async fn read_page(&self) -> Option<ReadOutcome> {
        let unresolved = self.unresolved.listen();
        let (from, wait) = self.next_read();
        let limit = READ_RECORDS;
        let read = self
            .log
            .read(&self.options.name, ReadRequest { from, limit, wait });
        if wait.is_zero() {
            return Some(read.await);
        }
        let interrupted = async {
            unresolved.await;
            None
        };
        future::or(async { Some(read.await) }, interrupted).await
    }

    fn next_read(&self) -> (Offset, Duration) {
        let state = self.lock();
        // The first read must not wait for a new record, which would delay the start of an instance
        // on an idle stream.
        let immediate = state.append_unknown || !state.is_confirmed();
        // A read in a gap is never confirmed, so it must wait; otherwise reads would repeat without
        // a pause.
        let immediate = immediate && state.is_ready();
        let wait = if immediate {
            Duration::ZERO
        } else {
            self.options.long_poll
        };
        (state.next(), wait)
    }

    fn process_page(&self, sent: Timestamp, end: Offset, page: Page<<O::Fold as Fold>::Record>) {
        let mut state = self.lock();
        for (at, entry) in page {
            match entry {
                Ok(entry) => self.on_entry(&mut state, at, entry),
                Err(err) => {
                    let name = &self.options.name;
                    event!(RECORD_SKIPPED, "stream={name} offset={} error={err}", at.0);
                    self.on_unreadable(&mut state, at);
                }
            }
        }
        self.on_page(&mut state, sent, end);
        drop(state);
        self.appendable.notify(usize::MAX);
    }

    async fn append_queued(self: Arc<Self>) {
        loop {
            let appendable = self.appendable.listen();
            let entry = self.lock().writer.poll_append();
            match entry {
                Some(entry) => self.append(entry).await,
                None => appendable.await,
            }
        }
    }

    async fn append(&self, entry: Entry<<O::Fold as Fold>::Record>) {
        let sequence = entry.writer.sequence;
        let name = &self.options.name;
        let record = match records::encode(entry) {
            Ok(record) => record,
            Err(err) => {
                event!(APPEND_REJECTED, "stream={name} error={err}");
                return self.abandon();
            }
        };
        match self.log.append(name, record, APPEND_TIMEOUT).await {
            AppendOutcome::Appended(offset) => {
                self.on_append_result(sequence, AppendResult::Appended(offset))
            }
            AppendOutcome::Unknown => {
                self.on_append_result(sequence, AppendResult::Unknown);
                self.unresolved.notify(usize::MAX);
            }
            AppendOutcome::RetryLater { retry_after } => {
                self.on_append_result(sequence, AppendResult::Rejected);
                sleep(retry_after).await;
            }
            AppendOutcome::Rejected { status } => {
                // The entry would be rejected each time and block the entries queued behind it.
                event!(APPEND_REJECTED, "stream={name} status={status}");
                self.on_append_result(sequence, AppendResult::Rejected);
                self.abandon();
            }
        }
    }

    fn on_append_result(&self, sequence: u64, result: AppendResult) {
        let mut state = self.lock();
        state.writer.on_append_result(sequence, result);
        // Recorded after the result, so a read sent later includes the effect of the append.
        state.append_result_at = Some(self.clock.now());
        state.append_unknown = result == AppendResult::Unknown;
    }
}

fn decode<R: StreamRecord>(records: Vec<RecordBody>) -> Page<R> {
    let decoded = |record: RecordBody| (record.offset, records::decode(&record.data));
    records.into_iter().map(decoded).collect()
}
