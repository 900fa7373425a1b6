//! Sockets that count the bytes written to them, and that let other tasks run.

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

/// Number of bytes a connection has handed to the operating system.
#[derive(Clone, Debug, Default)]
pub(crate) struct Written(Arc<AtomicU64>);

impl Written {
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, len: usize) {
        self.0.fetch_add(len as u64, Ordering::AcqRel);
    }
}

/// A TCP stream that counts written bytes.
///
/// The count decides the verdict of a failed request: a request of which no byte was handed to the
/// operating system cannot have run.
#[derive(Debug)]
pub(crate) struct CountedStream {
    inner: Arc<Async<TcpStream>>,
    written: Written,
}

impl CountedStream {
    pub(crate) fn new(inner: Arc<Async<TcpStream>>, written: Written) -> Self {
        Self { inner, written }
    }
}

/// Returns whether an idle connection is still open and has received nothing.
pub(crate) fn is_quiet(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
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

/// Bytes in a row after which a connection lets other tasks run. A read may fill a buffer of several
/// hundred kilobytes, so reads are no measure of the time that their bytes take.
const BYTES_IN_A_ROW: usize = 64 << 10;

/// A stream that lets other tasks run between many reads.
///
/// hyper reads the size of a chunk without a limit of its length. A peer that sends zeros there as
/// fast as they are read would hold the executor's thread for ever, and no deadline would pass.
#[derive(Debug)]
pub(crate) struct FairStream<S> {
    inner: S,
    /// Bytes that may be read before other tasks run.
    left: usize,
}

impl<S> FairStream<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self {
            inner,
            left: BYTES_IN_A_ROW,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.left == 0 {
            self.left = BYTES_IN_A_ROW;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let len = buf.len().min(self.left);
        let poll = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..len]);
        self.left = match &poll {
            Poll::Ready(Ok(read)) => self.left - read,
            Poll::Ready(Err(_)) | Poll::Pending => BYTES_IN_A_ROW,
        };
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
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
