//! Incremental splitting of an event stream into whole events.

use hyper::body::Bytes;

/// Largest event in bytes; a longer one is not an event of a backend server.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// All bytes, including the blank line that ends the event.
    pub raw: Bytes,
    /// Number of the event, if it has one.
    pub id: Option<u64>,
    /// Data lines, joined by a line feed.
    pub data: String,
}

impl Event {
    /// Returns whether this is a part of the output. Blank lines and comments are not; a server in
    /// trouble may send them without end.
    pub fn is_output(&self) -> bool {
        self.id.is_some() || !self.data.is_empty()
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes of an event that is not whole yet.
    buf: Vec<u8>,
    /// Bytes at the start of `buf` that were looked at, which a slow stream must not repeat.
    seen: usize,
    /// Start of the line at `seen`.
    line: usize,
}

/// Bytes that are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the stream is not made of events"))]
pub struct InvalidEventStream;

impl Splitter {
    /// Adds bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, InvalidEventStream> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = self.next_end() {
            events.push(parse(&self.buf[start..end])?);
            start = end;
        }
        self.buf.drain(..start);
        self.seen -= start;
        self.line -= start;
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(InvalidEventStream);
        }
        Ok(events)
    }

    /// Returns whether the stream ended within an event.
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the end of the next event, with the blank line after it.
    fn next_end(&mut self) -> Option<usize> {
        while let Some(len) = self.buf[self.seen..].iter().position(|byte| *byte == b'\n') {
            let end = self.seen + len;
            let line = &self.buf[self.line..end];
            let blank = line.is_empty() || line == b"\r";
            self.seen = end + 1;
            self.line = end + 1;
            if blank {
                return Some(end + 1);
            }
        }
        self.seen = self.buf.len();
        None
    }
}

fn parse(raw: &[u8]) -> Result<Event, InvalidEventStream> {
    let text = std::str::from_utf8(raw).map_err(|_| InvalidEventStream)?;
    let mut id = None;
    let mut data: Option<String> = None;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.parse().ok(),
            "data" => match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            },
            // Other fields and comments carry nothing that is decided on.
            _ => {}
        }
    }
    Ok(Event {
        raw: Bytes::copy_from_slice(raw),
        id,
        data: data.unwrap_or_default(),
    })
}
