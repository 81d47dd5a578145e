//! By what others see that a core runs.

use crate::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// When a core was last seen to run, and which of its lives that was. A core that was given up on lives on as a
/// stranger: its thread finds another life in its place and ends.
pub struct Pulse {
    /// Seconds since the gateway's start, as bits: they are never negative, so that their order is the times'.
    seen: AtomicU64,
    life: AtomicU32,
}

impl Pulse {
    pub fn new(now: f64) -> Self {
        Self { seen: AtomicU64::new(now.max(0.0).to_bits()), life: AtomicU32::new(0) }
    }

    /// The core of that life runs now; false where it lives no more.
    pub fn beat(&self, life: u32, now: f64) -> bool {
        if self.life.load(Ordering::Acquire) != life {
            return false;
        }
        self.seen.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        true
    }

    pub fn seen(&self) -> f64 {
        f64::from_bits(self.seen.load(Ordering::Acquire))
    }

    pub fn life(&self) -> u32 {
        self.life.load(Ordering::Acquire)
    }

    /// Begins another life in the place of one; none where that was done before.
    pub fn succeed(&self, life: u32, now: f64) -> Option<u32> {
        let next = life.wrapping_add(1);
        self.life.compare_exchange(life, next, Ordering::AcqRel, Ordering::Acquire).ok()?;
        self.seen.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        Some(next)
    }
}
