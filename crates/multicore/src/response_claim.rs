//! Decides which thread responds on a client connection. Usually this is the connection's own core. While that core is
//! stalled or lost, another thread may send the final response in its place. In any interleaving, exactly one of the
//! two responds.

use crate::sync::atomic::{AtomicU8, Ordering};

/// No response is pending.
const IDLE: u8 = 0;
/// A request was read, and none of its response has been written.
const PENDING: u8 = 1;
/// The connection's core has started to write the response.
const RESPONDING: u8 = 2;
/// Another thread sends or has sent the final response; the connection's core must not write any more.
const TAKEN_OVER: u8 = 3;

/// The state of the response on one client connection, shared between threads.
pub struct ResponseClaim(AtomicU8);

impl Default for ResponseClaim {
    fn default() -> Self {
        Self(AtomicU8::new(IDLE))
    }
}

impl ResponseClaim {
    /// Called by the connection's core when it has read a request: marks a response as pending. Returns false if the
    /// connection was taken over; the request must not be processed then.
    pub fn expect_response(&self) -> bool {
        let pending = |state| (state != TAKEN_OVER).then_some(PENDING);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, pending).is_ok()
    }

    /// Called by the connection's core before each write of a response. Returns false if the connection was taken over;
    /// nothing may be written then.
    pub fn begin_response(&self) -> bool {
        match self.0.compare_exchange(PENDING, RESPONDING, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(state) => state != TAKEN_OVER,
        }
    }

    /// Called by the connection's core when it has written the whole response.
    pub fn finish_response(&self) {
        let _ = self.0.compare_exchange(RESPONDING, IDLE, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Claims the pending response for another thread. Returns true only if a response is pending and none of it has
    /// been written; the caller must send the final response then.
    pub fn take_over(&self) -> bool {
        self.0.compare_exchange(PENDING, TAKEN_OVER, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Claims a connection without a pending response after its core was lost. Returns true if the caller may respond
    /// to requests that are still unread in the socket, and close the connection.
    pub fn take_over_idle(&self) -> bool {
        self.0.compare_exchange(IDLE, TAKEN_OVER, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Returns whether no response is pending.
    pub fn is_idle(&self) -> bool {
        self.0.load(Ordering::Acquire) == IDLE
    }

    /// Returns whether another thread has claimed the connection.
    pub fn is_taken_over(&self) -> bool {
        self.0.load(Ordering::Acquire) == TAKEN_OVER
    }
}
