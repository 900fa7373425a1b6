//! What a connection of a server is doing, and when it is closed for doing nothing.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::task::{
    Context,
    Poll,
    Waker,
    ready, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_io::Async;
use event_listener::Event;
use futures_lite::{
    AsyncRead,
    AsyncWrite,
    future, //
};
use hyper::body::{
    Bytes,
    Frame,
    SizeHint, //
};

use super::body::{
    Body,
    BodyError, //
};
use super::limits::{
    ConnectionLimits,
    HeadLimits, //
};
use super::places::{
    HeadBytes,
    Places, //
};
use super::release::{
    Progress,
    Standing, //
};
use super::responses::{
    Ask,
    FREE_BYTES,
    Reader,
    Responses,
    Step, //
};
use crate::runtime::timeout_at;
use crate::timers::MovingTimer;

/// Time that a new connection has for the first byte of its request once the server stops.
const FIRST_BYTE_AFTER_STOP: Duration = Duration::from_millis(300);

/// Time for the rest of a request head once the server stops.
const HEAD_AFTER_STOP: Duration = Duration::from_millis(1_000);

/// Largest read of a connection that has no request, and most bytes of further requests that are read while
/// one is being handled.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Longest time for which a response may stay unread. The system takes more bytes only when a good part of
/// its buffer was read, which takes a caller on a narrow link many seconds.
const UNREAD_TIME: Duration = Duration::from_secs(120);

/// Time after which a write is tried again of which the system took nothing. The system reports room only when a
/// third of its buffer is free, but takes bytes before, and these are the progress of a caller on a narrow link.
const RETRY_TIME: Duration = Duration::from_millis(500);

/// Time after which a response that waits for room looks again for a connection that can be released.
const ROOM_RETRY_TIME: Duration = Duration::from_millis(250);

/// Bytes of a response that a connection takes before it writes them.
const WRITE_BYTES: usize = 16 << 10;

/// Returns the share of a response with bytes in its channel and bytes to be written.
fn share(queued: usize, unwritten: usize) -> usize {
    (queued + unwritten).saturating_sub(FREE_BYTES)
}

/// Phase of a connection.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No byte was received yet.
    New { since: Instant, limit: Duration },
    /// The last response has ended, and no byte was received since.
    Idle { since: Instant, limit: Duration },
    /// A part of a request head was received.
    Head { since: Instant, limits: HeadLimits },
    /// A request is being handled, or its response is being sent.
    Request,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Whether the body of the last request was dropped before its end.
    has_unread_body: bool,
    /// Whether a body of the current request is still to be received.
    has_open_body: bool,
    /// Bytes of the head that is being received; counted in the sum of the server too.
    head_bytes: usize,
    /// Bytes received behind the current request.
    ahead_bytes: usize,
    /// Bytes of the request received and bytes of the response taken by the system.
    progress: Progress,
    /// Time of the last try to write at which the system took no bytes of the response; `None` if it took all.
    blocked: Option<Instant>,
    /// Woken when the system takes bytes again.
    unblocked: Option<Waker>,
    /// Bytes of the response in the channel of its body.
    queued: usize,
    /// Bytes of the response that the connection has and the system has not taken.
    unwritten: usize,
    /// Share of the response.
    share: usize,
    /// Whether the body waits for room.
    is_waiting: bool,
    /// Woken when the response ends and more may be read.
    readable: Option<Waker>,
    /// Whether the connection is to be closed in favour of others.
    is_released: bool,
}

/// Activity of one connection. All changes are made while the connection is being polled.
#[derive(Debug)]
pub(crate) struct Activity {
    limits: Arc<ConnectionLimits>,
    /// Bytes of the heads on all connections of the server.
    heads: Arc<HeadBytes>,
    /// Memory of the responses, and the key of the connection there.
    responses: Arc<Responses>,
    key: u64,
    state: Mutex<State>,
    /// Notified when the connection is released.
    released: Event,
    /// Notified when the system takes bytes while the body waits for room.
    written: Event,
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.heads.remove(self.lock().head_bytes);
        self.responses.leave(self.key);
    }
}

impl Activity {
    pub(crate) fn new(
        limits: Arc<ConnectionLimits>,
        heads: Arc<HeadBytes>,
        responses: Arc<Responses>,
    ) -> Arc<Self> {
        let now = Instant::now();
        let phase = Phase::New {
            since: now,
            limit: limits.idle(),
        };
        Arc::new_cyclic(|this| Self {
            limits,
            heads,
            key: responses.enter(this.clone()),
            responses,
            state: Mutex::new(State {
                phase,
                has_unread_body: false,
                has_open_body: false,
                head_bytes: 0,
                ahead_bytes: 0,
                progress: Progress::new(now),
                blocked: None,
                unblocked: None,
                queued: 0,
                unwritten: 0,
                share: 0,
                is_waiting: false,
                readable: None,
                is_released: false,
            }),
            released: Event::new(),
            written: Event::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes_received(&self, len: usize) {
        let now = Instant::now();
        let mut state = self.lock();
        if matches!(state.phase, Phase::New { .. } | Phase::Idle { .. }) {
            state.phase = Phase::Head {
                since: now,
                limits: self.limits.head(),
            };
            // The bytes of a head are no progress: it is small, and its time counts from its begin.
            state.progress = Progress::new(now);
        }
        if matches!(state.phase, Phase::Head { .. }) {
            state.head_bytes += len;
            self.heads.add(len);
        } else if state.has_open_body {
            state.progress.add(len, now);
        } else {
            state.ahead_bytes += len;
        }
    }

    /// Returns the largest number of bytes to read now; if it is 0, `cx` is woken when that changes.
    fn read_limit(&self, cx: &Context<'_>) -> usize {
        let mut state = self.lock();
        let limit = match state.phase {
            Phase::Request if state.has_open_body => usize::MAX,
            Phase::Request => READ_AHEAD_BYTES.saturating_sub(state.ahead_bytes),
            Phase::New { .. } | Phase::Idle { .. } | Phase::Head { .. } => READ_AHEAD_BYTES,
        };
        if limit == 0 {
            state.readable = Some(cx.waker().clone());
        }
        limit
    }

    /// Records how many bytes of the response the system took; `None` if there was no room.
    fn bytes_written(&self, taken: Option<usize>) {
        let mut state = self.lock();
        let now = Instant::now();
        let Some(len) = taken else {
            state.blocked = Some(now);
            return;
        };
        state.progress.add(len, now);
        state.blocked = None;
        // The head of the response and the sizes of its chunks are not counted.
        state.unwritten = state.unwritten.saturating_sub(len);
        self.shrink(&mut state);
        let waker = state.unblocked.take();
        let is_waiting = std::mem::take(&mut state.is_waiting);
        drop(state);
        if is_waiting {
            self.written.notify(usize::MAX);
        }
        waker.inspect(Waker::wake_by_ref);
    }

    /// Records that the connection has written all that it has taken of the response. It flushes only then.
    fn all_written(&self) {
        let mut state = self.lock();
        if state.unwritten > 0 {
            state.unwritten = 0;
            self.shrink(&mut state);
            let waker = state.unblocked.take();
            drop(state);
            waker.inspect(Waker::wake_by_ref);
        }
    }

    /// Returns whether the connection has enough of the response for now, because the caller does not read it or it
    /// is still to be written; `cx` is woken once it needs more.
    fn is_full(&self, cx: &Context<'_>) -> bool {
        let mut state = self.lock();
        let is_full = state.blocked.is_some() || state.unwritten >= WRITE_BYTES;
        if is_full {
            state.unblocked = Some(cx.waker().clone());
        }
        is_full
    }

    /// Returns how the caller reads its response.
    pub(crate) fn reader(&self) -> Reader {
        let state = self.lock();
        Reader {
            is_blocked: state.blocked.is_some(),
            progress: state.progress.at(),
            is_released: state.is_released,
        }
    }

    /// Returns whether a write is to be tried again now, or when; `None` if nothing is to be written.
    fn retry(&self, now: Instant) -> Option<Result<(), Instant>> {
        let mut state = self.lock();
        let at = state.blocked? + RETRY_TIME;
        if now < at {
            return Some(Err(at));
        }
        state.blocked = Some(now);
        Some(Ok(()))
    }

    /// Counts bytes in the channel of the response once there is room for them; returns whether there is. Without
    /// room the connection is closed.
    pub(crate) async fn reserve(&self, bytes: usize) -> bool {
        let since = Instant::now();
        loop {
            let freed = self.responses.freed();
            let written = self.written.listen();
            let (share, progress) = {
                let mut state = self.lock();
                let share = share(state.queued + bytes, state.unwritten);
                if share <= state.share || self.responses.grow(self.key, share) {
                    state.share = state.share.max(share);
                    state.queued += bytes;
                    return true;
                }
                state.is_waiting = true;
                (share, state.progress.at())
            };
            // A caller that reads frees the room itself, however slow its link is.
            let ask = Ask {
                key: self.key,
                bytes: share,
                since: since.max(progress),
            };
            match self.responses.make_room(ask) {
                Step::Cut => {
                    self.release();
                    return false;
                }
                Step::Granted | Step::Release(_) => {}
                Step::Wait => {
                    // Others stall as time goes by.
                    let changed = future::or(freed, written);
                    timeout_at(Instant::now() + ROOM_RETRY_TIME, changed).await;
                }
            }
        }
    }

    /// Counts bytes in the channel of the response, whether there is room or not.
    pub(crate) fn add_queued(&self, bytes: usize) {
        let mut state = self.lock();
        state.queued += bytes;
        self.grow(&mut state);
    }

    /// Removes bytes from the channel that are dropped.
    pub(crate) fn remove_queued(&self, bytes: usize) {
        let mut state = self.lock();
        state.queued = state.queued.saturating_sub(bytes);
        self.shrink(&mut state);
    }

    /// Records that the connection has taken bytes of the response to write them.
    fn bytes_taken(&self, bytes: usize) {
        let mut state = self.lock();
        if state.unwritten == 0 {
            // The server may have sent nothing for long, which says nothing about the caller.
            state.progress = Progress::new(Instant::now());
        }
        state.queued = state.queued.saturating_sub(bytes);
        state.unwritten += bytes;
        self.grow(&mut state);
    }

    fn grow(&self, state: &mut State) {
        let share = share(state.queued, state.unwritten);
        if share > state.share {
            state.share = share;
            self.responses.set(self.key, share);
        }
    }

    fn shrink(&self, state: &mut State) {
        let share = share(state.queued, state.unwritten);
        if share < state.share {
            state.share = share;
            self.responses.set(self.key, share);
        }
    }

    /// Closes the connection in favour of others.
    pub(crate) fn release(&self) {
        self.lock().is_released = true;
        self.released.notify(usize::MAX);
    }

    pub(crate) fn is_released(&self) -> bool {
        self.lock().is_released
    }

    /// Waits until the connection is released.
    pub(crate) async fn released(&self) {
        loop {
            let released = self.released.listen();
            if self.is_released() {
                return;
            }
            released.await;
        }
    }

    /// Returns whether a part of a head was received.
    pub(crate) fn has_head_bytes(&self) -> bool {
        self.lock().head_bytes > 0
    }

    /// Returns whether no request has begun that may still be handled.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.lock().phase, Phase::New { .. } | Phase::Idle { .. })
    }

    /// Returns what the caller is doing, and its last progress.
    pub(crate) fn standing(&self) -> (Standing, Instant) {
        let state = self.lock();
        match state.phase {
            Phase::New { since, .. } | Phase::Idle { since, .. } if state.blocked.is_none() => {
                (Standing::Waiting, since)
            }
            Phase::Head { since, .. } => (Standing::Waiting, since),
            _ if state.blocked.is_some() => (Standing::Reading, state.progress.at()),
            _ if state.has_open_body => (Standing::Transferring, state.progress.at()),
            _ => (Standing::Served, state.progress.at()),
        }
    }

    /// Records that a request head is complete; returns the limits that hold for it.
    pub(crate) fn request_began(&self, has_body: bool) -> HeadLimits {
        let mut state = self.lock();
        let limits = match state.phase {
            Phase::Head { limits, .. } => self.limits.head_since(limits),
            _ => self.limits.head(),
        };
        state.phase = Phase::Request;
        state.has_unread_body = false;
        state.has_open_body = has_body;
        state.ahead_bytes = 0;
        state.progress = Progress::new(Instant::now());
        self.heads.remove(std::mem::take(&mut state.head_bytes));
        limits
    }

    /// Records that the request body was received to its end.
    pub(crate) fn body_ended(&self) {
        self.lock().has_open_body = false;
    }

    fn response_ended(&self) {
        let limit = self.limits.idle();
        let mut state = self.lock();
        state.phase = Phase::Idle {
            since: Instant::now(),
            limit,
        };
        // A response to HEAD has a body that is not sent.
        state.queued = 0;
        self.shrink(&mut state);
        let waker = state.readable.take();
        drop(state);
        waker.inspect(Waker::wake_by_ref);
    }

    /// Records that a request body was dropped before its end.
    pub(crate) fn body_left_unread(&self) {
        let mut state = self.lock();
        state.has_unread_body = true;
        state.has_open_body = false;
    }

    /// Records that the rest of a dropped request body is received after all.
    pub(crate) fn body_reopened(&self) {
        let mut state = self.lock();
        state.has_unread_body = false;
        state.has_open_body = true;
    }

    /// Returns whether the body of the last request was dropped before its end.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.lock().has_unread_body
    }

    /// Returns when the connection is closed if its phase does not change; `stopped` is when the server
    /// began to stop.
    fn expires(&self, stopped: Option<Instant>) -> Option<(Expiry, Instant)> {
        let state = self.lock();
        if state.blocked.is_some() {
            return Some((Expiry::Released, state.progress.at() + UNREAD_TIME));
        }
        let phase = state.phase;
        drop(state);
        match phase {
            Phase::Request => None,
            Phase::New { since, limit } => {
                let idle = since + limit.max(self.limits.idle());
                let stop = stopped.map(|at| at.max(since) + FIRST_BYTE_AFTER_STOP);
                Some((Expiry::Idle, stop.map_or(idle, |stop| stop.min(idle))))
            }
            Phase::Idle { since, limit } => {
                let idle = since + limit.max(self.limits.idle());
                Some((Expiry::Idle, stopped.map_or(idle, |stop| stop.min(idle))))
            }
            Phase::Head { since, limits } => {
                let head = since + self.limits.head_since(limits).timeout;
                let stop = stopped.map(|at| at.max(since) + HEAD_AFTER_STOP);
                Some((Expiry::Head, stop.map_or(head, |stop| stop.min(head))))
            }
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// No request was received in time.
    Idle,
    /// A request head was not complete in time.
    Head,
    /// The connection is released in favour of others, or its response stayed unread for too long.
    Released,
}

/// Timer that closes a connection for doing nothing.
#[derive(Debug, Default)]
pub(crate) struct ExpiryTimer {
    timer: MovingTimer,
}

impl ExpiryTimer {
    /// Returns why the connection is to be closed.
    ///
    /// Polled after the connection by the same task. So the phase includes all bytes that have arrived,
    /// and a request that arrives together with the end of the idle time is served.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        activity: &Activity,
        stopped: Option<Instant>,
    ) -> Poll<Expiry> {
        loop {
            let Some((expiry, at)) = activity.expires(stopped) else {
                return Poll::Pending;
            };
            if at <= Instant::now() {
                return Poll::Ready(expiry);
            }
            let at = match activity.retry(Instant::now()) {
                None => at,
                Some(Err(retry_at)) => retry_at.min(at),
                Some(Ok(())) => {
                    // The connection is polled first, and writes what it has.
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
            };
            ready!(self.timer.poll_at(cx, at));
        }
    }
}

/// A response body whose end makes the connection idle.
#[derive(Debug)]
pub(crate) struct WatchedBody {
    inner: Body,
    activity: Arc<Activity>,
}

impl WatchedBody {
    pub(crate) fn new(inner: Body, activity: Arc<Activity>) -> Self {
        Self { inner, activity }
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.activity.response_ended();
    }
}

impl hyper::body::Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // What the caller does not read stays where it is bounded.
        if self.activity.is_full(cx) {
            return Poll::Pending;
        }
        let poll = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &poll {
            let len = frame.data_ref().map_or(0, Bytes::len);
            self.activity.bytes_taken(len);
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A stream of a connection that records when bytes arrive and are written.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    inner: Arc<Async<TcpStream>>,
    activity: Arc<Activity>,
    places: Arc<Places>,
}

impl WatchedStream {
    pub(crate) fn new(
        inner: Arc<Async<TcpStream>>,
        activity: Arc<Activity>,
        places: Arc<Places>,
    ) -> Self {
        Self {
            inner,
            activity,
            places,
        }
    }

    fn written(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &poll {
            Poll::Ready(Ok(len)) => self.activity.bytes_written(Some(*len)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.activity.bytes_written(None),
        }
        poll
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = buf.len().min(self.activity.read_limit(cx));
        if len == 0 && !buf.is_empty() {
            return Poll::Pending;
        }
        let poll = Pin::new(&mut &*self.inner).poll_read(cx, &mut buf[..len]);
        if let Poll::Ready(Ok(len)) = poll
            && len > 0
        {
            self.activity.bytes_received(len);
            self.places.check_heads();
        }
        poll
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_write(cx, buf);
        self.written(poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_write_vectored(cx, bufs);
        self.written(poll)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.all_written();
        Pin::new(&mut &*self.inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.inner).poll_close(cx)
    }
}
