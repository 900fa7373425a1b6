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
    Waker, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_io::{
    Async,
    Timer, //
};
use event_listener::Event;
use futures_lite::{
    AsyncRead,
    AsyncWrite,
    FutureExt, //
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
    /// Whether the system took no bytes of the response at the last try: the caller does not read.
    is_blocked: bool,
    /// Woken when the system takes bytes again.
    unblocked: Option<Waker>,
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
    state: Mutex<State>,
    /// Notified when the connection is released.
    released: Event,
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.heads.remove(self.lock().head_bytes);
    }
}

impl Activity {
    pub(crate) fn new(limits: Arc<ConnectionLimits>, heads: Arc<HeadBytes>) -> Self {
        let now = Instant::now();
        let phase = Phase::New {
            since: now,
            limit: limits.idle(),
        };
        Self {
            limits,
            heads,
            state: Mutex::new(State {
                phase,
                has_unread_body: false,
                has_open_body: false,
                head_bytes: 0,
                ahead_bytes: 0,
                progress: Progress::new(now),
                is_blocked: false,
                unblocked: None,
                readable: None,
                is_released: false,
            }),
            released: Event::new(),
        }
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
        let Some(len) = taken else {
            state.is_blocked = true;
            return;
        };
        state.progress.add(len, Instant::now());
        if state.is_blocked {
            state.is_blocked = false;
            let waker = state.unblocked.take();
            drop(state);
            waker.inspect(Waker::wake_by_ref);
        }
    }

    /// Returns whether the caller does not read its response; `cx` is woken once it does.
    fn is_blocked(&self, cx: &Context<'_>) -> bool {
        let mut state = self.lock();
        if state.is_blocked {
            state.unblocked = Some(cx.waker().clone());
        }
        state.is_blocked
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
            Phase::New { since, .. } | Phase::Idle { since, .. } if !state.is_blocked => {
                (Standing::Waiting, since)
            }
            Phase::Head { since, .. } => (Standing::Waiting, since),
            _ if state.is_blocked || state.has_open_body => {
                (Standing::Transferring, state.progress.at())
            }
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
        if state.is_blocked {
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
    timer: Option<(Instant, Timer)>,
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
            // A timer that fires early is kept: most connections become busy before it does.
            let timer = match &mut self.timer {
                Some((fires, timer)) if *fires <= at => timer,
                slot => &mut slot.insert((at, Timer::at(at))).1,
            };
            if timer.poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.timer = None;
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
        if self.activity.is_blocked(cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_frame(cx)
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
        Pin::new(&mut &*self.inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.inner).poll_close(cx)
    }
}
