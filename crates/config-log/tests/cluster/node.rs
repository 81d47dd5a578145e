//! A node of the simulation: a state machine, its clock and its cost.

use milletpath_config_log::Message;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

/// A replica or follower; `process` is `None` while it is down.
pub struct Node<T> {
    pub process: Option<T>,
    pub clock_rate: f64,
    pub clock_offset: f64,
    /// Offset by which a test steps the clock; may be negative.
    pub clock_step: f64,
    pub paused_until: f64,
    pub next_tick_at: f64,
    pub incarnation: u64,
    pub inbox: Vec<(SocketAddr, Message)>,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// CPU time used by this node, if it is measured.
    pub cpu_seconds: f64,
}

impl<T> Node<T> {
    pub fn new(rng: &mut ChaCha8Rng) -> Self {
        Self {
            process: None,
            clock_rate: rng.random_range(0.999..1.001),
            clock_offset: rng.random_range(0.0..1e5),
            clock_step: 0.0,
            paused_until: 0.0,
            next_tick_at: f64::INFINITY,
            incarnation: 0,
            inbox: Vec::new(),
            bytes_in: 0,
            bytes_out: 0,
            cpu_seconds: 0.0,
        }
    }

    /// The node's clock at a simulated time.
    pub fn clock(&self, now: f64) -> f64 {
        self.clock_offset + self.clock_step + now * self.clock_rate
    }

    /// Converts a time of the node's clock to simulated time.
    pub fn to_simulated_time(&self, clock: f64) -> f64 {
        (clock - self.clock_offset - self.clock_step) / self.clock_rate
    }
}
