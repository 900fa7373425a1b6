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

/// Reads in a row after which a connection lets other tasks run.
const READS_IN_A_ROW: u32 = 16;

/// A stream that lets other tasks run between many reads.
///
/// hyper reads the size of a chunk without a limit of its length. A peer that sends zeros there as
/// fast as they are read would hold the executor's thread for ever, and no deadline would pass.
#[derive(Debug)]
pub(crate) struct FairStream<S> {
    inner: S,
    /// Reads since the stream last had nothing to read.
    reads: u32,
}

impl<S> FairStream<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self { inner, reads: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads >= READS_IN_A_ROW {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.reads = if poll.is_ready() { self.reads + 1 } else { 0 };
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
