//! Accepts connections of clients, within the limit on them and past transient failures of `accept`.

use super::close::CloseReason;
use super::task::serve_client;
use crate::connection_limits::EvictionCandidate;
use crate::platform_router::{ClientConnection, PlatformRouter, SharedRouter};
use nix::errno::Errno;
use socket2::Socket;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Connections that are taken from the queue of the listener at a time.
const MAX_ACCEPTS: usize = 1024;
/// Pause before the next attempt where a connection can't be accepted yet: without descriptors it would fail again at
/// once.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Connections beyond the limit, where all others wait for responses: they take their descriptors from the reserve.
const MAX_OVERFLOW_CLIENTS: usize = 8;
/// Seconds for which a connection that has sent nothing yet is not closed for another: its first call may be on its way.
/// Short, as a flood of silent connections delays all others for as long.
const FIRST_CALL_SECONDS: f64 = 0.01;
/// Pause before a connection that waits for a place is tried again.
const ADMISSION_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Transient failures in a row after which there is a pause as well: an error that stays must not spin.
const MAX_TRANSIENT_FAILURES: u32 = 16;

/// Why a connection was not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AcceptFailure {
    /// No connection waits.
    QueueEmpty,
    /// The connection ended before it was accepted, or the call was interrupted: others may wait behind it.
    Transient,
    /// The system lacks resources for it, and it still waits.
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

/// What came of accepting the queue of the listener.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use]
pub(super) struct QueueResult {
    /// Connections that were accepted.
    pub accepted: usize,
    /// Whether none is left there.
    pub empty: bool,
}

/// Accepts connections for as long as the router runs.
pub(super) async fn accept_connections(router: SharedRouter, listener: Rc<TcpListener>) {
    let mut failures = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures = 0;
                router.borrow_mut().pending_connection = Some(stream);
                while !router.borrow_mut().admit_pending() {
                    tokio::time::sleep(ADMISSION_RETRY_PAUSE).await;
                }
                router.borrow_mut().run_actions();
                // The connection that was closed for it frees its descriptor before another is accepted.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "could not accept a connection");
                failures += 1;
                if AcceptFailure::of(&e) == AcceptFailure::Transient && failures < MAX_TRANSIENT_FAILURES {
                    tokio::task::yield_now().await;
                } else {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// The place of a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Admission {
    /// Within the limit.
    Regular,
    /// Beyond it, where all others wait for responses: its calls are rejected until there is a place.
    Overflow,
}

impl PlatformRouter {
    /// Finds a place for one more connection, where need be by closing another that waits for no response, has nothing
    /// unread and was not accepted just now. None where there is none: the connection waits, with what is sent on it
    /// unread.
    fn make_room(&mut self) -> Option<Admission> {
        if self.clients.len() < self.connection_limits.clients {
            return Some(Admission::Regular);
        }
        let now = self.now();
        if let Some(slot) = self.idle_client(now) {
            self.close_client(slot, &CloseReason::Evicted);
            return Some(Admission::Regular);
        }
        if self.clients.len() < self.connection_limits.clients + MAX_OVERFLOW_CLIENTS {
            return Some(Admission::Overflow);
        }
        let slot = self.idle_overflow_client(now)?;
        self.close_client(slot, &CloseReason::EvictedOverflow);
        Some(Admission::Overflow)
    }

    /// The client within the limit that makes room first.
    fn idle_client(&self, now: f64) -> Option<usize> {
        let regular =
            self.clients.iter().filter(|(_, client)| !client.overflow && may_be_evicted(client, now));
        let candidates = regular.map(|(slot, client)| EvictionCandidate {
            slot,
            has_sent_message: client.has_sent_message,
            idle_seconds: now - client.last_used(),
        });
        let mut order = self.connection_limits.eviction_order(candidates);
        order.find(|slot| self.clients[*slot].has_no_unread_bytes())
    }

    /// The client beyond the limit that makes room first: the longest idle that was shut down, or has sent nothing.
    fn idle_overflow_client(&self, now: f64) -> Option<usize> {
        let is_silent = |client: &ClientConnection| {
            may_be_evicted(client, now)
                && !client.has_sent_message
                && client.partial_line.is_empty()
                && client.has_no_unread_bytes()
        };
        let candidates = self
            .clients
            .iter()
            .filter(|(_, client)| client.overflow && (client.write_closed_at.is_some() || is_silent(client)));
        let longest_idle = candidates.min_by(|(_, a), (_, b)| a.last_used().total_cmp(&b.last_used()));
        longest_idle.map(|(slot, _)| slot)
    }

    /// Admits the connection that waits for a place; false where it goes on waiting.
    fn admit_pending(&mut self) -> bool {
        let Some(stream) = self.pending_connection.take() else { return true };
        let admission = self.make_room();
        match admission {
            Some(admission) => self.accept_client(stream, admission),
            None => self.pending_connection = Some(stream),
        }
        admission.is_some()
    }

    /// Admits a connection that was accepted; false where it waits for a place.
    pub(super) fn admit(&mut self, stream: TcpStream) -> bool {
        self.pending_connection = Some(stream);
        self.admit_pending()
    }

    fn accept_client(&mut self, stream: TcpStream, admission: Admission) {
        // Without it answers may be delayed, which is no reason to refuse the connection.
        let _ = stream.set_nodelay(true);
        self.serial += 1;
        let stream = Rc::new(stream);
        let reservation = self.memory_budget.reserve(0);
        let mut client = ClientConnection::new(self.serial, stream.clone(), reservation, self.now());
        client.overflow = admission == Admission::Overflow;
        let wake = client.wake.clone();
        let slot = self.clients.insert(client);
        if let Some(router) = self.weak_self.upgrade() {
            spawn_local(serve_client(router, slot, stream, wake));
        }
    }

    /// Accepts what is queued at the listener, without waiting: no more than may be queued there at once.
    pub(super) fn accept_queued(&mut self, mut next: impl FnMut() -> io::Result<Socket>) -> QueueResult {
        let mut accepted = 0;
        if !self.admit_pending() {
            return QueueResult { accepted, empty: false };
        }
        for _ in 0..MAX_ACCEPTS {
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

/// Whether a connection waits for no response, and was not accepted just now.
fn may_be_evicted(client: &ClientConnection, now: f64) -> bool {
    client.open_calls.is_empty()
        && (client.has_sent_message || now - client.last_used() >= FIRST_CALL_SECONDS)
}

#[cfg(test)]
mod tests;
