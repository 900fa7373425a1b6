//! Request and response bodies with limits.

use std::pin::Pin;
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
use futures_lite::{
    FutureExt,
    Stream, //
};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::{
    Bytes,
    Frame,
    Incoming,
    SizeHint, //
};
use limpetweir_state::Verdict;
use snafu::Snafu;

use super::pool::ClientBody;

/// Cause of a body failure as hyper reports it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Chunks that a [`BodySender`] may have waiting; a slow reader holds back its writer.
const CHANNEL_CHUNKS: usize = 16;

/// A body that could not be read to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BodyError {
    /// The body is longer than accepted.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Accepted length in bytes.
        limit: usize,
    },
    /// No further part arrived in time.
    #[snafu(display("no part of the body arrived within {} ms", timeout.as_millis()))]
    Stalled {
        /// Longest accepted pause.
        timeout: Duration,
    },
    /// The deadline of the request passed before the end of the body.
    #[snafu(display("the deadline passed before the end of the body"))]
    Deadline,
    /// The connection broke before the end of the body.
    #[snafu(display("the body was cut off: {source}"))]
    Interrupted {
        /// Cause given by hyper.
        source: hyper::Error,
    },
    /// The writer of the body was dropped before it finished the body.
    #[snafu(display("the body was abandoned by its writer"))]
    Abandoned,
    /// A boxed body failed.
    #[snafu(display("the body failed: {source}"))]
    Boxed {
        /// Cause given by the body.
        source: BoxError,
    },
}

impl BodyError {
    /// Returns whether the request may have run; a body is only read after its head was answered.
    pub fn verdict(&self) -> Verdict {
        Verdict::MayHaveRun
    }
}

/// The body of a response that the server sends.
#[derive(Debug)]
pub enum Body {
    /// Bytes that are all known; `None` once they were sent.
    Full(Option<Bytes>),
    /// Parts that a [`BodySender`] writes.
    Channel(Pin<Box<Receiver<Part>>>),
    /// The answer of another server, passed on as it arrives.
    Upstream(Box<ClientBody>),
    /// Any other body.
    Boxed(BoxBody<Bytes, BoxError>),
}

/// A part of a streamed body.
#[derive(Debug)]
pub enum Part {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

impl Body {
    /// Returns a body without bytes.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Returns a body that is written through the returned sender.
    pub fn channel() -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(CHANNEL_CHUNKS);
        (BodySender { tx }, Self::Channel(Box::pin(rx)))
    }

    /// Returns a body that passes on the answer of another server.
    pub fn upstream(body: ClientBody) -> Self {
        Self::Upstream(Box::new(body))
    }

    /// Returns a body of any other kind.
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
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Channel(rx) => poll_channel(rx, cx),
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

fn poll_channel(
    rx: &mut Pin<Box<Receiver<Part>>>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    match rx.as_mut().poll_next(cx) {
        Poll::Pending => Poll::Pending,
        Poll::Ready(Some(Part::Data(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
        Poll::Ready(Some(Part::End)) => Poll::Ready(None),
        Poll::Ready(None) => Poll::Ready(Some(Err(BodyError::Abandoned))),
    }
}

/// The reader of a body is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the reader of the body is gone"))]
pub struct BodyClosed;

/// Writes a streamed body.
///
/// A sender that is dropped before [`BodySender::finish`] cuts the answer off, so the caller cannot
/// take a partial answer for a complete one.
#[derive(Debug)]
pub struct BodySender {
    tx: Sender<Part>,
}

impl BodySender {
    /// Sends bytes; waits while the reader is behind.
    ///
    /// Fails once the reader is gone, for example because the caller closed its connection.
    pub async fn send(&self, bytes: impl Into<Bytes>) -> Result<(), BodyClosed> {
        let bytes = bytes.into();
        if bytes.is_empty() {
            return Ok(());
        }
        let sent = self.tx.send(Part::Data(bytes)).await;
        sent.map_err(|_| BodyClosed)
    }

    /// Completes the body.
    pub async fn finish(self) -> Result<(), BodyClosed> {
        let sent = self.tx.send(Part::End).await;
        sent.map_err(|_| BodyClosed)
    }

    /// Returns once the reader is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The body of a request that the server received.
///
/// Reading fails when the body exceeds the limit or pauses for longer than the read timeout.
#[derive(Debug)]
pub struct RequestBody {
    inner: Incoming,
    limit: usize,
    received: usize,
    timeout: Duration,
    /// Runs while a reader waits for the next part.
    timer: Option<Timer>,
}

impl RequestBody {
    pub(crate) fn new(inner: Incoming, limit: usize, timeout: Duration) -> Self {
        Self {
            inner,
            limit,
            received: 0,
            timeout,
            timer: None,
        }
    }

    /// Lowers the accepted length to `limit` bytes; a limit above the server's has no effect.
    pub fn limited(mut self, limit: usize) -> Self {
        self.limit = self.limit.min(limit);
        self
    }

    /// Reads the whole body.
    pub async fn collect_bytes(self) -> Result<Bytes, BodyError> {
        let announced = hyper::body::Body::size_hint(&self.inner).lower();
        if announced > self.limit as u64 {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        let limit = self.limit;
        read_all(self, limit).await
    }

    fn count(&mut self, len: usize) -> Result<(), BodyError> {
        self.received = self.received.saturating_add(len);
        if self.received > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        self.timer = None;
        Ok(())
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
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len);
                let counted = this.count(len);
                Poll::Ready(Some(counted.map(|()| frame)))
            }
            Poll::Ready(Some(Err(source))) => {
                Poll::Ready(Some(Err(BodyError::Interrupted { source })))
            }
            Poll::Ready(None) => Poll::Ready(None),
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
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
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
