//! Streams of records with offsets, retention and a limit of the append rate.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use hyper::body::Bytes;

use crate::bucket::TokenBucket;

/// Maximum size of a record, in bytes.
const MAX_RECORD: usize = 1 << 20;

/// Maximum bytes of records in a page; the first record is always returned.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Limits of the log service.
#[derive(Debug, Clone)]
pub struct LogConfig {
    /// Age after which a record is trimmed.
    pub retain_age: Duration,
    /// Maximum number of records that a stream retains.
    pub retain_records: usize,
    /// Appends per second over all streams.
    pub appends_per_s: f64,
    /// Burst of appends.
    pub append_burst: f64,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            retain_age: Duration::from_secs(3600),
            retain_records: 100_000,
            appends_per_s: 500.0,
            append_burst: 100.0,
        }
    }
}

/// Reason for rejecting an append, which then has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The append rate limit is reached; contains the time until the next append is possible.
    OverBound(Duration),
    /// The record exceeds the maximum size; contains this maximum in bytes.
    TooLarge(usize),
}

/// The requested offset is below the first retained one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trimmed {
    /// First retained offset.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
}

/// A record that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// Appended bytes.
    pub data: Bytes,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// First retained offset.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records in order of offset.
    pub records: Vec<Record>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first element of `records`.
    first: u64,
    records: VecDeque<(Duration, Bytes)>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_first(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}

/// All streams of the log service. Time is passed as an argument, so that tests can use virtual
/// time.
#[derive(Debug)]
pub struct LogStore {
    streams: HashMap<String, Stream>,
    bucket: TokenBucket,
    retain_age: Duration,
    retain_records: usize,
}

impl LogStore {
    /// Returns a store without streams; the first append to a stream creates it.
    pub fn new(cfg: &LogConfig) -> Self {
        Self {
            streams: HashMap::new(),
            bucket: TokenBucket::new(cfg.appends_per_s, cfg.append_burst),
            retain_age: cfg.retain_age,
            retain_records: cfg.retain_records,
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error, without effect, if the rate limit is reached or the record is too large.
    pub fn append(&mut self, now: Duration, stream: &str, data: Bytes) -> Result<u64, AppendError> {
        if data.len() > MAX_RECORD {
            return Err(AppendError::TooLarge(MAX_RECORD));
        }
        self.bucket.take(now).map_err(AppendError::OverBound)?;
        let entry = self.streams.entry(stream.to_owned()).or_default();
        let offset = entry.next();
        entry.records.push_back((now, data));
        self.trim(now);
        Ok(offset)
    }

    /// Reads up to `limit` records from offset `from`.
    ///
    /// # Errors
    ///
    /// Returns the retained range if `from` was trimmed.
    pub fn read(
        &mut self,
        now: Duration,
        stream: &str,
        from: u64,
        limit: usize,
    ) -> Result<Page, Trimmed> {
        self.trim(now);
        let Some(stream) = self.streams.get(stream) else {
            return Ok(Page {
                first: 0,
                next: 0,
                records: Vec::new(),
            });
        };
        let (first, next) = (stream.first, stream.next());
        if from < first {
            return Err(Trimmed { first, next });
        }
        let skip = usize::try_from(from - first).unwrap_or(usize::MAX);
        let mut records = Vec::new();
        let mut bytes = 0;
        for (offset, (_, data)) in (from..).zip(stream.records.iter().skip(skip).take(limit)) {
            bytes += data.len();
            if bytes > MAX_PAGE_BYTES && !records.is_empty() {
                break;
            }
            records.push(Record {
                offset,
                data: data.clone(),
            });
        }
        Ok(Page {
            first,
            next,
            records,
        })
    }

    /// Trims the records of a stream below `before`.
    pub fn trim_to(&mut self, stream: &str, before: u64) {
        if let Some(stream) = self.streams.get_mut(stream) {
            while stream.first < before && !stream.records.is_empty() {
                stream.drop_first();
            }
        }
    }

    /// Changes the retention; it takes effect at the next call.
    pub fn set_retention(&mut self, age: Option<Duration>, records: Option<usize>) {
        self.retain_age = age.unwrap_or(self.retain_age);
        self.retain_records = records.unwrap_or(self.retain_records);
    }

    /// Changes the append rate limit.
    pub fn set_bound(&mut self, now: Duration, appends_per_s: Option<f64>, burst: Option<f64>) {
        let (old_rate, old_burst) = self.bucket.limits();
        self.bucket.set(
            now,
            appends_per_s.unwrap_or(old_rate),
            burst.unwrap_or(old_burst),
        );
    }

    /// Applies the retention by age and by count to all streams.
    fn trim(&mut self, now: Duration) {
        for stream in self.streams.values_mut() {
            while stream.records.len() > self.retain_records {
                stream.drop_first();
            }
            while let Some((at, _)) = stream.records.front()
                && now.saturating_sub(*at) > self.retain_age
            {
                stream.drop_first();
            }
        }
    }
}
