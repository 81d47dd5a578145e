//! Logs when the endpoint list becomes stale and when it is current again.

use crate::list_report::ListState;
use crate::platform_router::PlatformRouter;

impl PlatformRouter {
    /// Logs the list's state if it has changed.
    pub(super) fn report_list_state(&mut self, now: f64) {
        let is_stale = self.dispatcher.endpoint_list_is_stale(now);
        let state = self.list_report.current_state(now, is_stale);
        if state == self.list_report.state {
            return;
        }
        let health_checks = self.dispatcher.counters().health_checks;
        let last_event = self.discovery.last_event;
        if state == ListState::Stale {
            tracing::warn!(
                age_seconds = self.dispatcher.endpoint_list_age(now).min(now),
                last_event,
                unproven_workers = self.dispatcher.unproven_workers(now),
                "the endpoint list is stale: workers get new work only after they have proved that they take some"
            );
        } else {
            tracing::info!(
                after_seconds = now - self.list_report.since,
                last_event,
                health_checks = health_checks - self.list_report.health_checks_before,
                "the endpoint list is current"
            );
        }
        self.list_report.record(now, state, health_checks);
    }
}
