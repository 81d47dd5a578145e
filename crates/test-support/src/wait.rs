//! Polling for a condition that another thread or process brings about.

use std::time::{Duration, Instant};

/// Default timeout for anything that a test expects to happen soon.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Polling interval of [`wait_for`].
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Calls `poll` until it returns a value; `None` after [`TIMEOUT`].
pub fn wait_for<T>(poll: impl FnMut() -> Option<T>) -> Option<T> {
    wait_at_most(TIMEOUT, POLL_INTERVAL, poll)
}

/// Calls `poll`, at least once, at the given interval until it returns a value; `None` after the timeout.
pub fn wait_at_most<T>(
    timeout: Duration,
    interval: Duration,
    mut poll: impl FnMut() -> Option<T>,
) -> Option<T> {
    let started = Instant::now();
    loop {
        let value = poll();
        if value.is_some() || started.elapsed() > timeout {
            return value;
        }
        std::thread::sleep(interval);
    }
}

/// Whether the condition becomes true within [`TIMEOUT`].
pub fn becomes_true(mut condition: impl FnMut() -> bool) -> bool {
    wait_for(|| condition().then_some(())).is_some()
}
