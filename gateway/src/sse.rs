//! Incremental splitting of an event stream into complete events.

use hyper::body::Bytes;

/// Largest event in bytes; a longer one cannot be from a backend server, and could not be listed.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Largest number of an event. A larger one is invalid; computations with it could overflow.
pub const MAX_EVENT_NUMBER: u64 = 1 << 53;

/// Kind of a block of an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// An event of the output: it has a valid number and data, which may be empty.
    Output,
    /// Comments or a blank line, which mean nothing; a faulty server may send them endlessly.
    Comment,
    /// Anything else, which no sound server sends.
    Invalid,
}

/// One block of an event stream with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// All bytes, including the blank line that ends the event.
    pub raw: Bytes,
    /// What the block is.
    pub kind: BlockKind,
    /// Number of the event, if it has a valid one.
    pub id: Option<u64>,
    /// Data lines, joined by a line feed.
    pub data: String,
}

impl Event {
    /// Returns whether this is a part of the output.
    pub fn is_output(&self) -> bool {
        self.kind == BlockKind::Output
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes that have not been returned as events.
    buf: Vec<u8>,
    /// Number of bytes at the start of `buf` that were returned as events.
    start: usize,
    /// End of the bytes that were scanned, so that they are scanned only once even if the stream is
    /// slow.
    scanned: usize,
    /// Start of the line that contains `scanned`.
    line: usize,
}

/// Error for bytes that are not an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the stream is not a valid event stream"))]
pub struct InvalidEventStream;

impl Splitter {
    /// Adds bytes, whose events [`next_event`](Self::next_event) returns.
    pub fn add(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that are kept.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Result<Option<Event>, InvalidEventStream> {
        let Some(end) = self.next_end() else {
            self.remove_returned();
            return if self.buf.len() > MAX_EVENT_BYTES {
                Err(InvalidEventStream)
            } else {
                Ok(None)
            };
        };
        let event = parse(&self.buf[self.start..end])?;
        self.start = end;
        Ok(Some(event))
    }

    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, InvalidEventStream> {
        self.add(bytes);
        let mut events = Vec::new();
        while let Some(event) = self.next_event()? {
            events.push(event);
        }
        Ok(events)
    }

    fn remove_returned(&mut self) {
        self.buf.drain(..self.start);
        self.scanned -= self.start;
        self.line -= self.start;
        self.start = 0;
    }

    /// Returns whether the buffer contains a part of an event.
    pub fn is_partial(&self) -> bool {
        self.buf.len() > self.start
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
    let mut has_id_field = false;
    let mut data: Option<String> = None;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => {
                has_id_field = true;
                id = value.parse().ok().filter(|id| *id <= MAX_EVENT_NUMBER);
            }
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
    let kind = match (id, has_id_field, &data) {
        (Some(_), _, Some(_)) => BlockKind::Output,
        (_, false, None) => BlockKind::Comment,
        _ => BlockKind::Invalid,
    };
    Ok(Event {
        raw: Bytes::copy_from_slice(raw),
        kind,
        id,
        data: data.unwrap_or_default(),
    })
}
