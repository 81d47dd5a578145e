//! Decides which thread responds on a client connection. Usually the connection's own core does; while that core is
//! stalled or lost, another thread may send the final response in its place. Exactly one of the two does, in whatever
//! order they come.

use crate::sync::atomic::{AtomicU8, Ordering};

/// No response is pending.
const IDLE: u8 = 0;
/// A request was read; nothing of its response is written.
const PENDING: u8 = 1;
/// The connection's core has begun to write the response.
const RESPONDING: u8 = 2;
/// Another thread has sent the final response: the connection's core may write nothing any more.
const TAKEN_OVER: u8 = 3;

/// The state of the response on one client connection, shared by all threads.
pub struct ResponseClaim(AtomicU8);

impl Default for ResponseClaim {
    fn default() -> Self {
        Self(AtomicU8::new(IDLE))
    }
}

impl ResponseClaim {
    /// Called by the connection's core when it has read a request: a response is pending from now on. False where the
    /// connection was taken over; then the request must not be processed.
    pub fn expect_response(&self) -> bool {
        let pending = |state| (state != TAKEN_OVER).then_some(PENDING);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, pending).is_ok()
    }

    /// Called by the connection's core before each write of a response. False where the connection was taken over; then
    /// not a byte may be written.
    pub fn begin_response(&self) -> bool {
        match self.0.compare_exchange(PENDING, RESPONDING, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(state) => state != TAKEN_OVER,
        }
    }

    /// Called by the connection's core when all of the response is written.
    pub fn finish_response(&self) {
        let _ = self.0.compare_exchange(RESPONDING, IDLE, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Claims the pending response for another thread. True only where a response is pending and nothing of it is
    /// written; then the caller sends the final response.
    pub fn take_over(&self) -> bool {
        self.0.compare_exchange(PENDING, TAKEN_OVER, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Claims a connection without a pending response, whose core is lost. True where the caller may respond to
    /// requests that lie unread in the socket, and close it.
    pub fn take_over_idle(&self) -> bool {
        self.0.compare_exchange(IDLE, TAKEN_OVER, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Whether no response is pending.
    pub fn is_idle(&self) -> bool {
        self.0.load(Ordering::Acquire) == IDLE
    }

    /// Whether another thread has sent the final response.
    pub fn is_taken_over(&self) -> bool {
        self.0.load(Ordering::Acquire) == TAKEN_OVER
    }
}
