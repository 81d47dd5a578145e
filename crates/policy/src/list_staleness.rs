//! What holds while the endpoint list is stale: the source of the list has been silent for so long that it may have
//! missed to report a worker that drains, is gone or has restarted. Then the list alone does not justify new work. A
//! worker gets some only while its own word that it takes new work is recent: a health check that it passed, or a
//! request that it served, both counted from when they were sent. A worker that has answered since the list was last
//! confirmed, but only on connections that are younger, may be another process: it is in slow start.
//!
//! Bounds are those of the configuration: nothing here is tuned. The other modules ask here before each send.

use crate::acceptance::Acceptance;
use crate::worker_state::Worker;

/// The age of the endpoint list, and what is believed beyond it.
pub(crate) struct ListStaleness {
    /// Seconds for which the list is believed after it was confirmed.
    list_valid_for: f64,
    /// Seconds for which a worker's word is believed after it was asked.
    acceptance_valid_for: f64,
    /// When the list was known to be current; minus infinity before the first confirmation.
    confirmed_at: f64,
    /// When a worker was last asked that no request waited for.
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

    /// The list was current at a time, which may be past.
    pub(crate) fn confirmed(&mut self, at: f64) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Whether workers may have changed without the list.
    pub(crate) fn is_stale(&self, now: f64) -> bool {
        self.list_valid_for.is_finite() && now - self.confirmed_at >= self.list_valid_for
    }

    /// Seconds since the list was known to be current; infinite before the first confirmation.
    pub(crate) fn age(&self, now: f64) -> f64 {
        now - self.confirmed_at
    }

    /// Whether a worker that is listed as ready may get new work now.
    pub(crate) fn allows(&self, now: f64, worker: &Worker) -> bool {
        !self.is_stale(now) || self.is_proven(now, &worker.acceptance)
    }

    /// The proof ages from when the worker was asked: it may have begun to drain right after that.
    fn is_proven(&self, now: f64, acceptance: &Acceptance) -> bool {
        acceptance.accepts_work() && now - acceptance.accepted_at < self.acceptance_valid_for
    }

    /// Whether it is of use to check a worker's health for a proof: it has not declined for as long as a proof would
    /// hold, and no check has been unanswered for longer than `max_wait` seconds.
    pub(crate) fn may_check_health(&self, now: f64, worker: &Worker, max_wait: f64) -> bool {
        let declined = now - worker.acceptance.declined_at < self.acceptance_valid_for;
        let sent_at = worker.health_check_sent_at;
        !declined && (sent_at == f64::NEG_INFINITY || now - sent_at < max_wait)
    }

    /// Whether a worker may be asked that no request waits for: one in the time for which a proof holds, so that the checks
    /// of many routers stay few.
    pub(crate) fn may_check_in_background(&self, now: f64) -> bool {
        now - self.background_check_sent_at >= self.acceptance_valid_for
    }

    /// A worker is asked that no request waits for.
    pub(crate) fn background_check_sent(&mut self, now: f64) {
        self.background_check_sent_at = now;
    }

    /// When a worker's process started, as far as that is certain now. A router that has never had a current list knows
    /// no process from before.
    pub(crate) fn started_at(&self, now: f64, worker: &Worker) -> f64 {
        let alive_since = worker.acceptance.alive_since;
        let may_be_new = self.confirmed_at.is_finite() && alive_since > self.confirmed_at;
        if may_be_new && self.is_stale(now) { worker.started_at.max(alive_since) } else { worker.started_at }
    }
}
