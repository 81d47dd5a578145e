//! The part of a core that other threads access: its mailbox, its heartbeat, its client connections and its load. A
//! slot outlives the threads that serve it; each thread is one incarnation of the core.

use crate::core_message::CoreMessage;
use crate::response_channel::ResponseChannel;
use milletpath_multicore::heartbeat::Heartbeat;
use milletpath_multicore::mailbox::Mailbox;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of cores. The set of cores to wake is a bit set in a `u64`, of which the supervisor takes one bit.
pub const MAX_CORES: usize = 63;

/// State of one core that is shared by all threads. Aligned to separate cache lines, because the core writes to it with
/// each request.
#[repr(align(128))]
pub struct CoreSlot {
    /// Messages for the core.
    pub mailbox: Mailbox<CoreMessage>,
    /// Wakes the core's thread.
    pub wake: Notify,
    /// The last heartbeat of the core's thread, and its incarnation.
    pub heartbeat: Heartbeat,
    /// Number of open client connections.
    pub open_connections: AtomicUsize,
    /// Number of requests read since the start.
    pub requests: AtomicU64,
    channels: Mutex<BTreeMap<u64, Arc<ResponseChannel>>>,
    connections_to_close: AtomicUsize,
    /// Requests per second, as the bits of an `f64`.
    max_rate_to_close: AtomicU64,
}

impl CoreSlot {
    /// Creates a slot whose mailbox holds up to `mailbox_capacity` messages.
    pub fn new(mailbox_capacity: usize) -> Self {
        Self {
            mailbox: Mailbox::new(mailbox_capacity),
            wake: Notify::new(),
            heartbeat: Heartbeat::new(0.0),
            open_connections: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
            channels: Mutex::default(),
            connections_to_close: AtomicUsize::new(0),
            max_rate_to_close: AtomicU64::new(0),
        }
    }

    /// Asks the core to close `connections` of its client connections that each carry at most `max_rate` requests per
    /// second. They are closed after their next response, so that the clients reconnect to other cores.
    pub fn request_closing(&self, connections: usize, max_rate: f64) {
        self.max_rate_to_close.store(max_rate.to_bits(), Ordering::Relaxed);
        self.connections_to_close.store(connections, Ordering::Relaxed);
    }

    /// Decides whether to close a connection that carries `rate` requests per second. If so, it counts as closed.
    pub fn should_close_connection(&self, rate: f64) -> bool {
        let decrement = |n: usize| n.checked_sub(1);
        self.connections_to_close.load(Ordering::Relaxed) > 0
            && rate <= f64::from_bits(self.max_rate_to_close.load(Ordering::Relaxed))
            && self.connections_to_close.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
    }

    /// The core's client connections by id.
    pub fn channels(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ResponseChannel>>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
