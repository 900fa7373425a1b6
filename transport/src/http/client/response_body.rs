//! Response bodies that return their connection to the pool.

use std::pin::Pin;
use std::sync::{
    Arc,
    Weak, //
};
use std::task::{
    Context,
    Poll, //
};
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::body::{
    Body,
    Bytes,
    Frame,
    Incoming,
    SizeHint, //
};

use super::connection::{
    Connection,
    ConnectionUse, //
};
use super::pool::{
    Key,
    Pool, //
};
use crate::http::body::{
    BodyError,
    read_all, //
};

/// Body of a response, streamed as it arrives.
///
/// Reading to the end, or dropping a response without a body, returns the connection to its pool.
/// Dropping the body earlier closes the connection, which cancels the request at the server.
#[derive(Debug)]
pub struct ClientBody {
    incoming: Incoming,
    connection: Option<Connection>,
    sent_on: ConnectionUse,
    pool: Weak<Pool>,
    key: Key,
    deadline: Option<Timer>,
}

impl ClientBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        sent_on: ConnectionUse,
        pool: &Arc<Pool>,
        key: Key,
        deadline: Option<Instant>,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            sent_on,
            pool: Arc::downgrade(pool),
            key,
            deadline: deadline.map(Timer::at),
        }
    }

    /// Returns the connection on which the request was sent.
    pub fn sent_on(&self) -> ConnectionUse {
        self.sent_on
    }

    /// Closes the connection even if the response is complete, for servers whose responses are not
    /// trusted.
    pub fn close(mut self) {
        self.connection = None;
    }

    /// Reads the whole body, of at most `limit` bytes.
    pub async fn collect_bytes(self, limit: usize) -> Result<Bytes, BodyError> {
        read_all(self, limit).await
    }

    fn release(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if let Some(pool) = self.pool.upgrade() {
            pool.put(self.key, connection);
        }
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let timer = self.deadline.as_mut();
        timer.is_some_and(|timer| timer.poll(cx).is_ready())
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        // A response without a body is complete without being polled.
        if self.incoming.is_end_stream() {
            self.release();
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(source))) => {
                this.connection = None;
                Poll::Ready(Some(Err(BodyError::Interrupted { source })))
            }
            Poll::Ready(None) => {
                this.release();
                Poll::Ready(None)
            }
            Poll::Pending if this.poll_deadline(cx) => {
                this.connection = None;
                Poll::Ready(Some(Err(BodyError::Deadline)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
