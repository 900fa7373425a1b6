//! The writer of one stream.

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

/// Names an entry from the time it is queued until it is read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(
    /// Sequence of the entry.
    u64,
);

/// The queue of a writer is full; the entry was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{limit} entries wait for the log"))]
pub struct QueueFull {
    /// Largest number of entries that wait.
    pub limit: usize,
}

impl QueueFull {
    /// Returns whether the operation behind the entry may have taken effect.
    pub fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

/// Answer of the log service to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The entry was appended.
    Appended(Offset),
    /// The log service says that it did not append the entry.
    Rejected,
    /// The entry may have been appended.
    Unknown,
}

/// Entries that a writer gave up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// Entries that were never sent; their verdict is "not run".
    pub not_run: Vec<Ticket>,
    /// The entry that was sent but not read back.
    pub may_have_run: Option<Ticket>,
}

/// Appends entries to one stream in order, one at a time.
///
/// The next entry is sent only after the former was read back, so the stream holds the entries of
/// an incarnation in the order of their sequences and a late copy is always recognised as a resend.
#[derive(Debug)]
pub struct Writer<R> {
    incarnation: Incarnation,
    /// Sequence of the next queued entry.
    next_sequence: u64,
    /// Largest number of entries in `queue`.
    limit: usize,
    /// Entries that are not read back; the first one may be in flight.
    queue: VecDeque<Entry<R>>,
    flight: Flight,
}

/// State of the first entry of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flight {
    /// The entry was never sent.
    Unsent,
    /// The entry was sent before and has to be sent again.
    Resend,
    /// The append is in flight.
    Sent,
    /// The append took effect; the entry has to be read back.
    Appended(Offset),
    /// The append may have taken effect; the stream has to be read to its end.
    Unknown,
}

impl<R: Clone> Writer<R> {
    /// Returns a writer that holds at most `limit` entries.
    pub fn new(incarnation: Incarnation, limit: usize) -> Self {
        Self {
            incarnation,
            next_sequence: 1,
            limit,
            queue: VecDeque::new(),
            flight: Flight::Unsent,
        }
    }

    /// Returns a writer whose first entry has the sequence `first`, or 1 if it is 0.
    ///
    /// An incarnation that opens a stream again must start above all sequences that it used there
    /// before, or its entries count as resent.
    pub fn starting_at(incarnation: Incarnation, limit: usize, first: u64) -> Self {
        Self {
            next_sequence: first.max(1),
            ..Self::new(incarnation, limit)
        }
    }

    /// Returns the number of entries that are not read back.
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

    /// Returns the entry to send now, or `None` while an append is in flight or unresolved.
    pub fn poll_append(&mut self) -> Option<Entry<R>> {
        if !matches!(self.flight, Flight::Unsent | Flight::Resend) {
            return None;
        }
        let entry = self.queue.front()?.clone();
        self.flight = Flight::Sent;
        Some(entry)
    }

    /// Notes the answer to the append in flight; an answer to another entry is ignored.
    pub fn on_append_result(&mut self, sequence: u64, answer: AppendResult) {
        let current = self.queue.front().map(|entry| entry.writer.sequence);
        if current != Some(sequence) || self.flight != Flight::Sent {
            return;
        }
        self.flight = match answer {
            AppendResult::Appended(offset) => Flight::Appended(offset),
            AppendResult::Rejected => Flight::Resend,
            AppendResult::Unknown => Flight::Unknown,
        };
    }

    /// Notes an entry read from the stream; returns the ticket if it is the entry awaited.
    pub fn on_read(&mut self, writer: &WriterId) -> Option<Ticket> {
        if writer.incarnation != self.incarnation {
            return None;
        }
        let front = self.queue.front()?;
        if front.writer.sequence != writer.sequence {
            return None;
        }
        self.queue.pop_front();
        self.flight = Flight::Unsent;
        Some(Ticket(writer.sequence))
    }

    /// Notes that everything below `next` was read, by a read to the end of the stream that was
    /// sent after the last answer was noted.
    ///
    /// An entry that was not found is sent again, also when its record is unreadable.
    pub fn on_read_to_end(&mut self, next: Offset) {
        let missing = match self.flight {
            Flight::Unknown => true,
            Flight::Appended(offset) => offset < next,
            Flight::Unsent | Flight::Resend | Flight::Sent => false,
        };
        if missing {
            self.flight = Flight::Resend;
        }
    }

    /// Notes that the replica contains this writer's entries up to `sequence`, for example after
    /// it adopted a snapshot; returns the tickets of the entries found.
    pub fn on_caught_up(&mut self, sequence: u64) -> Vec<Ticket> {
        let mut found = Vec::new();
        while let Some(front) = self.queue.front()
            && front.writer.sequence <= sequence
        {
            found.push(Ticket(front.writer.sequence));
            self.queue.pop_front();
            self.flight = Flight::Unsent;
        }
        found
    }

    /// Gives up all entries, for example when the group they belong to was lost.
    pub fn abandon(&mut self) -> Abandoned {
        let mut abandoned = Abandoned::default();
        if self.flight != Flight::Unsent {
            let front = self.queue.pop_front();
            abandoned.may_have_run = front.map(|entry| Ticket(entry.writer.sequence));
        }
        let rest = self.queue.drain(..);
        abandoned.not_run = rest.map(|entry| Ticket(entry.writer.sequence)).collect();
        self.flight = Flight::Unsent;
        abandoned
    }
}
