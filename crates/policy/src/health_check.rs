//! Health checks of workers, and the load reports that answer them or come with results.

use crate::effects::Effects;
use crate::events::{LoadReport, Outcome};
use crate::worker_state::Worker;

/// Part of the latency objective that a health check before an attempt may take.
pub(crate) const HEALTH_CHECK_SHARE: f64 = 0.03;

/// Seconds for which a load report is fresh: about as long as a queue takes to change.
const REPORT_FRESH_FOR: f64 = 1.0;

impl Worker {
    /// Requests of other routers there by its last report, where that is recent.
    pub(crate) fn recent_other_routers_load(&self, now: f64) -> Option<f64> {
        /// Times as long for which a report is still better than an average.
        const MAX_AGE_MULTIPLE: f64 = 4.0;
        self.other_routers_load.filter(|_| now - self.reported_at < MAX_AGE_MULTIPLE * REPORT_FRESH_FOR)
    }

    /// Whether its last report is too old to judge its queue by.
    pub(crate) fn report_is_stale(&self, now: f64) -> bool {
        now - self.reported_at > REPORT_FRESH_FOR
    }

    /// Sends a health check, unless one is still unanswered.
    pub(crate) fn check_health(&mut self, now: f64, index: usize, host: &mut dyn Effects) {
        if self.health_check_sent_at == f64::NEG_INFINITY {
            self.health_check_sent_at = now;
            host.check_health(index);
        }
    }

    /// A health check was answered, or was not.
    pub(crate) fn health_check_ended(&mut self, outcome: Outcome) {
        let sent_at = std::mem::replace(&mut self.health_check_sent_at, f64::NEG_INFINITY);
        self.acceptance.health_check_ended(sent_at, outcome);
    }

    /// Records a load report; `routers` share the worker.
    pub(crate) fn record_report(&mut self, now: f64, report: Option<LoadReport>, routers: f64) {
        let Some(report) = report else { return };
        let own_load = self.in_flight as f64;
        let other_routers_load = match (report.in_flight, report.queued) {
            (Some(in_flight), _) => (in_flight - own_load).max(0.0),
            (None, Some(queued)) => queued * (routers - 1.0) / routers,
            _ => return,
        };
        self.other_routers_load = Some(other_routers_load);
        self.reported_at = now;
        self.utilization = report.utilization.unwrap_or(1.0);
        self.counts_running = report.in_flight.is_some();
    }
}
