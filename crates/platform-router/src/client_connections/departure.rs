//! Checks that a client is still connected before an attempt is started for it. After a process pause the worker's socket
//! may become ready before the client's socket was read, which may hold a cancel or the end of the connection.

use super::close::CloseReason;
use crate::platform_router::{ClientKey, DeferredFlush, PlatformRouter, UnreadSocket};
use crate::sockets::{SocketState, peek_socket};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_process_environment::peer_presence::{
    PeerPresence, Presence, has_peer_closed, may_hide_end_of_stream,
};
use std::time::Duration;
use tokio::task::spawn_local;

/// Seconds for which the last check of a client's socket is considered valid before an attempt is started: a fifth of
/// the 0.1 s after which no attempt may start for a client that has disconnected.
const CLIENT_CHECK_SECONDS: f64 = 0.02;
/// Maximum number of reads of a client's socket before an attempt is started, to find a cancel or the end of the
/// connection. More than the maximum number of open calls can fill.
const MAX_READS_BEFORE_CHECK: usize = 16;

/// What a check of a client's socket has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// The client is connected.
    None,
    /// The client has closed its sending side; unread bytes may precede that.
    Left,
    /// The connection has ended, and nothing is unread.
    Closed,
    /// Unread bytes have to be read first.
    BehindUnreadBytes,
    /// More bytes may follow, and the end of the connection with them.
    Unsettled,
    /// More is unread than may be read before an attempt, or the client has not sent the rest of a message.
    Unknown,
}

impl PlatformRouter {
    /// Whether an attempt may start as far as its client is concerned. Returns false if that is not known yet; the worker
    /// connection is then flushed again afterwards.
    pub fn may_begin_attempt(&mut self, request: RequestId, worker_connection: usize, now: f64) -> bool {
        let Some(key) = self.dispatcher.context(request).map(|context| context.client) else { return true };
        match self.check_departure(key, now) {
            Departure::None => {}
            Departure::Left => self.cancel_calls_of_departed_client(key.slot),
            // Closing the connection cancels all of its calls, including this one.
            Departure::Closed => self.close_client(key.slot, &CloseReason::ClosedByClient),
            Departure::Unknown => self.reject_unconfirmed(key, request, now),
            Departure::BehindUnreadBytes => {
                let unread = UnreadSocket::Client(key.slot);
                self.deferred_flushes.push(DeferredFlush { unread, worker_connection });
                return false;
            }
            Departure::Unsettled => {
                self.flush_once_settled(worker_connection);
                return false;
            }
        }
        true
    }

    fn check_departure(&mut self, key: ClientKey, now: f64) -> Departure {
        let Some(client) = self.client_by_key(key) else { return Departure::None };
        if now - client.checked_at < CLIENT_CHECK_SECONDS || client.closing {
            return Departure::None;
        }
        if has_peer_closed(&*client.stream) {
            return Departure::Left;
        }
        match peek_socket(&client.stream) {
            SocketState::Closed => return Departure::Closed,
            SocketState::Readable if client.reads_before_check < MAX_READS_BEFORE_CHECK => {
                client.reads_before_check += 1;
                return Departure::BehindUnreadBytes;
            }
            SocketState::Readable if client.presence.is_recent(now) => {}
            SocketState::Readable
                if client.presence.has_backlog() || may_hide_end_of_stream(&*client.stream) =>
            {
                client.reads_before_check = 0;
                return Departure::Unknown;
            }
            SocketState::Readable => {}
            SocketState::Empty => match client.presence.on_empty(now, !client.partial_line.is_empty()) {
                Presence::Confirmed => {}
                Presence::Unsettled => return Departure::Unsettled,
                Presence::Unknown => return Departure::Unknown,
            },
        }
        client.checked_at = now;
        client.reads_before_check = 0;
        Departure::None
    }

    /// Cancels the open calls of a client that has closed its sending side. What it sent before is still read, so that the
    /// connection ends without a reset.
    fn cancel_calls_of_departed_client(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.has_left = true;
        let open_calls = std::mem::take(&mut client.open_calls);
        self.cancel_requests(open_calls);
    }

    /// Rejects a call that has not started, because it is not known whether its client is still there.
    fn reject_unconfirmed(&mut self, key: ClientKey, request: RequestId, now: f64) {
        let Some(client) = self.client_by_key(key) else { return };
        let call = client.open_calls.iter().find(|call| call.request == request).copied();
        if let Some(call) = call {
            self.end_call(key.slot, call, now);
            self.flush_later(key);
        }
    }

    /// Flushes a worker connection again once the backlog of a client has settled. Until then nothing is written to it.
    fn flush_once_settled(&mut self, worker_connection: usize) {
        if !self.unsettled_connections.insert(worker_connection) {
            return;
        }
        let Some(router) = self.weak_self.upgrade() else { return };
        spawn_local(async move {
            tokio::time::sleep(Duration::from_secs_f64(PeerPresence::settles_after())).await;
            let mut router = router.borrow_mut();
            router.unsettled_connections.remove(&worker_connection);
            router.flush_worker(worker_connection);
            router.run_actions();
        });
    }
}
