//! Start times of worker processes on the monotonic clock.
//!
//! The endpoint list states start times as Unix timestamps from another machine's wall clock. Both that clock and the
//! local wall clock can be stepped at any moment, so each timestamp is checked against the monotonic clock: a process
//! first reported while the list was being followed cannot have started before the list was last confirmed without
//! it, and no process started in the future. An implausible timestamp is ignored, and the process counts as started
//! when it was first reported.

/// Maximum delay between a change of the list and its processing here on a busy machine, in seconds.
const MAX_REPORT_DELAY: f64 = 0.05;

/// Maximum difference between two representations of the same timestamp, in seconds.
const TIMESTAMP_TOLERANCE: f64 = 0.002;

/// Converts start timestamps to the monotonic clock.
#[derive(Clone, Debug)]
pub(crate) struct StartTimes {
    /// Unix time minus monotonic time, the minimum of all readings. After a step forward, timestamps are converted as
    /// before it. After a step back, they convert to later times, so processes look younger than they are, never
    /// older.
    unix_offset: f64,
    /// When the local copy of the list was last known to be current.
    confirmed_at: Option<f64>,
}

impl StartTimes {
    /// `unix_offset` is the Unix time at time 0 of the monotonic clock.
    pub(crate) fn new(unix_offset: f64) -> Self {
        Self { unix_offset, confirmed_at: None }
    }

    /// Records a reading of the wall clock.
    pub(crate) fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.unix_offset = self.unix_offset.min(unix_time - now);
    }

    /// Records that all changes of the list up to `now` have been processed: a process first reported later was not
    /// listed before.
    pub(crate) fn list_confirmed(&mut self, now: f64) {
        self.confirmed_at = Some(now);
    }

    /// Start time of a process that is first reported now, based on its timestamp. `predecessor` is the start time of
    /// the previous process with the same name.
    pub(crate) fn start_time(&self, now: f64, timestamp: f64, predecessor: Option<f64>) -> f64 {
        let reported_start = timestamp - self.unix_offset;
        let earliest_start = self.confirmed_at.map_or(f64::NEG_INFINITY, |at| at - MAX_REPORT_DELAY);
        let after_predecessor = predecessor.is_none_or(|previous| reported_start > previous);
        let plausible = reported_start <= now && reported_start >= earliest_start && after_predecessor;
        if plausible { reported_start } else { now }
    }
}

/// Whether a timestamp belongs to a different process than the previous one. An earlier timestamp does too, as the
/// clock that produced it may have been stepped back; a missing timestamp does not.
pub(crate) fn is_different_process(timestamp: Option<f64>, previous: Option<f64>) -> bool {
    match (timestamp, previous) {
        (Some(timestamp), Some(previous)) => (timestamp - previous).abs() > TIMESTAMP_TOLERANCE,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
