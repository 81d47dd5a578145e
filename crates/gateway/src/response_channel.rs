//! A client connection that is shared by all cores. Its own core reads requests and writes responses; if that core is
//! stalled or lost, another thread sends the final response. An atomic claim decides which of the two may write.

use crate::response::ResponseBody;
use bytes::Bytes;
use http::Response;
use hyper::rt::{Read, ReadBufCursor, Write};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_multicore::response_claim::ResponseClaim;
use milletpath_process_environment::peer_presence::{
    PeerPresence, Presence, has_peer_closed, may_hide_end_of_stream,
};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io::{self, Read as _};
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Readiness that signals the end of the stream but not incoming bytes, as no client sends urgent data.
const DISCONNECTED: Interest = Interest::PRIORITY;

/// Whether bytes or the end of the stream are unread. Polls the socket itself, because the runtime's state may be
/// outdated.
pub fn has_unread(stream: &impl AsFd) -> bool {
    let mut descriptors = [PollFd::new(stream.as_fd(), PollFlags::POLLIN)];
    poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}

/// Whether a client is connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is, or was a moment ago.
    Connected,
    /// It has closed its sending side or reset the connection.
    Departed,
    /// More of what it has sent may follow in a moment, and the end of the connection with it.
    Unsettled,
    /// So much is unread that it may have left behind that.
    Unknown,
}

/// A client connection.
pub struct ResponseChannel {
    stream: TcpStream,
    /// Which thread may write the response.
    pub claim: ResponseClaim,
    /// When it was assigned to its core, in seconds since the process started.
    assigned_at: f64,
    /// When it was opened here; the times of `presence` count from then.
    opened_at: Instant,
    /// When the client was last known to be connected.
    presence: Mutex<PeerPresence>,
    /// Whether everything received was processed, and nothing was unread, since the last read. hyper does not read ahead
    /// while it holds bytes of a further request.
    awaits_bytes: AtomicBool,
    /// Number of requests since then.
    requests: AtomicU64,
    /// Serial number of the open request; 0 for none.
    current_serial: AtomicU64,
    /// Whether the response to the open request is being written or about to be written.
    response_ready: AtomicBool,
    /// Whether bytes have been read since the last response was written.
    request_begun: AtomicBool,
}

impl ResponseChannel {
    /// Creates a channel for a connection that was assigned to a core at `assigned_at`, in seconds since the process
    /// started.
    pub fn new(stream: TcpStream, assigned_at: f64) -> Self {
        Self {
            stream,
            claim: ResponseClaim::default(),
            assigned_at,
            opened_at: Instant::now(),
            presence: Mutex::new(PeerPresence::new(0.0)),
            awaits_bytes: AtomicBool::new(true),
            requests: AtomicU64::new(0),
            current_serial: AtomicU64::new(0),
            response_ready: AtomicBool::new(false),
            request_begun: AtomicBool::new(false),
        }
    }

    /// Counts a request. Returns the requests per second on this connection so far.
    pub fn record_request(&self, now: f64) -> f64 {
        /// Minimum time over which the rate is computed, in seconds; over a shorter one it is not meaningful.
        const MIN_SECONDS: f64 = 1.0;
        let requests = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        requests as f64 / (now - self.assigned_at).max(MIN_SECONDS)
    }

    /// Sets which request is open on this connection.
    pub fn set_current_request(&self, request: RequestId) {
        self.current_serial.store(request.serial, Ordering::Relaxed);
    }

    /// Whether this request is the open one. Must be called only by the connection's own core.
    pub fn is_current_request(&self, request: RequestId) -> bool {
        self.current_serial.load(Ordering::Relaxed) == request.serial
    }

    /// Marks the response to the open request as ready: all writes from now on belong to it.
    pub fn begin_response(&self) {
        self.response_ready.store(true, Ordering::Relaxed);
    }

    /// Whether bytes or the end of the stream are unread, according to the socket itself.
    pub fn has_unread(&self) -> bool {
        has_unread(&self.stream)
    }

    /// Whether the client has closed its side or reset the connection, as far as the runtime knows, even if unread
    /// bytes precede that.
    pub fn client_disconnected(&self) -> bool {
        self.stream.try_io(DISCONNECTED, || Ok(())).is_ok()
    }

    /// Whether the client is known to be connected, asking the socket itself where that was not known a moment ago.
    pub fn connection_state(&self) -> ConnectionState {
        let now = self.seconds_open();
        let mut presence = self.presence();
        if presence.is_recent(now) {
            return ConnectionState::Connected;
        }
        if has_peer_closed(&self.stream) {
            return ConnectionState::Departed;
        }
        if may_hide_end_of_stream(&self.stream) {
            return ConnectionState::Unknown;
        }
        let is_mid_message = !self.awaits_bytes.load(Ordering::Relaxed);
        match presence.on_empty(now, is_mid_message) {
            Presence::Confirmed => ConnectionState::Connected,
            Presence::Unsettled => ConnectionState::Unsettled,
            Presence::Unknown => ConnectionState::Unknown,
        }
    }

    /// The same, after the moment in which more of what the client has sent may follow.
    pub async fn settled_connection_state(&self) -> ConnectionState {
        match self.connection_state() {
            ConnectionState::Unsettled => {
                tokio::time::sleep(Duration::from_secs_f64(PeerPresence::settles_after())).await;
                self.connection_state()
            }
            state => state,
        }
    }

    fn seconds_open(&self) -> f64 {
        self.opened_at.elapsed().as_secs_f64()
    }

    fn presence(&self) -> MutexGuard<'_, PeerPresence> {
        self.presence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the client has closed its side or reset the connection.
    pub async fn wait_for_disconnect(&self) {
        while !self.client_disconnected() {
            if self.stream.ready(DISCONNECTED).await.is_err() {
                return;
            }
        }
    }

    /// Whether no request is open, partly read or unread, so that closing the connection loses no request.
    pub fn is_idle(&self) -> bool {
        !self.request_begun.load(Ordering::Relaxed) && self.claim.is_idle() && !self.has_unread()
    }

    /// Closes the sending side, and discards incoming bytes until the client closes its side or pauses. If bytes
    /// remained unread, the kernel would reset the connection, possibly before the client has read the response.
    pub async fn linger(&self) {
        /// Maximum time without incoming bytes.
        const MAX_PAUSE: Duration = Duration::from_millis(200);
        /// Maximum time in total.
        const MAX_LINGER: Duration = Duration::from_secs(1);
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        let mut chunk = [0; 8192];
        let drained = async {
            while let Ok(Ok(())) = tokio::time::timeout(MAX_PAUSE, self.stream.readable()).await {
                match self.stream.try_read(&mut chunk) {
                    Ok(1..) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(0) | Err(_) => return,
                }
                // A socket that is ready takes nothing from the budget by itself.
                tokio::task::consume_budget().await;
            }
        };
        let _ = tokio::time::timeout(MAX_LINGER, drained).await;
    }

    /// Closes the connection of a lost core, unless a request is open on it. An unread request is answered with this
    /// response, because no core will read it.
    pub fn answer_unread_and_close(&self, response: Response<ResponseBody>) {
        /// Maximum number of bytes that are discarded. If more are left, the kernel resets the connection, possibly
        /// before the response is read.
        const MAX_BYTES: usize = 1 << 20;
        if !self.claim.take_over_idle() {
            return;
        }
        let (mut chunk, mut discarded) = ([0; 8192], 0);
        let socket = SockRef::from(&self.stream);
        while discarded < MAX_BYTES
            && let Ok(read @ 1..) = (&*socket).read(&mut chunk)
        {
            discarded += read;
        }
        if discarded > 0 {
            self.write_response(response);
        } else {
            self.close();
        }
    }

    /// Sends the final response in place of the connection's own core, and closes the sending side. Returns false if
    /// that core has begun to respond or no request is open.
    pub fn respond_from_other_core(&self, response: Response<ResponseBody>) -> bool {
        let claimed = self.claim.take_over();
        if claimed {
            self.write_response(response);
        }
        claimed
    }

    fn write_response(&self, response: Response<ResponseBody>) {
        let (parts, body) = response.into_parts();
        let mut text =
            format!("HTTP/1.1 {}\r\nconnection: close\r\ncontent-length: {}\r\n", parts.status, body.len());
        for (name, value) in parts.headers.iter().filter(|(name, _)| *name != http::header::CONNECTION) {
            text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or("")));
        }
        text.push_str("\r\n");
        let bytes = [text.as_bytes(), &Bytes::from(body)].concat();
        // The response fits into the socket's empty send buffer. Errors are ignored, as a client that has disconnected
        // does not read the response.
        let _ = SockRef::from(&self.stream).send(&bytes);
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Closes both sides.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }
}

/// The stream through which the connection's own core reads and writes.
pub struct ChannelIo {
    channel: Arc<ResponseChannel>,
    /// Seconds by which bytes that are read now may have come earlier, because this thread was stalled.
    read_delay: Box<dyn Fn() -> f64>,
}

fn already_answered() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "another core has sent the final response")
}

impl Read for ChannelIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        /// Maximum number of bytes per read; most requests are shorter.
        const MAX_READ_BYTES: usize = 8192;
        let mut chunk = [0; MAX_READ_BYTES];
        let max_bytes = MAX_READ_BYTES.min(buf.remaining());
        loop {
            let is_readable = self.channel.stream.poll_read_ready(cx);
            if is_readable.is_pending() {
                self.channel.awaits_bytes.store(true, Ordering::Relaxed);
            }
            ready!(is_readable)?;
            if self.channel.claim.is_taken_over() {
                return Poll::Ready(Err(already_answered()));
            }
            match self.channel.stream.try_read(&mut chunk[..max_bytes]) {
                Ok(read) => {
                    self.channel.request_begun.store(true, Ordering::Relaxed);
                    self.record_presence(read, read < max_bytes);
                    buf.put_slice(&chunk[..read]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl ChannelIo {
    /// Creates the stream of a connection. `read_delay` tells by how many seconds bytes that are read now may have come
    /// earlier.
    pub fn new(channel: Arc<ResponseChannel>, read_delay: impl Fn() -> f64 + 'static) -> Self {
        Self { channel, read_delay: Box::new(read_delay) }
    }

    /// Records what a read shows about the presence of the client.
    fn record_presence(&self, length: usize, emptied: bool) {
        let now = self.channel.seconds_open();
        let was_empty = self.channel.awaits_bytes.swap(false, Ordering::Relaxed);
        let arrived_at = was_empty.then(|| now - (self.read_delay)());
        self.channel.presence().received(now, arrived_at, length, emptied);
    }

    /// Writes once the socket is ready, unless another core has responded.
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let ready = self.channel.response_ready.load(Ordering::Relaxed);
            // An interim response (100 Continue) needs no claim, because it is not the final one.
            if if ready { !self.channel.claim.begin_response() } else { self.channel.claim.is_taken_over() } {
                return Poll::Ready(Err(already_answered()));
            }
            ready!(self.channel.stream.poll_write_ready(cx))?;
            match write(&self.channel.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl Write for ChannelIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(buf))
    }

    /// Finishes the response; hyper flushes once everything is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.channel.response_ready.swap(false, Ordering::Relaxed) {
            self.channel.request_begun.store(false, Ordering::Relaxed);
            self.channel.claim.finish_response();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match SockRef::from(&self.channel.stream).shutdown(Shutdown::Write) {
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            done => done,
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
    }
}

#[cfg(test)]
mod tests;
