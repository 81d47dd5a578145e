//! A stream that fails where the peer accepts no bytes for too long, so that responses nobody reads don't stay in
//! memory.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time after the limit in which the runtime learns of the socket's state: a limit that passed while the process was
/// suspended fires before the runtime knows that the peer has accepted bytes meanwhile.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// Limits the time for which a write may be pending.
pub struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// Set while a write is pending.
    pending_write: Option<WriteLimit>,
}

struct WriteLimit {
    sleep: Pin<Box<Sleep>>,
    /// Whether the limit is checked once more after it has passed.
    recheck_pending: bool,
}

impl WriteLimit {
    fn new(limit: Duration) -> Self {
        Self { sleep: Box::pin(sleep_until(Instant::now() + limit)), recheck_pending: true }
    }

    /// Ready once the limit has passed, and the runtime has had time to learn of the socket since.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.sleep.as_mut().poll(cx).is_ready() {
            if !std::mem::take(&mut self.recheck_pending) {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(Instant::now() + RECHECK_DELAY);
        }
        Poll::Pending
    }
}

impl<S> WriteTimeout<S> {
    /// Limits writes on `stream`.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self { stream, limit, pending_write: None }
    }

    /// Returns the result of a write; one that is pending for too long becomes an error.
    fn apply<R>(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<R>>) -> Poll<io::Result<R>> {
        if result.is_ready() {
            self.pending_write = None;
            return result;
        }
        let limit = self.limit;
        match self.pending_write.get_or_insert_with(|| WriteLimit::new(limit)).poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the client accepted no bytes within the time limit",
            ))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: Read + Unpin> Read for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for WriteTimeout<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.apply(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.apply(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.apply(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.apply(cx, result)
    }
}
