//! The jobs of one partition of the store, built from its records.

use std::cmp::Ordering;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use limpetweir_state::Timestamp;

use super::record::{
    ItemRecord,
    JobKey,
    JobRecord,
    Outcome,
    RecordError,
    ResultRecord,
    decode, //
};
use crate::platform::Record;
use crate::report::ItemKey;

/// Time for which a job stays beyond the retention time of its results. The submission and the removal are
/// timed by the wall clocks of two instances, which may be seconds apart or be set while they run. A result
/// must not disappear early, and one that stays longer takes memory only.
const REMOVAL_MARGIN: Duration = Duration::from_secs(10);

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobItem {
    /// Identifier assigned by the caller.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Sum of prompt tokens and maximum output tokens.
    pub tokens: u64,
}

/// Result of an item, stored at its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Index of the item.
    pub item: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Output.
    pub text: Arc<str>,
}

/// A job and its results.
#[derive(Clone, Debug)]
pub struct Job {
    /// Organisation that submitted it.
    pub organisation: String,
    /// Name of its route.
    pub route: String,
    /// Host of its route.
    pub host: String,
    /// Time of the submission in Unix milliseconds.
    pub submitted: u64,
    /// Items in the order of the submission.
    pub items: Vec<Arc<JobItem>>,
    /// Results in the order of their positions.
    pub results: Vec<ItemResult>,
    /// Whether the caller ended it.
    pub ended: bool,
    /// Keys of the items.
    pub keys: Vec<ItemKey>,
    /// Whether each item has a result.
    done: Vec<bool>,
    /// Offset of the last result; 0 without one.
    last_result_at: u64,
}

impl Job {
    /// Returns the indices of the items that still need a run.
    pub fn open(&self) -> impl Iterator<Item = usize> {
        let done = if self.ended { &[][..] } else { &self.done[..] };
        done.iter()
            .enumerate()
            .filter(|(_, done)| !**done)
            .map(|(index, _)| index)
    }

    /// Returns whether the job may be removed at the Unix time `unix_ms`: no item needs a run, and its
    /// results have been kept for `retention` by the clock of another instance, up to the margin.
    pub fn may_be_removed(&self, unix_ms: u64, retention: Duration) -> bool {
        let kept = retention.saturating_add(REMOVAL_MARGIN).as_millis();
        let kept = u64::try_from(kept).unwrap_or(u64::MAX);
        self.submitted < unix_ms.saturating_sub(kept) && self.open().next().is_none()
    }

    /// Returns whether the item at `index` has a result.
    pub fn has_result(&self, index: usize) -> bool {
        self.done.get(index).copied().unwrap_or(false)
    }

    /// Returns the tokens of the items that still need a run.
    pub fn waiting_tokens(&self) -> u64 {
        let tokens = self.open().map(|index| self.items[index].tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// Applies the result at `position`, unless it is known; fails if one before it is missing.
    ///
    /// A result that is older than the one before it fails too. It was behind a gap when it was written, and
    /// an instance that reads all records in their order has skipped it. In a listing the newer record that
    /// closed the gap may come first.
    fn apply_result(
        &mut self,
        position: u32,
        offset: u64,
        record: ResultRecord,
    ) -> Result<(), String> {
        let listed = self.results.len();
        match (position as usize).cmp(&listed) {
            Ordering::Less => Ok(()),
            Ordering::Equal if offset < self.last_result_at => {
                Err("it is older than the one before it".to_owned())
            }
            Ordering::Equal => {
                self.add_result(offset, record);
                Ok(())
            }
            Ordering::Greater => Err(format!("only {listed} results precede it")),
        }
    }

    fn add_result(&mut self, offset: u64, record: ResultRecord) {
        // The index fits, because it was written by an instance as an index of the same list.
        let item = record.item as usize;
        if item < self.done.len() && !self.done[item] {
            self.done[item] = true;
            self.last_result_at = offset;
            self.results.push(ItemResult {
                item,
                outcome: record.outcome,
                text: record.text.into(),
            });
        }
    }
}

/// The jobs of one partition. They are read through [`loaded`](Self::loaded) only: a listing contains
/// jobs before their results, so until its end neither a job nor a result that is missing means anything.
#[derive(Debug, Default)]
pub struct Partition {
    jobs: HashMap<String, Job>,
    /// Parts of jobs that are not complete yet.
    parts: HashMap<String, BTreeMap<u32, Vec<ItemRecord>>>,
    /// Results and ends that were read before their job was complete, which happens in listings.
    early: HashMap<String, EarlyRecords>,
    /// Offset of the next record.
    next: u64,
    /// Whether all records before `next` have been read.
    loaded: bool,
    /// Whether a listing of all records is being applied.
    listing: bool,
    /// When the last read was sent that reached the end of the partition.
    current_at: Option<Timestamp>,
    /// A time at which nothing was in the store that is not here, as far as is known. It is later than
    /// `current_at` after a read that has waited for records in vain.
    complete_at: Option<Timestamp>,
}

/// The jobs of a partition of which all records before its next offset have been read.
#[derive(Clone, Copy, Debug)]
pub struct LoadedPartition<'a>(&'a Partition);

impl<'a> LoadedPartition<'a> {
    /// Returns the offset of the next record.
    pub fn next(self) -> u64 {
        self.0.next
    }

    /// Returns whether all that was in the store at `since` is here: a read that was sent later has
    /// reached the end of the partition. The time of its response would say less, because the clock
    /// stands still while the machine is suspended.
    pub fn is_current_since(self, since: Timestamp) -> bool {
        self.0.current_at > Some(since)
    }

    /// Returns for how long there may have been something in the store that is not here; `None` if the
    /// partition has not been read to its end since it was listed. A listing is as old as its first page.
    pub fn age(self, now: Timestamp) -> Option<Duration> {
        self.0.complete_at.map(|at| now.since(at))
    }

    /// Returns the job called `id`.
    pub fn get(self, id: &str) -> Option<&'a Job> {
        self.0.jobs.get(id)
    }

    /// Returns all jobs.
    pub fn iter(self) -> impl Iterator<Item = (&'a String, &'a Job)> {
        self.0.jobs.iter()
    }

    /// Returns the tokens that an organisation has waiting on a route.
    pub fn waiting_tokens(self, organisation: &str, route: &str) -> u64 {
        let jobs = self.0.jobs.values();
        let jobs = jobs.filter(|j| j.organisation == organisation && j.route == route);
        let tokens = jobs.map(Job::waiting_tokens);
        tokens.fold(0, u64::saturating_add)
    }
}

#[derive(Debug, Default)]
struct EarlyRecords {
    header: Option<JobRecord>,
    /// Results and their offsets by position.
    results: BTreeMap<u32, (u64, ResultRecord)>,
    ended: bool,
}

impl Partition {
    /// Returns the offset of the next record.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns whether all records before the next one have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Starts a listing of all records; returns whether it is a new one, and not the continuation
    /// of a listing that was interrupted. A new one begins without jobs: it has no record of those
    /// whose removal was missed.
    pub fn begin_listing(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.listing, true);
        if is_new {
            self.jobs.clear();
            self.parts.clear();
            self.early.clear();
        }
        is_new
    }

    /// Ends a listing and marks all records before `next` as read. Without a listing in progress
    /// this has no effect: a partition that was reset since lacks the first records of the listing
    /// and must be listed again. One that ends before what was read is repeated once.
    pub fn end_listing(&mut self, next: u64) {
        if std::mem::take(&mut self.listing) {
            self.loaded = next >= self.next;
            self.next = next;
        }
    }

    /// Marks the partition as incomplete if records were missed because those before `first` were removed
    /// from the history, so that it is listed again. Returns whether it was marked: a read from an older
    /// offset may fail although the others have gone on.
    pub fn set_missed(&mut self, first: u64) -> bool {
        if !self.loaded || self.next >= first {
            return false;
        }
        self.loaded = false;
        self.current_at = None;
        self.complete_at = None;
        true
    }

    /// Records that a read sent at `sent` has found the end of the partition at `end`, after its records
    /// were applied.
    pub fn read_to_end(&mut self, sent: Timestamp, end: u64) {
        if self.loaded && self.next >= end {
            self.current_at = self.current_at.max(Some(sent));
            self.complete_at = self.complete_at.max(Some(sent));
        }
    }

    /// Records that a read has waited until `until` for records behind `end` in vain.
    pub fn waited(&mut self, until: Timestamp, end: u64) {
        if self.loaded && self.next >= end {
            self.complete_at = self.complete_at.max(Some(until));
        }
    }

    /// Counts the record at `offset` as read if it is the next one; returns whether it is, so that it must
    /// be applied. Records that arrived while the partition was not loaded are missing after the listing
    /// that loaded it, and those behind them are read again.
    pub fn take_next(&mut self, offset: u64) -> bool {
        let is_next = self.loaded && offset == self.next;
        self.next += u64::from(is_next);
        is_next
    }

    /// Returns the jobs if all records before [`next`](Self::next) have been read.
    pub fn loaded(&self) -> Option<LoadedPartition<'_>> {
        self.loaded.then_some(LoadedPartition(self))
    }

    /// Applies the record at `offset`. Applying a record again has no further effect.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Result<(), RecordError> {
        let Some(key) = JobKey::parse(&record.key) else {
            return Err(RecordError {
                key: record.key.clone(),
                reason: "the key has no known record kind".to_owned(),
            });
        };
        if record.value.is_empty() {
            if let JobKey::Job(id) = key {
                self.jobs.remove(id);
                self.early.remove(id);
                self.parts.remove(id);
            }
            return Ok(());
        }
        match key {
            JobKey::Job(id) => {
                if !self.jobs.contains_key(id) {
                    self.early.entry(id.to_owned()).or_default().header = Some(decode(record)?);
                    self.create_if_complete(id);
                }
            }
            JobKey::Part(id, number) => {
                if !self.jobs.contains_key(id) {
                    let parts = self.parts.entry(id.to_owned()).or_default();
                    parts.insert(number, decode(record)?);
                    self.create_if_complete(id);
                }
            }
            JobKey::Result(id, position) => {
                let result: ResultRecord = decode(record)?;
                match self.jobs.get_mut(id) {
                    Some(job) => job
                        .apply_result(position, offset, result)
                        .map_err(|reason| RecordError {
                            key: record.key.clone(),
                            reason,
                        })?,
                    None => {
                        let early = self.early.entry(id.to_owned()).or_default();
                        early.results.insert(position, (offset, result));
                    }
                }
            }
            JobKey::End(id) => match self.jobs.get_mut(id) {
                Some(job) => job.ended = true,
                None => self.early.entry(id.to_owned()).or_default().ended = true,
            },
        }
        Ok(())
    }

    /// Creates the job `id` if its header and all of its parts have been read.
    fn create_if_complete(&mut self, id: &str) {
        let Some(header) = self.early.get(id).and_then(|early| early.header.as_ref()) else {
            return;
        };
        let found = self.parts.get(id).map_or(0, BTreeMap::len);
        if found < header.parts as usize {
            return;
        }
        let parts = self.parts.remove(id).unwrap_or_default();
        let Some(early) = self.early.remove(id) else {
            return;
        };
        let Some(header) = early.header else {
            return;
        };
        let items = parts.into_values().flatten();
        let items: Vec<_> = items.map(|item| Arc::new(item.into())).collect();
        let mut job = Job {
            organisation: header.organisation,
            route: header.route,
            host: header.host,
            submitted: header.submitted,
            keys: (0..items.len()).map(|n| ItemKey::of(id, n)).collect(),
            done: vec![false; items.len()],
            items,
            results: Vec::new(),
            ended: early.ended,
            last_result_at: 0,
        };
        for (position, (offset, result)) in early.results {
            // One behind a gap is skipped, as by a copy that knew the job when it read the result.
            let _ = job.apply_result(position, offset, result);
        }
        self.jobs.insert(id.to_owned(), job);
    }
}

impl From<ItemRecord> for JobItem {
    fn from(item: ItemRecord) -> Self {
        Self {
            id: item.id,
            path: item.path,
            headers: item.headers,
            body: Bytes::from(item.body.into_vec()),
            tokens: item.tokens,
        }
    }
}
