//! Request and response bodies with limits.

use std::pin::Pin;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    Weak, //
};
use std::task::{
    Context,
    Poll, //
};
use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use async_io::Timer;
use event_listener::Event;
use futures_lite::{
    FutureExt,
    Stream,
    future, //
};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::{
    Body as _,
    Bytes,
    Frame,
    Incoming,
    SizeHint, //
};
use limpetweir_state::Verdict;
use snafu::Snafu;

use super::activity::Activity;
use super::client::ClientBody;
use super::sliced::next_slice;
use super::unread::UnreadBody;

/// Largest size in bytes of the read buffer, of the write buffer and of the channel of a connection. All
/// connections may fill theirs at once, so that these count more than the system calls of larger ones.
pub(crate) const BUFFER_BYTES: usize = 64 << 10;

/// Error type of boxed bodies.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Capacity of the channel of a [`BodySender`] in chunks, beside [`BUFFER_BYTES`]; a slow reader applies
/// backpressure to it.
const CHANNEL_CAPACITY: usize = 16;

/// Reason why a body could not be read to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BodyError {
    /// The body is longer than the limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Largest accepted length in bytes.
        limit: usize,
    },
    /// No further data arrived within the timeout.
    #[snafu(display("no part of the body arrived within {} ms", timeout.as_millis()))]
    Stalled {
        /// Longest accepted wait for data.
        timeout: Duration,
    },
    /// The deadline of the request expired before the end of the body.
    #[snafu(display("the deadline passed before the end of the body"))]
    Deadline,
    /// The connection was closed before the end of the body.
    #[snafu(display("the body was cut off: {source}"))]
    Interrupted {
        /// Cause reported by hyper.
        source: hyper::Error,
    },
    /// The writer of the body was dropped before it finished the body.
    #[snafu(display("the body was abandoned by its writer"))]
    Abandoned,
    /// A boxed body failed.
    #[snafu(display("the body failed: {source}"))]
    Boxed {
        /// Cause reported by the body.
        source: BoxError,
    },
}

impl BodyError {
    /// Returns whether the connection ended before the body did.
    pub fn is_interrupted(&self) -> bool {
        matches!(self, Self::Interrupted { .. })
    }

    /// Returns whether the deadline of the request expired before the body ended.
    pub fn is_deadline(&self) -> bool {
        matches!(self, Self::Deadline)
    }

    /// Returns the verdict on the request; always `MayHaveRun`, because a response body is only
    /// read after the response head.
    pub fn verdict(&self) -> Verdict {
        Verdict::MayHaveRun
    }
}

/// Body of a response that the server sends.
#[derive(Debug)]
pub enum Body {
    /// A body in one buffer; `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// A streamed body that a [`BodySender`] writes.
    Channel(ChannelBody),
    /// The response body of another server, forwarded as it arrives.
    Upstream(Box<ClientBody>),
    /// Any other body.
    Boxed(BoxBody<Bytes, BoxError>),
}

/// Reader of a streamed body.
#[derive(Debug)]
pub struct ChannelBody {
    rx: Pin<Box<Receiver<Part>>>,
    backlog: Arc<Backlog>,
    /// Whether the writer is gone and the parts before are being written to the connection.
    is_abandoned: bool,
}

/// Bytes in the channel of a body.
#[derive(Debug, Default)]
struct Backlog {
    state: Mutex<BacklogState>,
    /// Notified when there is room again, and when the reader is dropped.
    drained: Event,
}

#[derive(Debug, Default)]
struct BacklogState {
    bytes: usize,
    /// Whether the reader was dropped.
    is_closed: bool,
    /// Connection that the response is sent on.
    activity: Option<Arc<Activity>>,
}

impl Backlog {
    fn lock(&self) -> MutexGuard<'_, BacklogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the bytes for the connection too from now on.
    fn attach(&self, activity: &Arc<Activity>) {
        let mut state = self.lock();
        activity.add_queued(state.bytes);
        state.activity = Some(activity.clone());
    }

    /// Adds bytes once there is room for them; `None` if the reader was dropped.
    async fn add(&self, len: usize) -> Option<()> {
        let activity = self.lock().activity.clone();
        if let Some(activity) = &activity
            && !activity.reserve(len).await
        {
            return None;
        }
        let mut state = self.lock();
        let reserved = activity.filter(|_| state.is_closed);
        if let Some(activity) = reserved {
            activity.remove_queued(len);
            return None;
        }
        state.bytes += len;
        Some(())
    }

    /// Removes bytes that the connection has taken.
    fn remove(&self, len: usize) {
        let mut state = self.lock();
        state.bytes = state.bytes.saturating_sub(len);
        drop(state);
        self.drained.notify(usize::MAX);
    }

    /// Drops all bytes; none are added any more.
    fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        let bytes = std::mem::take(&mut state.bytes);
        if let Some(activity) = state.activity.take() {
            activity.remove_queued(bytes);
        }
        drop(state);
        self.drained.notify(usize::MAX);
    }

    /// Waits until there is room in the channel, or `is_closed`.
    async fn room(&self, is_closed: impl Fn() -> bool) {
        loop {
            let drained = self.drained.listen();
            if self.lock().bytes < BUFFER_BYTES || is_closed() {
                return;
            }
            drained.await;
        }
    }
}

/// A part of a streamed body.
#[derive(Debug)]
enum Part {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

impl Body {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Returns a streamed body and the sender that writes it.
    pub fn channel() -> (BodySender, Self) {
        Self::channel_with(Bytes::new())
    }

    /// The same for a body whose first part is there already, which is sent together with the head.
    pub fn channel_with(first: Bytes) -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(CHANNEL_CAPACITY);
        let backlog = Arc::new(Backlog::default());
        if !first.is_empty() {
            backlog.lock().bytes = first.len();
            let sent = tx.try_send(Part::Data(first));
            debug_assert!(sent.is_ok(), "a new channel has room");
        }
        let body = ChannelBody {
            rx: Box::pin(rx),
            backlog: backlog.clone(),
            is_abandoned: false,
        };
        (BodySender { tx, backlog }, Self::Channel(body))
    }

    /// Counts what the body holds for the connection that it is sent on. Returns whether there is room for it.
    pub(crate) async fn attach(&self, activity: &Arc<Activity>) -> bool {
        match self {
            Self::Full(Some(bytes)) => activity.reserve(bytes.len()).await,
            Self::Channel(body) => {
                body.backlog.attach(activity);
                true
            }
            Self::Full(None) | Self::Upstream(_) | Self::Boxed(_) => true,
        }
    }

    /// Returns a body that forwards the response body of another server.
    pub fn upstream(body: ClientBody) -> Self {
        Self::Upstream(Box::new(body))
    }

    /// Returns a boxed body of any type.
    pub fn boxed<B>(body: B) -> Self
    where
        B: hyper::body::Body<Data = Bytes> + Send + Sync + 'static,
        B::Error: Into<BoxError>,
    {
        Self::Boxed(body.map_err(Into::into).boxed())
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(bytes: T) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(slot) => {
                let Some(bytes) = slot else {
                    return Poll::Ready(None);
                };
                let slice = next_slice(bytes);
                if bytes.is_empty() {
                    *slot = None;
                }
                Poll::Ready(Some(Ok(Frame::data(slice))))
            }
            Self::Channel(body) => body.poll_part(cx),
            Self::Upstream(body) => Pin::new(body.as_mut()).poll_frame(cx),
            Self::Boxed(body) => {
                let poll = Pin::new(body).poll_frame(cx);
                poll.map_err(|source| BodyError::Boxed { source })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Channel(_) => false,
            Self::Upstream(body) => body.is_end_stream(),
            Self::Boxed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Channel(_) => SizeHint::default(),
            Self::Upstream(body) => body.size_hint(),
            Self::Boxed(body) => body.size_hint(),
        }
    }
}

impl ChannelBody {
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.rx.as_mut().poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Part::Data(bytes))) => {
                self.backlog.remove(bytes.len());
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(Part::End)) => Poll::Ready(None),
            // The connection drops what it has not written when a body fails, also the head, and writes
            // only when the body has nothing for it.
            Poll::Ready(None) if !self.is_abandoned => {
                self.is_abandoned = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(BodyError::Abandoned))),
        }
    }
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        self.rx.close();
        self.backlog.close();
    }
}

/// The reader of a body was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the reader of the body was dropped"))]
pub struct BodyClosed;

/// Writes a streamed body.
///
/// Dropping the sender before [`BodySender::finish`] interrupts the response, so that the caller
/// cannot mistake a partial response for a complete one.
#[derive(Debug)]
pub struct BodySender {
    tx: Sender<Part>,
    backlog: Arc<Backlog>,
}

impl BodySender {
    /// Sends bytes; waits while the channel has 64 KiB or is full.
    ///
    /// Fails once the reader was dropped, for example because the caller closed its connection.
    pub async fn send(&self, bytes: impl Into<Bytes>) -> Result<(), BodyClosed> {
        let bytes = bytes.into();
        if bytes.is_empty() {
            return Ok(());
        }
        self.backlog.room(|| self.tx.is_closed()).await;
        let added = future::or(self.backlog.add(bytes.len()), async {
            self.tx.closed().await;
            None
        });
        added.await.ok_or(BodyClosed)?;
        let sent = self.tx.send(Part::Data(bytes)).await;
        sent.map_err(|_| BodyClosed)
    }

    /// Completes the body.
    pub async fn finish(self) -> Result<(), BodyClosed> {
        let sent = self.tx.send(Part::End).await;
        sent.map_err(|_| BodyClosed)
    }

    /// Returns once the reader was dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Body of a request that the server received.
///
/// Reading fails if the body exceeds the limit, or if no data arrives within the read timeout.
#[derive(Debug)]
pub struct RequestBody {
    /// `None` once it was left to `unread`.
    inner: Option<Incoming>,
    limit: usize,
    received: usize,
    timeout: Duration,
    /// Set while a reader waits for data.
    timer: Option<Timer>,
    /// Whether the end was read.
    has_ended: bool,
    /// Whether the connection has failed.
    has_failed: bool,
    activity: Arc<Activity>,
    /// Where the body is left if it is dropped before its end and before the response.
    unread: Weak<UnreadBody>,
}

impl RequestBody {
    pub(crate) fn new(
        inner: Incoming,
        limit: usize,
        timeout: Duration,
        activity: Arc<Activity>,
        unread: Weak<UnreadBody>,
    ) -> Self {
        Self {
            has_ended: inner.is_end_stream(),
            has_failed: false,
            inner: Some(inner),
            limit,
            received: 0,
            timeout,
            timer: None,
            activity,
            unread,
        }
    }

    /// Lowers the limit to `limit` bytes; a limit above the server's has no effect.
    pub fn limited(mut self, limit: usize) -> Self {
        self.limit = self.limit.min(limit);
        self
    }

    /// Returns the length that the head announces; `None` for chunks.
    pub fn announced_len(&self) -> Option<u64> {
        hyper::body::Body::size_hint(self).exact()
    }

    /// Returns an error if the head announces more than the limit.
    pub fn check_len(&self) -> Result<(), BodyError> {
        let limit = self.limit;
        match self.announced_len() {
            Some(len) if len > limit as u64 => Err(BodyError::TooLarge { limit }),
            _ => Ok(()),
        }
    }

    /// Returns the next part of the body, or `None` at its end.
    pub async fn next_part(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(err) => return Some(Err(err)),
            }
        }
    }

    /// Reads the whole body.
    pub async fn collect_bytes(self) -> Result<Bytes, BodyError> {
        let declared_len = hyper::body::Body::size_hint(&self).lower();
        if declared_len > self.limit as u64 {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        let limit = self.limit;
        read_all(self, limit).await
    }

    fn count_received(&mut self, len: usize) -> Result<(), BodyError> {
        self.received = self.received.saturating_add(len);
        if self.received > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        self.timer = None;
        Ok(())
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        self.activity.body_left_unread();
        if let Some(unread) = self.unread.upgrade()
            && let Some(body) = self.inner.take()
            && !self.has_failed
        {
            unread.put(body);
        }
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let Some(inner) = &mut this.inner else {
            return Poll::Ready(None);
        };
        match Pin::new(inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len);
                let counted = this.count_received(len);
                Poll::Ready(Some(counted.map(|()| frame)))
            }
            Poll::Ready(Some(Err(source))) => {
                this.has_failed = true;
                Poll::Ready(Some(Err(BodyError::Interrupted { source })))
            }
            Poll::Ready(None) => {
                this.has_ended = true;
                this.activity.body_ended();
                Poll::Ready(None)
            }
            Poll::Pending => {
                let timeout = this.timeout;
                let timer = this.timer.get_or_insert_with(|| Timer::after(timeout));
                timer
                    .poll(cx)
                    .map(|_| Some(Err(BodyError::Stalled { timeout })))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner
            .as_ref()
            .map_or_else(SizeHint::default, Incoming::size_hint)
    }
}

/// Reads a body of at most `limit` bytes to its end.
pub async fn read_all<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = BodyError> + Unpin,
{
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else {
            continue;
        };
        if buf.len() + bytes.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        buf.extend_from_slice(&bytes);
    }
    Ok(buf.into())
}
