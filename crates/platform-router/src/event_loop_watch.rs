//! Notices that the event loop does not get round: a thread of its own looks at the loop's heartbeats and logs a loop that
//! is stalled, with the processor time used meanwhile. A loop that spins uses as much as has passed, one that lacks
//! processor time uses hardly any, and one that waits is not stalled.

use nix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the heartbeats are looked at. The loop beats several times in it. Each look wakes a thread.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Seconds without a heartbeat after which the loop counts as stalled.
const STALL_SECONDS: f64 = 1.0;
/// By how much longer a stall has to be for each further log line.
const LOG_GROWTH: f64 = 2.0;
/// Stack size of the thread in bytes, enough to format a log line.
const STACK_SIZE: usize = 128 << 10;

/// What the event loop tells the thread that watches it.
#[derive(Debug, Default)]
pub(crate) struct Heartbeat {
    beats: AtomicU64,
    holds_work_back: AtomicBool,
}

impl Heartbeat {
    /// Records that the event loop has got round.
    pub fn beat(&self) {
        self.beats.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets whether work is held back until discovery events have been applied.
    pub fn set_holds_work_back(&self, holds_work_back: bool) {
        self.holds_work_back.store(holds_work_back, Ordering::Relaxed);
    }
}

/// Time that has passed, and processor time that the process has used in it, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Elapsed {
    pub seconds: f64,
    pub processor_seconds: f64,
}

impl Elapsed {
    fn since(self, earlier: Self) -> Self {
        Self {
            seconds: self.seconds - earlier.seconds,
            processor_seconds: self.processor_seconds - earlier.processor_seconds,
        }
    }
}

/// A change worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Report {
    /// There has been no heartbeat for this long.
    Stalled(Elapsed),
    /// There are heartbeats again after this long.
    Resumed(Elapsed),
}

/// Decides from heartbeats whether the loop is stalled. Performs no I/O.
#[derive(Debug)]
pub(crate) struct StallDetector {
    beats: u64,
    last_beat: Elapsed,
    /// Length of the stall in seconds from which it is reported next.
    report_from: f64,
    is_stalled: bool,
}

impl StallDetector {
    /// Creates a detector at a time at which the loop runs.
    pub fn new(now: Elapsed) -> Self {
        Self { beats: 0, last_beat: now, report_from: STALL_SECONDS, is_stalled: false }
    }

    /// Looks at the number of heartbeats so far.
    pub fn observe(&mut self, beats: u64, now: Elapsed) -> Option<Report> {
        let stall = now.since(self.last_beat);
        if beats != self.beats {
            let resumed = std::mem::take(&mut self.is_stalled);
            *self = Self { beats, ..Self::new(now) };
            return resumed.then_some(Report::Resumed(stall));
        }
        if stall.seconds < self.report_from {
            return None;
        }
        self.is_stalled = true;
        self.report_from = stall.seconds * LOG_GROWTH;
        Some(Report::Stalled(stall))
    }
}

/// Starts the thread that watches the heartbeats for the lifetime of the process.
pub(crate) fn start(heartbeat: Arc<Heartbeat>) {
    let thread = std::thread::Builder::new().name("watch".to_owned()).stack_size(STACK_SIZE);
    if let Err(error) = thread.spawn(move || watch(&heartbeat)) {
        tracing::info!(%error, "the event loop is not watched");
    }
}

/// Processor time that the process has used so far, in seconds.
#[expect(clippy::disallowed_methods, reason = "reads the process's processor time, which is never stepped")]
fn processor_seconds() -> f64 {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID)
        .map_or(f64::NAN, |used| Duration::from(used).as_secs_f64())
}

fn watch(heartbeat: &Heartbeat) -> ! {
    let started = Instant::now();
    let elapsed =
        || Elapsed { seconds: started.elapsed().as_secs_f64(), processor_seconds: processor_seconds() };
    let mut detector = StallDetector::new(elapsed());
    loop {
        std::thread::sleep(WATCH_INTERVAL);
        let report = detector.observe(heartbeat.beats.load(Ordering::Relaxed), elapsed());
        let holds_work_back = heartbeat.holds_work_back.load(Ordering::Relaxed);
        match report {
            Some(Report::Stalled(Elapsed { seconds, processor_seconds })) => {
                tracing::warn!(seconds, processor_seconds, holds_work_back, "the event loop is stalled");
            }
            Some(Report::Resumed(Elapsed { seconds, processor_seconds })) => {
                tracing::info!(seconds, processor_seconds, "the event loop runs again");
            }
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
