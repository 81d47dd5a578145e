//! Health checks of workers, and load reports, which come with answers to health checks and with results of attempts.

use crate::effects::Effects;
use crate::events::{LoadReport, Outcome};
use crate::worker_state::Worker;

/// Fraction of the latency objective that a health check before an attempt may take.
pub(crate) const HEALTH_CHECK_SHARE: f64 = 0.03;

/// Seconds for which a load report is fresh: about the time in which a queue changes.
const REPORT_FRESH_FOR: f64 = 1.0;

impl Worker {
    /// Requests of other routers on the worker by its last report, if that is recent.
    pub(crate) fn recent_other_routers_load(&self, now: f64) -> Option<f64> {
        /// Multiple of `REPORT_FRESH_FOR` for which a report is still better than assuming an average.
        const MAX_AGE_MULTIPLE: f64 = 4.0;
        self.other_routers_load.filter(|_| now - self.reported_at < MAX_AGE_MULTIPLE * REPORT_FRESH_FOR)
    }

    /// Whether the last report is too old to judge the worker's queue by.
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

    /// A health check was answered or has failed.
    pub(crate) fn health_check_ended(&mut self, outcome: Outcome) {
        let sent_at = std::mem::replace(&mut self.health_check_sent_at, f64::NEG_INFINITY);
        self.acceptance.health_check_ended(sent_at, outcome);
    }

    /// Records a load report; `routers` is the number of routers that share the worker.
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
