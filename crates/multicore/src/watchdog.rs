//! Detects stalled cores and chooses what to do about them: at first others send the responses that fall due, then they take
//! over its messages, and in the end another thread takes its place.

/// Seconds without a heartbeat after which a core counts as stalled: several heartbeats, as a busy machine delays one now
/// and then.
pub const STALL_THRESHOLD: f64 = 0.15;

/// Seconds without a heartbeat after which a core's messages are taken over. A crowded machine delays a thread by less,
/// and what the core would still send in time is better left to it.
pub const TAKEOVER_THRESHOLD: f64 = 1.0;

/// Seconds without a heartbeat after which a core is replaced: longer than any pause of the machine after which it may
/// continue with its connections, and short against the minutes in which people react.
pub const REPLACE_THRESHOLD: f64 = 5.0;

/// Shortest and longest seconds before a slot that lost its core again is filled: a core that ends at once each time must
/// not keep the machine busy with starts. The delay doubles with each loss.
const MIN_RESTART_DELAY: f64 = 0.1;
const MAX_RESTART_DELAY: f64 = 10.0;

/// Seconds after which a running core's earlier losses no longer delay its restart.
const STABLE_AFTER: f64 = 30.0;

/// What to do about a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreAction {
    /// Nothing: it runs.
    Nothing,
    /// Send the responses of its requests that fall due.
    SendDueResponses,
    /// Also handle its other messages, or cancel what they ask for.
    TakeOverMessages,
    /// Close its connections and start another thread in its place.
    Replace,
}

/// Watches the slot of one core, through all threads that fill it.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    started_at: f64,
    restart_delay: f64,
    /// When an empty slot may be filled; none while it has a core.
    restart_at: Option<f64>,
    /// When the watching thread itself last resumed after a stall: cores had no chance to send a heartbeat before.
    resumed_at: f64,
}

impl Watchdog {
    /// Watches a core that starts at `now`.
    pub fn new(now: f64) -> Self {
        Self { started_at: now, restart_delay: 0.0, restart_at: None, resumed_at: now }
    }

    /// The watching thread itself was stalled until `now`: no core is blamed for a heartbeat missing before.
    pub fn resume(&mut self, now: f64) {
        self.resumed_at = now;
    }

    /// What to do about a core whose last heartbeat was at `last_beat`.
    pub fn check(&self, now: f64, last_beat: f64) -> CoreAction {
        let stalled_for = now - last_beat.max(self.resumed_at);
        if self.restart_at.is_some() || stalled_for <= STALL_THRESHOLD {
            CoreAction::Nothing
        } else if stalled_for <= TAKEOVER_THRESHOLD {
            CoreAction::SendDueResponses
        } else if stalled_for <= REPLACE_THRESHOLD {
            CoreAction::TakeOverMessages
        } else {
            CoreAction::Replace
        }
    }

    /// The core has ended or is replaced; returns when its slot may be filled.
    pub fn core_lost(&mut self, now: f64) -> f64 {
        let delay = if now - self.started_at >= STABLE_AFTER { 0.0 } else { self.restart_delay };
        self.restart_delay = (2.0 * delay).clamp(MIN_RESTART_DELAY, MAX_RESTART_DELAY);
        let restart_at = now + delay;
        self.restart_at = Some(restart_at);
        restart_at
    }

    /// Whether the slot is empty and may be filled now.
    pub fn may_restart(&self, now: f64) -> bool {
        self.restart_at.is_some_and(|restart_at| now >= restart_at)
    }

    /// Another thread fills the slot.
    pub fn core_started(&mut self, now: f64) {
        *self = Self { started_at: now, restart_at: None, resumed_at: now, ..*self };
    }
}
