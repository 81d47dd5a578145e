//! Connections of one core to one worker. The one used last is used again first, so that surplus ones stay idle and are
//! closed. A connection carries one exchange at a time; cancelling an exchange closes it, as HTTP/1.1 has no other way.

use crate::connection_limit::ConnectionPermit;
use crate::io_fault;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use milletpath_multicore::watchdog::STALL_THRESHOLD;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The body of a request to a worker.
pub type Body = Full<Bytes>;

/// The address of a worker's process.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Changes when another process takes the worker's name.
    pub process: u64,
}

/// A worker that is to be sent something.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTarget {
    /// The worker's index at the dispatcher.
    pub worker: usize,
    /// Its process at the time of the decision.
    pub endpoint: Endpoint,
}

/// Permission to write one request, which expires: a thread that was stalled since the decision to send must not write,
/// as the decision may be outdated. Only requests are ever written to a worker.
#[derive(Default)]
pub struct WritePermit {
    until: Cell<Option<Instant>>,
    was_refused: Cell<bool>,
}

impl WritePermit {
    /// Permits one request from now on.
    pub fn grant(&self) {
        self.until.set(Some(Instant::now() + Duration::from_secs_f64(STALL_THRESHOLD)));
    }

    /// Called right before writing; the first write uses the permission up.
    fn consume(&self) -> io::Result<()> {
        if self.until.take().is_some_and(|until| Instant::now() > until) {
            self.was_refused.set(true);
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the thread was stalled before it wrote the request",
            ));
        }
        Ok(())
    }

    /// Whether a write was refused, so that nothing of the request was written.
    pub fn was_refused(&self) -> bool {
        self.was_refused.get()
    }
}

/// A worker's stream on which nothing is written without permission.
struct PermittedStream {
    stream: TokioIo<TcpStream>,
    write_permit: Rc<WritePermit>,
}

impl Read for PermittedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for PermittedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write_permit.consume()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_permit.consume()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

/// One connection; dropping it closes it at once, also within an exchange.
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Body>,
    /// Without its permission nothing is written.
    pub write_permit: Rc<WritePermit>,
    /// Drives the connection.
    task: AbortHandle,
    /// The worker's process that it leads to.
    process: u64,
    _permit: ConnectionPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that is not in use.
struct IdleConnection {
    /// When its last exchange ended, in seconds since the start.
    since: f64,
    connection: Connection,
}

/// The idle connections of one core to one worker, the longest idle first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Vec<IdleConnection>,
}

impl ConnectionPool {
    /// An idle connection to this process, which is open as far as is known. Others that are found are closed.
    pub fn take(&mut self, process: u64) -> Option<Connection> {
        while let Some(IdleConnection { connection, .. }) = self.idle.pop() {
            if connection.process == process && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended at `now`.
    pub fn return_connection(&mut self, now: f64, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle.push(IdleConnection { since: now, connection });
        }
    }

    /// Closes connections that were not used after `since`.
    pub fn close_idle(&mut self, since: f64) {
        self.idle.retain(|idle| idle.since >= since && !idle.connection.sender.is_closed());
    }

    /// Closes the connection that was idle for longest, so that another core can open one.
    pub fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }
}

/// Bytes of a response's header fields; the body has a limit of its own.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Opens a connection; for `max_wait` it tries again where this machine lacks something. Must run within a `LocalSet`.
///
/// # Errors
///
/// Those of the last attempt to connect, and of the HTTP handshake.
pub async fn connect(
    permit: ConnectionPermit,
    endpoint: Endpoint,
    max_wait: Duration,
) -> io::Result<Connection> {
    let stream = io_fault::connect(max_wait, async || TcpStream::connect(endpoint.address).await).await?;
    stream.set_nodelay(true)?;
    let write_permit = Rc::new(WritePermit::default());
    let stream = PermittedStream { stream: TokioIo::new(stream), write_permit: write_permit.clone() };
    let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake::<_, Body>(stream).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // Its error is returned to whoever waits for a response on it.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        write_permit,
        task: task.abort_handle(),
        process: endpoint.process,
        _permit: permit,
    })
}

#[cfg(test)]
mod tests;
