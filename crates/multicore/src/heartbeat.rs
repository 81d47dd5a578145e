//! By what others see that a core runs.

use crate::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// When a core was last seen to run, and which of its lives that was. A core that was given up on lives on as a
/// stranger: its thread finds another life in its place and ends.
pub struct Heartbeat {
    /// Seconds since the gateway's start, as bits: they are never negative, so that their order is the times'.
    last_beat: AtomicU64,
    incarnation: AtomicU32,
}

impl Heartbeat {
    pub fn new(now: f64) -> Self {
        Self { last_beat: AtomicU64::new(now.max(0.0).to_bits()), incarnation: AtomicU32::new(0) }
    }

    /// The core of that life runs now; false where it lives no more.
    pub fn beat(&self, incarnation: u32, now: f64) -> bool {
        if self.incarnation.load(Ordering::Acquire) != incarnation {
            return false;
        }
        self.last_beat.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        true
    }

    pub fn last_beat(&self) -> f64 {
        f64::from_bits(self.last_beat.load(Ordering::Acquire))
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Begins another life in the place of one; none where that was done before.
    pub fn begin_next_incarnation(&self, incarnation: u32, now: f64) -> Option<u32> {
        let next = incarnation.wrapping_add(1);
        self.incarnation.compare_exchange(incarnation, next, Ordering::AcqRel, Ordering::Acquire).ok()?;
        self.last_beat.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        Some(next)
    }
}
