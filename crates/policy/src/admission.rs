//! Admission: the shares and ceilings of client groups (token buckets), how long a request may wait here, and when one that
//! is rejected may come again.

use crate::effects::Budget;
use crate::fleet_budgets::FleetBudgets;
use crate::random::Random;
use crate::request_state::Activation;

/// Seconds for which what a ceiling let through may go out: what stood still for longer asks anew.
const LAPSE: f64 = 0.5;

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
    clients: Vec<Bucket>,
    under: Vec<Bucket>,
    /// Beyond a client group's share a request matters less.
    sheds: bool,
    /// The longest advice in seconds to stay away that clients heed; none where they are given none.
    come_back: Option<f64>,
}

impl Admission {
    pub(crate) fn new(
        now: f64,
        quotas: Vec<f64>,
        ceilings: Vec<f64>,
        sheds: bool,
        come_back: Option<f64>,
    ) -> Self {
        Self {
            clients: vec![Bucket { left: 0.0, at: now - 1.0 }; quotas.len()],
            under: vec![Bucket { left: 0.0, at: now }; ceilings.len()],
            quotas,
            ceilings,
            sheds,
            come_back,
        }
    }

    /// Counts a request against its client group's share; tells whether it is beyond that, where this matters.
    pub(crate) fn over_share(&mut self, now: f64, client: usize, budgets: &FleetBudgets) -> bool {
        // A client group may use a second of its share at once.
        let own = self.quotas.get(client).copied().unwrap_or(0.0);
        let quota = budgets.allowed(now, Budget::Quota(client), own);
        let Some(bucket) = self.clients.get_mut(client) else { return false };
        bucket.fill(now, quota, quota.max(1.0));
        let within = bucket.left >= 1.0;
        if within {
            bucket.left -= 1.0;
        }
        self.sheds && !within
    }

    /// Whether its client group's ceiling lets a request through; if not, it learns when to come.
    pub(crate) fn may_pass(
        &mut self,
        now: f64,
        a: &mut Activation,
        budgets: &mut FleetBudgets,
        random: &mut Random,
    ) -> bool {
        /// Seconds of its ceiling that a group may use at once.
        const AT_ONCE: f64 = 0.5;
        let Some(&own) = self.ceilings.get(a.client).filter(|c| c.is_finite()) else { return true };
        if now - a.passed < LAPSE {
            return true;
        }
        let rate = budgets.allowed(now, Budget::Ceiling(a.client), own);
        let bucket = &mut self.under[a.client];
        bucket.fill(now, rate, (rate * AT_ONCE).max(1.0));
        let luck = random.luck();
        let may = bucket.left >= 1.0;
        // When there is capacity again, not all in step.
        let away = (1.0 - bucket.left) / rate.max(1e-3) * (1.0 + luck);
        a.away = (!may).then_some(away);
        if !may {
            budgets.lack(Budget::Ceiling(a.client));
        }
        may
    }

    /// A shot of a request is sent: it counts under the ceiling, unless one of a moment ago did.
    pub(crate) fn sent(&mut self, now: f64, a: &mut Activation) {
        if let Some(bucket) = self.under.get_mut(a.client).filter(|_| now - a.passed >= LAPSE) {
            bucket.left -= 1.0;
            a.passed = now;
        }
    }

    /// Whether the ceiling let a request through too long ago for it to be sent now.
    pub(crate) fn lapsed(&self, now: f64, a: &Activation) -> bool {
        self.ceilings.get(a.client).is_some_and(|c| c.is_finite()) && now - a.passed >= LAPSE
    }

    /// Seconds after which the client of a rejected request may come again, where clients heed that.
    pub(crate) fn retry_after(&self, a: &Activation, due: f64) -> Option<f64> {
        /// Part of the due time after which to come back: not into the same crowd, and in time.
        const AWAY: f64 = 0.08;
        self.come_back.map(|most| most.min(a.away.unwrap_or(AWAY * due)))
    }
}

/// Whether a request has waited for its first shot for so long that an answer could hardly be in time; `loaded` where an
/// instance of its function is anywhere, `latency` the mean of answers.
pub(crate) fn waited_out(now: f64, a: &Activation, due: f64, loaded: bool, latency: f64) -> bool {
    /// Part of the due time that may pass before the first shot.
    const WAIT: f64 = 0.15;
    /// The same of its client's own time, which may be shorter: what is left must do for a try elsewhere.
    const OWN: f64 = 0.4;
    // Rejected while a retry can still be in time; what waits for a load would wait elsewhere as well.
    let wait = if loaded { WAIT * due } else { due - latency };
    now - a.taken > wait.min(OWN * (a.until - a.taken))
}
