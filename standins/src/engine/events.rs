//! Feed of cache events with lag and gaps.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};

use super::cache::CacheChange;

/// Maximum number of retained events; dropping older ones causes a gap for readers.
const MAX_EVENTS: usize = 4096;

/// Feed of cache events in order of their numbers.
#[derive(Debug)]
pub(crate) struct CacheEvents {
    /// Number, time and change; numbers may have gaps.
    events: VecDeque<(u64, Duration, CacheChange)>,
    next: u64,
    lag: Duration,
    /// Each event whose number is a multiple of this is dropped; 0 drops none.
    gap_every: u64,
}

impl CacheEvents {
    /// Returns a feed without events.
    pub(crate) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            events: VecDeque::new(),
            next: 1,
            lag,
            gap_every,
        }
    }

    /// Changes the lag, also of retained events, and the dropping of later events.
    pub(crate) fn set(&mut self, lag: Option<Duration>, gap_every: Option<u64>) {
        self.lag = lag.unwrap_or(self.lag);
        self.gap_every = gap_every.unwrap_or(self.gap_every);
    }

    /// Assigns the next number to a change and stores it unless it is to be dropped.
    pub(crate) fn push(&mut self, now: Duration, change: CacheChange) {
        let number = self.next;
        self.next += 1;
        if self.gap_every > 0 && number.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back((number, now, change));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the response body with the events from number `from` that are visible at `now`.
    pub(crate) fn read(&self, now: Duration, from: u64) -> Value {
        let visible = self
            .events
            .iter()
            .take_while(|(_, at, _)| *at + self.lag <= now);
        let events: Vec<Value> = visible
            .filter(|(number, _, _)| *number >= from)
            .map(|(number, _, change)| {
                let (kind, block) = match change {
                    CacheChange::Stored(block) => ("stored", block),
                    CacheChange::Removed(block) => ("removed", block),
                };
                json!({ "seq": number, "kind": kind, "block": format!("{block:016x}") })
            })
            .collect();
        let last = events.last().and_then(|event| event["seq"].as_u64());
        json!({ "events": events, "next": last.map_or(from, |last| last + 1) })
    }
}
