//! A client's connection as all cores may see it: its own core reads and writes; where that core stands still or
//! ends, another says the last word on it.

use crate::response::ResponseBody;
use bytes::Bytes;
use http::Response;
use hyper::rt::{Read, ReadBufCursor, Write};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_multicore::claim::Claim;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use std::io::{self, Read as _};
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Readiness that comes with the end of the stream, and not with bytes: nobody sends urgent ones here.
const DISCONNECTED: Interest = Interest::PRIORITY;

/// Whether bytes or the end of the stream lie unread, by the socket's own word: the runtime's may be older.
pub fn has_unread(stream: &impl AsFd) -> bool {
    let mut descriptors = [PollFd::new(stream.as_fd(), PollFlags::POLLIN)];
    poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}

pub struct ResponseChannel {
    stream: TcpStream,
    pub claim: Claim,
    /// When it was dealt to its core, and the requests that it brought since.
    assigned_at: f64,
    requests: AtomicU64,
    /// The serial number of the call in hand; 0 for none.
    current_serial: AtomicU64,
    /// The core has an answer that it writes or is about to.
    response_ready: AtomicBool,
    /// Bytes were read since the last answer was written.
    request_begun: AtomicBool,
}

impl ResponseChannel {
    pub fn new(stream: TcpStream, assigned_at: f64) -> Self {
        Self {
            stream,
            claim: Claim::default(),
            assigned_at,
            requests: AtomicU64::new(0),
            current_serial: AtomicU64::new(0),
            response_ready: AtomicBool::new(false),
            request_begun: AtomicBool::new(false),
        }
    }

    /// Counts a call; tells how many a second came on this connection.
    pub fn record_request(&self, now: f64) -> f64 {
        /// Seconds below which a rate means little.
        const MIN_SECONDS: f64 = 1.0;
        let requests = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        requests as f64 / (now - self.assigned_at).max(MIN_SECONDS)
    }

    /// Tells which call is in hand on this connection.
    pub fn set_current_request(&self, request: RequestId) {
        self.current_serial.store(request.serial, Ordering::Relaxed);
    }

    /// Whether that call is the one in hand. Only its own core asks.
    pub fn is_current_request(&self, request: RequestId) -> bool {
        self.current_serial.load(Ordering::Relaxed) == request.serial
    }

    /// The answer to the call in hand is there; what is written from here on is that.
    pub fn begin_response(&self) {
        self.response_ready.store(true, Ordering::Relaxed);
    }

    /// Whether bytes or the end of the stream lie unread, by the socket's own word.
    pub fn has_unread(&self) -> bool {
        has_unread(&self.stream)
    }

    /// Whether the client has closed its side or reset the connection, as far as the runtime has heard; also where
    /// bytes lie unread before that.
    pub fn client_disconnected(&self) -> bool {
        self.stream.try_io(DISCONNECTED, || Ok(())).is_ok()
    }

    /// Waits until the client has left.
    pub async fn wait_for_disconnect(&self) {
        while !self.client_disconnected() {
            if self.stream.ready(DISCONNECTED).await.is_err() {
                return;
            }
        }
    }

    /// Whether nothing is open, request_begun or unread here: closed now, the connection takes no call along.
    pub fn is_quiet(&self) -> bool {
        !self.request_begun.load(Ordering::Relaxed) && self.claim.is_idle() && !self.has_unread()
    }

    /// Ends this side of the connection, and takes off what the client still sends until it ends its own or sends
    /// nothing for a moment: with bytes unread the kernel would reset the connection over an answer not yet read.
    pub async fn linger(&self) {
        /// Between two pieces, and in all.
        const PAUSE: Duration = Duration::from_millis(200);
        const LONGEST: Duration = Duration::from_secs(1);
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        let mut chunk = [0; 8192];
        let drained = async {
            while let Ok(Ok(())) = tokio::time::timeout(PAUSE, self.stream.readable()).await {
                match self.stream.try_read(&mut chunk) {
                    Ok(1..) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(0) | Err(_) => return,
                }
            }
        };
        let _ = tokio::time::timeout(LONGEST, drained).await;
    }

    /// Its core is lost with nothing in hand here. A call that lies unread is answered, as nobody will read it; it
    /// would else be lost without a word when the connection is closed.
    pub fn answer_unread_and_close(&self, answer: Response<ResponseBody>) {
        /// Bytes discarded off at most: what is left makes the kernel reset the connection, which may outrun the answer.
        const MAX_BYTES: usize = 1 << 20;
        if !self.claim.close() {
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
            self.write_response(answer);
        } else {
            self.close();
        }
    }

    /// Gives the final answer in place of the core that owes it, and ends the connection; false where that core
    /// has request_begun to answer, or owes nothing.
    pub fn respond_from_other_core(&self, answer: Response<ResponseBody>) -> bool {
        let claimed = self.claim.speak();
        if claimed {
            self.write_response(answer);
        }
        claimed
    }

    fn write_response(&self, answer: Response<ResponseBody>) {
        let (parts, body) = answer.into_parts();
        let mut text =
            format!("HTTP/1.1 {}\r\nconnection: close\r\ncontent-length: {}\r\n", parts.status, body.len());
        for (name, value) in parts.headers.iter().filter(|(name, _)| *name != http::header::CONNECTION) {
            text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or("")));
        }
        text.push_str("\r\n");
        let bytes = [text.as_bytes(), &Bytes::from(body)].concat();
        // It fits into the socket's buffer, in which no answer waits. A client that left has nobody to take it.
        let _ = SockRef::from(&self.stream).send(&bytes);
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Ends the connection both ways.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }
}

/// The core's own end of a line.
pub struct ChannelIo(pub Arc<ResponseChannel>);

fn already_answered() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "another core has answered here")
}

impl Read for ChannelIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        /// Bytes discarded at a time: most requests whole.
        const MAX_READ_BYTES: usize = 8192;
        let mut chunk = [0; MAX_READ_BYTES];
        let most = MAX_READ_BYTES.min(buf.remaining());
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            if self.0.claim.spoken() {
                return Poll::Ready(Err(already_answered()));
            }
            match self.0.stream.try_read(&mut chunk[..most]) {
                Ok(read) => {
                    self.0.request_begun.store(true, Ordering::Relaxed);
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
    /// Writes once the socket is ready, unless the last word has been said.
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let ready = self.0.response_ready.load(Ordering::Relaxed);
            // An interim answer is not the final one: what is written without that changes nothing.
            if if ready { !self.0.claim.write() } else { self.0.claim.spoken() } {
                return Poll::Ready(Err(already_answered()));
            }
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
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

    /// Asked when all that was there to write is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.response_ready.swap(false, Ordering::Relaxed) {
            self.0.request_begun.store(false, Ordering::Relaxed);
            self.0.claim.rest();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match SockRef::from(&self.0.stream).shutdown(Shutdown::Write) {
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
