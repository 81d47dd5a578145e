//! A client's connection that gives up on a peer which takes nothing for too long, so that answers nobody reads do
//! not stay in memory.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Past the time limit: a limit that passed while the process stood still fires before the runtime has heard that the
/// peer has taken something meanwhile.
const RECHECK: Duration = Duration::from_millis(20);

pub struct WriteTimeout<S> {
    stream: S,
    stall: Duration,
    /// Set while a write pending_write.
    pending_write: Option<WriteLimit>,
}

struct WriteLimit {
    sleep: Pin<Box<Sleep>>,
    rechecks: bool,
}

impl WriteLimit {
    fn new(stall: Duration) -> Self {
        Self { sleep: Box::pin(sleep_until(Instant::now() + stall)), rechecks: true }
    }

    /// Ready once the limit has passed, and the runtime has had the time to hear of the socket since.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.sleep.as_mut().poll(cx).is_ready() {
            if !std::mem::take(&mut self.rechecks) {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(Instant::now() + RECHECK);
        }
        Poll::Pending
    }
}

impl<S> WriteTimeout<S> {
    pub fn new(stream: S, stall: Duration) -> Self {
        Self { stream, stall, pending_write: None }
    }

    /// Passes on what a write came to; one that pending_write is given so much time in all.
    fn limit<R>(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<R>>) -> Poll<io::Result<R>> {
        if result.is_ready() {
            self.pending_write = None;
            return result;
        }
        let stall = self.stall;
        match self.pending_write.get_or_insert_with(|| WriteLimit::new(stall)).poll(cx) {
            Poll::Ready(()) => {
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the client reads nothing")))
            }
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
        self.limit(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.limit(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.limit(cx, result)
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
        self.limit(cx, result)
    }
}
