//! Registry stalls. A notification during a stall arrives at the gateways only when the stall ends. The rules deem it
//! delivered immediately, but not before a fixed time after the stall began.

use milletpath_protocol::registry::NOTICE_AFTER_END;

/// The current or the last stall.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegistryStall {
    from: f64,
    until: f64,
}

impl RegistryStall {
    pub const NONE: Self = Self { from: f64::NEG_INFINITY, until: f64::NEG_INFINITY };

    /// A stall that begins now.
    pub fn begin(now: f64, seconds: f64) -> Self {
        Self { from: now, until: now + seconds }
    }

    /// Whether the registry is stalled.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.until
    }

    /// Time at which gateways are deemed notified of a change that happens now.
    pub fn deemed_notified_at(&self, now: f64) -> f64 {
        if self.is_active(now) { now.max(self.from + NOTICE_AFTER_END).min(self.until) } else { now }
    }

    /// Time at which a change that happens now arrives at the gateways.
    pub fn delivered_at(&self, now: f64) -> f64 {
        now.max(self.until)
    }
}
