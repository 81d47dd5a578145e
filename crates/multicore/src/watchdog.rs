//! Detects stalled cores and decides what to do about them: first, another thread sends the core's due responses; then
//! it takes over the core's messages; finally, the core is replaced by a new thread.

/// Seconds without a heartbeat after which a core counts as stalled. This is several heartbeats, because a busy machine
/// occasionally delays one.
pub const STALL_THRESHOLD: f64 = 0.15;

/// Seconds without a heartbeat after which a core's messages are taken over. An overloaded machine delays a thread by
/// less than this, and a core that resumes in time should send its messages itself.
pub const TAKEOVER_THRESHOLD: f64 = 1.0;

/// Seconds without a heartbeat after which a core is replaced. This is longer than any pause of the machine after which
/// the core can continue with its connections, and short compared to the minutes in which an operator reacts.
pub const REPLACE_THRESHOLD: f64 = 5.0;

/// Minimum and maximum delay in seconds before a core that was lost repeatedly is restarted, so that a core that exits
/// immediately does not keep the machine busy with restarts. The delay doubles with each loss.
const MIN_RESTART_DELAY: f64 = 0.1;
const MAX_RESTART_DELAY: f64 = 10.0;

/// Seconds that a core must run before its earlier losses no longer delay its restart.
const STABLE_AFTER: f64 = 30.0;

/// The action to take for a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreAction {
    /// No action: the core runs, or its slot is empty.
    Nothing,
    /// Send the due responses to the core's requests.
    SendDueResponses,
    /// Also handle the core's other messages, or cancel the work that they request.
    TakeOverMessages,
    /// Close the core's connections and start a new thread in its place.
    Replace,
}

/// Watches the slot of one core and all threads that run in it over time.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    started_at: f64,
    restart_delay: f64,
    /// When a new thread may be started in the empty slot; `None` while the slot has a thread.
    restart_at: Option<f64>,
    /// When the watching thread last resumed after a stall of its own. The cores may have had no chance to send a
    /// heartbeat before that.
    resumed_at: f64,
}

impl Watchdog {
    /// Creates a watchdog for a core that starts at `now`.
    pub fn new(now: f64) -> Self {
        Self { started_at: now, restart_delay: 0.0, restart_at: None, resumed_at: now }
    }

    /// Records that the watching thread itself was stalled until `now`. Heartbeats missing before that are not counted
    /// against a core.
    pub fn resume(&mut self, now: f64) {
        self.resumed_at = now;
    }

    /// Returns the action for a core whose last heartbeat was at `last_beat`.
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

    /// Records that the core's thread has exited or is being replaced; returns when a new one may be started.
    pub fn core_lost(&mut self, now: f64) -> f64 {
        let delay = if now - self.started_at >= STABLE_AFTER { 0.0 } else { self.restart_delay };
        self.restart_delay = (2.0 * delay).clamp(MIN_RESTART_DELAY, MAX_RESTART_DELAY);
        let restart_at = now + delay;
        self.restart_at = Some(restart_at);
        restart_at
    }

    /// Returns whether the slot is empty and a new thread may be started now.
    pub fn may_restart(&self, now: f64) -> bool {
        self.restart_at.is_some_and(|restart_at| now >= restart_at)
    }

    /// Records that a new thread was started in the slot.
    pub fn core_started(&mut self, now: f64) {
        *self = Self { started_at: now, restart_at: None, resumed_at: now, ..*self };
    }
}
