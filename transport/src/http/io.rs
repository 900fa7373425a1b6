//! Streams that count written bytes and that yield to other tasks.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::task::{
    Context,
    Poll, //
};

use async_io::Async;
use futures_lite::{
    AsyncRead,
    AsyncWrite, //
};

/// Number of bytes that a connection has written to the operating system.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenBytes(Arc<AtomicU64>);

impl WrittenBytes {
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, len: usize) {
        self.0.fetch_add(len as u64, Ordering::AcqRel);
    }
}

/// A TCP stream that counts written bytes.
///
/// The count decides the verdict on a failed request: a request of which no byte was written to the
/// operating system cannot have run.
#[derive(Debug)]
pub(crate) struct CountedStream {
    inner: Arc<Async<TcpStream>>,
    written: WrittenBytes,
}

impl CountedStream {
    pub(crate) fn new(inner: Arc<Async<TcpStream>>, written: WrittenBytes) -> Self {
        Self { inner, written }
    }
}

/// Returns whether an idle connection is still open and has no unread bytes.
pub(crate) fn is_open_and_unread(stream: &Async<TcpStream>) -> bool {
    let peek_result = stream.get_ref().peek(&mut [0]);
    peek_result.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for CountedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(len)) = &poll {
            self.written.add(*len);
        }
        poll
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(len)) = &poll {
            self.written.add(*len);
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.inner).poll_close(cx)
    }
}

/// Number of bytes read in succession after which a connection yields to other tasks. The budget counts bytes
/// and not reads, because one read may fill a buffer of several hundred kilobytes.
const READ_BUDGET: usize = 64 << 10;

/// Largest single read. The buffers of a connection grow with the size of its reads.
const READ_BYTES: usize = 16 << 10;

/// A stream that yields to other tasks after a budget of bytes was read.
///
/// hyper reads the size of a chunk without a limit on its length. A peer that sends zeros there as
/// fast as they are read would occupy the executor thread forever, and no deadline would expire.
#[derive(Debug)]
pub(crate) struct YieldingStream<S> {
    inner: S,
    /// Bytes that may be read before the stream yields.
    budget: usize,
}

impl<S> YieldingStream<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self {
            inner,
            budget: READ_BUDGET,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for YieldingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.budget == 0 {
            self.budget = READ_BUDGET;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let len = buf.len().min(self.budget).min(READ_BYTES);
        let poll = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..len]);
        self.budget = match &poll {
            Poll::Ready(Ok(read)) => self.budget - read,
            Poll::Ready(Err(_)) | Poll::Pending => READ_BUDGET,
        };
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for YieldingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
