//! The timers of a worker model, in microseconds; timers with the same deadline fire in the order in which they were
//! set.

use std::collections::BTreeMap;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What happens when a timer fires.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// A job has finished its work on a core.
    WorkDone {
        /// The job.
        job: u64,
    },
    /// A job has also finished waiting for I/O.
    JobDone {
        /// The job.
        job: u64,
    },
    /// A fetched instance has started.
    InstanceStarted {
        /// The load that created it.
        load: u64,
    },
    /// An instance has reached its idle timeout, unless it was used in the meantime.
    IdleTimeout {
        /// The instance.
        instance: u64,
        /// The idle period that the timer was set for.
        idle_period: u64,
    },
}

/// The timers in the order of their deadlines.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeMap<(u64, u64), Timer>);

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * MICROSECONDS_PER_SECOND) as u64
}

impl TimerQueue {
    /// Sets a timer; ids must be unique and increasing.
    pub(super) fn set(&mut self, at: f64, id: u64, timer: Timer) {
        self.0.insert((microseconds(at), id), timer);
    }

    /// When the next timer is due, rounded up so that it is due at that time.
    pub(super) fn next_deadline(&self) -> Option<f64> {
        self.0.keys().next().map(|(at, _)| (*at as f64 + 1.0) / MICROSECONDS_PER_SECOND)
    }

    /// Takes the next timer that is due.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<Timer> {
        let first = self.0.first_entry()?;
        (first.key().0 <= microseconds(now)).then(|| first.remove())
    }
}
