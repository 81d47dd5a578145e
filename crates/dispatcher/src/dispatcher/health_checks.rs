//! Health checks of workers. The router decides when to check a worker and what the result means; this module matches
//! each result to the pending check.

use super::Dispatcher;
use milletpath_policy::{LoadReport, Outcome};

impl<T> Dispatcher<T> {
    /// Whether the result of a health check is still awaited. The caller asks right before it sends the check.
    pub fn awaits_health_check(&self, worker: usize, serial: u64) -> bool {
        let open = self.state.health_checks.get(worker).and_then(Option::as_ref);
        open.is_some_and(|health_check| {
            health_check.serial == serial && !self.state.is_replaced(worker, health_check.process)
        })
    }

    /// Reports that a health check was answered or failed. `serial` is the number from its action, and `report` is
    /// the load reported by the worker.
    pub fn health_check_ended(
        &mut self,
        now: f64,
        worker: usize,
        serial: u64,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.state.now = now;
        let Some(slot) = self.state.health_checks.get_mut(worker) else { return };
        let Some(health_check) = slot.take_if(|health_check| health_check.serial == serial) else { return };
        self.state.timers.cancel(health_check.deadline_timer);
        // What an earlier process has answered says nothing about the present one.
        let is_replaced = self.state.is_replaced(worker, health_check.process);
        let (outcome, report) = if is_replaced { (Outcome::NotSent, None) } else { (outcome, report) };
        self.router.health_check_ended(now, worker, outcome, report, &mut self.state);
        self.report_cancelled_attempts();
    }
}
