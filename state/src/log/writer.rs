//! Writer of a stream.

use std::collections::VecDeque;

use snafu::{
    Snafu, //
    ensure,
};

use super::entry::{
    Entry,
    EntryBody,
    WriterId, //
};
use crate::ids::{
    Incarnation,
    Offset, //
};
use crate::verdict::Verdict;

/// Handle of an entry, from its queueing until it is read back or abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(
    /// Sequence of the entry.
    u64,
);

/// The queue of a writer is full; the entry was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{limit} entries wait for the log"))]
pub struct QueueFull {
    /// Capacity of the queue.
    pub limit: usize,
}

impl QueueFull {
    /// Returns the verdict for the operation that wrote the entry.
    pub fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

/// Result of an append, as far as the log service reported one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The entry was appended.
    Appended(Offset),
    /// The log service reported that it did not append the entry.
    Rejected,
    /// The entry may have been appended, for example after a timeout.
    Unknown,
}

/// Entries that a writer abandoned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// Entries that were never sent, with the verdict "not run".
    pub not_run: Vec<Ticket>,
    /// The entry that was sent but not read back; it may still take effect.
    pub may_have_run: Option<Ticket>,
}

/// Appends entries to one stream in order, one at a time.
///
/// An entry is sent only after the previous one was read back. The entries of an incarnation are
/// therefore stored in the order of their sequences, and a late copy is always detected as a
/// resend.
#[derive(Debug)]
pub struct Writer<R> {
    incarnation: Incarnation,
    /// Sequence of the next queued entry.
    next_sequence: u64,
    /// Capacity of `queue`.
    limit: usize,
    /// Entries that are not yet read back; the append of the first one may be in flight.
    queue: VecDeque<Entry<R>>,
    append_state: AppendState,
}

/// State of the append of the first entry in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendState {
    /// The entry was never sent.
    Unsent,
    /// The entry was sent before and must be sent again.
    Resend,
    /// The append is in flight.
    InFlight,
    /// The append succeeded; the entry is yet to be read back.
    Appended(Offset),
    /// The append may have succeeded; reading the stream to its end resolves it.
    Unknown,
}

impl<R: Clone> Writer<R> {
    /// Returns a writer that queues at most `limit` entries.
    pub fn new(incarnation: Incarnation, limit: usize) -> Self {
        Self {
            incarnation,
            next_sequence: 1,
            limit,
            queue: VecDeque::new(),
            append_state: AppendState::Unsent,
        }
    }

    /// Returns a writer whose first entry has the sequence `first`, or 1 if it is 0.
    ///
    /// An incarnation that reopens a stream must start above all sequences that it used there
    /// before. Otherwise its entries are dropped as resends.
    pub fn starting_at(incarnation: Incarnation, limit: usize, first: u64) -> Self {
        Self {
            next_sequence: first.max(1),
            ..Self::new(incarnation, limit)
        }
    }

    /// Returns the number of entries that are not yet read back.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether every entry was read back.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues an entry.
    pub fn push(&mut self, body: EntryBody<R>) -> Result<Ticket, QueueFull> {
        let limit = self.limit;
        ensure!(self.queue.len() < limit, QueueFullSnafu { limit });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let incarnation = self.incarnation.clone();
        self.queue.push_back(Entry {
            writer: WriterId {
                incarnation,
                sequence,
            },
            body,
        });
        Ok(Ticket(sequence))
    }

    /// Returns the entry to send now, or `None` if the queue is empty or an append is in flight or
    /// unresolved.
    pub fn poll_append(&mut self) -> Option<Entry<R>> {
        if !matches!(self.append_state, AppendState::Unsent | AppendState::Resend) {
            return None;
        }
        let entry = self.queue.front()?.clone();
        self.append_state = AppendState::InFlight;
        Some(entry)
    }

    /// Records the result of the append in flight; a result for another entry is ignored.
    pub fn on_append_result(&mut self, sequence: u64, result: AppendResult) {
        let current = self.queue.front().map(|entry| entry.writer.sequence);
        if current != Some(sequence) || self.append_state != AppendState::InFlight {
            return;
        }
        self.append_state = match result {
            AppendResult::Appended(offset) => AppendState::Appended(offset),
            AppendResult::Rejected => AppendState::Resend,
            AppendResult::Unknown => AppendState::Unknown,
        };
    }

    /// Processes an entry read from the stream; returns its ticket if it is the first queued entry.
    pub fn on_read(&mut self, writer: &WriterId) -> Option<Ticket> {
        if writer.incarnation != self.incarnation {
            return None;
        }
        let front = self.queue.front()?;
        if front.writer.sequence != writer.sequence {
            return None;
        }
        self.queue.pop_front();
        self.append_state = AppendState::Unsent;
        Some(Ticket(writer.sequence))
    }

    /// Records that the stream was read to its end, which is `next`.
    ///
    /// The read must have been sent after the last call of [`Self::on_append_result`]. An entry
    /// that was not found is sent again, even if it was appended as a record that is unreadable.
    pub fn on_read_to_end(&mut self, next: Offset) {
        let missing = match self.append_state {
            AppendState::Unknown => true,
            AppendState::Appended(offset) => offset < next,
            AppendState::Unsent | AppendState::Resend | AppendState::InFlight => false,
        };
        if missing {
            self.append_state = AppendState::Resend;
        }
    }

    /// Removes the entries up to `sequence`, which the replica contains, for example after it
    /// adopted a snapshot; returns their tickets.
    pub fn on_caught_up(&mut self, sequence: u64) -> Vec<Ticket> {
        let mut found = Vec::new();
        while let Some(front) = self.queue.front()
            && front.writer.sequence <= sequence
        {
            found.push(Ticket(front.writer.sequence));
            self.queue.pop_front();
            self.append_state = AppendState::Unsent;
        }
        found
    }

    /// Abandons all entries, for example after the ownership of their group was lost.
    pub fn abandon(&mut self) -> Abandoned {
        let mut abandoned = Abandoned::default();
        if self.append_state != AppendState::Unsent {
            let front = self.queue.pop_front();
            abandoned.may_have_run = front.map(|entry| Ticket(entry.writer.sequence));
        }
        let rest = self.queue.drain(..);
        abandoned.not_run = rest.map(|entry| Ticket(entry.writer.sequence)).collect();
        self.append_state = AppendState::Unsent;
        abandoned
    }
}
