//! Admission: the shares and ceilings of client groups (token buckets), how long a request may wait here, and when one that
//! is rejected may come again.

use crate::effects::Budget;
use crate::fleet_budgets::FleetBudgets;
use crate::random::Random;
use crate::request_state::Request;

/// Seconds for which what a ceiling let through may go out: what stood still for longer asks anew.
const ADMITTED_FOR: f64 = 0.5;

/// A token bucket: what may still be used, as of when.
#[derive(Clone, Copy)]
struct Bucket {
    left: f64,
    at: f64,
}

impl Bucket {
    fn fill(&mut self, now: f64, rate: f64, most: f64) {
        self.left = (self.left + (now - self.at) * rate).min(most);
        self.at = now;
    }
}

pub(crate) struct Admission {
    /// Requests a second of this router's part within each client group's share, and at all.
    quotas: Vec<f64>,
    ceilings: Vec<f64>,
    /// What each client group may still send within its share, and under its ceiling.
    within_quota: Vec<Bucket>,
    under_ceiling: Vec<Bucket>,
    /// Beyond a client group's share a request matters less.
    sheds_over_quota: bool,
    /// The longest advice in seconds to stay away that clients heed; none where they are given none.
    max_retry_after: Option<f64>,
}

impl Admission {
    pub(crate) fn new(
        now: f64,
        quotas: Vec<f64>,
        ceilings: Vec<f64>,
        sheds_over_quota: bool,
        max_retry_after: Option<f64>,
    ) -> Self {
        Self {
            within_quota: vec![Bucket { left: 0.0, at: now - 1.0 }; quotas.len()],
            under_ceiling: vec![Bucket { left: 0.0, at: now }; ceilings.len()],
            quotas,
            ceilings,
            sheds_over_quota,
            max_retry_after,
        }
    }

    /// Counts a request against its client group's share; tells whether it is beyond that, where this matters.
    pub(crate) fn is_over_quota(&mut self, now: f64, client: usize, budgets: &FleetBudgets) -> bool {
        // A client group may use a second of its share at once.
        let own_rate = self.quotas.get(client).copied().unwrap_or(0.0);
        let quota = budgets.allowed(now, Budget::Quota(client), own_rate);
        let Some(bucket) = self.within_quota.get_mut(client) else { return false };
        bucket.fill(now, quota, quota.max(1.0));
        let within = bucket.left >= 1.0;
        if within {
            bucket.left -= 1.0;
        }
        self.sheds_over_quota && !within
    }

    /// Whether its client group's ceiling lets a request through; if not, it learns when to come.
    pub(crate) fn within_rate_limit(
        &mut self,
        now: f64,
        request: &mut Request,
        budgets: &mut FleetBudgets,
        random: &mut Random,
    ) -> bool {
        /// Seconds of its ceiling that a group may use at once.
        const AT_ONCE: f64 = 0.5;
        let Some(&own_rate) = self.ceilings.get(request.client).filter(|c| c.is_finite()) else {
            return true;
        };
        if now - request.admitted_at < ADMITTED_FOR {
            return true;
        }
        let rate = budgets.allowed(now, Budget::Ceiling(request.client), own_rate);
        let bucket = &mut self.under_ceiling[request.client];
        bucket.fill(now, rate, (rate * AT_ONCE).max(1.0));
        let jitter = random.uniform();
        let within = bucket.left >= 1.0;
        // When there is capacity again, not all in step.
        let retry_after = (1.0 - bucket.left) / rate.max(1e-3) * (1.0 + jitter);
        request.retry_after = (!within).then_some(retry_after);
        if !within {
            budgets.note_exhausted(Budget::Ceiling(request.client));
        }
        within
    }

    /// A shot of a request is sent: it counts under the ceiling, unless one of a moment ago did.
    pub(crate) fn attempt_sent(&mut self, now: f64, request: &mut Request) {
        if let Some(bucket) =
            self.under_ceiling.get_mut(request.client).filter(|_| now - request.admitted_at >= ADMITTED_FOR)
        {
            bucket.left -= 1.0;
            request.admitted_at = now;
        }
    }

    /// Whether the ceiling let a request through too long ago for it to be sent now.
    pub(crate) fn lapsed(&self, now: f64, request: &Request) -> bool {
        self.ceilings.get(request.client).is_some_and(|c| c.is_finite())
            && now - request.admitted_at >= ADMITTED_FOR
    }

    /// Seconds after which the client of a rejected request may come again, where clients heed that.
    pub(crate) fn retry_after(&self, request: &Request, due: f64) -> Option<f64> {
        /// Part of the due time after which to come back: not into the same crowd, and in time.
        const RETRY_AFTER_SHARE: f64 = 0.08;
        self.max_retry_after.map(|most| most.min(request.retry_after.unwrap_or(RETRY_AFTER_SHARE * due)))
    }
}

/// Whether a request has waited for its first shot for so long that an answer could hardly be in time; `loaded` where an
/// instance of its function is anywhere, `latency` the mean of answers.
pub(crate) fn has_waited_too_long(now: f64, request: &Request, due: f64, loaded: bool, latency: f64) -> bool {
    /// Part of the due time that may pass before the first shot.
    const WAIT_SHARE: f64 = 0.15;
    /// The same of its client's own time, which may be shorter: what is left must do for a try elsewhere.
    const CLIENT_TIME_SHARE: f64 = 0.4;
    // Rejected while a retry can still be in time; what waits for a load would wait elsewhere as well.
    let wait = if loaded { WAIT_SHARE * due } else { due - latency };
    now - request.arrived_at > wait.min(CLIENT_TIME_SHARE * (request.deadline - request.arrived_at))
}
