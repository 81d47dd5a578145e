//! How late this machine was: a thread that sleeps for a moment, again and again, and records by how much it overslept.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Oversleeping of less than this is not recorded.
const MIN_RECORDED: Duration = Duration::from_millis(10);

/// A time at which the machine was late, and by how much.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingDelay {
    at: Instant,
    delay: Duration,
}

/// Records until it is stopped.
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

/// The most by which the machine was late within a second of a time.
pub fn max_delay_near(records: &[SchedulingDelay], time: Instant) -> Duration {
    const NEAR: Duration = Duration::from_secs(1);
    let is_near = |record: &&SchedulingDelay| {
        let distance = record.at.max(time) - record.at.min(time);
        distance < NEAR + record.delay
    };
    records.iter().filter(is_near).map(|record| record.delay).max().unwrap_or_default()
}

impl SchedulingDelay {
    /// By how much.
    pub fn delay(&self) -> Duration {
        self.delay
    }
}
