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
    Poll, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_io::{
    Async,
    Timer, //
};
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

/// Time that a new connection has for the first byte of its request once the server stops.
const FIRST_BYTE_AFTER_STOP: Duration = Duration::from_millis(300);

/// Time for the rest of a request head once the server stops.
const HEAD_AFTER_STOP: Duration = Duration::from_millis(1_000);

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
}

/// Activity of one connection. All changes are made while the connection is being polled.
#[derive(Debug)]
pub(crate) struct Activity {
    limits: Arc<ConnectionLimits>,
    state: Mutex<State>,
}

impl Activity {
    pub(crate) fn new(limits: Arc<ConnectionLimits>) -> Self {
        let phase = Phase::New {
            since: Instant::now(),
            limit: limits.idle(),
        };
        Self {
            limits,
            state: Mutex::new(State {
                phase,
                has_unread_body: false,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes_received(&self) {
        let mut state = self.lock();
        if matches!(state.phase, Phase::New { .. } | Phase::Idle { .. }) {
            state.phase = Phase::Head {
                since: Instant::now(),
                limits: self.limits.head(),
            };
        }
    }

    /// Records that a request head is complete; returns the limits that hold for it.
    pub(crate) fn request_began(&self) -> HeadLimits {
        let mut state = self.lock();
        let limits = match state.phase {
            Phase::Head { limits, .. } => self.limits.head_since(limits),
            _ => self.limits.head(),
        };
        state.phase = Phase::Request;
        state.has_unread_body = false;
        limits
    }

    fn response_ended(&self) {
        let limit = self.limits.idle();
        self.lock().phase = Phase::Idle {
            since: Instant::now(),
            limit,
        };
    }

    /// Records that a request body was dropped before its end.
    pub(crate) fn body_left_unread(&self) {
        self.lock().has_unread_body = true;
    }

    /// Returns whether the body of the last request was dropped before its end.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.lock().has_unread_body
    }

    /// Returns when the connection is closed if its phase does not change; `stopped` is when the server
    /// began to stop.
    fn expires(&self, stopped: Option<Instant>) -> Option<(Expiry, Instant)> {
        let phase = self.lock().phase;
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
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A stream of a connection that records when bytes arrive.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    inner: Arc<Async<TcpStream>>,
    activity: Arc<Activity>,
}

impl WatchedStream {
    pub(crate) fn new(inner: Arc<Async<TcpStream>>, activity: Arc<Activity>) -> Self {
        Self { inner, activity }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_read(cx, buf);
        if matches!(poll, Poll::Ready(Ok(len)) if len > 0) {
            self.activity.bytes_received();
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
        Pin::new(&mut &*self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.inner).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.inner).poll_close(cx)
    }
}
