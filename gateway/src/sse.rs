//! Incremental splitting of an event stream into complete events.

use hyper::body::Bytes;

/// Largest event in bytes; a longer one cannot be from a backend server.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Largest number of an event. A larger one is ignored; computations with it could overflow.
pub const MAX_EVENT_NUMBER: u64 = 1 << 53;

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
    /// Returns whether this is a part of the output. Blank lines and comments are not; a faulty
    /// server may send them endlessly.
    pub fn is_output(&self) -> bool {
        self.id.is_some() || !self.data.is_empty()
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes of an incomplete event.
    buf: Vec<u8>,
    /// Number of bytes at the start of `buf` that were scanned, so that they are scanned only once
    /// even if the stream is slow.
    scanned: usize,
    /// Start of the line that contains `scanned`.
    line: usize,
}

/// Error for bytes that are not an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the stream is not a valid event stream"))]
pub struct InvalidEventStream;

impl Splitter {
    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, InvalidEventStream> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = self.next_end() {
            events.push(parse(&self.buf[start..end])?);
            start = end;
        }
        self.buf.drain(..start);
        self.scanned -= start;
        self.line -= start;
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(InvalidEventStream);
        }
        Ok(events)
    }

    /// Returns whether the buffer contains a part of an event.
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the end of the next complete event, including the blank line after it.
    fn next_end(&mut self) -> Option<usize> {
        while let Some(len) = self.buf[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = self.scanned + len;
            let line = &self.buf[self.line..end];
            let blank = line.is_empty() || line == b"\r";
            self.scanned = end + 1;
            self.line = end + 1;
            if blank {
                return Some(end + 1);
            }
        }
        self.scanned = self.buf.len();
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
            "id" => id = value.parse().ok().filter(|id| *id <= MAX_EVENT_NUMBER),
            "data" => match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            },
            // Other fields and comments are not used.
            _ => {}
        }
    }
    Ok(Event {
        raw: Bytes::copy_from_slice(raw),
        id,
        data: data.unwrap_or_default(),
    })
}
