//! Which cores stand still, and what is done about it: first others answer what it can't, then another takes its
//! place.

/// A thread not seen for so long stood still: several pulses, as a busy machine keeps one waiting now and then.
pub const STILL: f64 = 0.15;

/// Seconds after which its errands are done by others: a crowded machine keeps a thread waiting for less, and what
/// it would still send in time is better left to it.
pub const LONG: f64 = 1.0;

/// Seconds after which a core that stands still is given up on: longer than any pause of the machine from which it
/// may come back with its connections, and short against the minutes that people take.
pub const GIVEN_UP: f64 = 5.0;

/// Seconds before a place that lost its core again and again is filled anew, and the most of them: a core that dies
/// at once each time must not keep the machine busy with starts.
const FIRST_REST: f64 = 0.1;
const LONGEST_REST: f64 = 10.0;

/// Seconds of life after which a core's earlier deaths count no more.
const LIVED: f64 = 30.0;

/// What is to be done about a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    /// It runs.
    Nothing,
    /// Answer its calls as they fall due.
    Answer,
    /// That, and do the rest of its errands or call them off.
    StandIn,
    /// Close its connections and let another core take its place.
    Replace,
}

/// One place for a core, through the lives of those that fill it.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    began: f64,
    /// None while the place is empty.
    rest: f64,
    until: Option<f64>,
    /// When the whole process was seen to move again: a core must be given time to say that it runs.
    moved: f64,
}

impl Watch {
    pub fn new(now: f64) -> Self {
        Self { began: now, rest: 0.0, until: None, moved: now }
    }

    /// The watcher itself stood still until now: nobody else is to blame for not having been seen.
    pub fn moved(&mut self, now: f64) {
        self.moved = now;
    }

    /// What is to be done about a core that was last seen to run then.
    pub fn look(&self, now: f64, seen: f64) -> Do {
        let still = now - seen.max(self.moved);
        if self.until.is_some() || still <= STILL {
            Do::Nothing
        } else if still <= LONG {
            Do::Answer
        } else if still <= GIVEN_UP {
            Do::StandIn
        } else {
            Do::Replace
        }
    }

    /// The core has ended, or was given up on; tells when its place may be filled.
    pub fn lost(&mut self, now: f64) -> f64 {
        let rest = if now - self.began >= LIVED { 0.0 } else { self.rest };
        self.rest = (2.0 * rest).clamp(FIRST_REST, LONGEST_REST);
        let at = now + rest;
        self.until = Some(at);
        at
    }

    /// Whether an empty place may be filled now.
    pub fn due(&self, now: f64) -> bool {
        self.until.is_some_and(|at| now >= at)
    }

    /// Another core fills the place.
    pub fn filled(&mut self, now: f64) {
        *self = Self { began: now, until: None, moved: now, ..*self };
    }
}
