//! How late this machine was: a thread that sleeps for a moment, again and again, and records by how much it overslept.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Oversleeping of less than this is not recorded.
const LEAST: Duration = Duration::from_millis(10);

/// A time at which the machine was late, and by how much.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    at: Instant,
    late: Duration,
}

/// Records until it is stopped.
pub fn record_lateness(stop: &AtomicBool) -> Vec<Lateness> {
    const SLEEP: Duration = Duration::from_millis(5);
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        std::thread::sleep(SLEEP);
        let late = began.elapsed().saturating_sub(SLEEP);
        if late > LEAST {
            records.push(Lateness { at: Instant::now(), late });
        }
    }
    records
}

/// The most by which the machine was late within a second of a time.
pub fn latest_near(records: &[Lateness], time: Instant) -> Duration {
    const NEAR: Duration = Duration::from_secs(1);
    let is_near = |record: &&Lateness| {
        let distance = record.at.max(time) - record.at.min(time);
        distance < NEAR + record.late
    };
    records.iter().filter(is_near).map(|record| record.late).max().unwrap_or_default()
}

impl Lateness {
    /// By how much.
    pub fn late(&self) -> Duration {
        self.late
    }
}
