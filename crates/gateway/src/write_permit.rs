//! Permission to write one request to a worker, with an expiry. It is granted by the exchange with the worker and
//! checked by the stream before each write.

use milletpath_multicore::watchdog::STALL_THRESHOLD;
use std::cell::Cell;
use std::io;
use std::task::Poll;
use std::time::{Duration, Instant};

/// The answer to whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendDecision {
    /// The request may be sent.
    Send {
        /// When this was decided. Waiting for the dispatcher comes before it.
        decided_at: Instant,
    },
    /// The request must not be sent.
    Withhold,
}

/// Permission to write one request, which expires some time after the decision to send it: a thread that has stalled
/// since then must not write, because the decision may be outdated. Writes are not restricted while no permission is
/// pending. Nothing but requests is ever written to a worker.
#[derive(Default)]
pub struct WritePermit {
    until: Cell<Option<Instant>>,
    was_refused: Cell<bool>,
}

impl WritePermit {
    /// Permits writing one request that was decided at this time.
    pub fn grant(&self, decided_at: Instant) {
        self.until.set(Some(decided_at + Duration::from_secs_f64(STALL_THRESHOLD)));
    }

    /// Checks the permission before a write.
    ///
    /// # Errors
    ///
    /// Fails if the permission has expired.
    pub fn check(&self) -> io::Result<()> {
        if self.until.get().is_some_and(|until| Instant::now() > until) {
            self.was_refused.set(true);
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the thread was stalled before it wrote the request",
            ));
        }
        Ok(())
    }

    /// Records the result of a write. The permission is used up by the first byte: the worker has the request then, and
    /// the rest of it belongs to a request that was begun in time.
    pub fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.until.set(None);
        }
    }

    /// Whether a write was refused, in which case no part of the request was written.
    pub fn was_refused(&self) -> bool {
        self.was_refused.get()
    }
}

#[cfg(test)]
mod tests;
