//! A worker's connection that can spoil what is written on it: half an answer, garbage, a reset in mid-body.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Corruption {
    #[default]
    Nothing,
    /// Half of what is written, then the end.
    Half,
    /// Bytes that are no HTTP.
    Garbage,
    /// Half of it, then a reset.
    Reset,
    /// Closed without a byte.
    Silence,
}

pub struct CorruptingStream {
    stream: TokioIo<TcpStream>,
    /// What becomes of the next write; set by whoever answers on this connection.
    next: Rc<Cell<Corruption>>,
    dead: bool,
}

impl CorruptingStream {
    pub fn new(stream: TcpStream, next: Rc<Cell<Corruption>>) -> Self {
        Self { stream: TokioIo::new(stream), next, dead: false }
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
        let spoil = self.next.get();
        if self.dead || spoil == Corruption::Silence {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        match spoil {
            Corruption::Nothing => Pin::new(&mut self.stream).poll_write(cx, buf),
            Corruption::Garbage => {
                let junk = [0x13, 0x37, b'\r', b'\n', 0, 0xff, b' ', b'\n'].repeat(8);
                ready!(Pin::new(&mut self.stream).poll_write(cx, &junk))?;
                self.dead = true;
                Poll::Ready(Ok(buf.len()))
            }
            Corruption::Half | Corruption::Reset | Corruption::Silence => {
                ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..buf.len() / 2]))?;
                self.dead = true;
                if spoil == Corruption::Reset {
                    let socket = socket2::SockRef::from(self.stream.inner());
                    socket.set_linger(Some(Duration::ZERO))?;
                }
                Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()))
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
