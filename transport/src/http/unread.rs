//! Takes the rest of a request body whose handler has not read it, so that its connection can be reused.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::task::Poll;

use futures_lite::future::yield_now;
use hyper::body::{
    Body as _,
    Bytes,
    Incoming, //
};

use super::body::BUFFER_BYTES;

/// Most bytes that are taken of a body. It is the prompt of an ordinary request; taking more would cost the
/// server more than the connection that is saved.
const MAX_TAKEN_BYTES: usize = BUFFER_BYTES;

/// Most polls of the connection for one body, so that a caller that sends byte by byte is not followed.
const MAX_ROUNDS: usize = 16;

/// Polls of the connection in succession without a byte, after which all that has arrived is taken. The first
/// one makes the connection read from the socket.
const EMPTY_ROUNDS: usize = 2;

/// Place where a body is left that was dropped before its end.
#[derive(Debug, Default)]
pub(crate) struct UnreadBody(Mutex<Option<Incoming>>);

impl UnreadBody {
    pub(crate) fn put(&self, body: Incoming) {
        *self.lock() = Some(body);
    }

    pub(crate) fn take(&self) -> Option<Incoming> {
        self.lock().take()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Incoming>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes what has arrived of a body, and waits for nothing else; returns whether that was its rest.
pub(crate) async fn take_arrived(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_TAKEN_BYTES as u64 {
        return false;
    }
    let mut taken = 0;
    let mut empty_rounds = 0;
    for _ in 0..MAX_ROUNDS {
        // The connection hands over one part at a time, and the next one when it is polled again.
        let poll = poll_fn(|cx| Poll::Ready(Pin::new(&mut body).poll_frame(cx))).await;
        match poll {
            Poll::Ready(None) => return true,
            Poll::Ready(Some(Err(_))) => return false,
            Poll::Ready(Some(Ok(frame))) => {
                taken += frame.data_ref().map_or(0, Bytes::len);
                empty_rounds = 0;
            }
            Poll::Pending => empty_rounds += 1,
        }
        if body.is_end_stream() {
            return true;
        }
        if taken > MAX_TAKEN_BYTES || empty_rounds > EMPTY_ROUNDS {
            return false;
        }
        yield_now().await;
    }
    false
}
