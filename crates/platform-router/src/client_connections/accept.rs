//! Connections of clients are accepted: within the bound on them, past failures of `accept` that pass.

use super::{ClientConnection, serve_client};
use crate::platform_router::{PlatformRouter, SharedRouter};
use crate::request_ids_seen::RequestIdsSeen;
use crate::write_buffer::WriteBuffer;
use nix::errno::Errno;
use socket2::Socket;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Connections that are taken from the queue of the listener at a time.
const MAX_QUEUED: usize = 1024;
/// Pause before the next attempt where a connection can't be accepted yet: for want of descriptors it would fail again
/// at once.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections beside the bound, where all others are owed answers: they take their descriptors from the reserve.
const MAX_OVERFLOW: usize = 8;
/// Seconds for which a connection that has said nothing yet is not closed for another: its first call may be on its way.
/// Short, as a flood of silent connections holds up all others for as long.
const FIRST_CALL: f64 = 0.01;
/// Pause before the next look for a place for a connection that waits for one.
const ADMISSION_PAUSE: Duration = Duration::from_millis(2);
/// Transient failures in a row after which there is a pause as well: an error that stays must not spin.
const MAX_TRANSIENT_FAILURES: u32 = 16;

/// Why a connection was not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AcceptFailure {
    /// No connection waits.
    QueueEmpty,
    /// The connection ended before it was accepted, or the call was interrupted: others may wait behind it.
    Transient,
    /// The system has no room for it, and it still waits.
    NoResources,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> Self {
        match error.raw_os_error().map(Errno::from_raw) {
            Some(Errno::EAGAIN) => Self::QueueEmpty,
            // Linux passes errors that are pending on the new connection on as those of `accept`.
            Some(
                Errno::EINTR
                | Errno::ECONNABORTED
                | Errno::ECONNRESET
                | Errno::EPERM
                | Errno::EPROTO
                | Errno::ENOPROTOOPT
                | Errno::EOPNOTSUPP
                | Errno::ENETDOWN
                | Errno::ENETUNREACH
                | Errno::EHOSTDOWN
                | Errno::EHOSTUNREACH
                | Errno::ENONET
                | Errno::ETIMEDOUT,
            ) => Self::Transient,
            _ => Self::NoResources,
        }
    }
}

/// What was found in the queue of the listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueResult {
    /// Connections that were taken in.
    pub accepted: usize,
    /// Whether nothing is left there.
    pub empty: bool,
}

/// Accepts connections for as long as the router runs.
pub async fn accept_connections(router: SharedRouter, listener: Rc<TcpListener>) {
    let mut failures = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures = 0;
                router.borrow_mut().pending_connection = Some(stream);
                while !router.borrow_mut().admit_pending() {
                    tokio::time::sleep(ADMISSION_PAUSE).await;
                }
                router.borrow_mut().run_actions();
                // Who made room for it lets go of its descriptor first, before another is taken.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!("a connection could not be accepted: {e}");
                failures += 1;
                if AcceptFailure::of(&e) == AcceptFailure::Transient && failures < MAX_TRANSIENT_FAILURES {
                    tokio::task::yield_now().await;
                } else {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// The place of a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Admission {
    Regular,
    /// Beside those that are all owed answers: its calls are rejected until there is room.
    Overflow,
}

impl PlatformRouter {
    /// Finds a place for one more connection, where need be by closing another that is owed nothing, has nothing unread
    /// and was not accepted just now. None where there is none: the connection waits, and what is written on it.
    fn find_place(&mut self) -> Option<Admission> {
        if self.clients.len() < self.connection_limits.clients {
            return Some(Admission::Regular);
        }
        let now = self.now();
        let settled = |c: &ClientConnection| {
            c.open.is_empty() && (c.has_sent_message || now - c.last_used() >= FIRST_CALL)
        };
        let regular = self.clients.iter().filter(|(_, c)| !c.overflow && settled(c));
        let regular = regular.map(|(key, c)| (key, c.has_sent_message, now - c.last_used()));
        let idle =
            self.connection_limits.eviction_order(regular).find(|key| self.clients[*key].nothing_unread());
        if let Some(key) = idle {
            self.close_client(key, "room for another");
            return Some(Admission::Regular);
        }
        if self.clients.len() < self.connection_limits.clients + MAX_OVERFLOW {
            return Some(Admission::Overflow);
        }
        let silent = |c: &ClientConnection| {
            settled(c) && !c.has_sent_message && c.partial_line.is_empty() && c.nothing_unread()
        };
        let spent = |c: &ClientConnection| c.overflow && (c.write_closed_at.is_some() || silent(c));
        let spent = self.clients.iter().filter(|(_, c)| spent(c));
        let (key, _) = spent.min_by(|(_, a), (_, b)| a.last_used().total_cmp(&b.last_used()))?;
        self.close_client(key, "room for another beside the bound");
        Some(Admission::Overflow)
    }

    /// Takes in the connection that waits for a place; false where it goes on waiting.
    fn admit_pending(&mut self) -> bool {
        let Some(stream) = self.pending_connection.take() else { return true };
        let admission = self.find_place();
        match admission {
            Some(admission) => self.accept_client(stream, admission),
            None => self.pending_connection = Some(stream),
        }
        admission.is_some()
    }

    /// Takes in a connection that was accepted; false where it waits for a place.
    pub(super) fn admit(&mut self, stream: TcpStream) -> bool {
        self.pending_connection = Some(stream);
        self.admit_pending()
    }

    fn accept_client(&mut self, stream: TcpStream, admission: Admission) {
        let _ = stream.set_nodelay(true);
        self.serial += 1;
        let (stream, wake) = (Rc::new(stream), Rc::new(Notify::new()));
        let client = ClientConnection {
            serial: self.serial,
            stream: stream.clone(),
            wake: wake.clone(),
            partial_line: Vec::new(),
            write_buffer: WriteBuffer::default(),
            reservation: self.memory_budget.reserve(0),
            open: Vec::new(),
            request_ids_seen: RequestIdsSeen::default(),
            has_sent_message: false,
            last_progress: self.now(),
            last_received: f64::NEG_INFINITY,
            checked_at: f64::NEG_INFINITY,
            closing: false,
            overflow: admission == Admission::Overflow,
            write_closed_at: None,
        };
        let key = self.clients.insert(client);
        if let Some(router) = self.weak_self.upgrade() {
            spawn_local(serve_client(router, key, stream, wake));
        }
    }

    /// Takes in what queues at the listener, without waiting: no more than may queue there at once.
    pub(super) fn accept_queued(&mut self, mut next: impl FnMut() -> io::Result<Socket>) -> QueueResult {
        let mut accepted = 0;
        if !self.admit_pending() {
            return QueueResult { accepted, empty: false };
        }
        for _ in 0..MAX_QUEUED {
            let stream = next().and_then(|socket| {
                socket.set_nonblocking(true)?;
                TcpStream::from_std(socket.into())
            });
            match stream.map_err(|e| AcceptFailure::of(&e)) {
                Ok(stream) => {
                    accepted += 1;
                    if !self.admit(stream) {
                        return QueueResult { accepted, empty: false };
                    }
                }
                Err(AcceptFailure::Transient) => {}
                Err(failure) => {
                    return QueueResult { accepted, empty: failure == AcceptFailure::QueueEmpty };
                }
            }
        }
        QueueResult { accepted, empty: false }
    }
}

#[cfg(test)]
mod tests;
