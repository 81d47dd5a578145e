//! Accepts client connections within the connection limit and retries after transient `accept` errors.

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

/// Maximum number of `accept` calls in one pass over the listen queue.
const MAX_ACCEPTS: usize = 1024;
/// Pause before retrying after an `accept` error that persists: without free descriptors an immediate retry would
/// fail again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Connections allowed beyond the limit while all others wait for responses. They use reserved file descriptors.
const MAX_OVERFLOW_CLIENTS: usize = 8;
/// Seconds during which a new connection that has sent nothing is not evicted, because its first call may be in
/// transit. Kept short: a flood of silent connections delays every other connection by this long.
const FIRST_CALL_SECONDS: f64 = 0.01;
/// Pause before retrying to admit a pending connection.
const ADMISSION_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Consecutive transient failures after which the accept loop pauses as well, so that a persistent error does not
/// cause a busy loop.
const MAX_TRANSIENT_FAILURES: u32 = 16;

/// Why `accept` returned no connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AcceptFailure {
    /// The listen queue is empty.
    QueueEmpty,
    /// The connection was aborted before it was accepted, or the call was interrupted. Others may be queued behind
    /// it.
    Transient,
    /// The system lacks resources; the connection remains queued.
    NoResources,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> Self {
        match error.raw_os_error().map(Errno::from_raw) {
            Some(Errno::EAGAIN) => Self::QueueEmpty,
            // Linux returns errors already pending on the new connection as errors of `accept`.
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

/// Result of one pass over the listen queue.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use]
pub(super) struct QueueResult {
    /// Number of accepted connections.
    pub accepted: usize,
    /// Whether the listen queue is empty.
    pub empty: bool,
}

/// Accepts connections for the lifetime of the router.
pub(super) async fn accept_connections(router: SharedRouter, listener: Rc<TcpListener>) {
    let mut failures = 0;
    let max_clients = router.borrow().connection_limits.clients;
    // Below the limit all queued connections are accepted in one turn, as far as the runtime's task budget allows: one a
    // turn would leave them unread for seconds while turns are long.
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures = 0;
                router.borrow_mut().pending_connection = Some(stream);
                while !router.borrow_mut().admit_pending() {
                    tokio::time::sleep(ADMISSION_RETRY_PAUSE).await;
                }
                router.borrow_mut().run_actions();
                if router.borrow().clients.len() >= max_clients {
                    // Lets the task of an evicted connection run and release its file descriptor before the next accept.
                    tokio::task::yield_now().await;
                }
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

/// How a new connection counts against the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Admission {
    /// Within the limit.
    Regular,
    /// Beyond the limit, while all other connections wait for responses. Its calls are rejected until the number of
    /// connections is within the limit again.
    Overflow,
}

impl PlatformRouter {
    /// Makes room for one more connection, evicting another one if necessary. Only a connection that has no open calls, is
    /// past the grace period for its first call, and has no unread bytes or sends no calls, is evicted. Returns `None` if
    /// there is none: the new connection stays pending, with its bytes unread.
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

    /// The connection within the limit that is evicted first: one that sends without a pause but no calls, or else an idle
    /// one.
    fn idle_client(&self, now: f64) -> Option<usize> {
        self.client_without_calls(false).or_else(|| self.quiet_client(now))
    }

    /// The connection that has sent for the longest time, and no calls. What it has not been read of is more of that.
    fn client_without_calls(&self, overflow: bool) -> Option<usize> {
        let without_calls = self.clients.iter().filter(|(_, client)| {
            client.overflow == overflow
                && self.connection_limits.is_without_calls(client.seconds_without_calls())
        });
        let longest = without_calls
            .max_by(|(_, a), (_, b)| a.seconds_without_calls().total_cmp(&b.seconds_without_calls()));
        longest.map(|(slot, _)| slot)
    }

    /// The idle connection within the limit that is evicted first.
    fn quiet_client(&self, now: f64) -> Option<usize> {
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

    /// The overflow connection that is evicted first: one that sends no calls, or the longest idle one that was shut down
    /// or has sent nothing.
    fn idle_overflow_client(&self, now: f64) -> Option<usize> {
        self.client_without_calls(true).or_else(|| self.quiet_overflow_client(now))
    }

    fn quiet_overflow_client(&self, now: f64) -> Option<usize> {
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

    /// Admits the pending connection; returns false if it has to stay pending.
    fn admit_pending(&mut self) -> bool {
        let Some(stream) = self.pending_connection.take() else { return true };
        let admission = self.make_room();
        match admission {
            Some(admission) => self.accept_client(stream, admission),
            None => self.pending_connection = Some(stream),
        }
        admission.is_some()
    }

    /// Admits an accepted connection; returns false if it becomes the pending connection.
    pub(crate) fn admit(&mut self, stream: TcpStream) -> bool {
        self.pending_connection = Some(stream);
        self.admit_pending()
    }

    fn accept_client(&mut self, stream: TcpStream, admission: Admission) {
        // Without TCP_NODELAY responses may be delayed, which is no reason to refuse the connection.
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

    /// Accepts queued connections without blocking, making at most `MAX_ACCEPTS` calls of `next`.
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

/// Whether a connection has no open calls and is past the grace period for its first call.
fn may_be_evicted(client: &ClientConnection, now: f64) -> bool {
    client.open_calls.is_empty()
        && (client.has_sent_message || now - client.last_used() >= FIRST_CALL_SECONDS)
}

#[cfg(test)]
mod tests;
