//! Clocks that std does not give: the monotonic clock as plain seconds, which processes of one machine can compare, and the
//! processor time of the calling thread.

use nix::time::{ClockId, clock_gettime};

/// Seconds on the monotonic clock, which all processes of the machine share.
#[expect(
    clippy::disallowed_methods,
    reason = "the monotonic clock; an Instant can't be passed to another process"
)]
pub fn clock() -> f64 {
    // Every Linux has this clock; without it all times would be 0, which shows in any result.
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0.0, |t| t.tv_sec() as f64 + t.tv_nsec() as f64 / 1e9)
}

/// Seconds of processor time that the calling thread took since it began.
#[expect(clippy::disallowed_methods, reason = "the thread's own clock, which no step moves")]
pub fn thread_cpu_seconds() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 * 1e-9)
}
