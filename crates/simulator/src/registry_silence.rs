//! Silences of the registry: what it would tell counts as told a while after the silence began, and reaches the gateways
//! only at its end.

/// Seconds after the beginning of a silence by which all that would have been told counts as told: the shorter of the
/// platform's two times.
const NOTICE: f64 = 2.0;

/// The silence that is, or was the last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegistrySilence {
    from: f64,
    until: f64,
}

impl RegistrySilence {
    pub const NONE: Self = Self { from: f64::NEG_INFINITY, until: f64::NEG_INFINITY };

    /// One that begins now.
    pub fn begin(now: f64, seconds: f64) -> Self {
        Self { from: now, until: now + seconds }
    }

    /// Whether the registry is silent.
    pub fn holds(&self, now: f64) -> bool {
        now < self.until
    }

    /// When a change of this moment counts as told.
    pub fn told_at(&self, now: f64) -> f64 {
        if self.holds(now) { now.max(self.from + NOTICE).min(self.until) } else { now }
    }

    /// When a change of this moment reaches the gateways.
    pub fn heard_at(&self, now: f64) -> f64 {
        now.max(self.until)
    }
}

/// Seconds for which gateways believe the list after the registry confirmed it: until what they miss counts as told, and
/// the grace after that.
pub(crate) fn list_valid_for(drain_grace: f64) -> f64 {
    NOTICE + drain_grace
}
