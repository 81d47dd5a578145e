//! Load reports of workers, and the probes (health checks) that ask for them.

use crate::effects::Host;
use crate::events::Report;
use crate::worker_state::Worker;

/// Seconds for which a worker's report says what it holds: about as long as a queue takes to change.
const FRESH: f64 = 1.0;

impl Worker {
    /// What reports say that it holds of others', where that is not long ago.
    pub(crate) fn told(&self, now: f64) -> Option<f64> {
        /// Times as long a report is still better than a guess.
        const LATELY: f64 = 4.0;
        self.foreign.filter(|_| now - self.told < LATELY * FRESH)
    }

    /// Whether its last report is too old to join an unseen queue by it.
    pub(crate) fn report_is_old(&self, now: f64) -> bool {
        now - self.told > FRESH
    }

    /// Asks for its report, unless an answer to such a probe is still out.
    pub(crate) fn ask(&mut self, now: f64, index: usize, host: &mut dyn Host) {
        if self.asked == f64::NEG_INFINITY {
            self.asked = now;
            host.probe(index);
        }
    }

    /// A probe was answered, or was not.
    pub(crate) fn probe_ended(&mut self) {
        self.asked = f64::NEG_INFINITY;
    }

    /// A report came in, with an answer or a probe; among so many routers.
    pub(crate) fn reported(&mut self, now: f64, report: Option<Report>, routers: f64) {
        let Some(report) = report else { return };
        let own = self.out as f64;
        let foreign = match (report.held, report.waiting) {
            (Some(held), _) => (held - own).max(0.0),
            (None, Some(waiting)) => waiting * (routers - 1.0) / routers,
            _ => return,
        };
        self.foreign = Some(foreign);
        self.told = now;
        self.cores = report.busy.unwrap_or(1.0);
        self.held = report.held.is_some();
    }
}
