//! Which cores stand still, and what is done about it: first others answer what it can't, then another takes its
//! place.

/// A thread not seen for so long stood still: several pulses, as a busy machine keeps one waiting now and then.
pub const STALL_THRESHOLD: f64 = 0.15;

/// Seconds after which its errands are done by others: a crowded machine keeps a thread waiting for less, and what
/// it would still send in time is better left to it.
pub const TAKEOVER_THRESHOLD: f64 = 1.0;

/// Seconds after which a core that stands still is given up on: longer than any pause of the machine from which it
/// may come back with its connections, and short against the minutes that people take.
pub const REPLACE_THRESHOLD: f64 = 5.0;

/// Seconds before a place that lost its core again and again is filled anew, and the most of them: a core that dies
/// at once each time must not keep the machine busy with starts.
const MIN_RESTART_DELAY: f64 = 0.1;
const MAX_RESTART_DELAY: f64 = 10.0;

/// Seconds of life after which a core's earlier deaths count no more.
const STABLE_AFTER: f64 = 30.0;

/// What is to be done about a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CoreAction {
    /// It runs.
    Nothing,
    /// Answer its calls as they fall due.
    SendDueResponses,
    /// That, and do the rest of its errands or call them off.
    TakeOverMessages,
    /// Close its connections and let another core take its place.
    Replace,
}

/// One place for a core, through the lives of those that fill it.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    started_at: f64,
    /// None while the place is empty.
    restart_delay: f64,
    restart_at: Option<f64>,
    /// When the whole process was seen to move again: a core must be given time to say that it runs.
    resumed_at: f64,
}

impl Watchdog {
    pub fn new(now: f64) -> Self {
        Self { started_at: now, restart_delay: 0.0, restart_at: None, resumed_at: now }
    }

    /// The watcher itself stood still until now: nobody else is to blame for not having been seen.
    pub fn resume(&mut self, now: f64) {
        self.resumed_at = now;
    }

    /// What is to be done about a core that was last seen to run then.
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

    /// The core has ended, or was given up on; tells when its place may be filled.
    pub fn core_lost(&mut self, now: f64) -> f64 {
        let delay = if now - self.started_at >= STABLE_AFTER { 0.0 } else { self.restart_delay };
        self.restart_delay = (2.0 * delay).clamp(MIN_RESTART_DELAY, MAX_RESTART_DELAY);
        let at = now + delay;
        self.restart_at = Some(at);
        at
    }

    /// Whether an empty place may be filled now.
    pub fn may_restart(&self, now: f64) -> bool {
        self.restart_at.is_some_and(|at| now >= at)
    }

    /// Another core fills the place.
    pub fn core_started(&mut self, now: f64) {
        *self = Self { started_at: now, restart_at: None, resumed_at: now, ..*self };
    }
}
