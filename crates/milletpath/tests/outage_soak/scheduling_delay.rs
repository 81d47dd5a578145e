//! Measures scheduling delays of this machine: a thread sleeps for short periods and records by how much it overslept.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Shorter delays are not recorded.
const MIN_RECORDED: Duration = Duration::from_millis(10);

/// A scheduling delay: when it ended, and its length.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    at: Instant,
    delay: Duration,
}

/// Records scheduling delays until it is stopped.
pub fn record_scheduling_delays(stop: &AtomicBool) -> Vec<SchedulingDelay> {
    const SLEEP: Duration = Duration::from_millis(5);
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        std::thread::sleep(SLEEP);
        let delay = began.elapsed().saturating_sub(SLEEP);
        if delay > MIN_RECORDED {
            records.push(SchedulingDelay { at: Instant::now(), delay });
        }
    }
    records
}

/// The longest scheduling delay that overlaps the second before or after a time; zero if there is none.
pub fn max_delay_near(records: &[SchedulingDelay], time: Instant) -> Duration {
    const NEAR: Duration = Duration::from_secs(1);
    let is_near = |record: &&SchedulingDelay| {
        let distance = record.at.max(time) - record.at.min(time);
        distance < NEAR + record.delay
    };
    records.iter().filter(is_near).map(|record| record.delay).max().unwrap_or_default()
}

impl SchedulingDelay {
    /// The length of the delay.
    pub fn delay(&self) -> Duration {
        self.delay
    }
}
