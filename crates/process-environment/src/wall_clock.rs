//! The only module that reads the wall clock.
//!
//! The wall clock can jump at any time, by seconds or by an hour. Deadlines, windows and waits are therefore measured
//! with the monotonic clock. The wall clock is used only to interpret timestamps from other clocks, and
//! `milletpath_dispatcher::start_times` limits which of their values are accepted.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in seconds since the Unix epoch; 0 if the clock is set to an earlier time.
#[expect(clippy::disallowed_methods, reason = "the only place that reads the wall clock")]
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
