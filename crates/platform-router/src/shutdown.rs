//! The times of a graceful shutdown, by the earliest SIGKILL. Free of I/O.
//!
//! After SIGTERM the platform still opens connections and sends calls for a while: they are admitted. After that each
//! call is rejected at once, each connection is closed when nothing is open on it, and what is still in flight shortly
//! before the earliest SIGKILL is answered by what is known of it then.

use std::cell::Cell;

/// Seconds for which clients may still come after SIGTERM: the platform sends no more after 0.6 s, and a busy machine
/// delivers and reads them a little late.
const ADMISSION_SECONDS: f64 = 0.75;
/// SIGKILL comes no sooner than this many seconds past the longest deadline after SIGTERM.
const KILL_DELAY: f64 = 0.7;
/// The most seconds that a deadline counts for there.
const MAX_COUNTED_DEADLINE: f64 = 3.0;
/// Seconds that must be left for answers where a call is still admitted past that: one that came in time and was read
/// late, after a pause.
const MIN_TIME_FOR_LATE_CALL: f64 = 0.5;
/// Seconds before the earliest SIGKILL at which every call has its final answer: what a busy machine takes to write
/// them and to close the connections of all clients.
const ANSWER_MARGIN: f64 = 0.15;
/// Seconds before the earliest SIGKILL at which the process exits whatever its clients do.
const EXIT_MARGIN: f64 = 0.03;

/// Seconds without activity after which a pause of the process is assumed; an idle process checks its connections five
/// times a second.
const PAUSE_THRESHOLD: f64 = 0.25;
/// Seconds after a pause in which a signal may be one that came during it.
const RECENT_PAUSE_SECONDS: f64 = 0.1;

/// What happens until when, in seconds on the router's clock.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    admit_until: f64,
    answer_by: f64,
    exit_by: f64,
}

/// The progress of a process between SIGTERM and its exit.
#[derive(Debug)]
pub(crate) struct Shutdown {
    longest_deadline: f64,
    schedule: Option<Schedule>,
    admission_closed: bool,
}

impl Shutdown {
    /// The schedule of a process whose calls have `longest_deadline` seconds at most.
    pub fn new(longest_deadline: f64) -> Self {
        Self { longest_deadline, schedule: None, admission_closed: false }
    }

    /// SIGTERM was read at `now` and may have come as early as `earliest`. Another one changes nothing.
    pub fn begin(&mut self, now: f64, earliest: f64) {
        let kill = earliest + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let answer_by = kill - ANSWER_MARGIN;
        self.schedule.get_or_insert(Schedule {
            admit_until: (now + ADMISSION_SECONDS).min(answer_by),
            answer_by,
            exit_by: kill - EXIT_MARGIN,
        });
    }

    /// Whether SIGTERM was read.
    pub fn begun(&self) -> bool {
        self.schedule.is_some()
    }

    /// Whether the time is over in which clients may still come. What came in it and is not read yet is read and
    /// admitted before the admission is closed.
    pub fn admission_over(&self, now: f64) -> bool {
        self.schedule.is_some_and(|s| now >= s.admit_until)
    }

    /// All that came in time was read: from now on every call is rejected.
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

    /// Whether everything in flight has to be answered now.
    pub fn answers_due(&self, now: f64) -> bool {
        self.schedule.is_some_and(|s| now >= s.answer_by)
    }

    /// Whether the process has to exit now.
    pub fn exit_due(&self, now: f64) -> bool {
        self.schedule.is_some_and(|s| now >= s.exit_by)
    }

    /// Seconds that a call may take which is admitted now.
    pub fn time_to_answer(&self, now: f64) -> f64 {
        self.schedule.map_or(f64::INFINITY, |s| (s.answer_by - now).max(0.0))
    }
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct ProcessPause {
    from: f64,
    until: f64,
}

/// When the process ran last, and when it was last paused.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    last: Cell<f64>,
    pause: Cell<Option<ProcessPause>>,
}

impl Liveness {
    /// The process runs at this time.
    pub fn record_activity(&self, now: f64) {
        let last = self.last.replace(now);
        if now - last > PAUSE_THRESHOLD {
            // Where it had hardly moved on from another, both are one: what came amid the first may still be unread.
            let previous = self.pause.get().filter(|previous| last - previous.until <= RECENT_PAUSE_SECONDS);
            let from = previous.map_or(last, |previous| previous.from);
            self.pause.set(Some(ProcessPause { from, until: now }));
        }
    }

    /// The earliest time at which a signal may have come that is read at `now`.
    pub fn earliest(&self, now: f64) -> f64 {
        match self.pause.get() {
            Some(ProcessPause { from, until }) if now - until <= RECENT_PAUSE_SECONDS => from,
            _ => now,
        }
    }

    /// The earliest time at which bytes may have come that are read at `now` from a socket that was empty at
    /// `emptied_at`. All that came during a pause is read before the process would count as standing still again.
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
