//! Response bodies of plain services.

use std::pin::Pin;
use std::task::{
    Context,
    Poll, //
};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{
    Body as _,
    Bytes,
    Frame,
    SizeHint, //
};
use limpetweir_transport::http::{
    Body,
    BodyError,
    ClientBody, //
};

use super::backends::InFlightGuard;

/// The response body of a plain service; the request is in flight until it is read or dropped.
pub(super) struct RelayedBody {
    /// Bytes that were read ahead; never empty.
    first: Option<Bytes>,
    body: ClientBody,
    /// Whether the end was read.
    has_ended: bool,
    /// Longest wait for each part of the body.
    silence_limit: Duration,
    /// Set while a reader waits for data.
    timer: Option<Timer>,
    /// Whether bytes were returned since the reader last waited, so that they may not be written yet.
    has_unwritten: bool,
    /// An error that is returned once the reader had the time to write earlier bytes.
    error: Option<BodyError>,
    _guard: InFlightGuard,
}

impl RelayedBody {
    pub(super) fn new(body: ClientBody, guard: InFlightGuard, silence_limit: Duration) -> Self {
        Self {
            first: None,
            has_ended: body.is_end_stream(),
            body,
            silence_limit,
            timer: None,
            has_unwritten: false,
            error: None,
            _guard: guard,
        }
    }

    /// Reads the first bytes ahead, or the end of a body without any.
    pub(super) async fn read_first(&mut self) -> Result<(), BodyError> {
        while self.first.is_none() && !self.has_ended {
            match self.body.frame().await {
                Some(frame) => self.first = frame?.into_data().ok().filter(|b| !b.is_empty()),
                None => self.has_ended = true,
            }
        }
        Ok(())
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => self.poll_silence(cx),
            ready => {
                self.timer = None;
                ready
            }
        }
    }

    /// Returns an error, but lets the reader write earlier bytes first: hyper closes the connection at an
    /// error and drops what it has not written, which includes the status.
    fn fail(
        &mut self,
        err: BodyError,
        cx: &Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !std::mem::take(&mut self.has_unwritten) {
            return Poll::Ready(Some(Err(err)));
        }
        self.error = Some(err);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Fails once the server has sent nothing for the limit; a slow caller does not count.
    fn poll_silence(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let timeout = self.silence_limit;
        let timer = self.timer.get_or_insert_with(|| Timer::after(timeout));
        timer
            .poll(cx)
            .map(|_| Some(Err(BodyError::Stalled { timeout })))
    }

    /// Returns the body for the caller.
    pub(super) fn into_body(self) -> Body {
        match self.has_ended {
            true => Body::empty(),
            false => Body::boxed(self),
        }
    }
}

impl hyper::body::Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(err) = this.error.take() {
            return Poll::Ready(Some(Err(err)));
        }
        let polled = this.poll_part(cx);
        if let Poll::Ready(Some(Err(err))) = polled {
            return this.fail(err, cx);
        }
        this.has_unwritten = polled.is_ready();
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(read));
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper.saturating_add(read));
        }
        hint
    }
}
