//! A core's heartbeat, by which other threads see that it runs.

use crate::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// When the thread in a core's slot last ran, and which incarnation of the slot it is.
///
/// A stalled thread that was replaced may run again later: its next heartbeat is refused, as another incarnation has
/// begun, and it ends.
pub struct Heartbeat {
    /// Seconds since the gateway's start, as the bits of an `f64`: these are never negative, so the order of the bits is
    /// the order of the times.
    last_beat: AtomicU64,
    incarnation: AtomicU32,
}

impl Heartbeat {
    /// The heartbeat of incarnation 0, which last ran at `now`.
    pub fn new(now: f64) -> Self {
        Self { last_beat: AtomicU64::new(now.max(0.0).to_bits()), incarnation: AtomicU32::new(0) }
    }

    /// Records that the thread of this incarnation runs at `now`; false where it was replaced.
    pub fn beat(&self, incarnation: u32, now: f64) -> bool {
        if self.incarnation.load(Ordering::Acquire) != incarnation {
            return false;
        }
        self.last_beat.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        true
    }

    /// When a thread of this slot last ran, in seconds since the gateway's start.
    pub fn last_beat(&self) -> f64 {
        f64::from_bits(self.last_beat.load(Ordering::Acquire))
    }

    /// The current incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Replaces an incarnation by the next one and returns that; none where it was replaced before.
    pub fn begin_next_incarnation(&self, incarnation: u32, now: f64) -> Option<u32> {
        let next = incarnation.wrapping_add(1);
        self.incarnation.compare_exchange(incarnation, next, Ordering::AcqRel, Ordering::Acquire).ok()?;
        self.last_beat.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        Some(next)
    }
}
