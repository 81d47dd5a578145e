//! Waiting for a condition that another thread or process brings about.

use std::time::{Duration, Instant};

/// How long a test waits for anything that should happen soon.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks of [`wait_for`].
const INTERVAL: Duration = Duration::from_millis(5);

/// Polls until there is a value; `None` after [`TIMEOUT`].
pub fn wait_for<T>(poll: impl FnMut() -> Option<T>) -> Option<T> {
    wait_at_most(TIMEOUT, INTERVAL, poll)
}

/// Polls at this interval until there is a value; `None` after the timeout. It polls once at least.
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

/// Whether a condition comes to hold within [`TIMEOUT`].
pub fn becomes_true(mut condition: impl FnMut() -> bool) -> bool {
    wait_for(|| condition().then_some(())).is_some()
}
