//! Pools the connections of one core to one worker. The most recently used connection is reused first, so that surplus
//! ones stay idle and are closed. A connection carries one exchange at a time. Cancelling an exchange closes its
//! connection, because HTTP/1.1 offers no other way.

use crate::connection_limit::ConnectionPermit;
use crate::io_fault;
use crate::write_permit::WritePermit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Body type of requests to workers.
pub type Body = Full<Bytes>;

/// The address of a worker's process.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Identifies the process; changes when another process takes over the worker's name.
    pub process: u64,
}

/// The worker that a message is sent to.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTarget {
    /// The worker's index in the dispatcher.
    pub worker: usize,
    /// The worker's process when the dispatcher made the decision.
    pub endpoint: Endpoint,
}

/// A stream to a worker that refuses to write on an expired permission.
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
        self.write_permit.check()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.write_permit.record_write(&written);
        written
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
        self.write_permit.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.write_permit.record_write(&written);
        written
    }
}

/// One connection to a worker. Dropping it closes it immediately, even during an exchange.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Body>,
    /// Granted before a request is sent, so that a delayed write is refused.
    pub write_permit: Rc<WritePermit>,
    /// The task that drives the connection.
    task: AbortHandle,
    /// The worker process at the other end.
    process: u64,
    _permit: ConnectionPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A pooled connection that is not in use.
struct IdleConnection {
    /// When its last exchange ended, in seconds since the process started.
    since: f64,
    connection: Connection,
}

/// The idle connections of one core to one worker, longest idle first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Vec<IdleConnection>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to this process that is not known to be closed. Connections to
    /// other processes and closed ones found on the way are dropped.
    pub fn take(&mut self, process: u64) -> Option<Connection> {
        while let Some(IdleConnection { connection, .. }) = self.idle.pop() {
            if connection.process == process && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool; its exchange ended at `now`.
    pub fn return_connection(&mut self, now: f64, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle.push(IdleConnection { since: now, connection });
        }
    }

    /// Closes connections that have been idle since before `since`.
    pub fn close_idle(&mut self, since: f64) {
        self.idle.retain(|idle| idle.since >= since && !idle.connection.sender.is_closed());
    }

    /// Closes the longest idle connection, so that another core can open one.
    pub fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }
}

/// Maximum size of a response's head. The body has a separate limit.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Opens a connection. Failures caused by this machine are retried for up to `max_wait`. Must run within a `LocalSet`.
///
/// # Errors
///
/// Returns the error of the last attempt to connect or of the HTTP handshake.
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
        // Its error is reported to the caller that waits for a response on this connection.
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
