//! When the processes of workers started, on the monotonic clock.
//!
//! The worker list states it as Unix time, by the wall clock of another machine. That clock and our own may be stepped
//! at any moment, so a stamp counts only as far as the monotonic clock bears it out: a process that was first reported
//! while the list was followed can't be older than the last confirmation of the list without it, and none started in
//! the future. A stamp that claims otherwise tells nothing; its process counts as started when it was first reported.

/// Seconds that may pass between a change of the list and its reading here on a busy machine.
const NEWS_DELAY: f64 = 0.05;

/// Seconds by which two renderings of one stamp may differ.
const STAMP_ROUNDING: f64 = 0.002;

/// Places start stamps on the monotonic clock.
#[derive(Clone, Debug)]
pub struct StartTimes {
    /// Unix time less monotonic time: the least of all readings. After a step forward stamps are placed as before it;
    /// after a step back they look later than they are, and their processes younger, never older.
    offset: f64,
    /// When the list, as it is known here, was last known to be current.
    confirmed: Option<f64>,
}

impl StartTimes {
    /// `offset` is the Unix time at which the monotonic clock began.
    pub fn new(offset: f64) -> Self {
        Self { offset, confirmed: None }
    }

    /// Takes a reading of the wall clock.
    pub fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.offset = self.offset.min(unix_time - now);
    }

    /// All changes of the list until now have been taken: a process reported from here on was not listed before.
    pub fn list_confirmed(&mut self, now: f64) {
        self.confirmed = Some(now);
    }

    /// When a process that is first reported now started, by its stamp; `predecessor` is when the process before it
    /// under the same name did.
    pub fn started(&self, now: f64, stamp: f64, predecessor: Option<f64>) -> f64 {
        let claimed = stamp - self.offset;
        let listed_since = self.confirmed.map_or(f64::NEG_INFINITY, |at| at - NEWS_DELAY);
        let after_predecessor = predecessor.is_none_or(|before| claimed > before);
        if claimed <= now && claimed >= listed_since && after_predecessor { claimed } else { now }
    }
}

/// Whether a stamp tells of another process than the one before it; an earlier one as well as a later, as the clock
/// that made it may have been stepped back. One that is missing tells of none.
pub fn is_another_process(stamp: Option<f64>, before: Option<f64>) -> bool {
    match (stamp, before) {
        (Some(stamp), Some(before)) => (stamp - before).abs() > STAMP_ROUNDING,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
