//! Silences of the registry: what it would tell counts as told a while after the silence began, and reaches the gateways
//! only at its end.

use milletpath_protocol::registry::NOTICE_AFTER_END;

/// The silence that is, or was the last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegistryStall {
    from: f64,
    until: f64,
}

impl RegistryStall {
    pub const NONE: Self = Self { from: f64::NEG_INFINITY, until: f64::NEG_INFINITY };

    /// One that begins now.
    pub fn begin(now: f64, seconds: f64) -> Self {
        Self { from: now, until: now + seconds }
    }

    /// Whether the registry is silent.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.until
    }

    /// When a change of this moment counts as told.
    pub fn deemed_notified_at(&self, now: f64) -> f64 {
        if self.is_active(now) { now.max(self.from + NOTICE_AFTER_END).min(self.until) } else { now }
    }

    /// When a change of this moment reaches the gateways.
    pub fn delivered_at(&self, now: f64) -> f64 {
        now.max(self.until)
    }
}
