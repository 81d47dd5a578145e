//! A stream that fails if the peer accepts no bytes for too long, so that responses that are never read do not stay in
//! memory.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time given to the runtime after the limit to update the socket's state. A timer that expired while the process was
/// suspended fires before the runtime knows that the peer has accepted bytes meanwhile.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// Limits how long a write may be pending.
pub struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// Set while a write is pending.
    pending_write: Option<WriteLimit>,
}

struct WriteLimit {
    sleep: Pin<Box<Sleep>>,
    /// Whether the limit still has to be checked once more after it has passed.
    recheck_pending: bool,
}

impl WriteLimit {
    fn new(limit: Duration) -> Self {
        Self { sleep: Box::pin(sleep_until(Instant::now() + limit)), recheck_pending: true }
    }

    /// Ready once the limit has passed and the runtime has had time to update the socket's state.
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
    /// Wraps `stream` with a limit on the time for which a write may be pending.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self { stream, limit, pending_write: None }
    }

    /// Returns the result of a write, or an error if it has been pending for too long.
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
