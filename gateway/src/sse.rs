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

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: Vec<u8>,
}

/// Bytes that are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the stream is not made of events"))]
pub struct NotEvents;

impl Splitter {
    /// Adds bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, NotEvents> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.buf[start..]) {
            events.push(parse(&self.buf[start..start + len])?);
            start += len;
        }
        self.buf.drain(..start);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(NotEvents);
        }
        Ok(events)
    }

    /// Returns whether the stream ended within an event.
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the length of the first event with the blank line after it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn parse(raw: &[u8]) -> Result<Event, NotEvents> {
    let text = std::str::from_utf8(raw).map_err(|_| NotEvents)?;
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
