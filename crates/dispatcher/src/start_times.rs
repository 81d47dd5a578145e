//! When the processes of workers started, on the monotonic clock.
//!
//! The endpoint list states it as Unix time, by the wall clock of another machine. That clock and this machine's own may
//! be stepped at any moment, so a stamp counts only as far as the monotonic clock bears it out: a process that was first
//! reported while the list was followed can't be older than the last confirmation of the list without it, and none
//! started in the future. A stamp that claims otherwise is ignored; its process counts as started when it was first
//! reported.

/// Seconds that may pass between a change of the list and its reading here on a busy machine.
const MAX_REPORT_DELAY: f64 = 0.05;

/// Seconds by which two renderings of one stamp may differ.
const TIMESTAMP_TOLERANCE: f64 = 0.002;

/// Places start stamps on the monotonic clock.
#[derive(Clone, Debug)]
pub(crate) struct StartTimes {
    /// Unix time less monotonic time: the least of all readings. After a step forward stamps are placed as before it;
    /// after a step back they look later than they are, and their processes younger, never older.
    unix_offset: f64,
    /// When the list, as it is known here, was last known to be current.
    confirmed_at: Option<f64>,
}

impl StartTimes {
    /// `offset` is the Unix time at which the monotonic clock began.
    pub(crate) fn new(unix_offset: f64) -> Self {
        Self { unix_offset, confirmed_at: None }
    }

    /// Takes a reading of the wall clock.
    pub(crate) fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.unix_offset = self.unix_offset.min(unix_time - now);
    }

    /// All changes of the list until now have been taken: a process that is reported from here on was not listed
    /// before.
    pub(crate) fn list_confirmed(&mut self, now: f64) {
        self.confirmed_at = Some(now);
    }

    /// When a process that is first reported now started, by its stamp; `predecessor` is when the process before it
    /// under the same name did.
    pub(crate) fn start_time(&self, now: f64, timestamp: f64, predecessor: Option<f64>) -> f64 {
        let reported_start = timestamp - self.unix_offset;
        let earliest_start = self.confirmed_at.map_or(f64::NEG_INFINITY, |at| at - MAX_REPORT_DELAY);
        let after_predecessor = predecessor.is_none_or(|before| reported_start > before);
        let plausible = reported_start <= now && reported_start >= earliest_start && after_predecessor;
        if plausible { reported_start } else { now }
    }
}

/// Whether a stamp is that of another process than the one before it. An earlier stamp is as well as a later one, as the
/// clock that made it may have been stepped back; a missing stamp is not.
pub(crate) fn is_different_process(timestamp: Option<f64>, before: Option<f64>) -> bool {
    match (timestamp, before) {
        (Some(timestamp), Some(before)) => (timestamp - before).abs() > TIMESTAMP_TOLERANCE,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
