//! Reads request bodies within the memory for all of them.
//!
//! Addresses the load of many bodies that stop short of their end or arrive very slowly. A body takes its
//! share before it is read. Without room the one with the least progress for the longest time is released,
//! and its request refused; without one to release, the new request is.

use std::collections::HashMap;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use event_listener::{
    Event,
    EventListener, //
};
use futures_lite::future;
use hyper::body::Bytes;
use limpetweir_transport::http::{
    BodyError,
    Holder,
    Progress,
    RequestBody,
    Standing,
    first_to_release, //
};
use limpetweir_transport::timeout_at;

use super::byte_budget::{
    ByteBudget,
    Share, //
};

/// Longest wait for the memory of a body that is being released.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// Time that a body may take beside that of its bytes at [`MIN_RATE`].
const START_TIME: Duration = Duration::from_secs(30);

/// Least rate of a body in bytes per second, half of that of the slowest callers.
const MIN_RATE: usize = 1_024;

/// First capacity of a body without a length, in bytes.
const FIRST_CAPACITY: usize = 4 << 10;

/// Key of no body.
const NO_KEY: u64 = u64::MAX;

/// Reason why a body was not read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// It could not be read to its end.
    Body(BodyError),
    /// There is no memory for it.
    NoRoom,
    /// Its memory was released, because it made no progress.
    Released,
}

/// A body and its share of the memory.
#[derive(Debug, Default)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    pub(crate) share: Share,
}

/// Memory for request bodies, and those that are being read.
#[derive(Debug)]
pub(crate) struct Bodies {
    budget: Arc<ByteBudget>,
    limit: usize,
    readers: Mutex<Readers>,
    /// Requests that were refused for lack of memory, or whose memory was released.
    refused: AtomicU64,
}

#[derive(Debug, Default)]
struct Readers {
    next: u64,
    open: HashMap<u64, Reader>,
}

#[derive(Debug)]
struct Reader {
    progress: Progress,
    /// Bytes of its share.
    bytes: usize,
    is_released: bool,
    released: Arc<Event>,
}

impl Bodies {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            budget: ByteBudget::new(limit),
            limit,
            readers: Mutex::default(),
            refused: AtomicU64::new(0),
        }
    }

    /// Returns the bytes of all bodies.
    pub(crate) fn used(&self) -> usize {
        self.budget.used()
    }

    /// Returns the limit in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of requests refused since the last call, and forgets it.
    pub(crate) fn take_refused(&self) -> u64 {
        self.refused.swap(0, Ordering::Relaxed)
    }

    /// Reads a body to its end within its limit and the memory, until `deadline`.
    pub(crate) async fn read(
        &self,
        body: RequestBody,
        deadline: Instant,
    ) -> Result<HeldBody, ReadError> {
        body.check_len().map_err(ReadError::Body)?;
        let entry = self.enter();
        let released = async {
            entry.released().await;
            Err(ReadError::Released)
        };
        let read = future::or(self.read_parts(body, &entry), released);
        let read = timeout_at(deadline, read).await;
        let read = read.unwrap_or(Err(ReadError::Body(BodyError::Deadline)));
        if matches!(read, Err(ReadError::NoRoom | ReadError::Released)) {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        read
    }

    async fn read_parts(
        &self,
        mut body: RequestBody,
        entry: &Entry<'_>,
    ) -> Result<HeldBody, ReadError> {
        let began = Instant::now();
        let announced = body.announced_len();
        // The limit of the body was checked.
        let announced = announced.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
        let mut share = self.budget.share();
        let mut buf = Vec::new();
        if let Some(len) = announced {
            self.take(&mut share, len, entry).await?;
        }
        while let Some(part) = body.next_part().await {
            let part = part.map_err(ReadError::Body)?;
            let len = buf.len() + part.len();
            if len > buf.capacity() {
                let doubled = len.max(buf.capacity() * 2).max(FIRST_CAPACITY);
                let capacity = doubled.min(announced.unwrap_or(usize::MAX)).max(len);
                if announced.is_none() {
                    self.take(&mut share, capacity, entry).await?;
                }
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&part);
            entry.progressed(part.len());
            if began.elapsed() > START_TIME + Duration::from_secs((len / MIN_RATE) as u64) {
                return Err(ReadError::Body(BodyError::Deadline));
            }
        }
        let bytes = Bytes::from(buf);
        Ok(HeldBody { bytes, share })
    }

    /// Grows a share to `bytes`; releases other bodies if there is no room.
    async fn take(
        &self,
        share: &mut Share,
        bytes: usize,
        entry: &Entry<'_>,
    ) -> Result<(), ReadError> {
        let until = Instant::now() + RELEASE_TIME;
        loop {
            let freed = self.budget.freed();
            if share.take(bytes).is_ok() {
                entry.holds(bytes);
                return Ok(());
            }
            self.wait_for_room(bytes, entry.key, freed, until).await?;
        }
    }

    /// Returns a share of `bytes` for what is made of a body; releases bodies if there is no room.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<Share, ReadError> {
        let until = Instant::now() + RELEASE_TIME;
        let mut share = self.budget.share();
        loop {
            let freed = self.budget.freed();
            if share.take(bytes).is_ok() {
                return Ok(share);
            }
            let waited = self.wait_for_room(bytes, NO_KEY, freed, until).await;
            waited.inspect_err(|_| {
                self.refused.fetch_add(1, Ordering::Relaxed);
            })?;
        }
    }

    /// Releases bodies other than that of `but`, and waits for a change; fails if there are too few.
    async fn wait_for_room(
        &self,
        bytes: usize,
        but: u64,
        freed: EventListener,
        until: Instant,
    ) -> Result<(), ReadError> {
        if !self.make_room(bytes, but) || timeout_at(until, freed).await.is_none() {
            return Err(ReadError::NoRoom);
        }
        Ok(())
    }

    /// Releases bodies until `bytes` are free or about to be; returns whether there are enough.
    fn make_room(&self, bytes: usize, but: u64) -> bool {
        let now = Instant::now();
        let mut readers = self.lock();
        // `bytes` include those that the body holds already.
        let freeing = readers.open.iter();
        let freeing = freeing.filter(|(key, reader)| reader.is_released || **key == but);
        let mut freeing: usize = freeing.map(|(_, reader)| reader.bytes).sum();
        while !self.budget.has_room_without(freeing, bytes) {
            let open = readers
                .open
                .iter()
                .filter(|(key, reader)| **key != but && !reader.is_released && reader.bytes > 0);
            let holders = open.map(|(key, reader)| {
                let holder = Holder {
                    standing: Standing::Transferring,
                    progress: reader.progress.at(),
                    is_crowded: false,
                };
                (*key, holder)
            });
            let Some(key) = first_to_release(holders, now) else {
                return false;
            };
            if let Some(reader) = readers.open.get_mut(&key) {
                reader.is_released = true;
                reader.released.notify(usize::MAX);
                freeing += reader.bytes;
            }
        }
        true
    }

    fn enter(&self) -> Entry<'_> {
        let released: Arc<Event> = Arc::default();
        let mut readers = self.lock();
        let key = readers.next;
        readers.next += 1;
        let reader = Reader {
            progress: Progress::new(Instant::now()),
            bytes: 0,
            is_released: false,
            released: released.clone(),
        };
        readers.open.insert(key, reader);
        Entry {
            bodies: self,
            key,
            released,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that is being read; leaves the list when it is dropped.
struct Entry<'a> {
    bodies: &'a Bodies,
    key: u64,
    released: Arc<Event>,
}

impl Entry<'_> {
    fn progressed(&self, bytes: usize) {
        if let Some(reader) = self.bodies.lock().open.get_mut(&self.key) {
            reader.progress.add(bytes, Instant::now());
        }
    }

    fn holds(&self, bytes: usize) {
        if let Some(reader) = self.bodies.lock().open.get_mut(&self.key) {
            reader.bytes = bytes;
        }
    }

    async fn released(&self) {
        loop {
            let released = self.released.listen();
            let is_released = {
                let readers = self.bodies.lock();
                let reader = readers.open.get(&self.key);
                reader.is_none_or(|reader| reader.is_released)
            };
            if is_released {
                return;
            }
            released.await;
        }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.bodies.lock().open.remove(&self.key);
    }
}
