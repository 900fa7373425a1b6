//! Reads the output of one run at a backend server, for online requests and items alike.
//!
//! An output is a series of events whose numbers follow each other without a gap. A faulty server may
//! send blocks that are no events between them. They belong to no request, so the output ends before
//! the first of them, and another run continues after its last event.

use std::sync::Arc;

use hyper::body::Bytes;
use snafu::Snafu;

use crate::memory::{
    ByteBudget,
    OverBudget,
    Share, //
};
use crate::sse::{
    BlockKind,
    Event,
    InvalidEventStream,
    Splitter, //
};

/// Bytes of a server that do not belong to the output of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidOutput {
    /// The bytes are no event stream.
    #[snafu(display("{source}"))]
    Bytes {
        /// What is wrong with them.
        source: InvalidEventStream,
    },
    /// A block lacks a valid number or data.
    #[snafu(display("a block that is no event follows event {}", Number(*last)))]
    NoEvent {
        /// Number of the event before; `None` before the first one.
        last: Option<u64>,
    },
    /// The number of an event does not follow that of the one before.
    #[snafu(display("event {id} follows event {last}"))]
    OutOfOrder {
        /// Number of the event.
        id: u64,
        /// Number of the event before.
        last: u64,
    },
    /// There is no memory for an incomplete event.
    #[snafu(display("{source}"))]
    NoMemory {
        /// The limit that it exceeds.
        source: OverBudget,
    },
}

/// Reason why an output that has ended is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum IncompleteOutput {
    /// The last event is incomplete.
    #[snafu(display("the stream ended within an event"))]
    WithinEvent,
    /// Neither this run nor one before has sent an event.
    #[snafu(display("the stream ended without an event"))]
    WithoutEvent,
}

/// A number of an event, or none.
struct Number(Option<u64>);

impl std::fmt::Display for Number {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(id) => write!(f, "{id}"),
            None => f.write_str("none"),
        }
    }
}

/// Splits the response of one run into events, and checks their numbers.
#[derive(Debug)]
pub struct EventReader {
    splitter: Splitter,
    /// Number of the last event of the output, which this run or one before has sent.
    last: Option<u64>,
    /// Set once invalid bytes were read; nothing after them belongs to the output.
    invalid: Option<InvalidOutput>,
    /// Bytes of the event that is incomplete.
    share: Share,
}

impl EventReader {
    /// Returns a reader of a run that continues after the event `last`, or begins the output. What it
    /// keeps is a part of `budget`.
    pub fn after(last: Option<u64>, budget: &Arc<ByteBudget>) -> Self {
        Self {
            splitter: Splitter::default(),
            last,
            invalid: None,
            share: budget.share(),
        }
    }

    /// Returns the number of the last event of the output.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Adds bytes and returns the events that are now complete; comments and blank lines that follow
    /// each other are one event. Invalid bytes are an error; the events before them are returned
    /// first, and [`check`](Self::check) fails then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, InvalidOutput> {
        self.check()?;
        self.splitter.add(bytes);
        let mut events = Events::default();
        loop {
            match self.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(invalid) => {
                    self.invalid = Some(invalid);
                    break;
                }
            }
        }
        if let Err(source) = self.share.resize(self.splitter.buffered()) {
            self.invalid
                .get_or_insert(InvalidOutput::NoMemory { source });
        }
        let events = events.into_vec();
        match self.invalid {
            Some(invalid) if events.is_empty() => Err(invalid),
            _ => Ok(events),
        }
    }

    fn next_event(&mut self) -> Result<Option<Event>, InvalidOutput> {
        let event = self.splitter.next_event();
        let event = event.map_err(|source| InvalidOutput::Bytes { source })?;
        if let Some(event) = &event {
            self.last = number(event, self.last)?.or(self.last);
        }
        Ok(event)
    }

    /// Fails once invalid bytes were read.
    pub fn check(&self) -> Result<(), InvalidOutput> {
        self.invalid.map_or(Ok(()), Err)
    }

    /// Checks an output whose response has ended.
    pub fn end(&self) -> Result<(), IncompleteOutput> {
        if self.splitter.is_partial() {
            Err(IncompleteOutput::WithinEvent)
        } else if self.last.is_none() {
            Err(IncompleteOutput::WithoutEvent)
        } else {
            Ok(())
        }
    }
}

/// Events of one read. A single read may have tens of thousands of blank lines.
#[derive(Default)]
struct Events {
    events: Vec<Event>,
    /// Bytes of the comments after the last event.
    comments: Vec<u8>,
}

impl Events {
    fn push(&mut self, event: Event) {
        if event.kind == BlockKind::Comment {
            self.comments.extend_from_slice(&event.raw);
        } else {
            self.end_comments();
            self.events.push(event);
        }
    }

    fn end_comments(&mut self) {
        if !self.comments.is_empty() {
            self.events.push(Event {
                raw: Bytes::from(std::mem::take(&mut self.comments)),
                kind: BlockKind::Comment,
                id: None,
                data: String::new(),
            });
        }
    }

    fn into_vec(mut self) -> Vec<Event> {
        self.end_comments();
        self.events
    }
}

/// Returns the number of an event after the event `last`; `None` for a comment or a blank line.
fn number(event: &Event, last: Option<u64>) -> Result<Option<u64>, InvalidOutput> {
    match (event.kind, event.id, last) {
        (BlockKind::Comment, ..) => Ok(None),
        (BlockKind::Output, Some(id), Some(last)) if id != last + 1 => {
            Err(InvalidOutput::OutOfOrder { id, last })
        }
        (BlockKind::Output, Some(id), _) => Ok(Some(id)),
        (BlockKind::Output | BlockKind::Invalid, ..) => Err(InvalidOutput::NoEvent { last }),
    }
}
