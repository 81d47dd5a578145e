//! Kept connections to one worker. The last used is used again first, so that the rest grow idle and are closed.
//! A connection carries one exchange at a time; calling an exchange off closes it, as HTTP/1.1 has no other way.

use crate::io_fault;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use milletpath_multicore::budget::Budget;
use milletpath_multicore::watch::STILL;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

pub type Body = Full<Bytes>;

/// Where a worker is: its address, and a number that changes when another process takes its name.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub process: u64,
}

/// The connections that one worker may have, over all cores.
pub struct ConnectionLimit {
    used: Budget,
    pub released: Notify,
}

impl ConnectionLimit {
    pub fn new(max_connections: usize) -> Self {
        Self { used: Budget::new(max_connections), released: Notify::new() }
    }

    /// A place for one more connection. It is given back when dropped.
    pub fn reserve(self: &Arc<Self>) -> Option<ConnectionReservation> {
        self.used.take(1).then(|| ConnectionReservation(self.clone()))
    }
}

/// Room for a connection, from before it is handshake until it is closed.
pub struct ConnectionReservation(Arc<ConnectionLimit>);

impl Drop for ConnectionReservation {
    fn drop(&mut self) {
        self.0.used.give_back(1);
        self.0.released.notify_one();
    }
}

/// Leave to write one request, for as long as the verdict behind it holds: a thread that stood still since then
/// must not write what was true before. Nothing but requests is ever written to a worker.
#[derive(Default)]
pub struct WritePermit {
    until: Cell<Option<Instant>>,
    was_refused: Cell<bool>,
}

impl WritePermit {
    /// Given at the verdict.
    pub fn grant(&self) {
        self.until.set(Some(Instant::now() + Duration::from_secs_f64(STILL)));
    }

    /// Asked in the moment of writing; the first byte uses it up.
    fn consume(&self) -> io::Result<()> {
        if self.until.take().is_some_and(|until| Instant::now() > until) {
            self.was_refused.set(true);
            return Err(io::Error::new(io::ErrorKind::TimedOut, "this thread stood still before it wrote"));
        }
        Ok(())
    }

    /// Whether a request was was_refused, so that not a byte of it was written.
    pub fn was_refused(&self) -> bool {
        self.was_refused.get()
    }
}

/// A worker's stream on which nothing is written without leave.
struct Gated(TokioIo<TcpStream>, Rc<WritePermit>);

impl Read for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl Write for Gated {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.1.consume()?;
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.1.consume()?;
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }
}

/// One connection. Dropped, it is closed at once, with whatever is under way on it.
pub struct Connection {
    pub sender: SendRequest<Body>,
    pub write_permit: Rc<WritePermit>,
    task: AbortHandle,
    /// The process that it leads to.
    process: u64,
    _reservation: ConnectionReservation,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Default)]
pub struct ConnectionPool {
    idle: Vec<(f64, Connection)>,
}

impl ConnectionPool {
    /// An idle connection to that process which still stands as far as is known.
    pub fn take(&mut self, process: u64) -> Option<Connection> {
        while let Some((_, connection)) = self.idle.pop() {
            if connection.process == process && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a connection back once its exchange is over.
    pub fn return_connection(&mut self, now: f64, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle.push((now, connection));
        }
    }

    /// Closes what was not used since a time.
    pub fn close_idle(&mut self, since: f64) {
        self.idle.retain(|(used, connection)| *used >= since && !connection.sender.is_closed());
    }

    /// Closes the connection that is idle for longest: another core has need of its place.
    pub fn close_one(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }
}

/// Bytes that one answer's header fields may take; the body has its own bound.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Makes a connection in its place; for `max_wait` it is tried again where this machine itself lacks something.
pub async fn connect(
    reservation: ConnectionReservation,
    endpoint: Endpoint,
    max_wait: Duration,
) -> io::Result<Connection> {
    let stream = io_fault::connect(max_wait, async || TcpStream::connect(endpoint.address).await).await?;
    stream.set_nodelay(true)?;
    let write_permit = Rc::new(WritePermit::default());
    let gated = Gated(TokioIo::new(stream), write_permit.clone());
    let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake::<_, Body>(gated).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // How it ended is told to whoever waits for an answer on it.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        write_permit,
        task: task.abort_handle(),
        process: endpoint.process,
        _reservation: reservation,
    })
}

#[cfg(test)]
mod tests;
