//! Server-sent events as streamed answers use them.

use std::collections::VecDeque;

use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Bytes, //
};
use snafu::Snafu;

use super::body::{
    BodyClosed,
    BodyError,
    BodySender, //
};

/// Data of the event that ends a stream of completions.
pub const DONE: &str = "[DONE]";

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Name of the event; empty if the stream gave none.
    pub name: String,
    /// Data lines, joined by a line feed.
    pub data: String,
}

impl Event {
    /// Returns whether this is the end marker of a stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }
}

/// A stream of events that could not be read.
#[derive(Debug, Snafu)]
pub enum SseError {
    /// The body of the answer failed.
    #[snafu(context(false), display("{source}"))]
    Body {
        /// Cause given by the body.
        source: BodyError,
    },
    /// An event is longer than accepted.
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
    /// A line is not valid UTF-8.
    #[snafu(display("an event is not valid UTF-8"))]
    InvalidUtf8,
}

/// Incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct EventParser {
    line: Vec<u8>,
    /// Whether the last byte was a carriage return, whose line feed must not end another line.
    after_return: bool,
    event: Event,
    has_data: bool,
    ready: VecDeque<Event>,
}

impl EventParser {
    /// Consumes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        for &byte in bytes {
            let follows_return = std::mem::take(&mut self.after_return);
            match byte {
                b'\n' if follows_return => {}
                b'\n' => self.end_line()?,
                b'\r' => {
                    self.after_return = true;
                    self.end_line()?;
                }
                _ => self.line.push(byte),
            }
            if self.line.len() + self.event.data.len() > MAX_EVENT_BYTES {
                return TooLongSnafu.fail();
            }
        }
        Ok(())
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.ready.pop_front()
    }

    fn end_line(&mut self) -> Result<(), SseError> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            self.end_event();
            return Ok(());
        }
        let line = String::from_utf8(line).map_err(|_| SseError::InvalidUtf8)?;
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => self.add_data(value),
            "event" => self.event.name = value.to_owned(),
            // Comments and the fields `id` and `retry` have no meaning in these streams.
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &str) {
        if self.has_data {
            self.event.data.push('\n');
        }
        self.has_data = true;
        self.event.data.push_str(value);
    }

    fn end_event(&mut self) {
        let event = std::mem::take(&mut self.event);
        if std::mem::take(&mut self.has_data) {
            self.ready.push_back(event);
        }
    }
}

/// Reads events from a streamed body.
#[derive(Debug)]
pub struct EventReader<B> {
    body: B,
    parser: EventParser,
}

impl<B> EventReader<B>
where
    B: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    /// Reads events from `body`.
    pub fn new(body: B) -> Self {
        Self {
            body,
            parser: EventParser::default(),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    ///
    /// An unfinished event at the end of the body is dropped, as the standard requires; only an
    /// event with [`Event::is_done`] shows that the stream is complete.
    pub async fn next_event(&mut self) -> Result<Option<Event>, SseError> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return Ok(Some(event));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            if let Ok(bytes) = frame?.into_data() {
                self.parser.push(&bytes)?;
            }
        }
    }

    /// Returns the body, for example to read it to its end after the end marker.
    pub fn into_body(self) -> B {
        self.body
    }
}

/// Writes events to a streamed body.
#[derive(Debug)]
pub struct EventWriter {
    sender: BodySender,
}

impl EventWriter {
    /// Writes events through `sender`.
    pub fn new(sender: BodySender) -> Self {
        Self { sender }
    }

    /// Sends an event without a name.
    pub async fn data(&self, data: &str) -> Result<(), BodyClosed> {
        self.sender.send(encode("", data)).await
    }

    /// Sends an event with a name.
    pub async fn named(&self, name: &str, data: &str) -> Result<(), BodyClosed> {
        self.sender.send(encode(name, data)).await
    }

    /// Sends the end marker and completes the body.
    pub async fn done(self) -> Result<(), BodyClosed> {
        self.data(DONE).await?;
        self.sender.finish().await
    }

    /// Completes the body without the end marker, after an error event.
    pub async fn finish(self) -> Result<(), BodyClosed> {
        self.sender.finish().await
    }

    /// Returns once the reader is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

fn encode(name: &str, data: &str) -> String {
    let mut out = String::with_capacity(name.len() + data.len() + 16);
    if !name.is_empty() {
        out.push_str("event: ");
        out.push_str(name);
        out.push('\n');
    }
    for line in data.split('\n') {
        out.push_str("data: ");
        out.push_str(line);
        out.push('\n');
    }
    out.push('\n');
    out
}
