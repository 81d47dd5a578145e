//! Clocks that the standard library does not provide: the monotonic clock in seconds, which can be compared between
//! processes of one machine, and the CPU time of the calling thread.

use nix::time::{ClockId, clock_gettime};

/// Seconds on the monotonic clock, which is shared by all processes of the machine.
#[expect(
    clippy::disallowed_methods,
    reason = "reads the monotonic clock; an Instant can't be passed to another process"
)]
pub fn clock() -> f64 {
    // Every Linux system has this clock. Without it all times would be 0, which would be obvious in any result.
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0.0, |t| t.tv_sec() as f64 + t.tv_nsec() as f64 / 1e9)
}

/// CPU time of the calling thread since it started, in seconds.
#[expect(clippy::disallowed_methods, reason = "reads the thread's CPU time, which is never stepped")]
pub fn thread_cpu_seconds() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 * 1e-9)
}
