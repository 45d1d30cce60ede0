use hyper_util::client::legacy::connect::{Connected, Connection};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes that are read without a response head or any part of a body coming of
/// them. The largest response head and the read buffer together are below it.
pub const MAX_BYTES_WITHOUT_PROGRESS: usize = 192 * 1024;

/// Bytes read from a connection since its last progress.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records that a response head or part of a body has arrived.
    pub fn record(&self) {
        self.0.store(0, Relaxed);
    }

    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Relaxed) + bytes
    }
}

/// A connection that fails if the server sends bytes without end, also those that HTTP discards, such
/// as informational responses and the digits of a chunk size. Reading these would keep the process
/// busy until a timeout.
///
/// It also fails if the server ends it before it has taken the whole request. Its end must not be that of
/// a response then: a server that was reset or gave up ends its connection no differently.
#[derive(Debug)]
pub struct LimitedStream {
    inner: TcpStream,
    progress: Progress,
    max_bytes: usize,
    /// Whether bytes are left that could not be written, as of the latest write.
    has_unsent: bool,
}

impl LimitedStream {
    /// Wraps a connected stream, from which at most `max_bytes` are read without progress.
    pub fn new(inner: TcpStream, progress: Progress, max_bytes: usize) -> Self {
        Self { inner, progress, max_bytes, has_unsent: false }
    }
}

impl Connection for LimitedStream {
    /// Passes the progress on to each response, for its reader to record.
    fn connected(&self) -> Connected {
        self.inner.connected().extra(self.progress.clone())
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let can_read = buf.remaining() > 0;
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        let has_ended = can_read && read == 0 && matches!(result, Poll::Ready(Ok(())));
        if has_ended && self.has_unsent {
            let message = "the server ended the connection before it had the whole request";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, message)));
        }
        if read > 0 && self.progress.add(read) > self.max_bytes {
            let message = "the server sends bytes without end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.has_unsent = !matches!(result, Poll::Ready(Ok(_)));
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.has_unsent = !matches!(result, Poll::Ready(Ok(_)));
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
