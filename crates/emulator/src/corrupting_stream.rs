//! A worker's connection whose output a fault can corrupt: a truncated response, garbage, or a reset within the body.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;

/// What is done to the next bytes that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Corruption {
    /// They are written unchanged.
    #[default]
    None,
    /// Half of them are written, then the connection is closed.
    Truncation,
    /// Bytes that are not valid HTTP are written instead, and nothing after them.
    Garbage,
    /// Half of them are written, then the connection is reset.
    Reset,
}

/// Bytes that are not valid HTTP.
const GARBAGE: [u8; 8] = [0x13, 0x37, b'\r', b'\n', 0, 0xff, b' ', b'\n'];
const GARBAGE_REPEATS: usize = 8;

/// A stream that corrupts its output on request.
pub struct CorruptingStream {
    stream: TokioIo<TcpStream>,
    /// Set by the code that writes the response on this connection.
    corruption: Rc<Cell<Corruption>>,
    closed: bool,
}

impl CorruptingStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, corruption: Rc<Cell<Corruption>>) -> Self {
        Self { stream: TokioIo::new(stream), corruption, closed: false }
    }

    fn write_garbage(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let garbage = GARBAGE.repeat(GARBAGE_REPEATS);
        ready!(Pin::new(&mut self.stream).poll_write(cx, &garbage))?;
        self.closed = true;
        Poll::Ready(Ok(bytes.len()))
    }

    fn write_half(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        ready!(Pin::new(&mut self.stream).poll_write(cx, &bytes[..bytes.len() / 2]))?;
        self.closed = true;
        if self.corruption.get() == Corruption::Reset {
            socket2::SockRef::from(self.stream.inner()).set_linger(Some(Duration::ZERO))?;
        }
        Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()))
    }
}

impl Read for CorruptingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for CorruptingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        match self.corruption.get() {
            Corruption::None => Pin::new(&mut self.stream).poll_write(cx, buf),
            Corruption::Garbage => self.write_garbage(cx, buf),
            Corruption::Truncation | Corruption::Reset => self.write_half(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
