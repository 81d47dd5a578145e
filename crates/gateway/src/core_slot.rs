//! One core as the other threads see it: its mailbox, its heartbeat, its client connections and its load. A slot
//! outlives the threads that serve it; each thread is one incarnation of the core.

use crate::core_message::CoreMessage;
use crate::response_channel::ResponseChannel;
use milletpath_multicore::heartbeat::Heartbeat;
use milletpath_multicore::mailbox::Mailbox;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Cores at most: the set of cores to wake is kept in the bits of a `u64`, of which the supervisor has one.
pub const MAX_CORES: usize = 63;

/// State of one core that all threads share. It has cache lines of its own, as its core writes to it with each request.
#[repr(align(128))]
pub struct CoreSlot {
    /// What the core is asked to do.
    pub mailbox: Mailbox<CoreMessage>,
    /// Wakes the core's thread.
    pub wake: Notify,
    /// When the core's thread last ran, and which incarnation it is.
    pub heartbeat: Heartbeat,
    /// How many client connections are open.
    pub open: AtomicUsize,
    /// Requests read since the start.
    pub requests: AtomicU64,
    channels: Mutex<BTreeMap<u64, Arc<ResponseChannel>>>,
    connections_to_close: AtomicUsize,
    /// Bits of an `f64`: requests per second.
    max_rate_to_close: AtomicU64,
}

impl CoreSlot {
    /// A slot whose mailbox holds `mailbox_capacity` messages.
    pub fn new(mailbox_capacity: usize) -> Self {
        Self {
            mailbox: Mailbox::new(mailbox_capacity),
            wake: Notify::new(),
            heartbeat: Heartbeat::new(0.0),
            open: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
            channels: Mutex::default(),
            connections_to_close: AtomicUsize::new(0),
            max_rate_to_close: AtomicU64::new(0),
        }
    }

    /// Asks the core to close `connections` of its clients' connections that bring at most `max_rate` requests per
    /// second, each after its next response, so that they connect anew to other cores.
    pub fn request_closing(&self, connections: usize, max_rate: f64) {
        self.max_rate_to_close.store(max_rate.to_bits(), Ordering::Relaxed);
        self.connections_to_close.store(connections, Ordering::Relaxed);
    }

    /// Whether a connection that brings `rate` requests per second is to be closed now; it then counts as closed.
    pub fn should_close_connection(&self, rate: f64) -> bool {
        let decrement = |n: usize| n.checked_sub(1);
        self.connections_to_close.load(Ordering::Relaxed) > 0
            && rate <= f64::from_bits(self.max_rate_to_close.load(Ordering::Relaxed))
            && self.connections_to_close.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
    }

    /// The core's client connections by their ids.
    pub fn channels(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ResponseChannel>>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
