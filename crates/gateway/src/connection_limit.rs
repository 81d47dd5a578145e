//! A limit on open connections that several threads share: those of all clients, or those to one worker. A permit
//! counts against the limit from before a connection is opened until it is dropped.

use milletpath_multicore::budget::Budget;
use std::sync::Arc;
use tokio::sync::Notify;

/// Limits how many connections are open at once.
pub struct ConnectionLimit {
    open: Budget,
    released: Notify,
}

impl ConnectionLimit {
    /// Allows up to `max_connections` at a time.
    pub fn new(max_connections: usize) -> Arc<Self> {
        Arc::new(Self { open: Budget::new(max_connections), released: Notify::new() })
    }

    /// A permit for one more connection; `None` where the limit is reached.
    pub fn reserve(self: &Arc<Self>) -> Option<ConnectionPermit> {
        self.open.try_acquire(1).then(|| ConnectionPermit(self.clone()))
    }

    /// How many permits are out.
    pub fn open(&self) -> usize {
        self.open.used()
    }

    /// Whether no further permit is given now.
    pub fn is_full(&self) -> bool {
        self.open.used() >= self.open.limit()
    }

    /// Waits until a permit is dropped; returns at once where one was dropped since the last wait.
    pub async fn wait_for_release(&self) {
        self.released.notified().await;
    }
}

/// Permission for one connection; dropping it gives the place back.
#[must_use = "dropping the permit gives its place back"]
pub struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.release(1);
        self.0.released.notify_one();
    }
}
