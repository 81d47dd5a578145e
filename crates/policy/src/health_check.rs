//! Load reports of workers, and the probes (health checks) that ask for them.

use crate::effects::Host;
use crate::events::Report;
use crate::worker_state::Worker;

/// Seconds for which a worker's report says what it holds: about as long as a queue takes to change.
const REPORT_AGE: f64 = 1.0;

impl Worker {
    /// What reports say that it holds of others', where that is not long ago.
    pub(crate) fn recent_foreign_load(&self, now: f64) -> Option<f64> {
        /// Times as long a report is still better than a guess.
        const MAX_AGE: f64 = 4.0;
        self.foreign_load.filter(|_| now - self.reported_at < MAX_AGE * REPORT_AGE)
    }

    /// Whether its last report is too old to join an unseen queue by it.
    pub(crate) fn report_is_stale(&self, now: f64) -> bool {
        now - self.reported_at > REPORT_AGE
    }

    /// Asks for its report, unless an answer to such a probe is still out.
    pub(crate) fn probe(&mut self, now: f64, index: usize, host: &mut dyn Host) {
        if self.probed_at == f64::NEG_INFINITY {
            self.probed_at = now;
            host.probe(index);
        }
    }

    /// A probe was answered, or was not.
    pub(crate) fn probe_ended(&mut self) {
        self.probed_at = f64::NEG_INFINITY;
    }

    /// A report came in, with an answer or a probe; among so many routers.
    pub(crate) fn record_report(&mut self, now: f64, report: Option<Report>, routers: f64) {
        let Some(report) = report else { return };
        let own_load = self.in_flight as f64;
        let foreign_load = match (report.held, report.waiting) {
            (Some(held), _) => (held - own_load).max(0.0),
            (None, Some(waiting)) => waiting * (routers - 1.0) / routers,
            _ => return,
        };
        self.foreign_load = Some(foreign_load);
        self.reported_at = now;
        self.utilization = report.busy.unwrap_or(1.0);
        self.counts_running = report.held.is_some();
    }
}
