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

/// A TCP stream that counts written bytes and stays readable after a failed write.
///
/// The count decides the verdict on a failed request: a request of which no byte was written to the
/// operating system cannot have run.
///
/// A server can answer and close the connection before it has read the whole request. The next write fails
/// then, while the response waits in the receive buffer. hyper gives a connection up at a failed write, so
/// what is written afterwards is discarded, and the read tells how the connection ended. The system reports
/// a reset only once, so the read repeats what the write was told: a response without a length would seem to
/// end there.
#[derive(Debug)]
pub(crate) struct CountedStream {
    inner: Arc<Async<TcpStream>>,
    written: WrittenBytes,
    /// The error of the write after which the peer takes no more bytes. Discarded bytes are not counted as
    /// written.
    write_error: Option<io::ErrorKind>,
}

impl CountedStream {
    pub(crate) fn new(inner: Arc<Async<TcpStream>>, written: WrittenBytes) -> Self {
        Self {
            inner,
            written,
            write_error: None,
        }
    }

    /// Counts what was written. A write of `len` bytes that failed because the peer has closed the
    /// connection counts as complete for hyper.
    fn written(&mut self, poll: Poll<io::Result<usize>>, len: usize) -> Poll<io::Result<usize>> {
        match poll {
            Poll::Ready(Ok(written)) => self.written.add(written),
            Poll::Ready(Err(err)) if is_closed_by_peer(&err) => {
                log::debug!(
                    "LW1105 the peer closed a connection before the end of a request: {err}"
                );
                self.write_error = Some(err.kind());
                return Poll::Ready(Ok(len));
            }
            Poll::Ready(Err(_)) | Poll::Pending => {}
        }
        poll
    }
}

fn is_closed_by_peer(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset
    )
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
        let poll = Pin::new(&mut &*self.inner).poll_read(cx, buf);
        match (&poll, self.write_error) {
            // After a broken pipe the end is genuine: the peer had closed its direction before the reset.
            (Poll::Ready(Ok(0)), Some(io::ErrorKind::ConnectionReset)) if !buf.is_empty() => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            _ => poll,
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(buf.len()));
        }
        let poll = Pin::new(&mut &*self.inner).poll_write(cx, buf);
        self.written(poll, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(len));
        }
        let poll = Pin::new(&mut &*self.inner).poll_write_vectored(cx, bufs);
        self.written(poll, len)
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

#[cfg(test)]
mod tests {
    use std::io::Write as _;
    use std::net::TcpListener;

    use async_io::block_on;
    use futures_lite::{
        AsyncReadExt,
        AsyncWriteExt, //
    };

    use super::*;

    /// Returns a stream whose peer has sent `response` and closed the connection with bytes unread, which
    /// resets it.
    async fn reset_after(response: &[u8]) -> CountedStream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let stream = Async::<TcpStream>::connect(addr).await.unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        (&stream).write_all(b"unread").await.unwrap();
        peer.peek(&mut [0]).unwrap();
        peer.write_all(response).unwrap();
        drop(peer);
        CountedStream::new(Arc::new(stream), WrittenBytes::default())
    }

    /// Guards against a response that is lost because the rest of the request can no longer be written.
    #[test]
    fn the_response_of_a_peer_that_has_closed_is_read() {
        block_on(async {
            let mut stream = reset_after(b"response").await;
            stream.write_all(&[0; 64]).await.unwrap();
            stream.write_all(&[0; 64]).await.unwrap();
            assert_eq!(stream.write_error, Some(io::ErrorKind::ConnectionReset));
            assert_eq!(stream.written.get(), 0, "discarded bytes count as written");
            let mut response = vec![0; 8];
            stream.read_exact(&mut response).await.unwrap();
            assert_eq!(response, b"response");
        });
    }

    /// Guards against a request that waits for a response after its connection has ended.
    #[test]
    fn a_connection_that_ends_without_response_is_seen_by_the_reader() {
        block_on(async {
            let mut stream = reset_after(b"").await;
            stream.write_all(&[0; 64]).await.unwrap();
            stream.write_all(&[0; 64]).await.unwrap();
            let read = stream.read(&mut [0; 8]).await;
            assert!(!matches!(read, Ok(1..)), "{read:?}");
        });
    }
}
