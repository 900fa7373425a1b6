//! Bodies in one buffer that are sent in slices.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{
    Context,
    Poll, //
};

use hyper::body::{
    Bytes,
    Frame,
    SizeHint, //
};

/// Largest slice in bytes. A connection copies what it is about to write; a whole body would be in memory twice
/// until the server has read it.
const SLICE_BYTES: usize = 16 << 10;

/// Takes the next slice of a body that is not empty.
pub(super) fn next_slice(bytes: &mut Bytes) -> Bytes {
    bytes.split_to(bytes.len().min(SLICE_BYTES))
}

/// A body in one buffer that is handed out in slices.
#[derive(Clone, Debug)]
pub(crate) struct SlicedBody(Bytes);

impl SlicedBody {
    pub(crate) fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl hyper::body::Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(Frame::data(next_slice(&mut self.0)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
