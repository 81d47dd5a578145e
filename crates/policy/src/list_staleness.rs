//! Which workers get new work while the endpoint list is stale. The list is stale when its source has been silent for
//! so long that it may have missed a worker that drains, is gone or has restarted. A worker then needs recent proof
//! that it takes new work: a health check that it passed or a request that it served, both dated by when they were
//! sent. A worker that has answered since the list was last confirmed, but only on newer connections, may be another
//! process and is treated as in slow start.
//!
//! All time limits come from the configuration. The other modules check here before each send.

use crate::acceptance::Acceptance;
use crate::worker_state::Worker;

/// The age of the endpoint list, and the validity of proofs while it is stale.
pub(crate) struct ListStaleness {
    /// Seconds for which the list is valid after it was confirmed.
    list_valid_for: f64,
    /// Seconds for which a worker's proof is valid after the worker was asked.
    acceptance_valid_for: f64,
    /// When the list was last known to be current; minus infinity before the first confirmation.
    confirmed_at: f64,
    /// When a health check was last sent to a worker that no request waited for.
    background_check_sent_at: f64,
}

impl ListStaleness {
    pub(crate) fn new(list_valid_for: f64, acceptance_valid_for: f64) -> Self {
        Self {
            list_valid_for,
            acceptance_valid_for,
            confirmed_at: f64::NEG_INFINITY,
            background_check_sent_at: f64::NEG_INFINITY,
        }
    }

    /// Records that the list was current at `at`, which may be in the past.
    pub(crate) fn confirmed(&mut self, at: f64) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Whether workers may have changed without an update of the list.
    pub(crate) fn is_stale(&self, now: f64) -> bool {
        self.list_valid_for.is_finite() && now - self.confirmed_at >= self.list_valid_for
    }

    /// Whether the list can become stale and was never known to be current.
    pub(crate) fn awaits_first_confirmation(&self) -> bool {
        self.list_valid_for.is_finite() && self.confirmed_at == f64::NEG_INFINITY
    }

    /// Seconds since the list was known to be current; infinite before the first confirmation.
    pub(crate) fn age(&self, now: f64) -> f64 {
        now - self.confirmed_at
    }

    /// Whether a worker that is listed as ready may get new work now.
    pub(crate) fn allows(&self, now: f64, worker: &Worker) -> bool {
        !self.is_stale(now) || self.is_proven(now, &worker.acceptance)
    }

    /// A proof ages from when the worker was asked, as it may have begun to drain right after that.
    fn is_proven(&self, now: f64, acceptance: &Acceptance) -> bool {
        acceptance.accepts_work() && now - acceptance.accepted_at < self.acceptance_valid_for
    }

    /// Whether a health check could prove that a worker takes new work: it has not declined within the validity of a
    /// proof, and no check has been unanswered for `max_wait` seconds or longer.
    pub(crate) fn may_check_health(&self, now: f64, worker: &Worker, max_wait: f64) -> bool {
        let declined = now - worker.acceptance.declined_at < self.acceptance_valid_for;
        let sent_at = worker.health_check_sent_at;
        !declined && (sent_at == f64::NEG_INFINITY || now - sent_at < max_wait)
    }

    /// Whether a worker that no request waits for may be checked. Only one check is sent per validity period of a
    /// proof, so that many routers together send few.
    pub(crate) fn may_check_in_background(&self, now: f64) -> bool {
        now - self.background_check_sent_at >= self.acceptance_valid_for
    }

    /// Records that a worker that no request waits for is checked.
    pub(crate) fn background_check_sent(&mut self, now: f64) {
        self.background_check_sent_at = now;
    }

    /// When a worker's process started, as far as is certain now. Before the first confirmation there is no earlier
    /// process to compare with, and the listed time is used.
    pub(crate) fn started_at(&self, now: f64, worker: &Worker) -> f64 {
        let alive_since = worker.acceptance.alive_since;
        let may_be_new = self.confirmed_at.is_finite() && alive_since > self.confirmed_at;
        if may_be_new && self.is_stale(now) { worker.started_at.max(alive_since) } else { worker.started_at }
    }
}
