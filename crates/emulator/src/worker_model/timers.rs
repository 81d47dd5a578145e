//! The timers of a worker model, in microseconds; timers with the same deadline keep the order in which they were set.

use std::collections::BTreeMap;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What is due.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// A job has had its time on a core.
    WorkDone {
        /// The job.
        job: u64,
    },
    /// A job has waited for others as well.
    JobDone {
        /// The job.
        job: u64,
    },
    /// A fetched instance has started.
    InstanceStarted {
        /// The load that it belongs to.
        load: u64,
    },
    /// An instance has been idle for its time, unless it was used since.
    IdleTimeout {
        /// The instance.
        instance: u64,
        /// The idle period that the timer was set for.
        idle_period: u64,
    },
}

/// Timers in the order of their deadlines.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeMap<(u64, u64), Timer>);

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * MICROSECONDS_PER_SECOND) as u64
}

impl TimerQueue {
    /// Sets a timer; `id` is unique and grows.
    pub(super) fn set(&mut self, at: f64, id: u64, timer: Timer) {
        self.0.insert((microseconds(at), id), timer);
    }

    /// When the next one is due, rounded up so that it is due then.
    pub(super) fn next_deadline(&self) -> Option<f64> {
        self.0.keys().next().map(|(at, _)| (*at as f64 + 1.0) / MICROSECONDS_PER_SECOND)
    }

    /// Takes the next one that is due.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<Timer> {
        let first = self.0.first_entry()?;
        (first.key().0 <= microseconds(now)).then(|| first.remove())
    }
}
