//! Timers: when the caller must call next, and what is due by then.

use super::Dispatcher;
use super::state::Timer;
use milletpath_policy::Outcome;

impl<T> Dispatcher<T> {
    /// When [`advance`](Self::advance) must be called next, in seconds on the dispatcher's clock; `None` if no timer
    /// is set.
    pub fn next_deadline(&self) -> Option<f64> {
        self.state.timers.next_due()
    }

    /// Fires all timers that are due by `now`.
    pub fn advance(&mut self, now: f64) {
        self.state.now = now;
        while let Some(timer) = self.state.timers.fire(now) {
            self.handle_timer(now, timer);
        }
    }

    fn handle_timer(&mut self, now: f64, timer: Timer) {
        match timer {
            Timer::Wake => {
                self.router.timer_fired(now, &mut self.state);
                self.report_cancelled_attempts();
            }
            Timer::AttemptDeadline { request, attempt } => self.attempt_timed_out(request, attempt),
            Timer::ConnectDeadline { request, attempt } => self.connect_timed_out(request, attempt),
            Timer::LoadRequestDeadline(load_request) => {
                self.load_request_ended(now, load_request, Outcome::TimedOut, 0);
            }
            Timer::HealthCheckDeadline { worker, serial } => {
                self.health_check_ended(now, worker, serial, Outcome::TimedOut, None);
            }
        }
    }
}
