//! A limit on open connections that is shared by several threads, for all client connections or for the connections to
//! one worker. A permit counts against the limit from before its connection is opened until the permit is dropped.

use milletpath_multicore::budget::Budget;
use std::sync::Arc;
use tokio::sync::Notify;

/// Limits the number of connections that are open at the same time.
pub struct ConnectionLimit {
    open: Budget,
    released: Notify,
}

impl ConnectionLimit {
    /// Allows up to `max_connections` at the same time.
    pub fn new(max_connections: usize) -> Arc<Self> {
        Arc::new(Self { open: Budget::new(max_connections), released: Notify::new() })
    }

    /// Returns a permit for one more connection, or `None` if the limit is reached.
    pub fn reserve(self: &Arc<Self>) -> Option<ConnectionPermit> {
        self.open.try_acquire(1).then(|| ConnectionPermit(self.clone()))
    }

    /// Number of permits in use.
    pub fn open_count(&self) -> usize {
        self.open.used()
    }

    /// Whether the limit is reached.
    pub fn is_full(&self) -> bool {
        self.open.used() >= self.open.limit()
    }

    /// Waits until a permit is dropped. Returns immediately if one was dropped since the last wait.
    pub async fn wait_for_release(&self) {
        self.released.notified().await;
    }
}

/// Permission to open one connection. Dropping it releases its place under the limit.
#[must_use = "dropping the permit releases it"]
pub struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.release(1);
        self.0.released.notify_one();
    }
}
