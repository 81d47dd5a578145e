//! The one place where the wall clock is read.
//!
//! The wall clock may be stepped at any time, by seconds or by an hour, so no deadline, window or wait is measured with
//! it: those are spans of the monotonic clock. It serves only to place timestamps that other clocks made, and
//! `milletpath_dispatcher::start_times` bounds what such a timestamp may claim.

use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since the Unix epoch by the wall clock; 0 where it is set to before that.
#[expect(clippy::disallowed_methods, reason = "the one place where the wall clock is read")]
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
