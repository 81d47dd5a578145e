//! The schedule of a graceful shutdown, based on the earliest time of the SIGKILL. Performs no I/O.
//!
//! After SIGTERM the platform still opens connections and sends calls for a while, and these are admitted. Afterwards
//! every call is rejected immediately and each connection is closed once no call is open on it. Shortly before the
//! earliest SIGKILL, calls still in flight are answered: failed if they may have run, rejected otherwise.

use std::cell::Cell;

/// Seconds after SIGTERM during which clients may still connect and send calls. The platform sends nothing after
/// 0.6 s; the rest covers late delivery and reading on a busy host.
const ADMISSION_SECONDS: f64 = 0.75;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline plus this many seconds.
const KILL_DELAY: f64 = 0.7;
/// Upper bound in seconds of the longest deadline in that calculation.
const MAX_COUNTED_DEADLINE: f64 = 3.0;
/// Seconds that must be left for answering a call that is admitted after that period. Such a call arrived in time but
/// was read late, after a process pause.
const MIN_TIME_FOR_LATE_CALL: f64 = 0.5;
/// Seconds before the earliest SIGKILL by which every call has its final response. Covers the time a busy host takes
/// to write the responses and to close all client connections.
const ANSWER_MARGIN: f64 = 0.15;
/// Seconds before the earliest SIGKILL at which the process exits even if clients are still connected.
const EXIT_MARGIN: f64 = 0.03;

/// Interval in seconds between the steps of a shutdown, if none is late.
pub(crate) const STEP_SECONDS: f64 = 0.02;
/// Upper bound in seconds of the lateness that is expected of the next step.
const MAX_LATENESS: f64 = 0.1;

/// Seconds without activity after which the process counts as paused. An idle process runs its cleanup five times a
/// second.
const PAUSE_THRESHOLD: f64 = 0.25;
/// Seconds after a pause during which a signal may have arrived within the pause.
const RECENT_PAUSE_SECONDS: f64 = 0.1;

/// The deadlines of a shutdown, in seconds on the router's clock.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    admit_until: f64,
    answer_by: f64,
    exit_by: f64,
}

/// The state of the process between SIGTERM and its exit.
#[derive(Debug)]
pub(crate) struct Shutdown {
    longest_deadline: f64,
    schedule: Option<Schedule>,
    admission_closed: bool,
    last_step_at: Option<f64>,
    /// By how much the next step may be late, in seconds.
    expected_lateness: f64,
}

impl Shutdown {
    /// Creates the state for calls with a deadline of at most `longest_deadline` seconds.
    pub fn new(longest_deadline: f64) -> Self {
        Self {
            longest_deadline,
            schedule: None,
            admission_closed: false,
            last_step_at: None,
            expected_lateness: 0.0,
        }
    }

    /// Starts the shutdown when SIGTERM is read at `now`; the signal may have arrived as early as `earliest`. Further
    /// calls have no effect.
    pub fn begin(&mut self, now: f64, earliest_signal: f64) {
        let kill = earliest_signal + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let answer_by = kill - ANSWER_MARGIN;
        self.schedule.get_or_insert(Schedule {
            admit_until: (now + ADMISSION_SECONDS).min(answer_by),
            answer_by,
            exit_by: kill - EXIT_MARGIN,
        });
    }

    /// Records the time of a step. On a busy host steps are late, so that the last one in time for a deadline is an
    /// earlier one: the next step is expected to be as late as the last one, or half as late as the one before.
    pub fn record_step(&mut self, now: f64) {
        let interval = self.last_step_at.replace(now).map_or(STEP_SECONDS, |last| now - last);
        let lateness = (interval - STEP_SECONDS).clamp(0.0, MAX_LATENESS);
        self.expected_lateness = lateness.max(self.expected_lateness / 2.0);
    }

    /// Whether SIGTERM was read.
    pub fn begun(&self) -> bool {
        self.schedule.is_some()
    }

    /// Whether the admission period has ended. Calls that arrived within the period but are still unread are read and
    /// admitted before the admission is closed.
    pub fn admission_over(&self, now: f64) -> bool {
        self.schedule.is_some_and(|s| now >= s.admit_until)
    }

    /// Closes the admission after everything that arrived in time was read; from now on every call is rejected.
    pub fn close_admission(&mut self) {
        self.admission_closed = true;
    }

    /// Whether every call is rejected.
    pub fn admission_closed(&self) -> bool {
        self.admission_closed
    }

    /// Whether a call that is read now is rejected.
    pub fn rejects(&self, now: f64) -> bool {
        self.admission_closed || self.admission_over(now) && self.time_to_answer(now) < MIN_TIME_FOR_LATE_CALL
    }

    /// Whether all calls in flight must be answered now.
    pub fn answers_due(&self, now: f64) -> bool {
        self.schedule.is_some_and(|s| now + self.expected_lateness >= s.answer_by)
    }

    /// Whether the process must exit now.
    pub fn exit_due(&self, now: f64) -> bool {
        self.schedule.is_some_and(|s| now + self.expected_lateness >= s.exit_by)
    }

    /// Seconds that a call admitted now may take.
    pub fn time_to_answer(&self, now: f64) -> f64 {
        self.schedule.map_or(f64::INFINITY, |s| (s.answer_by - now).max(0.0))
    }
}

/// A period during which the process did not run.
#[derive(Clone, Copy, Debug)]
struct ProcessPause {
    from: f64,
    until: f64,
}

/// Tracks when the process last ran and when it was last paused.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    last: Cell<f64>,
    pause: Cell<Option<ProcessPause>>,
}

impl Liveness {
    /// Records that the process is running at this time.
    pub fn record_activity(&self, now: f64) {
        let last = self.last.replace(now);
        if now - last > PAUSE_THRESHOLD {
            // Pauses in quick succession are merged, as input received during the first one may still be unread.
            let previous = self.pause.get().filter(|previous| last - previous.until <= RECENT_PAUSE_SECONDS);
            let from = previous.map_or(last, |previous| previous.from);
            self.pause.set(Some(ProcessPause { from, until: now }));
        }
    }

    /// The end of the last pause; negative infinity if there was none.
    pub fn resumed_at(&self) -> f64 {
        self.pause.get().map_or(f64::NEG_INFINITY, |pause| pause.until)
    }

    /// The earliest time at which a signal read at `now` may have arrived.
    pub fn earliest_signal(&self, now: f64) -> f64 {
        match self.pause.get() {
            Some(ProcessPause { from, until }) if now - until <= RECENT_PAUSE_SECONDS => from,
            _ => now,
        }
    }

    /// The earliest time at which bytes read at `now` may have arrived on a socket that was empty at `emptied_at`.
    /// Everything received during a pause is read before the process could count as paused again.
    pub fn earliest_arrival(&self, now: f64, emptied_at: f64) -> f64 {
        match self.pause.get() {
            Some(ProcessPause { from, until }) if emptied_at < until && now - until <= PAUSE_THRESHOLD => {
                from.max(emptied_at)
            }
            _ => now,
        }
    }
}

#[cfg(test)]
mod tests;
