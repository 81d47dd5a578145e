//! A core's heartbeat, by which other threads detect whether it runs.

use crate::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The time when the thread in a core's slot last ran, and the slot's current incarnation.
///
/// A stalled thread may resume after it was replaced. Its next heartbeat is then rejected because a new incarnation has
/// begun, and the thread exits.
pub struct Heartbeat {
    /// Seconds since the gateway's start, as the bits of an `f64`. Times are never negative, so their bits have the
    /// same order.
    last_beat: AtomicU64,
    incarnation: AtomicU32,
}

impl Heartbeat {
    /// Creates the heartbeat of incarnation 0, with the last beat at `now`.
    pub fn new(now: f64) -> Self {
        Self { last_beat: AtomicU64::new(now.max(0.0).to_bits()), incarnation: AtomicU32::new(0) }
    }

    /// Records that the thread of this incarnation runs at `now`. Returns false if the thread was replaced.
    pub fn beat(&self, incarnation: u32, now: f64) -> bool {
        if self.incarnation.load(Ordering::Acquire) != incarnation {
            return false;
        }
        self.last_beat.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        true
    }

    /// Returns when a thread of this slot last ran, in seconds since the gateway's start.
    pub fn last_beat(&self) -> f64 {
        f64::from_bits(self.last_beat.load(Ordering::Acquire))
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Replaces `incarnation` with the next one, which is returned; `None` if it was already replaced.
    pub fn begin_next_incarnation(&self, incarnation: u32, now: f64) -> Option<u32> {
        let next = incarnation.wrapping_add(1);
        self.incarnation.compare_exchange(incarnation, next, Ordering::AcqRel, Ordering::Acquire).ok()?;
        self.last_beat.fetch_max(now.max(0.0).to_bits(), Ordering::AcqRel);
        Some(next)
    }
}
